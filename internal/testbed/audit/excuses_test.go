package audit

import (
	"slices"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/record"
)

const noRule = -1 // no rule is broken

func unavailable(at, duration int64, reason string) record.Event {
	return record.Event{At: at * ms, Type: record.DispatcherUnavailable, Dispatcher: "d1", Detail: reason,
		Count: duration * ms}
}

func released(at int64) record.Event {
	return record.Event{At: at * ms, Type: record.StateReleased, Attempt: "d1-1-0", Endpoint: 1}
}

func refused(code string) record.Event {
	return record.Event{At: 95 * ms, Type: record.AttemptRefused, Attempt: "d1-1-1", Endpoint: 2, Detail: code}
}

// rejectedAt returns a record of a request that was prefilled and whose state is pinned, followed by further events and
// a rejection.
func rejectedAt(final int64, further ...record.Event) []record.Event {
	events := append(slices.Clone(cleanRecord()[:prefillAnswered+1]), further...)
	return append(events, finalEvent(final, record.Rejected))
}

// gaveUpWhile returns a record of a request whose client gave up on a dispatcher that was unavailable.
func gaveUpWhile(reason string) []record.Event {
	events := cleanRecord()
	events[finalAnswer].Detail = record.TimedOut
	return slices.Insert(events, decodeArrived, unavailable(91, 2000, reason))
}

// rejectedAfterItsTime returns a record of a request that is rejected 399 ms after it was sent, although its client
// waits for 200 ms only.
func rejectedAfterItsTime() []record.Event {
	events := rejectedAt(400, released(300))
	events[1].Value = 200 * ms
	return events
}

// sentAfterDrain returns a record of a request that is sent to a draining endpoint long after the dispatcher was
// frozen.
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

// overloadedBySocket returns a record in which an endpoint gets too much work during slow start but does not report the
// overload.
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

func delayed(until, duration int64, loop string) record.Event {
	return record.Event{At: until * ms, Type: record.TestBedDelayed, Detail: loop, Count: duration * ms}
}

// releasedLateBy returns a record of a request whose state was pinned at 90 ms. The decode was sent at once, but the
// endpoints' event loop was delayed: it recorded the decode and the release of the state only at 901 and 902 ms. The
// release was thus recorded 812 ms after the state was pinned.
func releasedLateBy(delays ...record.Event) []record.Event {
	decode := attemptEvent(901, record.AttemptArrived, record.Decode, "d1-1-1", 2)
	answered := record.Event{At: 903 * ms, Type: record.AttemptAnswered, Attempt: "d1-1-1", Endpoint: 2}
	return rejectedAt(1000, append(delays, decode, released(902), refused("state_lost"), answered)...)
}

// gaveUpAt returns a record of a request that its client sent at 1 ms with a time limit of 500 ms, and gave up on at a
// given time.
func gaveUpAt(at int64, delays ...record.Event) []record.Event {
	events := append(slices.Clone(cleanRecord()[:prefillAnswered+1]), released(200))
	events[1].Value = 500 * ms
	return append(append(events, delays...), finalEvent(at, record.TimedOut))
}

// A process of the test bed that is delayed, as on a busy machine, records events late that happened in time. Without
// an exemption for such delays, the scenario of TestScenarioOverSocketsPassesAudit broke rule 5 when its process was
// suspended for up to 700 ms now and then: in 1 of 64 runs of the build in which that test had failed once, and in 1 of
// 100 runs of a later build. In the failed run of the later build, a state was recorded at 2,118 ms, and the decode,
// the state's release and a delay of the endpoints' loop by 546 ms were all recorded at 2,671 ms, although the
// dispatcher had not been delayed. A delay is an exemption only for the span that it covers, and only for events that
// the delayed loop records.
func TestHoldUpsOfTheTestBedAreNotTheDispatchers(t *testing.T) {
	for _, test := range []struct {
		name   string
		events []record.Event
		rule   int // the only rule that is broken
	}{
		{"a state, the endpoints delayed", releasedLateBy(delayed(900, 780, record.EndpointsLoop)), noRule},
		{"a state, the endpoints delayed too little", releasedLateBy(delayed(900, 100, record.EndpointsLoop)),
			rulePinnedState},
		{"a state, the clients delayed", releasedLateBy(delayed(900, 780, record.ClientsLoop)), rulePinnedState},
		{"a state, the endpoints delayed afterwards", releasedLateBy(delayed(2000, 780, record.EndpointsLoop)),
			rulePinnedState},
		{"given up on, the clients delayed", gaveUpAt(801, delayed(800, 350, record.ClientsLoop)), noRule},
		{"given up on, the clients delayed before", gaveUpAt(501, delayed(300, 200, record.ClientsLoop)), ruleFinalAnswer},
		{"given up on, the endpoints delayed", gaveUpAt(501, delayed(500, 350, record.EndpointsLoop)), ruleFinalAnswer},
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

// An unavailable dispatcher is excused only for what it cannot do: being partitioned from its endpoints is no excuse
// towards clients, and being unavailable for a while is no excuse afterwards.
func TestUnavailableDispatchersAreExcusedOnlyForWhatTheyCannotDo(t *testing.T) {
	decode := attemptEvent(92, record.AttemptArrived, record.Decode, "d1-1-1", 2)
	decodeRan := attemptEvent(1000, record.AttemptRan, record.Decode, "d1-1-1", 2)
	answered := record.Event{At: 95 * ms, Type: record.AttemptAnswered, Attempt: "d1-1-1", Endpoint: 2}
	for _, test := range []struct {
		name   string
		events []record.Event
		rule   int // the only rule that is broken
	}{
		{"given up on while partitioned from endpoints", gaveUpWhile(record.Partitioned), ruleFinalAnswer},
		{"given up on while frozen", gaveUpWhile(record.Frozen), noRule},
		{"answered after its client's time", rejectedAfterItsTime(), ruleFinalAnswer},
		{"rejected with a decode in flight", rejectedAt(300, decode, released(200)), ruleRepeatedEffect},
		{"rejected with a decode in flight that runs afterwards",
			append(rejectedAt(300, decode, released(200)), decodeRan), ruleRepeatedEffect},
		{"rejected after its decode was refused",
			rejectedAt(300, decode, refused("full"), answered, released(200)), noRule},
		{"rejected after its decode failed",
			rejectedAt(300, decode, refused("internal"), answered, released(200)), ruleRepeatedEffect},
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
