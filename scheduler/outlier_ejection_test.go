package scheduler

import "testing"

// A decode endpoint that errs quickly frees its memory, looks the emptiest and would draw every request.
func TestQuickErrorsEjectTheEndpoint(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	bad := sim.prefilled(1, 3000).inFlight().endpoint
	sim.endAttempt(sim.requests[1], Errored, 0)
	for i := range 6 {
		req := sim.prefilled(RequestID(i+2), 3000)
		if req.inFlight().endpoint == bad {
			t.Fatalf("request %d went to the endpoint that erred", req.id)
		}
		sim.startAnswer(req)
		sim.advance(10 * ms)
	}
}

// An overloaded decode endpoint looks silent for a while: it is ejected at once, but its attempts are cancelled only
// if it stays silent.
func TestSilentEndpointIsEjectedBeforeItsAttemptsAreCancelled(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	req := sim.prefilled(1, 3000)
	silent := req.inFlight().endpoint
	sim.advance(600 * ms)
	if sim.endpoint(silent.id).outlier.failureScore == 0 {
		t.Error("the silent decode endpoint is not ejected")
	}
	if sim.wasCancelled(1) {
		t.Error("its attempt was cancelled at once")
	}
	sim.advance(1200 * ms)
	if !sim.wasCancelled(1) {
		t.Error("its attempt was never cancelled")
	}
}

// A dead mixed endpoint must not draw every request because it is the only one of its role.
func TestEjectedOnlyMixedEndpointGetsNothing(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind, mixedKind)
	sim.scheduler.recordFailure(sim.endpoint(21), AttemptFailed)
	for id := RequestID(1); id < 5; id++ {
		if req := sim.arrive(id, 0, 1000, 6*sec); req.inFlight() != nil && req.inFlight().endpoint.id == 21 {
			t.Error("sent to the endpoint that looks faulty while others do not")
		}
	}
}

// When every endpoint looks faulty, it may be the network, or this dispatcher.
func TestHealthIsIgnoredWhenAllEndpointsLookFaulty(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	for _, ep := range sim.scheduler.endpoints.all {
		sim.scheduler.recordFailure(ep, AttemptFailed)
	}
	if sim.arrive(1, 0, 1000, 4*sec).inFlight() == nil {
		t.Error("queued though nothing better is to be had")
	}
}

// That a state is gone may be known without a reply from its decode endpoint.
func TestMissingStateIsNoReply(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	req := sim.prefilled(1, 2000)
	ep := sim.endpoint(req.inFlight().endpoint.id)
	sim.endAttempt(req, NoCapacity, 1)
	if ep.outlier.lastReplyAt != 0 || ep.memory.noCapacityUntil != 0 {
		t.Errorf("last heard at %d, no capacity until %d", ep.outlier.lastReplyAt, ep.memory.noCapacityUntil)
	}
}
