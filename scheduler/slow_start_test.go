package scheduler

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// When all endpoints of a role restart together, there is no warm endpoint whose throughput could be measured. They
// must be sent requests nevertheless.
func TestAllEndpointsOfARoleWarmingUpAtOnceStillServe(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	sim.scheduler.warmThroughput[prefillKind].tokensPerSecond = 20000
	before := slices.Repeat([]Micros{sim.now}, 16) // attempts that the endpoints completed while warm
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
		t.Errorf("%d of 60 requests were prefilled, want at least 8", prefills)
	}
}

// A dispatcher sends an endpoint that is warming up no more than the overload rule allows, although that endpoint has
// the lowest memory usage.
func TestWarmingEndpointGetsItsShare(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind)
	sim.addEndpoints(2, decodeKind)
	id := RequestID(0)
	run := func(n int) map[EndpointID]int {
		attempts := map[EndpointID]int{}
		for range n {
			id++
			req := sim.arriveAndPrefill(id, 2000)
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

// limitedEndpoints is a fleet in which some endpoints can decode only a few requests at once while warm.
type limitedEndpoints struct {
	sim        *fleetSim
	limited    []EndpointID
	maxStreams int
	open       []*simRequest
}

// run sends a request every 20 ms for a time. An answer takes a second.
func (fleet *limitedEndpoints) run(span Micros) {
	const gap = 20 * ms
	for range span / gap {
		fleet.sim.advance(gap)
		id := RequestID(len(fleet.sim.arrivals) + 1)
		fleet.open = append(fleet.open, fleet.sim.arrive(id, 0, 2000, 6*sec))
		for _, req := range fleet.open {
			for att := req.inFlight(); att != nil && fleet.step(req, att); att = req.inFlight() {
			}
		}
		fleet.open = slices.DeleteFunc(fleet.open, func(req *simRequest) bool { return req.settled() })
	}
}

// step reports the next event of an attempt, or returns false if none is due.
func (fleet *limitedEndpoints) step(req *simRequest, att *simAttempt) bool {
	sim := fleet.sim
	switch {
	case att.endpoint.kind == prefillKind:
		sim.endAttempt(req, PrefillDone, 0)
	case att.started && att.sentAt < sim.now-sec:
		sim.endAttempt(req, Completed, 0)
	case att.started:
		return false
	case fleet.isFull(att.endpoint):
		sim.endAttempt(req, NoCapacity, 0)
	default:
		sim.startAnswer(req)
	}
	return true
}

// isFull reports whether an endpoint rejects further requests. One that has restarted accepts all, so that only the
// scheduler limits what it is sent.
func (fleet *limitedEndpoints) isFull(ep *simEndpoint) bool {
	if !slices.Contains(fleet.limited, ep.id) || ep.startedAt > 0 {
		return false
	}
	streams := 0
	for _, req := range fleet.open {
		if att := req.inFlight(); att != nil && att.started && att.endpoint == ep {
			streams++
		}
	}
	return streams >= fleet.maxStreams
}

// Slow start took the mean throughput of all kinds of a role for that of each kind. So an endpoint of a kind that can
// do less was sent more than it could bear when its process had restarted, and its non-idempotent requests broke off.
// The fleetSim checks the overload rule at each attempt.
func TestSlowStartOfASmallKindIsNotGuidedByLargerKinds(t *testing.T) {
	const smallKind, small, restarted = embedderKind, 31, 32
	config := testConfig(NonIdempotent)
	config.Dispatchers = 1
	config.Kinds = append(config.Kinds, Kind{Decode, 140000})
	limited := []EndpointID{small, restarted}
	fleet := &limitedEndpoints{sim: newFleetSim(t, config, 1), limited: limited, maxStreams: 4}
	fleet.sim.addEndpoints(2, prefillKind, decodeKind, smallKind)
	fleet.run(10 * sec)
	fleet.sim.updateEndpoints(&simEndpoint{id: restarted, kind: smallKind, startedAt: fleet.sim.now})
	fleet.run(config.WarmUp)
	if n := len(fleet.sim.endpoints[restarted].sentAt); n < 10 {
		t.Errorf("the restarted endpoint got %d requests while warming up, want at least 10", n)
	}
}

// The listed sizes of endpoints were not read, so an endpoint that is smaller than others of its kind was sent what
// these could bear when its process had restarted. The fleetSim checks the overload rule at each attempt.
func TestSlowStartOfASmallEndpointFollowsItsListedSize(t *testing.T) {
	const largeSize, smallSize, small, restarted = 8, 1, 13, 14
	config := testConfig(NonIdempotent)
	config.Dispatchers = 1
	limited := []EndpointID{small, restarted}
	fleet := &limitedEndpoints{sim: newFleetSim(t, config, 1), limited: limited, maxStreams: 4}
	fleet.sim.addEndpoints(2, prefillKind)
	for id := range EndpointID(4) {
		ep := &simEndpoint{id: 11 + id, kind: decodeKind, size: largeSize}
		if slices.Contains(fleet.limited, ep.id) {
			ep.size = smallSize
		}
		fleet.sim.updateEndpoints(ep)
	}
	fleet.run(10 * sec)
	fleet.sim.updateEndpoints(&simEndpoint{id: restarted, kind: decodeKind, size: smallSize, startedAt: fleet.sim.now})
	fleet.run(config.WarmUp)
	if n := len(fleet.sim.endpoints[restarted].sentAt); n < 10 {
		t.Errorf("the restarted endpoint got %d requests while warming up, want at least 10", n)
	}
}

func TestExpectedThroughput(t *testing.T) {
	for _, test := range []struct{ size, meanSize, want float64 }{
		{0, 0, 100}, {0, 4, 100}, {2, 0, 100}, {4, 4, 100}, {1, 4, 25}, {8, 4, 100},
	} {
		if got := (warmThroughput{100, test.meanSize}).expected(test.size); got != test.want {
			t.Errorf("an endpoint of size %v, mean size %v: %v, want %v", test.size, test.meanSize, got, test.want)
		}
	}
}

// The throughput of warm endpoints must be measured before the endpoints of a role restart together, because once all
// of them are warming up, there is no warm endpoint to measure.
func TestWarmThroughputIsMeasuredBeforeAnyEndpointRestarts(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	for i := range 20 {
		sim.complete(sim.arriveAndPrefill(RequestID(i+1), 2000))
		sim.advance(50 * ms)
	}
	before := sim.scheduler.warmThroughput[decodeKind].tokensPerSecond
	if before == 0 {
		t.Fatal("no throughput of the warm decode endpoints was measured")
	}
	// Dead endpoints that are still listed must not lower the measured throughput.
	for _, id := range []EndpointID{11, 12} {
		sim.endpoint(id).outlier.failureScore = 1
	}
	sim.advance(5 * sec)
	if after := sim.scheduler.warmThroughput[decodeKind].tokensPerSecond; after < before {
		t.Errorf("the measured throughput fell from %v to %v while all endpoints were dead", before, after)
	}
}

// A hundred dispatchers, each of which sees little traffic, learn of a new endpoint at the same time. The attempts that
// all dispatchers together send to this endpoint must stay within the overload rule, and it must get some work.
func TestManyDispatchersTogetherKeepToTheOverloadRule(t *testing.T) {
	sims := hundredDispatchers(t, func(sim *fleetSim) { sim.addEndpoints(2, prefillKind, decodeKind) })
	config, start := sims[0].config, sims[0].now+15*sec
	var sentAt []Micros
	warm := 0
	for n, sim := range sims {
		sim.advance(Micros(n) * 9 * ms) // offset the dispatchers from each other
		for i := range 32 {
			if i == 16 {
				sim.updateEndpoints(&simEndpoint{id: 13, kind: decodeKind, startedAt: start})
			}
			req := sim.arriveAndPrefill(RequestID(i+1), 2000)
			if sim.startAnswer(req); i < 16 {
				warm++
			}
			sim.advance(890 * ms)
			sim.endAttempt(req, Completed, 0)
		}
		sentAt = append(sentAt, sim.endpoints[13].sentAt...)
	}
	rate := float64(warm) / 2 / 14.4 // answers per second at each of the two warm endpoints
	// Warm endpoints could do more than they were sent, so the scheduler multiplies their throughput by slowStartHeadroom.
	allowed := config.OverloadFactor * config.SlowStartFactor * slowStartHeadroom * rate * seconds(config.OverloadWindow)
	for from := start; from < start+2*sec; from += 100 * ms {
		if n := countWithin(sentAt, from, config.OverloadWindow); n > 1.1*allowed { // the rule leaves some slack
			t.Fatalf("%v attempts within a window from %d, %v allowed", n, from-start, allowed)
		}
	}
	if len(sentAt) < 20 {
		t.Errorf("the endpoint that is warming up got %d attempts in 14 s", len(sentAt))
	}
}

// unevenTraffic describes traffic that is divided unevenly among dispatchers that share no state.
type unevenTraffic struct {
	perSecond     float64
	warmEndpoints EndpointID
	weights       []float64 // by dispatcher
	weightSum     float64
}

func newUnevenTraffic(random *rand.Rand, dispatchers int) *unevenTraffic {
	traffic := &unevenTraffic{perSecond: 40, warmEndpoints: 4, weights: make([]float64, dispatchers)}
	for i := range traffic.weights {
		traffic.weights[i] = math.Exp(random.NormFloat64()) // some dispatchers get several times the mean
		traffic.weightSum += traffic.weights[i]
	}
	return traffic
}

const restartAfter = 20 * sec // time from the start of the simulation to the restart of the endpoint

// sendsToRestarted runs one dispatcher in a fleet in which one decode endpoint restarts and all other decode endpoints
// drain, until the restarted endpoint is warm. It returns the times at which the dispatcher sent to the restarted
// endpoint, and the time of the restart.
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
			// All other decode endpoints drain, to leave slow start as the only limit on what the restarted one is sent.
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

// An endpoint that has just started must not be overloaded, whatever the number of dispatchers and however unevenly the
// traffic is divided among them. If the overload rule allows N attempts in a window, its users tolerate up to
// N+2*sqrt(N)+2 attempts, to allow for random variation. A minimum of one request for each dispatcher would let 300
// attempts through.
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
			// This is the rule's limit for the throughput that the endpoint has reached at the end of the window. The limit
			// assumes that the warm endpoints were fully loaded.
			warmedUp := float64(from+config.OverloadWindow-start) / float64(config.WarmUp)
			factor := config.SlowStartFactor + (1-config.SlowStartFactor)*warmedUp
			allowed := config.OverloadFactor * min(factor, 1) * warmRate * seconds(config.OverloadWindow)
			if got > allowed+2*math.Sqrt(allowed)+2 {
				t.Fatalf("%d dispatchers: %v attempts in a window from %d ms, %.1f allowed",
					dispatchers, got, (from-start)/ms, allowed)
			}
		}
		if len(sentAt) < 10 {
			t.Errorf("%d dispatchers: the endpoint got %d attempts while warming up for 10 s", dispatchers, len(sentAt))
		}
	}
}
