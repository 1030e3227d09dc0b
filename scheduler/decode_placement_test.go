package scheduler

import "testing"

// Most decode endpoints stand with the prefill endpoint, so they are the median themselves, and the load margin alone
// never sends anything past them.
func TestFilledNearDecodeEndpointsArePassedOver(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 11, kind: decodeKind},
		&simEndpoint{id: 12, kind: decodeKind}, &simEndpoint{id: 13, kind: decodeKind, zone: 1, cell: 1})
	far := 0
	for i := range 40 {
		req := sim.prefilled(RequestID(i+1), 4000)
		if req.inFlight().endpoint.zone == 1 {
			far++
		}
		sim.startAnswer(req)
	}
	if first := sim.requests[1].inFlight().endpoint; first.zone != 0 {
		t.Error("the first answer left its prefill endpoint's zone")
	}
	if far == 0 {
		t.Error("the idle decode endpoint in the other zone got nothing")
	}
}

// Nothing is gained by passing over near decode endpoints, whose states need no link, while little is reserved there.
func TestNearDecodeEndpointsAreUsedWhileLittleIsReserved(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 11, kind: decodeKind},
		&simEndpoint{id: 12, kind: decodeKind}, &simEndpoint{id: 13, kind: decodeKind, zone: 1, cell: 1})
	for i := range 10 {
		req := sim.prefilled(RequestID(i+1), 4000)
		if ep := req.inFlight().endpoint; ep.zone == 1 {
			t.Fatalf("request %d left its zone, with %v and %v reserved of 140000 near",
				req.id, sim.endpoint(11).load.reservedTokens, sim.endpoint(12).load.reservedTokens)
		}
		sim.startAnswer(req)
	}
}

// What is being prefilled must be decoded somewhere at once: it counts against the capacity that is left. A decode
// endpoint that is warming up has capacity for one more.
func TestPrefillsInFlightCountAgainstDecodeCapacity(t *testing.T) {
	for _, test := range []struct {
		name       string
		warm       bool // one with capacity for two
		warmingUp  bool
		wantQueued int
	}{
		{"a warm one", true, false, 2},
		{"one warming up", false, true, 3},
		{"a warm one and one warming up", true, true, 1},
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
			sim.endpoint(12).slowStart.creditRefilledAt = sim.now // its part may begin at once
		}
		for i := range 4 {
			sim.arrive(RequestID(i+1), 0, 4000, 6*sec)
		}
		if queued := len(sim.scheduler.queue.requests); queued != test.wantQueued {
			t.Errorf("%s: %d of 4 queued, want %d", test.name, queued, test.wantQueued)
		}
	}
}

// The only decode endpoint finds no state: it is not at fault, and what is prefilled again is decoded there.
func TestMissingStateDoesNotExcludeTheDecodeEndpoint(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind)
	req := sim.prefilled(1, 2000)
	sim.endAttempt(req, NoCapacity, 1)
	sim.advance(10 * ms)
	if req.inFlight() == nil || req.inFlight().endpoint.id != 1 {
		t.Fatal("it is not prefilled again")
	}
	sim.endAttempt(req, PrefillDone, 0)
	if req.inFlight() == nil || req.inFlight().endpoint.id != 11 {
		t.Error("it is not decoded at the only decode endpoint")
	}
}

// One stream of its own does not show a dispatcher among many that a decode endpoint is loaded.
func TestOneOwnStreamAmongManyDispatchersIsNoLoad(t *testing.T) {
	sim := hundredDispatchers(t, func(sim *fleetSim) {
		sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 11, kind: decodeKind},
			&simEndpoint{id: 12, kind: decodeKind, zone: 1, cell: 1})
	})[0]
	for id := range RequestID(3) {
		req := sim.prefilled(id+1, 2000)
		if sim.startAnswer(req); req.inFlight().endpoint.id != 11 {
			t.Errorf("request %d left its prefill endpoint's cell", id+1)
		}
	}
}

// A cell's few decode endpoints do not take all that is prefilled beside them where many dispatchers send, of which
// none sees that they are filled; few dispatchers stay in the cell.
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
		decodes[sim.prefilled(1, 2000).inFlight().endpoint.cell]++
	}
	if decodes[0] > 50 || decodes[9] > 0 {
		t.Errorf("decodes by cell: %v", decodes)
	}
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	fill(sim)
	if ep := sim.prefilled(1, 2000).inFlight().endpoint; ep.cell != 0 {
		t.Errorf("one of two dispatchers left the cell for %d", ep.cell)
	}
}
