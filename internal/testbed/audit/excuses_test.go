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

func heldUp(until, duration int64, loop string) record.Event {
	return record.Event{At: until * ms, Type: record.TestBedDelayed, Detail: loop, Count: duration * ms}
}

// releasedLateBy is a review whose state was pinned at 90 ms and released at 902 ms, 812 ms later, by the record of
// hosts that were held up; the decode that was sent at once was recorded with the release.
func releasedLateBy(holdUps ...record.Event) []record.Event {
	decode := attemptEvent(901, record.AttemptArrived, record.Decode, "d1-1-1", 2)
	answered := record.Event{At: 903 * ms, Type: record.AttemptAnswered, Attempt: "d1-1-1", Endpoint: 2}
	return rejectedAt(1000, append(holdUps, decode, released(902), refused("state_lost"), answered)...)
}

// gaveUpAt is a review whose client asked at 1 ms with 500 ms of time, and gave up at another time.
func gaveUpAt(at int64, holdUps ...record.Event) []record.Event {
	events := append(slices.Clone(cleanRecord()[:prefillAnswered+1]), released(200))
	events[1].Value = 500 * ms
	return append(append(events, holdUps...), finalEvent(at, record.GaveUp))
}

// A process of the test bed that is held up, as on a busy machine, records late what came in time. In the scenario of
// TestScenarioOverSocketsPassesAudit, with its process suspended for up to 700 ms now and then, 1 of 64 plays of the
// build in which that test failed once and 1 of 100 of this one broke rule 5. The events of the latter show it: a state
// was recorded at 2,118 ms, and the decode, its release and "late, hosts 546 ms" all at 2,671 ms, while the dispatcher
// ran on. A hold-up counts only where it lies, and only for what the loop concerned records.
func TestHoldUpsOfTheTestBedAreNotTheDispatchers(t *testing.T) {
	for _, test := range []struct {
		name   string
		events []record.Event
		rule   int // the only one that is broken
	}{
		{"a state, the hosts held up", releasedLateBy(heldUp(900, 780, record.HostsLoop)), noRule},
		{"a state, the hosts held up for too little", releasedLateBy(heldUp(900, 100, record.HostsLoop)), rulePinnedState},
		{"a state, the clients held up", releasedLateBy(heldUp(900, 780, record.ClientsLoop)), rulePinnedState},
		{"a state, the hosts held up afterwards", releasedLateBy(heldUp(2000, 780, record.HostsLoop)), rulePinnedState},
		{"given up on, the clients held up", gaveUpAt(801, heldUp(800, 350, record.ClientsLoop)), noRule},
		{"given up on, the clients held up before", gaveUpAt(501, heldUp(300, 200, record.ClientsLoop)), ruleFinalAnswer},
		{"given up on, the hosts held up", gaveUpAt(501, heldUp(500, 350, record.HostsLoop)), ruleFinalAnswer},
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
