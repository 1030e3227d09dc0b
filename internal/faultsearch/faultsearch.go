// Package faultsearch looks for what nobody has thought of: days in virtual time whose faults are drawn from a seed, the rules and
// the dispatchers' own state checked, and a day that fails cut down to the least that still does.
package faultsearch

import (
	"fmt"
	"math/rand"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/scenarios"
)

// weights are how often each sort of trouble is drawn.
var weights = []struct {
	kind   string
	weight int
}{
	{"crash", 6}, {"vanish", 5}, {"hang", 5}, {"slow", 3}, {"fast_errors", 4}, {"pauses", 5}, {"flush", 1}, {"zone_cut", 4}, {"balancer_crash", 4},
	{"burst", 3}, {"tenant_burst", 2}, {"mass_restart", 3}, {"neighbour", 1}, {"handshake_slow", 2}, {"give_up", 2}, {"report_late", 1}, {"throttle", 1},
	{"drain", 6}, {"kill_at", 6}, {"freeze", 5}, {"half_cut", 4}, {"clock_step", 2}, {"disk_fault", 2}, {"slow_disk", 2},
}

// Size is how large a drawn world is.
type Size struct {
	Seconds int
	Rate    float64
}

// DefaultSize is the size of the standard world.
var DefaultSize = Size{Seconds: 7, Rate: 12}

// Draw makes a day from a seed.
func Draw(seed int64, size Size) *pb.Day {
	chance := rand.New(rand.NewSource(seed))
	d := &pb.Day{Name: fmt.Sprintf("seed-%d", seed), Seconds: uint32(size.Seconds), Rate: size.Rate * (0.5 + chance.Float64()),
		World: &pb.World{Seed: seed, Dispatchers: uint32(1 + chance.Intn(3)), LatencyUs: uint32(50 + chance.Intn(1500)), Keyed: chance.Intn(2) == 0}}
	d.World.Intents = d.World.Keyed
	if chance.Intn(2) == 0 {
		d.World.Segment = uint32(20 + chance.Intn(2000))
	}
	if chance.Intn(4) == 0 {
		d.Batches = append(d.Batches, &pb.Day_Batch{Product: []string{"embed", "rank"}[chance.Intn(2)], AtOnce: uint32(1 + chance.Intn(3)),
			Inputs: uint32(1 + chance.Intn(60)), Tokens: uint32(10 + chance.Intn(200)), Tenant: uint32(chance.Intn(3))})
	}
	all := 0
	for _, w := range weights {
		all += w.weight
	}
	// The last seconds are free of new troubles, so that it shows whether service returns.
	last := uint32(size.Seconds-3) * 1000
	for range 1 + chance.Intn(6) {
		n := chance.Intn(all)
		kind := ""
		for _, w := range weights {
			if n -= w.weight; n < 0 {
				kind = w.kind
				break
			}
		}
		t := &pb.Day_Trouble{Kind: kind, AtMs: uint32(200 + chance.Intn(int(last)-200)), ForMs: uint32(50 + chance.Intn(2000)), Share: 0.1 + 0.5*chance.Float64()}
		switch kind {
		case "slow", "neighbour":
			t.Factor = 2 + 6*chance.Float64()
		case "fast_errors":
			t.Factor = 0.3 + 0.7*chance.Float64()
		case "burst", "tenant_burst":
			t.Factor = 1.5 + 4*chance.Float64()
		case "handshake_slow":
			t.Factor = 20 + 300*chance.Float64()
		case "report_late":
			t.Factor = 1 + 5*chance.Float64()
		case "give_up":
			t.Factor = 0.1 + 0.4*chance.Float64()
		case "clock_step":
			t.Factor = []float64{-5, -0.7, 0.7, 3, 3600}[chance.Intn(5)]
		case "kill_at":
			t.Step = uint32(chance.Intn(400))
		case "mass_restart":
			t.HostKind, t.Share = []string{"prefill", "decode", "mixed", ""}[chance.Intn(4)], 1
		}
		d.Troubles = append(d.Troubles, t)
	}
	sort.SliceStable(d.Troubles, func(a, b int) bool { return d.Troubles[a].AtMs < d.Troubles[b].AtMs })
	return d
}

// Outcome is what a played day showed.
type Outcome struct {
	Day     *pb.Day
	Faults  []string // each begins with what was broken
	Trace   uint64
	Steps   int
	Reached lifecycle.Coverage
	Verdict *audit.Verdict
	Run     *scenarios.Run
}

// FailureClass is what was broken first, without its numbers: two days that fail alike have it alike.
func (o *Outcome) FailureClass() string {
	if len(o.Faults) == 0 {
		return ""
	}
	name, _, _ := strings.Cut(o.Faults[0], ":")
	return name
}

// checkEvery is how many steps lie between two looks into the dispatchers.
const checkEvery = 16

