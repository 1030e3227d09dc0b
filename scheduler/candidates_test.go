package scheduler

import "testing"

// hundredDispatchers returns simulations of 100 dispatchers of one deployment. It calls fill to add endpoints to each.
func hundredDispatchers(t *testing.T, fill func(sim *fleetSim)) (sims []*fleetSim) {
	t.Helper()
	config := testConfig(Idempotent)
	config.Dispatchers, config.IdleTimeout = 100, 30*sec
	for seed := range int64(100) {
		sim := newFleetSim(t, config, seed)
		fill(sim)
		sims = append(sims, sim)
	}
	return sims
}

// After a restart of the dispatchers, all endpoints look alike. Different dispatchers must choose different ones.
func TestTiesAreSpreadOverEndpoints(t *testing.T) {
	chosen := map[EndpointID]bool{}
	for seed := range int64(12) {
		sim := newFleetSim(t, testConfig(Idempotent), seed)
		sim.addEndpoints(4, prefillKind, decodeKind)
		chosen[sim.arriveAndPrefill(1, 1000).inFlight().endpoint.id] = true
	}
	if len(chosen) < 3 {
		t.Errorf("twelve new dispatchers decode only at %v", chosen)
	}
}

// All dispatchers get the same load reports. They must not all send to the endpoint with the lowest reported usage.
func TestSharedReportsDoNotDrawAllDispatchersToOneEndpoint(t *testing.T) {
	choices := map[EndpointID]int{}
	for _, sim := range hundredDispatchers(t, func(sim *fleetSim) { sim.addEndpoints(5, prefillKind, decodeKind) }) {
		for i, ep := range sim.scheduler.endpoints.all[5:] {
			sim.scheduler.recordUsage(ep, 0.2+0.01*float64(i))
		}
		choices[sim.arriveAndPrefill(1, 2000).inFlight().endpoint.id]++
	}
	if choices[11] > 60 || len(choices) < 4 {
		t.Errorf("decode endpoints by the number of dispatchers that chose them: %v", choices)
	}
}

func TestOpenConnectionsArePreferredWhileNewOnesFail(t *testing.T) {
	sim := hundredDispatchers(t, func(sim *fleetSim) { sim.addEndpoints(5, prefillKind, decodeKind) })[0]
	req := sim.arriveAndPrefill(1, 2000)
	prefill, decode := req.attempts[0].endpoint.id, req.inFlight().endpoint.id
	sim.complete(req)
	sim.scheduler.connectFailures = decayingMean{1, sim.now}
	for id := range RequestID(8) {
		req := sim.arriveAndPrefill(id+2, 2000)
		if req.attempts[0].endpoint.id != prefill || req.inFlight().endpoint.id != decode {
			t.Errorf("prefilled at %d, decoded at %d, want %d and %d, which have an open connection",
				req.attempts[0].endpoint.id, req.inFlight().endpoint.id, prefill, decode)
		}
	}
}
