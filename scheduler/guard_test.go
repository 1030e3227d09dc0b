package scheduler

import (
	"slices"
	"testing"
)

func TestGuardBlocksSendsThatBreakARule(t *testing.T) {
	ready := func() *endpoint { return &endpoint{id: 7, ready: true} }
	tests := []struct {
		rule Rule
		req  request
		ep   *endpoint
	}{
		{SingleAttempt, request{attempt: &attempt{}}, ready()},
		{NotAnswered, request{answered: true}, ready()},
		{EndpointReady, request{}, &endpoint{id: 7}},
		{SafeRetry, request{mayHaveRun: &attempt{endpoint: ready()}}, ready()},
		{WarmUpProtected, request{}, &endpoint{id: 7, ready: true, startedAt: 999 * sec,
			slowStart: slowStart{credit: -1e9, creditRefilledAt: 1000 * sec}}},
	}
	sim := newFleetSim(t, testConfig(NonIdempotent), 1)
	for i, test := range tests {
		test.req.id = RequestID(i)
		if !sim.scheduler.blocked(&test.req, test.ep) {
			t.Errorf("%v: not blocked", test.rule)
		}
		var want Event = SendBlocked{Request: test.req.id, Endpoint: 7, Rule: test.rule}
		if !slices.Contains(sim.events, want) {
			t.Errorf("%v: no %+v in %v", test.rule, want, sim.events)
		}
	}
	if n := sim.scheduler.Violations(); n != len(tests) {
		t.Errorf("%d violations counted, want %d", n, len(tests))
	}
	if sim.scheduler.blocked(&request{}, ready()) {
		t.Error("an allowed send was blocked")
	}
}

func TestEjectionIsReportedWithItsReasonAndTime(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind)
	for _, ejection := range []Micros{400 * ms, 800 * ms, 1600 * ms} {
		sim.events = nil
		sim.scheduler.recordFailure(sim.endpoint(11), AttemptFailed)
		sim.scheduler.recordFailure(sim.endpoint(11), AttemptFailed) // ignored: the endpoint is ejected already
		want := []Event{EndpointEjected{Endpoint: 11, Reason: AttemptFailed, For: ejection}}
		if !slices.Equal(sim.events, want) {
			t.Errorf("events %v, want %v", sim.events, want)
		}
		sim.advance(ejection)
	}
}
