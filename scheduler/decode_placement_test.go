package scheduler

import "testing"

// If most decode endpoints are near the prefill endpoint, the median load is their own load, and loadMargin alone never
// makes the scheduler use the others.
func TestFilledNearDecodeEndpointsArePassedOver(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 11, kind: decodeKind},
		&simEndpoint{id: 12, kind: decodeKind}, &simEndpoint{id: 13, kind: decodeKind, zone: 1, cell: 1})
	far := 0
	for i := range 40 {
		req := sim.arriveAndPrefill(RequestID(i+1), 4000)
		if req.inFlight().endpoint.zone == 1 {
			far++
		}
		sim.startAnswer(req)
	}
	if first := sim.requests[1].inFlight().endpoint; first.zone != 0 {
		t.Error("the first request was decoded outside its prefill endpoint's zone")
	}
	if far == 0 {
		t.Error("the idle decode endpoint in the other zone got no requests")
	}
}

// While little memory is reserved at the near decode endpoints, they are preferred, because their states need no link
// between zones.
func TestNearDecodeEndpointsAreUsedWhileLittleIsReserved(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 11, kind: decodeKind},
		&simEndpoint{id: 12, kind: decodeKind}, &simEndpoint{id: 13, kind: decodeKind, zone: 1, cell: 1})
	for i := range 10 {
		req := sim.arriveAndPrefill(RequestID(i+1), 4000)
		if ep := req.inFlight().endpoint; ep.zone == 1 {
			t.Fatalf("request %d was decoded in another zone while only %v and %v of 140000 tokens were reserved nearby",
				req.id, sim.endpoint(11).load.reservedTokens, sim.endpoint(12).load.reservedTokens)
		}
		sim.startAnswer(req)
	}
}

// Requests that are being prefilled must be decoded immediately afterwards, so they count against the free capacity of
// the decode endpoints. A decode endpoint that is warming up has capacity for one request.
func TestPrefillsInFlightCountAgainstDecodeCapacity(t *testing.T) {
	for _, test := range []struct {
		name       string
		warm       bool // add a warm decode endpoint with capacity for two requests
		warmingUp  bool // add a decode endpoint that is warming up
		wantQueued int
	}{
		{"warm endpoint", true, false, 2},
		{"endpoint warming up", false, true, 3},
		{"warm endpoint and endpoint warming up", true, true, 1},
	} {
		sim := newFleetSim(t, testConfig(Idempotent), 1)
		sim.addEndpoints(4, prefillKind)
		if test.warm {
			sim.updateEndpoints(&simEndpoint{id: 11, kind: decodeKind})
			sim.endpoint(11).memory.limit, sim.endpoint(11).memory.limitCutAt = 9000, sim.now
		}
		if test.warmingUp {
			sim.updateEndpoints(&simEndpoint{id: 12, kind: decodeKind, startedAt: sim.now})
			sim.endpoint(12).memory.limit, sim.endpoint(12).memory.limitCutAt = 9000, sim.now
			sim.endpoint(12).slowStart.creditRefilledAt = sim.now // start with a credit of 0 instead of a random one
		}
		for i := range 4 {
			sim.arrive(RequestID(i+1), 0, 4000, 6*sec)
		}
		if queued := len(sim.scheduler.queue.requests); queued != test.wantQueued {
			t.Errorf("%s: %d of 4 queued, want %d", test.name, queued, test.wantQueued)
		}
	}
}

// A decode endpoint that finds no state is not at fault. If it is the only one, the request must be decoded there after
// it has been prefilled again.
func TestMissingStateDoesNotExcludeTheDecodeEndpoint(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind)
	req := sim.arriveAndPrefill(1, 2000)
	sim.endAttempt(req, NoCapacity, 1)
	sim.advance(10 * ms)
	if req.inFlight() == nil || req.inFlight().endpoint.id != 1 {
		t.Fatal("the request is not prefilled again")
	}
	sim.endAttempt(req, PrefillDone, 0)
	if req.inFlight() == nil || req.inFlight().endpoint.id != 11 {
		t.Error("the request is not decoded at the only decode endpoint")
	}
}

// If there are many dispatchers, a single stream of this dispatcher is no sign that a decode endpoint is loaded.
func TestOneOwnStreamAmongManyDispatchersIsNoLoad(t *testing.T) {
	sim := hundredDispatchers(t, func(sim *fleetSim) {
		sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 11, kind: decodeKind},
			&simEndpoint{id: 12, kind: decodeKind, zone: 1, cell: 1})
	})[0]
	for id := range RequestID(3) {
		req := sim.arriveAndPrefill(id+1, 2000)
		if sim.startAnswer(req); req.inFlight().endpoint.id != 11 {
			t.Errorf("request %d was decoded outside its prefill endpoint's cell", id+1)
		}
	}
}

// Many dispatchers must not decode everything that is prefilled in a cell at the cell's few decode endpoints, because
// no dispatcher sees that the others fill these endpoints. If there are only a few dispatchers, they do prefer the
// cell.
func TestManyDispatchersSpreadDecodesOverTheZone(t *testing.T) {
	fill := func(sim *fleetSim) {
		sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 11, kind: decodeKind},
			&simEndpoint{id: 12, kind: decodeKind})
		for i := range EndpointID(6) {
			sim.updateEndpoints(&simEndpoint{id: 13 + i, kind: decodeKind, cell: CellID(1 + i/2)})
		}
		sim.updateEndpoints(&simEndpoint{id: 30, kind: decodeKind, zone: 1, cell: 9})
	}
	decodes := map[CellID]int{}
	for _, sim := range hundredDispatchers(t, fill) {
		decodes[sim.arriveAndPrefill(1, 2000).inFlight().endpoint.cell]++
	}
	if decodes[0] > 50 || decodes[9] > 0 {
		t.Errorf("decodes by cell: %v", decodes)
	}
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	fill(sim)
	if ep := sim.arriveAndPrefill(1, 2000).inFlight().endpoint; ep.cell != 0 {
		t.Errorf("one of two dispatchers decoded in cell %d, want the prefill endpoint's cell", ep.cell)
	}
}
