package audit

import (
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/record"
)

const (
	ms          = 1000 // µs
	testProduct = "review-post"
)

// attemptEvent returns an event of request g1's attempt at an endpoint.
func attemptEvent(at int64, eventType record.EventType, kind, id string, endpoint uint32) record.Event {
	return record.Event{At: at * ms, Type: eventType, Request: "g1", Attempt: id, Endpoint: endpoint, Dispatcher: "d1",
		Product: testProduct, Detail: kind}
}

// finalEvent returns the final answer to the client's first attempt of request g1.
func finalEvent(at int64, outcome string) record.Event {
	return record.Event{At: at * ms, Type: record.FinalAnswer, Request: "g1", ClientAttempt: 1, Dispatcher: "d1",
		Detail: outcome}
}

// Indices of events in cleanRecord.
const (
	prefillAnswered = 4
	decodeArrived   = 5
	stateFetched    = 6
	decodeLeft      = 8
	finalAnswer     = 9
	slowStartLoad   = 11
)

// cleanRecord returns the record of a small run without faults: one request is prefilled, its state is pinned and
// fetched, and it is decoded and completed.
func cleanRecord() []record.Event {
	final := finalEvent(901, record.Completed)
	final.Exact = true
	return []record.Event{
		{At: 0, Type: record.UpdateDelivered, Dispatcher: "d1", Endpoint: 1, Detail: "ready"},
		{At: 1 * ms, Type: record.RequestSent, Request: "g1", ClientAttempt: 1, Dispatcher: "d1", Product: testProduct},
		attemptEvent(2, record.AttemptArrived, record.Prefill, "d1-1-0", 1),
		attemptEvent(90, record.StatePinned, record.Prefill, "d1-1-0", 1),
		attemptEvent(90, record.AttemptAnswered, record.Prefill, "d1-1-0", 1),
		attemptEvent(92, record.AttemptArrived, record.Decode, "d1-1-1", 2),
		attemptEvent(95, record.StateFetched, record.Prefill, "d1-1-0", 1),
		attemptEvent(99, record.AttemptRan, record.Decode, "d1-1-1", 2),
		attemptEvent(900, record.AttemptFinished, record.Decode, "d1-1-1", 2),
		final,
		{At: 901 * ms, Type: record.RequestFinished, Request: "g1", Detail: record.Completed, Product: testProduct,
			Tenant: "north", Exact: true, Count: 98 * ms},
		{At: 1500 * ms, Type: record.SlowStartLoad, Endpoint: 3, Value: 0.4, Count: 3},
	}
}

// edit modifies a record.
type edit func([]record.Event) []record.Event

func insert(at int, added ...record.Event) edit {
	return func(events []record.Event) []record.Event { return slices.Insert(events, at, added...) }
}

func change(at int, set func(*record.Event)) edit {
	return func(events []record.Event) []record.Event {
		set(&events[at])
		return events
	}
}

// fetchedLate returns an edit after which the endpoint defers the decode on its arrival and fetches the state only at
// 950 ms.
func fetchedLate(before ...record.Event) edit {
	return sequence(
		change(stateFetched, func(event *record.Event) { event.At = 950 * ms }),
		insert(stateFetched, before...),
		insert(stateFetched, attemptEvent(92, record.AttemptDeferred, record.Decode, "d1-1-1", 2)),
	)
}

// sequence applies edits one after the other.
func sequence(edits ...edit) edit {
	return func(events []record.Event) []record.Event {
		for _, apply := range edits {
			events = apply(events)
		}
		return events
	}
}

func remove(from, to int) edit {
	return func(events []record.Event) []record.Event { return slices.Delete(events, from, to) }
}

func TestCleanRecordPasses(t *testing.T) {
	verdict := Judge(deployment.Standard(), cleanRecord())
	if !verdict.Passed() || verdict.RevenueShare != 1 || verdict.PeakSlowStartUse != 0.4 {
		t.Errorf("the clean record does not pass with full service:\n%s", verdict.Text())
	}
}

