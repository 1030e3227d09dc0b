package scheduler

import "testing"

// Answers that begin late show that a decode endpoint is overloaded, whichever dispatchers filled it. New requests are
// then queued before their prefill.
func TestLateStartsQueueRequestsAndCutTheLimit(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind)
	req := sim.arriveAndPrefill(1, 20000)
	sim.advance(400 * ms)
	queued := sim.arrive(2, 0, 1000, 6*sec)
	if queued.inFlight() != nil {
		t.Fatal("prefilled while an answer is overdue at the only decode endpoint")
	}
	sim.startAnswer(req)
	if ep := sim.endpoint(11); sim.scheduler.reservationLimit(ep) >= ep.load.reservedTokens {
		t.Errorf("limit %v, want less than the %v reserved when an answer began late",
			sim.scheduler.reservationLimit(ep), ep.load.reservedTokens)
	}
	sim.endAttempt(req, Completed, 0)
	sim.advance(sec)
	if queued.inFlight() == nil && len(queued.finalAnswers) == 0 {
		t.Error("still queued after the decode endpoint became free")
	}
}

// Attempts at endpoints without capacity must not use up all attempts of a request within milliseconds.
func TestNoCapacityPausesTheEndpoint(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind)
	req := sim.arrive(1, 0, 1000, 6*sec)
	sim.endAttempt(req, NoCapacity, 0)
	if len(req.attempts) != 1 {
		t.Fatalf("%d attempts at once", len(req.attempts))
	}
	sim.advance(20 * ms)
	other := sim.arrive(2, 0, 1000, 6*sec)
	if other.inFlight() != nil {
		t.Error("sent to a prefill endpoint that had no capacity 20 ms ago")
	}
	sim.advance(300 * ms)
	if other.inFlight() == nil {
		t.Error("the endpoint was not tried again after the pause")
	}
}
