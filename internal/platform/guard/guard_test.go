package guard

import (
	"errors"
	"testing"

	"plumspindle/internal/eventloop"
)

const ms = eventloop.Millisecond

var (
	prefill  = Endpoint{Name: "p", Ready: true}
	first    = Endpoint{Name: "a", Group: "west", Ready: true, HasEffects: true}
	second   = Endpoint{Name: "b", Group: "west", Ready: true, HasEffects: true}
	far      = Endpoint{Name: "c", Group: "east", Ready: true, HasEffects: true}
	draining = Endpoint{Name: "d", Group: "west", HasEffects: true}
)

// requestRecord is a record that a test applies events to. It ignores the errors of Send, which TestSendRefuses checks.
type requestRecord struct{ *Request }

func (r requestRecord) send(now eventloop.Micros, endpoint Endpoint) { _ = r.Send(now, endpoint) }

// attempt sends an attempt at 10 ms and ends it.
func (r requestRecord) attempt(endpoint Endpoint, mayHaveRun bool) {
	r.send(10*ms, endpoint)
	r.AttemptEnded(mayHaveRun)
}

// ruleTest is a sequence of events, and whether it violates the rule under test.
type ruleTest struct {
	name     string
	retry    RetryPolicy
	apply    func(r requestRecord)
	violated bool
}

// TestRules checks for each rule that sequences of events that break it are reported as violations of this rule, and
// that similar sequences just within the rule are not reported.
func TestRules(t *testing.T) {
	for rule, tests := range map[Rule][]ruleTest{
		RepeatedEffect:     repeatedEffectTests,
		ConcurrentAttempts: concurrentAttemptsTests,
		EndpointNotReady:   endpointNotReadyTests,
		ClientDisconnected: clientDisconnectedTests,
		DeadlineOverstated: deadlineOverstatedTests,
		StateLease:         stateLeaseTests,
		OneAnswer:          oneAnswerTests,
	} {
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) { testRule(t, rule, test) })
		}
	}
}

func testRule(t *testing.T, rule Rule, test ruleTest) {
	t.Helper()
	reported := 0
	limits := Limits{AnswerSlack: 500 * ms, DisconnectSlack: 100 * ms, DeadlineSlack: 150 * ms, StateLease: 800 * ms}
	g := New(limits, func(Violation) { reported++ })
	properties := RequestProperties{RequestID: "1", Retry: test.retry, RetryWindow: 100 * ms, Deadline: 1000 * ms}
	test.apply(requestRecord{g.Begin(properties)})
	violated := g.counts[rule] > 0
	if violated != test.violated || g.Violations() != uint64(reported) || !test.violated && reported > 0 {
		t.Errorf("%d violations of %q, %d in total, %d reported", g.counts[rule], rule, g.Violations(), reported)
	}
}

var repeatedEffectTests = []ruleTest{
	{"a retry of what is known not to have run", RetryNever, func(r requestRecord) {
		r.attempt(first, false)
		r.send(20*ms, second)
	}, false},
	{"a retry of what may have run", RetryNever, func(r requestRecord) {
		r.attempt(first, true)
		r.send(20*ms, second)
	}, true},
	{"a decode after a prefill", RetryNever, func(r requestRecord) {
		r.attempt(prefill, true)
		r.send(20*ms, first)
	}, false},
	{"a retry within the window", RetryWithinWindow, func(r requestRecord) {
		r.attempt(first, true)
		r.send(110*ms, second)
	}, false},
	{"a retry after the window", RetryWithinWindow, func(r requestRecord) {
		r.attempt(first, true)
		r.send(111*ms, second)
	}, true},
	{"a retry in another group", RetryWithinWindow, func(r requestRecord) {
		r.attempt(first, true)
		r.send(20*ms, far)
	}, true},
	{"an idempotent retry", RetryAlways, func(r requestRecord) {
		r.attempt(first, true)
		r.send(900*ms, far)
	}, false},
	{"written after the window", RetryWithinWindow, func(r requestRecord) {
		r.attempt(first, true)
		r.send(100*ms, second)
		r.Written(150*ms, second, 0)
	}, true},
	{"rejected while one may have run", RetryNever, func(r requestRecord) {
		r.attempt(first, true)
		r.Answered(20*ms, Rejected)
	}, true},
	{"rejected while one is in flight", RetryNever, func(r requestRecord) {
		r.send(10*ms, prefill)
		r.Answered(20*ms, Rejected)
	}, true},
	{"failed while one may have run", RetryNever, func(r requestRecord) {
		r.attempt(first, true)
		r.Answered(20*ms, Failed)
	}, false},
}