func TestEditedRecordBreaksItsRuleAtItsLine(t *testing.T) {
	secondDecode := func(at int64) record.Event {
		return attemptEvent(at, record.AttemptArrived, record.Decode, "d1-1-2", 1)
	}
	setOutcome := func(outcome string) edit {
		return change(finalAnswer, func(event *record.Event) { event.Detail = outcome })
	}
	for _, test := range []struct {
		name    string
		edit    edit
		rule    int
		line    int
		request string
	}{
		{"a second final answer", insert(10, finalEvent(902, record.Failed)), ruleFinalAnswer, 11, "g1"},
		{"bytes after the answer", insert(10, record.Event{At: 902 * ms, Type: record.BytesAfterFinal, Request: "g1",
			ClientAttempt: 1, Detail: "event"}), ruleFinalAnswer, 11, "g1"},
		{"no answer", remove(finalAnswer, finalAnswer+1), ruleFinalAnswer, 2, "g1"},
		{"the client gave up", setOutcome(record.TimedOut), ruleFinalAnswer, 10, "g1"},
		{"an answer of other bytes", change(finalAnswer, func(event *record.Event) { event.Exact = false }), ruleFinalAnswer,
			10, "g1"},
		{"a decode ran twice", insert(finalAnswer, secondDecode(899), record.Event{At: 900 * ms, Type: record.AttemptRan,
			Request: "g1", Attempt: "d1-1-2", Product: testProduct}), ruleRepeatedEffect, 11, "g1"},
		{"two attempts in flight", insert(decodeLeft, secondDecode(300)), ruleRepeatedEffect, 9, "g1"},
		{"rejected though it ran", setOutcome(record.Rejected), ruleRepeatedEffect, 8, "g1"},
		{"sent after a drain", sequence(insert(finalAnswer, secondDecode(1200)), insert(1, record.Event{At: 500,
			Type: record.UpdateDelivered, Dispatcher: "d1", Endpoint: 1, Detail: "draining"})), ruleDrains, 11, "g1"},
		{"too much during slow start", change(slowStartLoad, func(event *record.Event) { event.Value = 1.2 }),
			ruleSlowStart, 12, ""},
		{"an endpoint is overloaded", insert(12, record.Event{At: 1600 * ms, Type: record.EndpointOverloaded, Endpoint: 3}),
			ruleSlowStart, 13, ""},
		{"a state stays pinned", sequence(remove(stateFetched, stateFetched+1),
			insert(11, record.Event{At: 3000 * ms, Type: record.RequestFinished, Request: "g2"})), rulePinnedState, 4, "g1"},
		{"a state is released too late", sequence(remove(decodeArrived, finalAnswer+1), insert(decodeArrived,
			record.Event{At: 900 * ms, Type: record.StateReleased, Attempt: "d1-1-0", Endpoint: 1},
			record.Event{At: 901 * ms, Type: record.FinalAnswer, Request: "g1", ClientAttempt: 1, Detail: record.Rejected})),
			rulePinnedState, 4, "g1"},
		{"a state waits for an endpoint that does not run", fetchedLate(), rulePinnedState, 4, "g1"},
		{"a state waits for one that resumes too late",
			fetchedLate(attemptEvent(940, record.DeferredAttemptAccepted, record.Decode, "d1-1-1", 2)),
			rulePinnedState, 4, "g1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			verdict := Judge(deployment.Standard(), test.edit(cleanRecord()))
			violations := verdict.Rules[test.rule].Violations
			if len(violations) == 0 || violations[0].Line != test.line || violations[0].Request != test.request {
				t.Errorf("want rule %d, line %d, request %q:\n%s", test.rule+1, test.line, test.request, verdict.Text())
			}
			if !strings.Contains(verdict.Text(), "BROKEN") {
				t.Errorf("the text does not contain BROKEN:\n%s", verdict.Text())
			}
		})
	}
}

// The verdict on a broken rule contains the events of its request and the delays of the test bed.
func TestEvidenceOfAViolation(t *testing.T) {
	late := record.Event{At: 300 * ms, Type: record.TestBedDelayed, Detail: "hosts", Count: 120 * ms}
	other := record.Event{At: 310 * ms, Type: record.RequestSent, Request: "g2", ClientAttempt: 1, Dispatcher: "d1"}
	events := sequence(remove(finalAnswer, finalAnswer+1), insert(decodeLeft, late, other))(cleanRecord())
	evidence := Judge(deployment.Standard(), events).Evidence
	for _, want := range []string{"generation g1 leg d1-1-0", "how hosts 120 ms"} {
		if !strings.Contains(evidence, want) {
			t.Errorf("the evidence lacks %q:\n%s", want, evidence)
		}
	}
	if clean := Judge(deployment.Standard(), cleanRecord()).Evidence; clean != "" {
		t.Errorf("a clean record has evidence:\n%s", clean)
	}
}

func TestKilledDispatcherNeedNotAnswer(t *testing.T) {
	events := insert(finalAnswer, record.Event{At: 500 * ms, Type: record.DispatcherKilled,
		Dispatcher: "d1"})(cleanRecord())
	events[finalAnswer+1].Detail = record.Broken
	if verdict := Judge(deployment.Standard(), events); !verdict.Passed() {
		t.Errorf("a killed dispatcher is blamed for a request in flight:\n%s", verdict.Text())
	}
}
