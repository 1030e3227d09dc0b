package audit

import (
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/record"
)

const ms = 1000

// clean is a small day without fault: a review that is read, held, fetched, written and streamed.
func clean() []record.Event {
	return []record.Event{
		{At: 0, Type: record.UpdateDelivered, Dispatcher: "d1", Endpoint: 1, Detail: "ready"},
		{At: 1 * ms, Type: record.RequestSent, Request: "g1", ClientAttempt: 1, Dispatcher: "d1", Product: "review-post"},
		{At: 2 * ms, Type: record.AttemptArrived, Request: "g1", Attempt: "d1-1-0", Endpoint: 1, Dispatcher: "d1", Product: "review-post", Detail: record.Prefill},
		{At: 90 * ms, Type: record.StatePinned, Request: "g1", Attempt: "d1-1-0", Endpoint: 1, Dispatcher: "d1", Product: "review-post", Detail: record.Prefill},
		{At: 90 * ms, Type: record.AttemptAnswered, Request: "g1", Attempt: "d1-1-0", Endpoint: 1, Dispatcher: "d1", Product: "review-post", Detail: record.Prefill},
		{At: 92 * ms, Type: record.AttemptArrived, Request: "g1", Attempt: "d1-1-1", Endpoint: 2, Dispatcher: "d1", Product: "review-post", Detail: record.Decode},
		{At: 95 * ms, Type: record.StateFetched, Request: "g1", Attempt: "d1-1-0", Endpoint: 1, Dispatcher: "d1", Product: "review-post", Detail: record.Prefill},
		{At: 99 * ms, Type: record.AttemptRan, Request: "g1", Attempt: "d1-1-1", Endpoint: 2, Dispatcher: "d1", Product: "review-post", Detail: record.Decode},
		{At: 900 * ms, Type: record.AttemptLeft, Request: "g1", Attempt: "d1-1-1", Endpoint: 2, Dispatcher: "d1", Product: "review-post", Detail: record.Decode},
		{At: 901 * ms, Type: record.FinalAnswer, Request: "g1", ClientAttempt: 1, Dispatcher: "d1", Detail: record.Completed, Exact: true},
		{At: 901 * ms, Type: record.RequestOver, Request: "g1", Detail: record.Completed, Product: "review-post", Tenant: "north", Exact: true, Count: 98 * ms},
		{At: 1500 * ms, Type: record.SlowStartLoad, Endpoint: 3, Value: 0.4, Count: 3},
	}
}

func insert(at int, es ...record.Event) func([]record.Event) []record.Event {
	return func(all []record.Event) []record.Event { return slices.Insert(all, at, es...) }
}

func TestAudit(t *testing.T) {
	if v := Judge(deployment.Standard(), clean()); !v.Passed() || v.Service != 1 || v.PeakSlowStartUse != 0.4 {
		t.Fatalf("the clean day:\n%s", v.Text())
	}
	leg := record.Event{Type: record.AttemptArrived, Request: "g1", Attempt: "d1-1-2", Endpoint: 1, Dispatcher: "d1", Product: "review-post", Detail: record.Decode}
	at := func(e record.Event, t int64) record.Event { e.At = t; return e }
	for _, c := range []struct {
		name   string
		doctor func([]record.Event) []record.Event
		rule   int
		line   int
		gen    string
	}{
		{"a final answer doubled", insert(10, record.Event{At: 902 * ms, Type: record.FinalAnswer, Request: "g1", ClientAttempt: 1, Detail: record.Failed}), 0, 11, "g1"},
		{"bytes after the answer", insert(10, record.Event{At: 902 * ms, Type: record.BytesAfterFinal, Request: "g1", ClientAttempt: 1, Detail: "event"}), 0, 11, "g1"},
		{"no answer", func(e []record.Event) []record.Event { return slices.Delete(e, 9, 10) }, 0, 2, "g1"},
		{"given up on", func(e []record.Event) []record.Event { e[9].Detail = "gave_up"; return e }, 0, 10, "g1"},
		{"other bytes", func(e []record.Event) []record.Event { e[9].Exact = false; return e }, 0, 10, "g1"},
		{"a write doubled", insert(9, at(leg, 899*ms), record.Event{At: 900 * ms, Type: record.AttemptRan, Request: "g1", Attempt: "d1-1-2", Product: "review-post"}), 1, 11, "g1"},
		{"two legs out", insert(8, at(leg, 300*ms)), 1, 9, "g1"},
		{"throttled though it ran", func(e []record.Event) []record.Event { e[9].Detail = "throttled"; return e }, 1, 8, "g1"},
		{"sent after a drain", func(e []record.Event) []record.Event {
			e = insert(9, at(leg, 1200*ms))(e)
			return insert(1, record.Event{At: 500, Type: record.UpdateDelivered, Dispatcher: "d1", Endpoint: 1, Detail: "draining"})(e)
		}, 2, 11, "g1"},
		{"a cold host overloaded", func(e []record.Event) []record.Event { e[11].Value = 1.2; return e }, 3, 12, ""},
		{"a cold host fallen", insert(12, record.Event{At: 1600 * ms, Type: record.EndpointOverloaded, Endpoint: 3}), 3, 13, ""},
		{"a state left pinned", func(e []record.Event) []record.Event {
			e = slices.Delete(e, 6, 7)
			return append(e, record.Event{At: 3000 * ms, Type: record.RequestOver, Request: "g2"})
		}, 4, 4, "g1"},
		{"a state let go too late", func(e []record.Event) []record.Event {
			e = slices.Delete(e, 5, 10)
			return slices.Insert(e, 5, record.Event{At: 900 * ms, Type: record.StateReleased, Attempt: "d1-1-0", Endpoint: 1},
				record.Event{At: 901 * ms, Type: record.FinalAnswer, Request: "g1", ClientAttempt: 1, Detail: record.Rejected})
		}, 4, 4, "g1"},
	} {
		v := Judge(deployment.Standard(), c.doctor(clean()))
		breaks := v.Rules[c.rule].Violations
		if len(breaks) == 0 || breaks[0].Line != c.line || breaks[0].Request != c.gen || !strings.Contains(v.Text(), "BROKEN") {
			t.Errorf("%s: want rule %d, line %d, generation %q:\n%s", c.name, c.rule+1, c.line, c.gen, v.Text())
		}
	}
	killed := insert(9, record.Event{At: 500 * ms, Type: record.DispatcherKilled, Dispatcher: "d1"})(clean())
	killed[10].Detail = "broken"
	if v := Judge(deployment.Standard(), killed); !v.Passed() {
		t.Errorf("what a killed dispatcher held is no longer its duty:\n%s", v.Text())
	}
}
