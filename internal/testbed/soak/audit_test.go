package soak

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = 1000 // µs

// cleanHistory returns the events of a request that breaks no rule.
func cleanHistory(class string) []Event {
	return []Event{
		{At: 1000 * ms, Kind: Sent, ID: "r", Class: class, Dispatcher: "d", Value: 1000 * ms},
		{At: 1001 * ms, Kind: Arrived, ID: "r", Endpoint: "p", Dispatcher: "1", Value: 2900 * ms, Text: prefillKind},
		{At: 1020 * ms, Kind: Reserved, ID: "r", Endpoint: "p", Dispatcher: "1"},
		{At: 1030 * ms, Kind: Arrived, ID: "r", Endpoint: "h", Dispatcher: "1", Value: 2900 * ms, Text: decodeKind},
		{At: 1040 * ms, Kind: Ran, ID: "r", Endpoint: "h", Value: 1030 * ms},
		{At: 1100 * ms, Kind: Answered, ID: "r", Class: class, Dispatcher: "d", Status: 200},
	}
}

// change modifies the events of a request.
type change func([]Event) []Event

func add(events ...Event) change {
	return func(history []Event) []Event { return append(history, events...) }
}

// unanswered removes the answer and adds other events.
func unanswered(events ...Event) change {
	return func(history []Event) []Event {
		history = slices.DeleteFunc(history, func(event Event) bool { return event.Kind == Answered })
		return append(history, events...)
	}
}

// stoppedFor stops the decode's endpoint for a span in ms, from before the decode is written to it: the decode arrives,
// runs and is answered only afterwards.
func stoppedFor(span int64) change {
	return func(history []Event) []Event {
		for i := range history {
			if history[i].At > 1020*ms {
				history[i].At += span * ms
			}
		}
		return append(history, Event{At: 1022 * ms, Kind: FaultBegan, Text: notRunningText, Endpoint: "h", Value: span * ms})
	}
}

// refusedAnd makes the decode's endpoint decline the decode, and adds other events.
func refusedAnd(events ...Event) change {
	return func(history []Event) []Event {
		for i := range history {
			if history[i].Kind == Ran {
				history[i].Kind = Refused
			}
		}
		return append(history, events...)
	}
}

// stoppedAndKilled returns the SIGKILL at 1150 ms to a dispatcher that was sent SIGTERM at a given time in ms.
func stoppedAndKilled(at int64) Event {
	return Event{At: 1150 * ms, Kind: Killed, Dispatcher: "d", Value: at * ms}
}

func killedAt1150(dispatcher string) Event {
	return Event{At: 1150 * ms, Kind: Killed, Dispatcher: dispatcher}
}

var reservedAt1050 = Event{At: 1050 * ms, Kind: Reserved, ID: "r", Endpoint: "q", Dispatcher: "1"}

func releasedAt(at int64) Event { return Event{At: at * ms, Kind: Released, ID: "r"} }

// auditTest is a request's history and the rule that the audit should find broken.
type auditTest struct {
	name   string
	class  string
	change change
	want   string // the rule that is broken; empty: none
}

func checkAll(t *testing.T, tests []auditTest) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			findings := NewAudit(test.change(cleanHistory(test.class)), 3*time.Second).Check()
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

