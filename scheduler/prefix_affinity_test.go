package scheduler

import "testing"

// fortyOfEach lists forty prefill and forty decode endpoints.
func fortyOfEach(sim *fleetSim) { addPairs(sim, 40) }

// addPairs lists n prefill endpoints with ids from 100 on and n decode endpoints with ids from 200 on.
func addPairs(sim *fleetSim, n EndpointID) {
	for i := range n {
		sim.updateEndpoints(&simEndpoint{id: 100 + i}, &simEndpoint{id: 200 + i, kind: decodeKind})
	}
}

// Endpoints that evict all that they had cached at once show it by the number of cached tokens.
func TestEvictionForgetsCachedPrefixes(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind)
	sim.prefilled(1, 4000)
	ep := sim.scheduler.endpoints.all[0]
	req := sim.arrive(4, 0, 4000, 6*sec)
	if tokens := sim.scheduler.tokensToPrefill(ep, sim.scheduler.requests[4]); tokens != 2000 {
		t.Errorf("expects to prefill %v tokens with a cached prefix", tokens)
	}
	sim.advance(10 * ms)
	sim.endAttempt(req, PrefillDone, 0)
	sim.arrive(7, 0, 4000, 6*sec)
	if len(ep.cachedPrefixes) != 1 {
		t.Errorf("still counts on %d prefixes", len(ep.cachedPrefixes))
	}
}

// A prefix is prefilled in its dispatcher's own zone, at the same endpoint by all dispatchers there; where that one is
// busy, at the affinity endpoint among all zones, which has the prefix cached too, before any other.
func TestAffinityEndpointIsInTheOwnZone(t *testing.T) {
	chosen := map[ZoneID]EndpointID{}
	for seed := range int64(8) {
		config := testConfig(Idempotent)
		config.Zone = ZoneID(seed % 2)
		sim := newFleetSim(t, config, seed)
		var all []*simEndpoint
		for i := range 4 {
			zone := ZoneID(i % 2)
			all = append(all, &simEndpoint{id: EndpointID(i + 1), zone: zone},
				&simEndpoint{id: EndpointID(i + 11), kind: decodeKind, zone: zone})
		}
		sim.updateEndpoints(all...)
		first := sim.arrive(1, 0, 9000, 6*sec).inFlight().endpoint
		if first.zone != config.Zone {
			t.Errorf("prefilled in zone %d by a dispatcher of zone %d", first.zone, config.Zone)
		}
		if before, known := chosen[config.Zone]; known && before != first.id {
			t.Errorf("zone %d: prefilled at %d and at %d", config.Zone, before, first.id)
		}
		chosen[config.Zone] = first.id
		next := sim.arrive(4, 0, 2000, 6*sec).inFlight().endpoint
		prefill := []*endpoint{sim.endpoint(1), sim.endpoint(2), sim.endpoint(3), sim.endpoint(4)}
		common := sim.scheduler.affinityEndpoint(sim.scheduler.requests[4], 1, prefill)
		if common.id != first.id && next.id != common.id {
			t.Errorf("with its affinity endpoint busy it is prefilled at %d and not at %d", next.id, common.id)
		}
	}
}

// An affinity endpoint that turns out not to have cached a prefix that only others had prefilled there has evicted
// nothing that this dispatcher knows of.
func TestUnexpectedCacheMissForgetsNothing(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 11, kind: decodeKind})
	cached := sim.endpoint(1).cachedPrefixes
	cached[77] = true
	req := sim.arriveWithPrefix(1, 5)
	sim.endAttempt(req, PrefillDone, 0)
	if !cached[77] || !cached[5] {
		t.Errorf("known prefixes: %v", cached)
	}
}

// The sessions of a prefix that makes up much of the traffic are prefilled at several endpoints, each at the same one
// by every dispatcher; other prefixes stay at one.
func TestFrequentPrefixHasSeveralAffinityEndpoints(t *testing.T) {
	chosen := map[SessionID]EndpointID{}
	sims := hundredDispatchers(t, func(sim *fleetSim) { sim.addEndpoints(9, prefillKind, decodeKind) })
	for _, sim := range sims[:5] {
		for range 60 {
			sim.scheduler.prefixes.count(7)
			sim.scheduler.prefixes.count(8)
		}
		affinity := func(prefix PrefixID, session SessionID) EndpointID {
			req, prefill := &request{prefix: prefix, session: session}, sim.scheduler.endpoints.all[:9:9]
			return sim.scheduler.affinityEndpoint(req, uint64(prefix), prefill).id
		}
		for session := range SessionID(12) {
			id := affinity(7, session)
			if before := chosen[session]; before != 0 && before != id {
				t.Errorf("session %d belongs to %d and %d", session, before, id)
			}
			chosen[session] = id
		}
		sim.scheduler.prefixes.requestCounts[9], sim.scheduler.prefixes.requests = 1, 121
		if affinity(9, 1) != affinity(9, 2) {
			t.Error("a rare prefix has two affinity endpoints")
		}
	}
	endpoints := map[EndpointID]bool{}
	for _, id := range chosen {
		endpoints[id] = true
	}
	if len(endpoints) < 2 {
		t.Errorf("half the traffic has the affinity endpoints %v", endpoints)
	}
}

