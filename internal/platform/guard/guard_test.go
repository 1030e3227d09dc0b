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

// ledger plays events on a request's ledger; what Send refuses is checked by TestSendRefuses.
type ledger struct{ *Request }

func (l ledger) send(now eventloop.Micros, endpoint Endpoint) { _ = l.Send(now, endpoint) }

// attempt sends an attempt after 10 ms and ends it.
func (l ledger) attempt(endpoint Endpoint, mayHaveRun bool) {
	l.send(10*ms, endpoint)
	l.AttemptEnded(mayHaveRun)
}

// ruleTest is a sequence of events and whether it breaks a rule.
type ruleTest struct {
	name     string
	retry    RetryPolicy
	play     func(l ledger)
	violated bool
}

// TestRules plays each rule's violation and the sequence beside it that violates none.
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
	terms := Terms{RequestID: "1", Retry: test.retry, RetryWindow: 100 * ms, Deadline: 1000 * ms}
	test.play(ledger{g.Begin(terms)})
	violated := g.counts[rule] > 0
	if violated != test.violated || g.Violations() != uint64(reported) || !test.violated && reported > 0 {
		t.Errorf("%d violations of %q, %d in total, %d reported", g.counts[rule], rule, g.Violations(), reported)
	}
}

var repeatedEffectTests = []ruleTest{
	{"a retry of what is known not to have run", RetryNever, func(l ledger) {
		l.attempt(first, false)
		l.send(20*ms, second)
	}, false},
	{"a retry of what may have run", RetryNever, func(l ledger) {
		l.attempt(first, true)
		l.send(20*ms, second)
	}, true},
	{"a decode after a prefill", RetryNever, func(l ledger) {
		l.attempt(prefill, true)
		l.send(20*ms, first)
	}, false},
	{"within the window", RetryWithinWindow, func(l ledger) {
		l.attempt(first, true)
		l.send(110*ms, second)
	}, false},
	{"after the window", RetryWithinWindow, func(l ledger) {
		l.attempt(first, true)
		l.send(111*ms, second)
	}, true},
	{"in another group", RetryWithinWindow, func(l ledger) {
		l.attempt(first, true)
		l.send(20*ms, far)
	}, true},
	{"an idempotent retry", RetryAlways, func(l ledger) {
		l.attempt(first, true)
		l.send(900*ms, far)
	}, false},
	{"written after the window", RetryWithinWindow, func(l ledger) {
		l.attempt(first, true)
		l.send(100*ms, second)
		l.Written(150*ms, second, 0)
	}, true},
	{"rejected while one may have run", RetryNever, func(l ledger) {
		l.attempt(first, true)
		l.Answered(20*ms, Rejected)
	}, true},
	{"rejected while one is in flight", RetryNever, func(l ledger) {
		l.send(10*ms, prefill)
		l.Answered(20*ms, Rejected)
	}, true},
	{"failed while one may have run", RetryNever, func(l ledger) {
		l.attempt(first, true)
		l.Answered(20*ms, Failed)
	}, false},
}

var concurrentAttemptsTests = []ruleTest{
	{"two attempts", RetryAlways, func(l ledger) {
		l.send(10*ms, first)
		l.send(20*ms, second)
	}, true},
}

var endpointNotReadyTests = []ruleTest{
	{"to an endpoint that drains", RetryAlways, func(l ledger) { l.send(10*ms, draining) }, true},
	{"it drains before the attempt is written", RetryAlways, func(l ledger) {
		l.send(10*ms, first)
		l.Written(20*ms, draining, 0)
	}, true},
}

var clientDisconnectedTests = []ruleTest{
	{"just after the client's disconnect", RetryAlways, func(l ledger) {
		l.ClientDisconnected(10 * ms)
		l.send(110*ms, first)
	}, false},
	{"after the client's disconnect", RetryAlways, func(l ledger) {
		l.ClientDisconnected(10 * ms)
		l.send(111*ms, first)
	}, true},
}

var deadlineOverstatedTests = []ruleTest{
	{"the time that is left is given", RetryAlways, func(l ledger) {
		l.send(10*ms, first)
		l.Written(10*ms, first, 990*ms)
	}, false},
	{"more is given", RetryAlways, func(l ledger) {
		l.send(10*ms, first)
		l.Written(10*ms, first, 1141*ms)
	}, true},
}

var stateLeaseTests = []ruleTest{
	{"released in time", RetryAlways, func(l ledger) {
		l.LeaseStarted(10 * ms)
		l.LeaseReleased(810 * ms)
	}, false},
	{"released late", RetryAlways, func(l ledger) {
		l.LeaseStarted(10 * ms)
		l.LeaseReleased(811 * ms)
	}, true},
	{"not released in time", RetryAlways, func(l ledger) {
		l.LeaseStarted(10 * ms)
		l.LeaseOverdue(811 * ms)
	}, true},
	{"looked at in time", RetryAlways, func(l ledger) {
		l.LeaseStarted(10 * ms)
		l.LeaseOverdue(810 * ms)
	}, false},
	{"fetched before it was overdue", RetryAlways, func(l ledger) {
		l.LeaseStarted(10 * ms)
		l.LeaseTaken()
		l.LeaseOverdue(900 * ms)
	}, false},
}

var oneAnswerTests = []ruleTest{
	{"answered in time", RetryAlways, func(l ledger) { l.Answered(1500*ms, Failed) }, false},
	{"answered late", RetryAlways, func(l ledger) { l.Answered(1501*ms, Failed) }, true},
	{"answered twice", RetryAlways, func(l ledger) {
		l.Answered(10*ms, Failed)
		l.Answered(10*ms, Failed)
	}, true},
	{"never answered", RetryAlways, func(l ledger) { l.Closed() }, true},
	{"its client left", RetryAlways, func(l ledger) {
		l.ClientDisconnected(10 * ms)
		l.Closed()
	}, false},
	{"an attempt after the answer", RetryAlways, func(l ledger) {
		l.Answered(10*ms, Failed)
		l.send(20*ms, first)
	}, true},
}

// TestSendRefuses checks that what Send refuses comes as a violation that callers can look into.
func TestSendRefuses(t *testing.T) {
	var reported []Violation
	g := New(Limits{}, func(v Violation) { reported = append(reported, v) })
	err := g.Begin(Terms{RequestID: "1"}).Send(10*ms, draining)
	var violation *Violation
	if !errors.As(err, &violation) {
		t.Fatalf("the error is %v", err)
	}
	want := Violation{Rule: EndpointNotReady, RequestID: "1", Endpoint: "d",
		Detail: "the endpoint drains or is gone", Prevented: true}
	if *violation != want || len(reported) != 1 || reported[0] != want {
		t.Errorf("refused by %+v, reported %+v", *violation, reported)
	}
}