var concurrentAttemptsTests = []ruleTest{
	{"two attempts in flight", RetryAlways, func(r requestRecord) {
		r.send(10*ms, first)
		r.send(20*ms, second)
	}, true},
}

var endpointNotReadyTests = []ruleTest{
	{"to an endpoint that drains", RetryAlways, func(r requestRecord) { r.send(10*ms, draining) }, true},
	{"it drains before the attempt is written", RetryAlways, func(r requestRecord) {
		r.send(10*ms, first)
		r.Written(20*ms, draining, 0)
	}, true},
}

var clientDisconnectedTests = []ruleTest{
	{"just after the client's disconnect", RetryAlways, func(r requestRecord) {
		r.ClientDisconnected(10 * ms)
		r.send(110*ms, first)
	}, false},
	{"after the client's disconnect", RetryAlways, func(r requestRecord) {
		r.ClientDisconnected(10 * ms)
		r.send(111*ms, first)
	}, true},
}

var deadlineOverstatedTests = []ruleTest{
	{"the endpoint is told the remaining time", RetryAlways, func(r requestRecord) {
		r.send(10*ms, first)
		r.Written(10*ms, first, 990*ms)
	}, false},
	{"the endpoint is told more than the remaining time", RetryAlways, func(r requestRecord) {
		r.send(10*ms, first)
		r.Written(10*ms, first, 1141*ms)
	}, true},
}

var stateLeaseTests = []ruleTest{
	{"released in time", RetryAlways, func(r requestRecord) {
		r.LeaseStarted(10 * ms)
		r.LeaseReleased(810 * ms)
	}, false},
	{"released late", RetryAlways, func(r requestRecord) {
		r.LeaseStarted(10 * ms)
		r.LeaseReleased(811 * ms)
	}, true},
	{"not released in time", RetryAlways, func(r requestRecord) {
		r.LeaseStarted(10 * ms)
		r.LeaseOverdue(811 * ms)
	}, true},
	{"checked before it is overdue", RetryAlways, func(r requestRecord) {
		r.LeaseStarted(10 * ms)
		r.LeaseOverdue(810 * ms)
	}, false},
	{"fetched before it is overdue", RetryAlways, func(r requestRecord) {
		r.LeaseStarted(10 * ms)
		r.StateFetched()
		r.LeaseOverdue(900 * ms)
	}, false},
}

var oneAnswerTests = []ruleTest{
	{"answered in time", RetryAlways, func(r requestRecord) { r.Answered(1500*ms, Failed) }, false},
	{"answered late", RetryAlways, func(r requestRecord) { r.Answered(1501*ms, Failed) }, true},
	{"answered twice", RetryAlways, func(r requestRecord) {
		r.Answered(10*ms, Failed)
		r.Answered(10*ms, Failed)
	}, true},
	{"never answered", RetryAlways, func(r requestRecord) { r.Closed() }, true},
	{"its client disconnected", RetryAlways, func(r requestRecord) {
		r.ClientDisconnected(10 * ms)
		r.Closed()
	}, false},
	{"an attempt after the answer", RetryAlways, func(r requestRecord) {
		r.Answered(10*ms, Failed)
		r.send(20*ms, first)
	}, true},
}

// TestSendRefuses checks that the error of a refused Send is a *Violation with all its fields, and is reported once.
func TestSendRefuses(t *testing.T) {
	var reported []Violation
	g := New(Limits{}, func(v Violation) { reported = append(reported, v) })
	err := g.Begin(RequestProperties{RequestID: "1"}).Send(10*ms, draining)
	var violation *Violation
	if !errors.As(err, &violation) {
		t.Fatalf("the error is %v", err)
	}
	want := Violation{Rule: EndpointNotReady, RequestID: "1", Endpoint: "d",
		Detail: "the endpoint drains or is gone", Prevented: true}
	if *violation != want || len(reported) != 1 || reported[0] != want {
		t.Errorf("refused with %+v, reported %+v", *violation, reported)
	}
}
