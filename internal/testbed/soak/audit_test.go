package soak

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = 1000 // µs

// cleanTrail is a request's course that keeps all rules.
func cleanTrail(class string) []Event {
	return []Event{
		{At: 1000 * ms, Kind: Sent, ID: "r", Class: class, Dispatcher: "d", Value: 1000 * ms},
		{At: 1001 * ms, Kind: Arrived, ID: "r", Endpoint: "p", Dispatcher: "1", Value: 2900 * ms, Text: prefillKind},
		{At: 1020 * ms, Kind: Reserved, ID: "r", Endpoint: "p", Dispatcher: "1"},
		{At: 1030 * ms, Kind: Arrived, ID: "r", Endpoint: "h", Dispatcher: "1", Value: 2900 * ms, Text: decodeKind},
		{At: 1040 * ms, Kind: Ran, ID: "r", Endpoint: "h", Value: 1030 * ms},
		{At: 1100 * ms, Kind: Answered, ID: "r", Class: class, Dispatcher: "d", Status: 200},
	}
}

// change makes another course.
type change func([]Event) []Event

func add(events ...Event) change {
	return func(trail []Event) []Event { return append(trail, events...) }
}

// unanswered leaves the answer out, and adds something else.
func unanswered(events ...Event) change {
	return func(trail []Event) []Event {
		trail = slices.DeleteFunc(trail, func(event Event) bool { return event.Kind == Answered })
		return append(trail, events...)
	}
}

// stoppedFor has the endpoint of the decode stopped before the decode is written to it, for a while in ms: it arrives,
// runs and is answered only then.
func stoppedFor(span int64) change {
	return func(trail []Event) []Event {
		for i := range trail {
			if trail[i].At > 1020*ms {
				trail[i].At += span * ms
			}
		}
		return append(trail, Event{At: 1022 * ms, Kind: FaultBegan, Text: notRunningText, Endpoint: "h", Value: span * ms})
	}
}

// refusedAnd has the decode's endpoint decline it, and adds something else.
func refusedAnd(events ...Event) change {
	return func(trail []Event) []Event {
		for i := range trail {
			if trail[i].Kind == Ran {
				trail[i].Kind = Refused
			}
		}
		return append(trail, events...)
	}
}

// stoppedAndKilled is the kill at 1150 ms of a dispatcher that was stopped at a time.
func stoppedAndKilled(at int64) Event {
	return Event{At: 1150 * ms, Kind: Killed, Dispatcher: "d", Value: at * ms}
}

func killedAt1150(dispatcher string) Event {
	return Event{At: 1150 * ms, Kind: Killed, Dispatcher: dispatcher}
}

var reservedAt1050 = Event{At: 1050 * ms, Kind: Reserved, ID: "r", Endpoint: "q", Dispatcher: "1"}

func releasedAt(at int64) Event { return Event{At: at * ms, Kind: Released, ID: "r"} }

// auditTest is a course that is judged.
type auditTest struct {
	name   string
	class  string
	change change
	want   string // the rule; none: it passes
}

func judgeAll(t *testing.T, tests []auditTest) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			findings := NewAudit(test.change(cleanTrail(test.class)), 3*time.Second).Judge()
			if test.want != "" && len(findings) == 0 {
				t.Errorf("no finding, want %q", test.want)
			}
			for _, finding := range findings {
				if finding.Rule != test.want || strings.TrimSpace(finding.Text) == "" {
					t.Errorf("%v, want %q", finding, test.want)
				}
			}
		})
	}
}