// For each violation the audit reports only the rule that is broken. Similar histories without a violation pass.
func TestAuditFindsEachViolationForItsRuleAlone(t *testing.T) {
	ranInWindow := Event{At: 2500 * ms, Kind: Ran, ID: "r", Endpoint: "g", Value: 2020 * ms}
	ranPastWindow := Event{At: 2100 * ms, Kind: Ran, ID: "r", Endpoint: "g", Value: 2040 * ms}
	answeredLate := Event{At: 5000 * ms, Kind: Answered, ID: "r", Status: 500}
	answeredTwice := Event{At: 1300 * ms, Kind: Answered, ID: "r", Status: 200}
	rejected := Event{At: 1100 * ms, Kind: Answered, ID: "r", Status: 503}
	disconnected := Event{At: 1025 * ms, Kind: Disconnected, ID: "r"}
	passedOnLate := Event{At: 900 * ms, Kind: FaultBegan, Text: delayedText, Dispatcher: "1", Value: 300 * ms}
	arrivedByProxy := Event{At: 1430 * ms, Kind: Arrived, ID: "r", Endpoint: "g", Dispatcher: "1", Text: decodeKind}
	arrivedAfterLeft := Event{At: 1500 * ms, Kind: Arrived, ID: "r", Endpoint: "g", Text: decodeKind}
	tooMuchTime := Event{At: 2000 * ms, Kind: Arrived, ID: "r", Endpoint: "h", Value: 2900 * ms, Text: decodeKind}
	drained := Event{At: 100 * ms, Kind: Drained, Endpoint: "h"}
	drainedLongAgo := Event{At: -6000 * ms, Kind: Drained, Endpoint: "h"}
	notified := func(dispatcher string) Event {
		return Event{At: 110 * ms, Kind: Notified, Endpoint: "h", Dispatcher: dispatcher}
	}
	checkAll(t, []auditTest{
		{"no violation", nonIdempotentClass, add(), ""},
		{"no final answer", nonIdempotentClass, unanswered(), ruleOneAnswer},
		{"answered late", idempotentClass, unanswered(answeredLate), ruleOneAnswer},
		{"two final answers", nonIdempotentClass, add(answeredTwice), ruleOneAnswer},
		{"run twice", nonIdempotentClass, add(ranInWindow), ruleRepeatedEffect},
		{"run twice, idempotent", idempotentClass, add(ranInWindow), ""},
		{"run twice in its window", deduplicatedClass, add(ranInWindow), ""},
		{"run twice, past its window", deduplicatedClass, add(ranPastWindow), ruleRepeatedEffect},
		{"rejected after it ran", nonIdempotentClass, unanswered(rejected), ruleRepeatedEffect},
		{"an attempt after its client left", nonIdempotentClass, unanswered(disconnected, arrivedAfterLeft),
			ruleClientDisconnected},
		{"an attempt that a proxy passed on late", nonIdempotentClass,
			unanswered(disconnected, passedOnLate, arrivedByProxy), ""},
		{"an attempt as its client left", nonIdempotentClass, unanswered(disconnected), ""},
		{"an endpoint is given too much time", nonIdempotentClass, add(tooMuchTime), ruleDeadline},
		{"sent to an endpoint that drains", nonIdempotentClass, add(drained, notified("1")), ruleEndpointNotReady},
		{"another dispatcher was notified", nonIdempotentClass, add(drained, notified("2")), ""},
		{"the update did not arrive in time", nonIdempotentClass, add(drainedLongAgo), ruleEndpointNotReady},
	})
}

// Requests that a killed dispatcher lost are excused, unless they were sent too late after SIGTERM.
func TestAuditOfKilledDispatchers(t *testing.T) {
	lost := Event{At: 1200 * ms, Kind: Lost, ID: "r", Dispatcher: "d", Text: closedConnection}
	broken := Event{At: 1200 * ms, Kind: Broken, ID: "r", Dispatcher: "d", Status: 200}
	checkAll(t, []auditTest{
		{"lost", nonIdempotentClass, unanswered(lost), ruleOneAnswer},
		{"lost as its dispatcher was killed", nonIdempotentClass, unanswered(lost, killedAt1150("d")), ""},
		{"lost as its dispatcher was killed after SIGTERM", nonIdempotentClass,
			unanswered(lost, stoppedAndKilled(500)), ""},
		{"lost at a kill, sent late", nonIdempotentClass, unanswered(lost, stoppedAndKilled(299)), ruleOneAnswer},
		{"a stream breaks at a kill, sent late", nonIdempotentClass, unanswered(broken, stoppedAndKilled(299)),
			ruleOneAnswer},
		{"lost as another dispatcher was killed", nonIdempotentClass, unanswered(lost, killedAt1150("e")), ruleOneAnswer},
	})
}

// A state has to be used or released in time. The time starts again when a decode is refused.
func TestAuditOfReservedStates(t *testing.T) {
	partitioned := Event{At: 900 * ms, Kind: FaultBegan, Text: partitionedText, Dispatcher: "1", Value: 500 * ms}
	checkAll(t, []auditTest{
		{"state stays reserved", nonIdempotentClass, add(reservedAt1050), ruleState},
		{"state is released", nonIdempotentClass, add(reservedAt1050, releasedAt(1300)), ""},
		{"state is released late", nonIdempotentClass, add(reservedAt1050, releasedAt(2500)), ruleState},
		{"state is taken late by an endpoint that was stopped", nonIdempotentClass, stoppedFor(1500), ruleState},
		{"state is taken by an endpoint that was stopped for a moment", nonIdempotentClass, stoppedFor(500), ""},
		{"state is refused and stays", nonIdempotentClass, refusedAnd(), ruleState},
		{"state is refused and released", nonIdempotentClass, refusedAnd(releasedAt(1400)), ""},
		{"state is refused and released late", nonIdempotentClass, refusedAnd(releasedAt(2500)), ruleState},
		{"state stays reserved while partitioned", nonIdempotentClass, add(reservedAt1050, partitioned), ""},
	})
}
