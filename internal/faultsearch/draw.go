package faultsearch

import (
	"fmt"
	"math/rand"
	"sort"

	"plumspindle/internal/deployment/pb"
)

// Size is the length and the load of a generated scenario.
type Size struct {
	Seconds int
	Rate    float64 // average requests a second; Draw scales it by a random factor of 0.5 to 1.5
}

// DefaultSize is the size of scenarios unless the user asks for another.
var DefaultSize = Size{Seconds: 7, Rate: 12}

const (
	// faultFreeEndSeconds is the time at the end of a scenario in which no fault begins, so that the run shows whether
	// the dispatchers recover.
	faultFreeEndSeconds = 3
	// firstFaultMs is the earliest time of a fault, counted from the start of the scenario.
	firstFaultMs = 200
	maxFaults    = 6
)

// faultWeights are the relative frequencies of the kinds of fault. Their order decides which kind a random number
// selects, so a different order would change the scenario of every seed.
var faultWeights = []struct {
	kind   string
	weight int
}{
	{"crash", 6}, {"vanish", 5}, {"hang", 5}, {"slow", 3}, {"fast_errors", 4}, {"pauses", 5}, {"flush", 1},
	{"zone_cut", 4}, {"balancer_crash", 4}, {"burst", 3}, {"tenant_burst", 2}, {"mass_restart", 3}, {"neighbour", 1},
	{"handshake_slow", 2}, {"give_up", 2}, {"report_late", 1}, {"throttle", 1}, {"drain", 6}, {"kill_at", 6},
	{"freeze", 5}, {"half_cut", 4}, {"clock_step", 2}, {"disk_fault", 2}, {"slow_disk", 2},
}

// Draw generates a random scenario from a seed.
func Draw(seed int64, size Size) *pb.Day {
	random := rand.New(rand.NewSource(seed))
	script := &pb.Day{
		Name:    fmt.Sprintf("seed-%d", seed),
		Seconds: uint32(size.Seconds),
		Rate:    size.Rate * (0.5 + random.Float64()),
		World:   drawWorld(random, seed),
	}
	if random.Intn(2) == 0 {
		script.World.Segment = uint32(20 + random.Intn(2000))
	}
	if random.Intn(4) == 0 {
		script.Batches = append(script.Batches, drawBatch(random))
	}
	lastFaultMs := (size.Seconds - faultFreeEndSeconds) * 1000
	for range 1 + random.Intn(maxFaults) {
		script.Troubles = append(script.Troubles, drawFault(random, lastFaultMs))
	}
	sort.SliceStable(script.Troubles, func(i, j int) bool { return script.Troubles[i].AtMs < script.Troubles[j].AtMs })
	return script
}

func drawWorld(random *rand.Rand, seed int64) *pb.World {
	world := &pb.World{
		Seed:        seed,
		Dispatchers: uint32(1 + random.Intn(3)),
		LatencyUs:   uint32(50 + random.Intn(1500)),
		Keyed:       random.Intn(2) == 0,
	}
	world.Intents = world.Keyed
	return world
}

func drawBatch(random *rand.Rand) *pb.Day_Batch {
	return &pb.Day_Batch{
		Product: []string{"embed", "rank"}[random.Intn(2)],
		AtOnce:  uint32(1 + random.Intn(3)),
		Inputs:  uint32(1 + random.Intn(60)),
		Tokens:  uint32(10 + random.Intn(200)),
		Tenant:  uint32(random.Intn(3)),
	}
}

func drawFault(random *rand.Rand, lastMs int) *pb.Day_Trouble {
	fault := &pb.Day_Trouble{
		Kind:  drawFaultKind(random),
		AtMs:  uint32(firstFaultMs + random.Intn(lastMs-firstFaultMs)),
		ForMs: uint32(50 + random.Intn(2000)),
		Share: 0.1 + 0.5*random.Float64(),
	}
	switch fault.Kind {
	case "slow", "neighbour":
		fault.Factor = 2 + 6*random.Float64()
	case "fast_errors":
		fault.Factor = 0.3 + 0.7*random.Float64()
	case "burst", "tenant_burst":
		fault.Factor = 1.5 + 4*random.Float64()
	case "handshake_slow":
		fault.Factor = 20 + 300*random.Float64()
	case "report_late":
		fault.Factor = 1 + 5*random.Float64()
	case "give_up":
		fault.Factor = 0.1 + 0.4*random.Float64()
	case "clock_step":
		fault.Factor = []float64{-5, -0.7, 0.7, 3, 3600}[random.Intn(5)]
	case "kill_at":
		fault.Step = uint32(random.Intn(400))
	case "mass_restart":
		fault.HostKind, fault.Share = []string{"prefill", "decode", "mixed", ""}[random.Intn(4)], 1
	}
	return fault
}

func drawFaultKind(random *rand.Rand) string {
	total := 0
	for _, entry := range faultWeights {
		total += entry.weight
	}
	rest := random.Intn(total)
	for _, entry := range faultWeights {
		if rest -= entry.weight; rest < 0 {
			return entry.kind
		}
	}
	return "" // unreachable: the random number is below the sum of all weights
}