// Dispatchers that have seen next to nothing, as each of three hundred for most of a day, agree on where a prefix is
// prefilled: one that takes the few requests it saw for all of the traffic would have affinity endpoints of its own,
// and all of them would prefill the prefix anew. That an affinity endpoint caches what others prefill there is what
// makes it the best one, also before one where this dispatcher happened to prefill.
func TestDispatchersThatSawLittleAgreeOnAffinityEndpoints(t *testing.T) {
	choices := map[PrefixID]map[EndpointID]int{}
	total := 0
	for i, sim := range hundredDispatchers(t, fortyOfEach) {
		for j := range 4 {
			prefix := PrefixID(1 + (7*i+23*j)%80)
			if choices[prefix] == nil {
				choices[prefix] = map[EndpointID]int{}
			}
			req := sim.arriveWithPrefix(RequestID(i*10+j+1), prefix)
			choices[prefix][req.inFlight().endpoint.id]++
			total++
			sim.endAttempt(req, PrefillDone, 5000)
			sim.startAnswer(req)
			sim.advance(sec)
		}
	}
	elsewhere := total
	for _, attempts := range choices {
		elsewhere -= largest(attempts)
	}
	if elsewhere > total/20 {
		t.Errorf("%d of %d first prefills went elsewhere than most of their prefix", elsewhere, total)
	}
}

// A prefix in a third of all traffic is prefilled at many endpoints, by dispatchers that have each seen a dozen
// requests: one affinity endpoint in a zone of twenty would be busy six times over.
func TestPopularPrefixIsSpreadEarly(t *testing.T) {
	const popular PrefixID = 1
	attempts, total := map[EndpointID]int{}, 0
	for i, sim := range hundredDispatchers(t, func(sim *fleetSim) { addPairs(sim, 20) }) {
		for j := range 12 {
			prefix := PrefixID(100 + 50*i + j)
			if j%3 == 0 {
				prefix = popular
			}
			req := sim.arriveWithPrefix(RequestID(i*20+j+1), prefix)
			if j >= 3 && prefix == popular {
				attempts[req.inFlight().endpoint.id]++
				total++
			}
			sim.endAttempt(req, PrefillDone, 5000)
			sim.complete(req)
			sim.advance(sec)
		}
	}
	if most := largest(attempts); most > total/3 {
		t.Errorf("%d of %d prefills of a popular prefix went to one endpoint: %v", most, total, attempts)
	}
}

func largest(counts map[EndpointID]int) (most int) {
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

func TestAffinityEndpointGoesBeforeOneThatPrefilledThePrefixOnce(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(6, prefillKind, decodeKind)
	first := sim.arriveWithPrefix(1, 7)
	affinity := first.inFlight().endpoint
	sim.endAttempt(first, PrefillDone, 5000)
	sim.startAnswer(first)
	clear(sim.endpoint(affinity.id).cachedPrefixes)
	for _, ep := range sim.scheduler.endpoints.all {
		if ep.role == Prefill && ep.id != affinity.id {
			ep.cachedPrefixes[7] = true
		}
	}
	sim.advance(sec)
	if ep := sim.arriveWithPrefix(2, 7).inFlight().endpoint; ep.id != affinity.id {
		t.Errorf("prefilled at %d and not at %d, where all others prefill it", ep.id, affinity.id)
	}
}

func TestCacheMissesOfAffinityEndpointsAreLearned(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(4, prefillKind, decodeKind)
	for i := range RequestID(40) {
		req := sim.arriveWithPrefix(i+1, PrefixID(i+1))
		sim.endAttempt(req, PrefillDone, 0)
		sim.complete(req)
	}
	req := sim.arriveWithPrefix(99, 99)
	ep := sim.endpoint(req.inFlight().endpoint.id)
	if tokens := sim.scheduler.tokensToPrefill(ep, sim.scheduler.requests[99]); tokens < 5800 {
		t.Errorf("an affinity endpoint is still taken to need %v of 6000", tokens)
	}
}
