package scheduler

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// When all endpoints of a role restart together there is no warm one to measure.
func TestAllEndpointsOfARoleWarmingUpAtOnceStillServe(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	sim.scheduler.warmThroughput[Prefill] = 20000
	before := slices.Repeat([]Micros{sim.now}, 16) // what they completed when they were warm
	sim.updateEndpoints(&simEndpoint{id: 1, startedAt: sim.now, doneAt: before},
		&simEndpoint{id: 2, startedAt: sim.now, doneAt: before})
	prefills := 0
	for i := range 60 {
		req := sim.arrive(RequestID(i+1), 0, 2000, 6*sec)
		sim.advance(30 * ms)
		if req.inFlight() != nil {
			prefills++
			sim.endAttempt(req, PrefillDone, 0)
			sim.complete(req)
		}
	}
	if prefills < 8 {
		t.Errorf("%d of 60 prefilled", prefills)
	}
}

// A dispatcher sends a warming endpoint no more than its part by the overload rule, though that looks the emptiest.
func TestWarmingEndpointGetsItsShare(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind)
	sim.addEndpoints(2, decodeKind)
	id := RequestID(0)
	run := func(n int) map[EndpointID]int {
		attempts := map[EndpointID]int{}
		for range n {
			id++
			req := sim.prefilled(id, 2000)
			attempts[req.inFlight().endpoint.id]++
			sim.startAnswer(req)
			sim.advance(90 * ms)
			sim.endAttempt(req, Completed, 0)
		}
		return attempts
	}
	run(60)
	sim.updateEndpoints(&simEndpoint{id: 13, kind: decodeKind, startedAt: sim.now})
	share := sim.config.OverloadFactor * sim.config.SlowStartFactor * slowStartHeadroom
	attempts := run(40)
	if attempts[13] == 0 || float64(attempts[13]) > share*float64(min(attempts[11], attempts[12]))+1 {
		t.Errorf("attempts by endpoint in the first four seconds: %v", attempts)
	}
}

// The throughput of warm endpoints must be known before all of a role restart at once: once the first one is warming up
// it is too late to measure.
func TestWarmThroughputIsMeasuredBeforeAnyEndpointRestarts(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	for i := range 20 {
		sim.complete(sim.prefilled(RequestID(i+1), 2000))
		sim.advance(50 * ms)
	}
	before := sim.scheduler.warmThroughput[Decode]
	if before == 0 {
		t.Fatal("nothing was seen of the warm decode endpoints")
	}
	// Dead ones that the list still names do not make it look small.
	for _, id := range []EndpointID{11, 12} {
		sim.endpoint(id).outlier.failureScore = 1
	}
	sim.advance(5 * sec)
	if after := sim.scheduler.warmThroughput[Decode]; after < before {
		t.Errorf("%v was seen, and %v is left while all are dead", before, after)
	}
}

// A hundred dispatchers that each see little learn of a warming endpoint at once: what they send it together stays
// within the rule, and it gets some work.
func TestManyDispatchersTogetherKeepToTheOverloadRule(t *testing.T) {
	sims := hundredDispatchers(t, func(sim *fleetSim) { sim.addEndpoints(2, prefillKind, decodeKind) })
	config, start := sims[0].config, sims[0].now+15*sec
	var sentAt []Micros
	warm := 0
	for n, sim := range sims {
		sim.advance(Micros(n) * 9 * ms) // they don't act in step
		for i := range 32 {
			if i == 16 {
				sim.updateEndpoints(&simEndpoint{id: 13, kind: decodeKind, startedAt: start})
			}
			req := sim.prefilled(RequestID(i+1), 2000)
			if sim.startAnswer(req); i < 16 {
				warm++
			}
			sim.advance(890 * ms)
			sim.endAttempt(req, Completed, 0)
		}
		sentAt = append(sentAt, sim.endpoints[13].sentAt...)
	}
	rate := float64(warm) / 2 / 14.4 // answers a second at each of the two warm endpoints
	// Warm endpoints could do more than they were sent: the scheduler multiplies what it saw by slowStartHeadroom.
	allowed := config.OverloadFactor * config.SlowStartFactor * slowStartHeadroom * rate * seconds(config.OverloadWindow)
	for from := start; from < start+2*sec; from += 100 * ms {
		if n := countWithin(sentAt, from, config.OverloadWindow); n > 1.1*allowed { // the rule leaves a little slack
			t.Fatalf("%v attempts within a window from %d, %v allowed", n, from-start, allowed)
		}
	}
	if len(sentAt) < 20 {
		t.Errorf("the warming endpoint got %d attempts in 14 s", len(sentAt))
	}
}

