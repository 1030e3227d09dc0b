package scheduler

import (
	"math/rand"
	"slices"
	"testing"
)

// If a state from another cell is late while its decode endpoint begins other answers in time, the cell's link is
// congested, and the decode endpoint is not overloaded.
func TestLateStateIsAttributedToItsLink(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 2, cell: 1}, &simEndpoint{id: 11, kind: decodeKind, cell: 1})
	far, near := sim.arrive(1, 0, 1000, 6*sec), sim.arrive(2, 0, 1000, 6*sec)
	if far.inFlight().endpoint.cell == near.inFlight().endpoint.cell {
		t.Fatal("both prompts are prefilled in the same cell")
	} else if far.inFlight().endpoint.cell == 1 {
		far, near = near, far
	}
	sim.endAttempt(far, PrefillDone, 0)
	sim.advance(10 * ms)
	sim.endAttempt(near, PrefillDone, 0)
	sim.advance(20 * ms)
	sim.startAnswer(near)
	sim.advance(300 * ms)
	decode, req := sim.endpoint(11), &request{arrivedAt: sim.now, sloAt: sim.now + sec}
	congested := func(cell CellID) bool {
		return sim.scheduler.linkCongested(cell, req, sim.scheduler.congestedCells())
	}
	if sim.scheduler.startOverdue(decode) || !congested(0) || congested(1) {
		t.Error("the late state is not attributed to its cell's link")
	}
	sim.startAnswer(far)
	if _, late := sim.scheduler.links.lastLateAt[0]; !late || decode.memory.limitCutAt != 0 {
		t.Error("the late start is attributed to the decode endpoint")
	}
}

func TestLateHandoverMovesPrefillsToAnotherCell(t *testing.T) {
	sim := hundredDispatchers(t, func(sim *fleetSim) {
		sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 2, cell: 1},
			&simEndpoint{id: 11, kind: decodeKind, cell: 2})
	})[0]
	req := sim.arrive(1, 0, 2000, 6*sec)
	cell := req.inFlight().endpoint.cell
	sim.scheduler.links.handoverDelay[cell] = decayingMean{1.5, sim.now}
	if ep := sim.arrive(4, 0, 2000, 6*sec).inFlight().endpoint; ep.cell == cell {
		t.Error("prefilled again in the cell whose handovers are late")
	}
}

// cellsAcceptingState finds by one search the cells in which a state can be decoded. The result must agree with a call
// of pickDecode for each prefill endpoint.
func TestCellsAcceptingStateAgreeWithPickDecode(t *testing.T) {
	seen := map[bool]int{}
	for seed := range int64(300) {
		sim := newFleetSim(t, testConfig(Idempotent), seed)
		randomFleet(sim, rand.New(rand.NewSource(seed)))
		req := &request{promptTokens: 2000, answerTokens: 100, sloAt: sim.now + sec, arrivedAt: sim.now}
		accepting := slices.Clone(sim.scheduler.cellsAcceptingState(req))
		for _, ep := range sim.scheduler.endpoints.all {
			if _, congested := sim.scheduler.links.lastLateAt[ep.cell]; ep.role != Prefill || !congested {
				continue
			}
			decode, fits := sim.scheduler.pickDecode(req, ep)
			want := fits && decode.cell == ep.cell
			if slices.Contains(accepting, ep.cell) != want {
				t.Fatalf("seed %d: cells %v accept a state, but pickDecode for a prefill endpoint in cell %d says %v",
					seed, accepting, ep.cell, want)
			}
			seen[want]++
		}
	}
	if seen[true] < 50 || seen[false] < 50 {
		t.Errorf("too few cells of one sort were compared: %v", seen)
	}
}

// randomFleet adds endpoints in five cells, with random loads and random congested links.
func randomFleet(sim *fleetSim, random *rand.Rand) {
	for i := range 4 + random.Intn(20) {
		cell := CellID(random.Intn(5))
		kind := KindID(random.Intn(3))
		sim.updateEndpoints(&simEndpoint{id: EndpointID(i + 1), kind: kind, zone: ZoneID(cell / 2), cell: cell})
	}
	for _, ep := range sim.scheduler.endpoints.all {
		ep.load.streams, ep.load.reservedTokens = random.Intn(5), float64(random.Intn(150000))
		ep.memory.reportedUsage, ep.memory.reportedAt = NoLoadReport, sim.now
		if random.Intn(3) == 0 {
			ep.memory.reportedUsage = random.Float64()
		}
		ep.memory.reservedAtReport = ep.load.reservedTokens
	}
	for cell := range CellID(5) {
		if random.Intn(2) != 0 {
			sim.scheduler.links.lastLateAt[cell] = sim.now
		}
	}
}
