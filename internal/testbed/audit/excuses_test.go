package audit

import (
	"slices"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/record"
)

const noRule = -1

func unavailable(at, duration int64, why string) record.Event {
	return record.Event{At: at * ms, Type: record.DispatcherUnavailable, Dispatcher: "d1", Detail: why,
		Count: duration * ms}
}

func released(at int64) record.Event {
	return record.Event{At: at * ms, Type: record.StateReleased, Attempt: "d1-1-0", Endpoint: 1}
}

func refused(code string) record.Event {
	return record.Event{At: 95 * ms, Type: record.AttemptRefused, Attempt: "d1-1-1", Endpoint: 2, Detail: code}
}

// rejectedAt is a review that was prefilled and whose state is pinned; then what comes, and a rejection.
func rejectedAt(final int64, then ...record.Event) []record.Event {
	events := append(slices.Clone(cleanRecord()[:prefillAnswered+1]), then...)
	return append(events, finalEvent(final, record.Rejected))
}

// gaveUpWhile is a review whose client gave up on a dispatcher that was unavailable.
func gaveUpWhile(why string) []record.Event {
	events := cleanRecord()
	events[finalAnswer].Detail = record.GaveUp
	return slices.Insert(events, decodeArrived, unavailable(91, 2000, why))
}

// rejectedAfterItsTime is a review whose client waits for 200 ms.
func rejectedAfterItsTime() []record.Event {
	events := rejectedAt(400, released(300))
	events[1].Value = 200 * ms
	return events
}

// sentAfterDrain is a review that is sent to an endpoint that drains, long after the dispatcher was frozen.
func sentAfterDrain() []record.Event {
	return []record.Event{
		{At: 0, Type: record.UpdateDelivered, Dispatcher: "d1", Endpoint: 1, Detail: "draining"},
		unavailable(10, 200, record.Frozen),
		{At: 900 * ms, Type: record.RequestSent, Request: "g1", ClientAttempt: 1, Dispatcher: "d1", Product: testProduct},
		attemptEvent(1000, record.AttemptArrived, record.Prefill, "d1-1-0", 1),
		{At: 1100 * ms, Type: record.AttemptAnswered, Attempt: "d1-1-0", Endpoint: 1},
		finalEvent(1200, record.Rejected),
	}
}

// overloadedBySocket is an endpoint that gets too much during slow start and says nothing of it.
func overloadedBySocket() []record.Event {
	const work = 20000
	arrival := func(at int64, request, id string) record.Event {
		return record.Event{At: at * ms, Type: record.AttemptArrived, Request: request, Attempt: id, Endpoint: 7,
			Dispatcher: "d1", Kind: "prefill", Detail: record.Prefill, Value: work}
	}
	return []record.Event{
		{At: 0, Type: record.EndpointUp, Endpoint: 7, Kind: "prefill", Count: 1},
		arrival(1000, "a", "d1-8-0"),
		arrival(1100, "b", "d1-9-0"),
	}
}

// What a dispatcher is excused for and what it is not: being partitioned from its endpoints does not excuse it towards
// clients, and being unavailable for a while does not excuse it afterwards.
func TestUnavailableDispatchersAreExcusedOnlyForWhatTheyCannotDo(t *testing.T) {
	decode := attemptEvent(92, record.AttemptArrived, record.Decode, "d1-1-1", 2)
	decodeRan := attemptEvent(1000, record.AttemptRan, record.Decode, "d1-1-1", 2)
	answered := record.Event{At: 95 * ms, Type: record.AttemptAnswered, Attempt: "d1-1-1", Endpoint: 2}
	for _, test := range []struct {
		name   string
		events []record.Event
		rule   int // the only one that is broken
	}{
		{"given up on while partitioned from endpoints", gaveUpWhile(record.Partitioned), ruleFinalAnswer},
		{"given up on while frozen", gaveUpWhile(record.Frozen), noRule},
		{"answered after its client's time", rejectedAfterItsTime(), ruleFinalAnswer},
		{"rejected with a decode in flight", rejectedAt(300, decode, released(200)), ruleNoSecondRun},
		{"rejected with a decode in flight that runs afterwards",
			append(rejectedAt(300, decode, released(200)), decodeRan), ruleNoSecondRun},
		{"rejected after its decode was refused",
			rejectedAt(300, decode, refused("full"), answered, released(200)), noRule},
		{"rejected after its decode failed",
			rejectedAt(300, decode, refused("internal"), answered, released(200)), ruleNoSecondRun},
		{"sent after a drain, long after it was frozen", sentAfterDrain(), ruleDrains},
		{"pinned after it was partitioned",
			rejectedAt(4000, unavailable(91, 1000, record.Partitioned), released(3900)), rulePinnedState},
		{"released once it was back",
			rejectedAt(1300, unavailable(91, 1000, record.Partitioned), released(1400)), noRule},
		{"an endpoint overloaded during slow start, by its socket alone", overloadedBySocket(), ruleSlowStart},
	} {
		t.Run(test.name, func(t *testing.T) {
			verdict := Judge(deployment.Standard(), test.events)
			for i, rule := range verdict.Rules {
				if broken := len(rule.Violations) > 0; broken != (i == test.rule) {
					t.Fatalf("want rule %d alone:\n%s", test.rule+1, verdict.Text())
				}
			}
		})
	}
}