// Each violation is found for its rule alone; the course beside it passes.
func TestAuditFindsEachViolationForItsRuleAlone(t *testing.T) {
	ranInWindow := Event{At: 2500 * ms, Kind: Ran, ID: "r", Endpoint: "g", Value: 2020 * ms}
	ranPastWindow := Event{At: 2100 * ms, Kind: Ran, ID: "r", Endpoint: "g", Value: 2040 * ms}
	answeredLate := Event{At: 5000 * ms, Kind: Answered, ID: "r", Status: 500}
	answeredTwice := Event{At: 1300 * ms, Kind: Answered, ID: "r", Status: 200}
	rejected := Event{At: 1100 * ms, Kind: Answered, ID: "r", Status: 503}
	left := Event{At: 1025 * ms, Kind: Left, ID: "r"}
	passedOnLate := Event{At: 900 * ms, Kind: FaultBegan, Text: lateText, Dispatcher: "1", Value: 300 * ms}
	arrivedByProxy := Event{At: 1430 * ms, Kind: Arrived, ID: "r", Endpoint: "g", Dispatcher: "1", Text: decodeKind}
	arrivedAfterLeft := Event{At: 1500 * ms, Kind: Arrived, ID: "r", Endpoint: "g", Text: decodeKind}
	tooMuchTime := Event{At: 2000 * ms, Kind: Arrived, ID: "r", Endpoint: "h", Value: 2900 * ms, Text: decodeKind}
	drained := Event{At: 100 * ms, Kind: Drained, Endpoint: "h"}
	drainedLongAgo := Event{At: -6000 * ms, Kind: Drained, Endpoint: "h"}
	notified := func(dispatcher string) Event {
		return Event{At: 110 * ms, Kind: Notified, Endpoint: "h", Dispatcher: dispatcher}
	}
	judgeAll(t, []auditTest{
		{"no violation", nonIdempotentClass, add(), ""},
		{"no end", nonIdempotentClass, unanswered(), ruleOneAnswer},
		{"answered late", idempotentClass, unanswered(answeredLate), ruleOneAnswer},
		{"ended twice", nonIdempotentClass, add(answeredTwice), ruleOneAnswer},
		{"run twice", nonIdempotentClass, add(ranInWindow), ruleRepeatedEffect},
		{"run twice, idempotent", idempotentClass, add(ranInWindow), ""},
		{"run twice in its window", deduplicatedClass, add(ranInWindow), ""},
		{"run twice, past its window", deduplicatedClass, add(ranPastWindow), ruleRepeatedEffect},
		{"rejected after it ran", nonIdempotentClass, unanswered(rejected), ruleRepeatedEffect},
		{"an attempt after its client left", nonIdempotentClass, unanswered(left, arrivedAfterLeft), ruleClientGone},
		{"an attempt that a proxy passed on late", nonIdempotentClass, unanswered(left, passedOnLate, arrivedByProxy), ""},
		{"an attempt as its client left", nonIdempotentClass, unanswered(left), ""},
		{"an endpoint is given too much time", nonIdempotentClass, add(tooMuchTime), ruleDeadline},
		{"sent to an endpoint that drains", nonIdempotentClass, add(drained, notified("1")), ruleDrain},
		{"another dispatcher was notified", nonIdempotentClass, add(drained, notified("2")), ""},
		{"the update did not arrive in time", nonIdempotentClass, add(drainedLongAgo), ruleDrain},
	})
}

// What a killed dispatcher held is excused, but for what came late after it was asked to stop.
func TestAuditOfKilledDispatchers(t *testing.T) {
	lost := Event{At: 1200 * ms, Kind: Lost, ID: "r", Dispatcher: "d", Text: closedConnection}
	broken := Event{At: 1200 * ms, Kind: Broken, ID: "r", Dispatcher: "d", Status: 200}
	judgeAll(t, []auditTest{
		{"lost", nonIdempotentClass, unanswered(lost), ruleOneAnswer},
		{"lost as its dispatcher died", nonIdempotentClass, unanswered(lost, killedAt1150("d")), ""},
		{"lost as its dispatcher was killed after it was stopped", nonIdempotentClass,
			unanswered(lost, stoppedAndKilled(500)), ""},
		{"the same, and it had come late", nonIdempotentClass, unanswered(lost, stoppedAndKilled(299)), ruleOneAnswer},
		{"a stream that came late breaks at the kill", nonIdempotentClass, unanswered(broken, stoppedAndKilled(299)),
			ruleOneAnswer},
		{"lost as another one died", nonIdempotentClass, unanswered(lost, killedAt1150("e")), ruleOneAnswer},
	})
}

// A state is held until it is used or released, and again once a decode was refused.
func TestAuditOfReservedStates(t *testing.T) {
	cutOff := Event{At: 900 * ms, Kind: FaultBegan, Text: cutOffText, Dispatcher: "1", Value: 500 * ms}
	judgeAll(t, []auditTest{
		{"state stays reserved", nonIdempotentClass, add(reservedAt1050), ruleState},
		{"state is released", nonIdempotentClass, add(reservedAt1050, releasedAt(1300)), ""},
		{"state is released late", nonIdempotentClass, add(reservedAt1050, releasedAt(2500)), ruleState},
		{"state is taken late by an endpoint that was stopped", nonIdempotentClass, stoppedFor(1500), ruleState},
		{"state is taken by an endpoint that was stopped for a moment", nonIdempotentClass, stoppedFor(500), ""},
		{"state is refused and stays", nonIdempotentClass, refusedAnd(), ruleState},
		{"state is refused and released", nonIdempotentClass, refusedAnd(releasedAt(1400)), ""},
		{"state is refused and released late", nonIdempotentClass, refusedAnd(releasedAt(2500)), ruleState},
		{"state stays reserved while cut off", nonIdempotentClass, add(reservedAt1050, cutOff), ""},
	})
}
