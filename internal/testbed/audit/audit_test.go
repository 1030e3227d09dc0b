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
		{At: 0, What: "told", Dispatcher: "d1", Host: 1, How: "ready"},
		{At: 1 * ms, What: "ask", Gen: "g1", Try: 1, Dispatcher: "d1", Product: "review-post"},
		{At: 2 * ms, What: "leg", Gen: "g1", Leg: "d1-1-0", Host: 1, Dispatcher: "d1", Product: "review-post", How: "read"},
		{At: 90 * ms, What: "hold", Gen: "g1", Leg: "d1-1-0", Host: 1, Dispatcher: "d1", Product: "review-post", How: "read"},
		{At: 90 * ms, What: "answered", Gen: "g1", Leg: "d1-1-0", Host: 1, Dispatcher: "d1", Product: "review-post", How: "read"},
		{At: 92 * ms, What: "leg", Gen: "g1", Leg: "d1-1-1", Host: 2, Dispatcher: "d1", Product: "review-post", How: "write"},
		{At: 95 * ms, What: "took", Gen: "g1", Leg: "d1-1-0", Host: 1, Dispatcher: "d1", Product: "review-post", How: "read"},
		{At: 99 * ms, What: "ran", Gen: "g1", Leg: "d1-1-1", Host: 2, Dispatcher: "d1", Product: "review-post", How: "write"},
		{At: 900 * ms, What: "left", Gen: "g1", Leg: "d1-1-1", Host: 2, Dispatcher: "d1", Product: "review-post", How: "write"},
		{At: 901 * ms, What: "final", Gen: "g1", Try: 1, Dispatcher: "d1", How: "streamed", Exact: true},
		{At: 901 * ms, What: "over", Gen: "g1", How: "streamed", Product: "review-post", Tenant: "north", Exact: true, N: 98 * ms},
		{At: 1500 * ms, What: "cold", Host: 3, Value: 0.4, N: 3},
	}
}

func insert(at int, es ...record.Event) func([]record.Event) []record.Event {
	return func(all []record.Event) []record.Event { return slices.Insert(all, at, es...) }
}

func TestAudit(t *testing.T) {
	if v := Judge(deployment.Standard(), clean()); !v.Kept() || v.Service != 1 || v.ColdMost != 0.4 {
		t.Fatalf("the clean day:\n%s", v.Text())
	}
	leg := record.Event{What: "leg", Gen: "g1", Leg: "d1-1-2", Host: 1, Dispatcher: "d1", Product: "review-post", How: "write"}
	at := func(e record.Event, t int64) record.Event { e.At = t; return e }
	for _, c := range []struct {
		name   string
		doctor func([]record.Event) []record.Event
		rule   int
		line   int
		gen    string
	}{
		{"a final answer doubled", insert(10, record.Event{At: 902 * ms, What: "final", Gen: "g1", Try: 1, How: "terminated"}), 0, 11, "g1"},
		{"bytes after the answer", insert(10, record.Event{At: 902 * ms, What: "after", Gen: "g1", Try: 1, How: "event"}), 0, 11, "g1"},
		{"no answer", func(e []record.Event) []record.Event { return slices.Delete(e, 9, 10) }, 0, 2, "g1"},
		{"given up on", func(e []record.Event) []record.Event { e[9].How = "gave_up"; return e }, 0, 10, "g1"},
		{"other bytes", func(e []record.Event) []record.Event { e[9].Exact = false; return e }, 0, 10, "g1"},
		{"a write doubled", insert(9, at(leg, 899*ms), record.Event{At: 900 * ms, What: "ran", Gen: "g1", Leg: "d1-1-2", Product: "review-post"}), 1, 11, "g1"},
		{"two legs out", insert(8, at(leg, 300*ms)), 1, 9, "g1"},
		{"throttled though it ran", func(e []record.Event) []record.Event { e[9].How = "throttled"; return e }, 1, 8, "g1"},
		{"sent after a drain", func(e []record.Event) []record.Event {
			e = insert(9, at(leg, 1200*ms))(e)
			return insert(1, record.Event{At: 500, What: "told", Dispatcher: "d1", Host: 1, How: "draining"})(e)
		}, 2, 11, "g1"},
		{"a cold host overloaded", func(e []record.Event) []record.Event { e[11].Value = 1.2; return e }, 3, 12, ""},
		{"a cold host fallen", insert(12, record.Event{At: 1600 * ms, What: "fell", Host: 3}), 3, 13, ""},
		{"a state left pinned", func(e []record.Event) []record.Event {
			e = slices.Delete(e, 6, 7)
			return append(e, record.Event{At: 3000 * ms, What: "over", Gen: "g2"})
		}, 4, 4, "g1"},
		{"a state let go too late", func(e []record.Event) []record.Event {
			e = slices.Delete(e, 5, 10)
			return slices.Insert(e, 5, record.Event{At: 900 * ms, What: "released", Leg: "d1-1-0", Host: 1},
				record.Event{At: 901 * ms, What: "final", Gen: "g1", Try: 1, How: "throttled"})
		}, 4, 4, "g1"},
	} {
		v := Judge(deployment.Standard(), c.doctor(clean()))
		breaks := v.Rules[c.rule].Breaks
		if len(breaks) == 0 || breaks[0].Line != c.line || breaks[0].Gen != c.gen || !strings.Contains(v.Text(), "BROKEN") {
			t.Errorf("%s: want rule %d, line %d, generation %q:\n%s", c.name, c.rule+1, c.line, c.gen, v.Text())
		}
	}
	killed := insert(9, record.Event{At: 500 * ms, What: "killed", Dispatcher: "d1"})(clean())
	killed[10].How = "broken"
	if v := Judge(deployment.Standard(), killed); !v.Kept() {
		t.Errorf("what a killed dispatcher held is no longer its duty:\n%s", v.Text())
	}
}
