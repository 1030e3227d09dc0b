package scheduler

import "testing"

// fortyOfEach adds forty prefill and forty decode endpoints.
func fortyOfEach(sim *fleetSim) { addPairs(sim, 40) }

// addPairs adds n prefill endpoints with ids from 100 and n decode endpoints with ids from 200.
func addPairs(sim *fleetSim, n EndpointID) {
	for i := range n {
		sim.updateEndpoints(&simEndpoint{id: 100 + i}, &simEndpoint{id: 200 + i, kind: decodeKind})
	}
}

// An endpoint that has evicted its cached prefixes reports few cached tokens. The scheduler must then forget what it
// assumed to be cached there.
func TestEvictionForgetsCachedPrefixes(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind)
	sim.arriveAndPrefill(1, 4000)
	ep := sim.scheduler.endpoints.all[0]
	req := sim.arrive(4, 0, 4000, 6*sec)
	if tokens := sim.scheduler.tokensToPrefill(ep, sim.scheduler.requests[4]); tokens != 2000 {
		t.Errorf("estimated %v tokens to prefill with a cached prefix, want 2000", tokens)
	}
	sim.advance(10 * ms)
	sim.endAttempt(req, PrefillDone, 0)
	sim.arrive(7, 0, 4000, 6*sec)
	if len(ep.cachedPrefixes) != 1 {
		t.Errorf("%d prefixes are taken to be cached, want 1", len(ep.cachedPrefixes))
	}
}

// All dispatchers of a zone prefill a prefix at the same endpoint of their zone. If that endpoint is busy, they prefer
// the affinity endpoint among all zones to any other, because it has cached the prefix too.
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
			t.Errorf("dispatchers of zone %d prefilled at %d and at %d", config.Zone, before, first.id)
		}
		chosen[config.Zone] = first.id
		next := sim.arrive(4, 0, 2000, 6*sec).inFlight().endpoint
		prefill := []*endpoint{sim.endpoint(1), sim.endpoint(2), sim.endpoint(3), sim.endpoint(4)}
		common := sim.scheduler.affinityEndpoint(sim.scheduler.requests[4], 1, prefill)
		if common.id != first.id && next.id != common.id {
			t.Errorf("while the affinity endpoint in the zone was busy, prefilled at %d, want %d", next.id, common.id)
		}
	}
}

// An affinity endpoint may lack a prefix that only other dispatchers could have prefilled there. Such a cache miss is
// no sign that the endpoint has evicted the prefixes that this dispatcher prefilled there.
func TestUnexpectedCacheMissForgetsNothing(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 11, kind: decodeKind})
	cached := sim.endpoint(1).cachedPrefixes
	cached[77] = true
	req := sim.arriveWithPrefix(1, 5)
	sim.endAttempt(req, PrefillDone, 0)
	if !cached[77] || !cached[5] {
		t.Errorf("prefixes taken to be cached: %v, want 5 and 77", cached)
	}
}

// The sessions of a prefix that makes up much of the traffic are divided among several endpoints, in the same way by
// all dispatchers. A rare prefix has a single endpoint.
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
				t.Errorf("session %d has the affinity endpoints %d and %d", session, before, id)
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
		t.Errorf("a prefix with half the traffic has only the affinity endpoints %v", endpoints)
	}
}

// Dispatchers that have seen few requests must agree on where a prefix is prefilled. With three hundred dispatchers,
// each of them has seen only few requests for most of a day. A dispatcher that took the few requests it saw for all of
// the traffic would choose affinity endpoints of its own, and each of these would prefill the prefix again. Because an
// affinity endpoint caches what other dispatchers prefill there, that endpoint is also better than one where this
// dispatcher happened to prefill the prefix.
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
		t.Errorf("%d of %d prefills went to another endpoint than most prefills of their prefix", elsewhere, total)
	}
}

// Dispatchers that have each seen a dozen requests must spread a prefix with a third of all traffic over many
// endpoints. A single affinity endpoint in a zone of twenty would get six times the prefill work that it can do.
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
		t.Errorf("prefilled at %d, want the affinity endpoint %d", ep.id, affinity.id)
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
		t.Errorf("an affinity endpoint is estimated to prefill %v of 6000 tokens, want at least 5800", tokens)
	}
}
