package scheduler

import "testing"

// A decode endpoint whose attempts fail quickly has the most free memory and would attract every request.
func TestQuickErrorsEjectTheEndpoint(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	bad := sim.arriveAndPrefill(1, 3000).inFlight().endpoint
	sim.endAttempt(sim.requests[1], Errored, 0)
	for i := range 6 {
		req := sim.arriveAndPrefill(RequestID(i+2), 3000)
		if req.inFlight().endpoint == bad {
			t.Fatalf("request %d was sent to the endpoint that returned an error", req.id)
		}
		sim.startAnswer(req)
		sim.advance(10 * ms)
	}
}

// An overloaded decode endpoint may send no reply for a while. It is ejected at first, and its attempts are cancelled
// only if it stays silent.
func TestSilentEndpointIsEjectedBeforeItsAttemptsAreCancelled(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	req := sim.arriveAndPrefill(1, 3000)
	silent := req.inFlight().endpoint
	sim.advance(600 * ms)
	if sim.endpoint(silent.id).outlier.failureScore == 0 {
		t.Error("the silent decode endpoint is not ejected")
	}
	if sim.wasCancelled(1) {
		t.Error("the attempt was cancelled together with the ejection")
	}
	sim.advance(1200 * ms)
	if !sim.wasCancelled(1) {
		t.Error("the attempt was not cancelled though the endpoint stayed silent")
	}
}

// A dead mixed endpoint must not get every request just because it is the only one of its role.
func TestEjectedOnlyMixedEndpointGetsNothing(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind, mixedKind)
	sim.scheduler.recordFailure(sim.endpoint(21), AttemptFailed)
	for id := RequestID(1); id < 5; id++ {
		if req := sim.arrive(id, 0, 1000, 6*sec); req.inFlight() != nil && req.inFlight().endpoint.id == 21 {
			t.Error("sent to the ejected endpoint although others are healthy")
		}
	}
}

// When every endpoint looks faulty, the cause may be the network or this dispatcher, so requests are still sent.
func TestHealthIsIgnoredWhenAllEndpointsLookFaulty(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	for _, ep := range sim.scheduler.endpoints.all {
		sim.scheduler.recordFailure(ep, AttemptFailed)
	}
	if sim.arrive(1, 0, 1000, 4*sec).inFlight() == nil {
		t.Error("queued because all endpoints look faulty")
	}
}

// A missing state may be noticed without a reply from the decode endpoint, so the report that the state is missing must
// not count as a reply.
func TestMissingStateIsNoReply(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	req := sim.arriveAndPrefill(1, 2000)
	ep := sim.endpoint(req.inFlight().endpoint.id)
	sim.endAttempt(req, NoCapacity, 1)
	if ep.outlier.lastReplyAt != 0 || ep.memory.noCapacityUntil != 0 {
		t.Errorf("last reply at %d, no capacity until %d, want 0", ep.outlier.lastReplyAt, ep.memory.noCapacityUntil)
	}
}