// unevenTraffic is a fleet whose dispatchers share nothing and get unequal parts of the traffic.
type unevenTraffic struct {
	perSecond     float64
	warmEndpoints EndpointID
	weights       []float64 // of the dispatchers
	weightSum     float64
}

func newUnevenTraffic(random *rand.Rand, dispatchers int) *unevenTraffic {
	traffic := &unevenTraffic{perSecond: 40, warmEndpoints: 4, weights: make([]float64, dispatchers)}
	for i := range traffic.weights {
		traffic.weights[i] = math.Exp(random.NormFloat64()) // some see several times the mean
		traffic.weightSum += traffic.weights[i]
	}
	return traffic
}

const restartAfter = 20 * sec // of the start of the simulation

// sendsToRestarted runs one dispatcher until an endpoint that restarts, while all other decode endpoints leave, is
// warm. It returns when the dispatcher sent to that endpoint, and when the endpoint restarted.
func (traffic *unevenTraffic) sendsToRestarted(
	sim *fleetSim, dispatcher int, random *rand.Rand,
) (sentAt []Micros, start Micros) {
	const restarted EndpointID = 20
	sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 2}, &simEndpoint{id: 3}, &simEndpoint{id: 4})
	for i := range traffic.warmEndpoints {
		sim.updateEndpoints(&simEndpoint{id: 11 + i, kind: decodeKind})
	}
	start = sim.now + restartAfter
	meanGap := traffic.weightSum / (traffic.perSecond * traffic.weights[dispatcher])
	var open []*simRequest
	for id := RequestID(1); ; id++ {
		for next := sim.now + Micros(random.ExpFloat64()*meanGap*float64(sec)); sim.now < next; {
			sim.advance(min(next-sim.now, 50*ms))
			sim.stepAll(open)
		}
		if sim.now > start+sim.config.WarmUp {
			break
		}
		if sim.now >= start && sim.endpoints[restarted] == nil {
			// All others leave: only what the rule allows keeps attempts from the restarted one.
			sim.updateEndpoints(&simEndpoint{id: restarted, kind: decodeKind, startedAt: start})
			for i := range traffic.warmEndpoints {
				sim.endpoints[11+i].state = Draining
				sim.updateEndpoints(sim.endpoints[11+i])
			}
		}
		open = append(open, sim.arrive(id, 0, 2000, 6*sec))
		sim.stepAll(open)
		open = slices.DeleteFunc(open, func(req *simRequest) bool { return req.settled() && req.inFlight() == nil })
	}
	if ep := sim.endpoints[restarted]; ep != nil {
		sentAt = ep.sentAt
	}
	return sentAt, start
}

// Whatever the number of dispatchers that share nothing, and however unevenly the traffic falls on them, an endpoint
// that has just started gets no more than the rule's part of what warm endpoints do and the chance that the users
// allow beside it: N + 2 root of N + 2 in any window. A floor of one request for each dispatcher would be three
// hundred.
func TestSlowStartHoldsForAnyNumberOfDispatchers(t *testing.T) {
	for _, dispatchers := range []int{3, 30, 300} {
		config := testConfig(Idempotent)
		config.Dispatchers, config.IdleTimeout = dispatchers, 30*sec
		random := rand.New(rand.NewSource(int64(dispatchers)))
		traffic := newUnevenTraffic(random, dispatchers)
		var sentAt []Micros
		var start Micros
		for i := range dispatchers {
			sent, startedAt := traffic.sendsToRestarted(newFleetSim(t, config, int64(i)), i, random)
			sentAt, start = append(sentAt, sent...), startedAt
		}
		warmRate := traffic.perSecond / float64(traffic.warmEndpoints)
		for from := start; from+config.OverloadWindow <= start+config.WarmUp; from += 50 * ms {
			got := countWithin(sentAt, from, config.OverloadWindow)
			// What it can do at the window's end, if warm endpoints do what they can.
			warmedUp := float64(from+config.OverloadWindow-start) / float64(config.WarmUp)
			factor := config.SlowStartFactor + (1-config.SlowStartFactor)*warmedUp
			allowed := config.OverloadFactor * min(factor, 1) * warmRate * seconds(config.OverloadWindow)
			if got > allowed+2*math.Sqrt(allowed)+2 {
				t.Fatalf("%d dispatchers: %v attempts in a window from %d ms, %.1f allowed",
					dispatchers, got, (from-start)/ms, allowed)
			}
		}
		if len(sentAt) < 10 {
			t.Errorf("%d dispatchers: the warming endpoint got %d attempts in 10 s", dispatchers, len(sentAt))
		}
	}
}