// Run plays a day, with a fault planted or none.
func Run(d *pb.Day, plant *scenarios.Mutant) (*Outcome, error) {
	o := &Outcome{Day: d}
	p := &scenarios.Run{Script: proto.Clone(d).(*pb.Day), Deployment: deployment.Standard(), Dispatchers: int(max(d.World.GetDispatchers(), 1)),
		Seed: d.World.GetSeed(), Keyed: d.World.GetKeyed(), Intents: d.World.GetIntents(), Mutant: plant}
	if plant != nil && plant.Run != nil {
		plant.Run(p)
	}
	n := 0
	p.AfterStep = func() {
		if n++; n%checkEvery == 0 && len(o.Faults) == 0 {
			if err := p.Check(); err != nil {
				o.Faults = append(o.Faults, "own state: "+err.Error())
			}
		}
	}
	v, left, trace, err := p.RunVirtual(0)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d.Name, err)
	}
	o.Verdict, o.Trace, o.Steps, o.Run = v, trace, p.Steps, p
	for i, r := range v.Rules {
		if len(r.Violations) > 0 {
			b := r.Violations[0]
			o.Faults = append(o.Faults, fmt.Sprintf("rule %d: %s (generation %s, line %d; %d in all)", i+1, b.Text, b.Request, b.Line, len(r.Violations)))
		}
	}
	if left > 0 {
		o.Faults = append(o.Faults, fmt.Sprintf("left over: %d generations", left))
	}
	for _, b := range p.BatchClients {
		if b.Wrong > 0 {
			o.Faults = append(o.Faults, fmt.Sprintf("wrong vectors: %d calls", b.Wrong))
		}
	}
	if f := returns(d, p); f != "" {
		o.Faults = append(o.Faults, f)
	}
	for _, r := range p.Reached {
		for s := range r {
			for e, n := range r[s] {
				o.Reached[s][e] += n
			}
		}
	}
	return o, nil
}

// returns tells whether service has come back: of what was asked in the last second, when no trouble has been under way for a
// while, not nearly all may be without an answer.
func returns(d *pb.Day, p *scenarios.Run) string {
	end := uint32(0)
	for _, t := range d.Troubles {
		span := t.ForMs
		if t.Kind == "vanish" || t.Kind == "hang" {
			span += 200
		}
		end = max(end, t.AtMs+span)
	}
	if end+2500 > d.Seconds*1000 {
		return ""
	}
	asked, streamed := p.CompletedInSecond(int(d.Seconds) - 1)
	if asked >= 5 && streamed*5 < asked {
		return fmt.Sprintf("service does not return: %d of %d streamed in the last second, %d ms after the last trouble", streamed, asked, d.Seconds*1000-end)
	}
	return ""
}

// shrinkMost bounds the days that are tried.
const shrinkMost = 400

// Shrink cuts a day that fails down: troubles, batches, options, the length and the load go as far as it still fails in the
// same way. Each that was tried is told to note.
func Shrink(d *pb.Day, plant *scenarios.Mutant, note func(tried int, d *pb.Day)) (*pb.Day, int, error) {
	first, err := Run(d, plant)
	if err != nil {
		return nil, 0, err
	}
	want := first.FailureClass()
	if want == "" {
		return nil, 1, fmt.Errorf("%s does not fail", d.Name)
	}
	best := proto.Clone(d).(*pb.Day)
	tried := 1
	try := func(change func(*pb.Day)) bool {
		next := proto.Clone(best).(*pb.Day)
		change(next)
		if proto.Equal(next, best) {
			return false
		}
		tried++
		o, err := Run(next, plant)
		if err != nil || o.FailureClass() != want {
			return false
		}
		best = next
		if note != nil {
			note(tried, best)
		}
		return true
	}
	for again := true; again && tried < shrinkMost; {
		again = false
		for size := len(best.Troubles); size >= 1; size /= 2 {
			for at := 0; at+size <= len(best.Troubles); {
				if !try(func(n *pb.Day) { n.Troubles = append(n.Troubles[:at], n.Troubles[at+size:]...) }) {
					at += size
				} else {
					again = true
				}
			}
		}
		for _, change := range []func(*pb.Day){
			func(n *pb.Day) { n.Batches = nil },
			func(n *pb.Day) { n.World.Segment = 0 },
			func(n *pb.Day) { n.World.Dispatchers = min(n.World.Dispatchers, 1) },
			func(n *pb.Day) { n.World.Dispatchers = max(n.World.Dispatchers, 2) - 1 },
			func(n *pb.Day) { n.World.Intents = false },
			func(n *pb.Day) { n.World.Keyed, n.World.Intents = false, false },
			func(n *pb.Day) { n.Seconds = max(n.Seconds/2, 1) },
			func(n *pb.Day) { n.Seconds = max(n.Seconds-1, 1) },
			func(n *pb.Day) { n.Rate = max(n.Rate/2, min(n.Rate, 1)) },
		} {
			again = try(change) || again
		}
	}
	best.Name += "-shrunk"
	return best, tried, nil
}
