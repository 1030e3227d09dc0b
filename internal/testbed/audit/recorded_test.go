package audit

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/record"
)

func recorded(t *testing.T, path string) (events []record.Event) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	z, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(z)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e record.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			t.Fatal(err)
		}
		events = append(events, e)
	}
	return events
}

// Histories that the real code made, one for each rule with a fault planted in it: each is rejected for that rule alone. The same
// days without the fault pass, and each rule was looked at in them.
func TestRecordedHistories(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ndjson.gz")
	if err != nil || len(files) < 8 {
		t.Fatal(files, err)
	}
	faults := 0
	for _, path := range files {
		v := Judge(deployment.Standard(), recorded(t, path))
		want := -1
		if name := filepath.Base(path); strings.HasPrefix(name, "rule") {
			want = int(name[4] - '1')
			faults++
		}
		for i, r := range v.Rules {
			if (len(r.Violations) > 0) != (i == want) || r.Checked == 0 {
				t.Errorf("%s: rule %d: %d breaks, %d checked", path, i+1, len(r.Violations), r.Checked)
			}
		}
	}
	if faults != 5 {
		t.Errorf("%d histories with a fault", faults)
	}
}

// What a dispatcher is excused for and what it is not: being cut off from its hosts does not excuse it towards clients, and being
// away for a moment does not excuse it afterwards.
func TestExcuses(t *testing.T) {
	leg := func(at int64, how, name string, host uint32) record.Event {
		return record.Event{At: at * ms, Type: record.AttemptArrived, Request: "g1", Attempt: name, Endpoint: host, Dispatcher: "d1", Product: "review-post", Detail: how}
	}
	away := func(at, span int64, how string) record.Event {
		return record.Event{At: at * ms, Type: record.DispatcherUnavailable, Dispatcher: "d1", Detail: how, Count: span * ms}
	}
	// read is a review that was read and whose state waits; then what comes, and a throttling.
	read := func(final int64, then ...record.Event) []record.Event {
		then = append(then, record.Event{At: final * ms, Type: record.FinalAnswer, Request: "g1", ClientAttempt: 1, Dispatcher: "d1", Detail: record.Rejected})
		return append(slices.Clone(clean()[:5]), then...)
	}
	released := func(at int64) record.Event {
		return record.Event{At: at * ms, Type: record.StateReleased, Attempt: "d1-1-0", Endpoint: 1}
	}
	answered := record.Event{At: 95 * ms, Type: record.AttemptAnswered, Attempt: "d1-1-1", Endpoint: 2}
	refuse := func(how string) record.Event {
		return record.Event{At: 95 * ms, Type: record.AttemptRefused, Attempt: "d1-1-1", Endpoint: 2, Detail: how}
	}
	write := leg(92, "write", "d1-1-1", 2)
	gaveUp := func(how string) []record.Event {
		e := clean()
		e[9].Detail = "gave_up"
		return slices.Insert(e, 5, away(91, 2000, how))
	}
	for _, c := range []struct {
		name   string
		events []record.Event
		rule   int // that is broken; 0: none
	}{
		{"given up on while it was cut off from its hosts", gaveUp("cut"), 1},
		{"given up on while it stood still", gaveUp("stands"), 0},
		{"answered after its client's time", func() []record.Event {
			e := read(400, released(300))
			e[1].Value = 200 * ms
			return e
		}(), 1},
		{"throttled with a write out", read(300, write, released(200)), 2},
		{"throttled with a write out that runs afterwards", append(read(300, write, released(200)),
			record.Event{At: 1000 * ms, Type: record.AttemptRan, Request: "g1", Attempt: "d1-1-1", Endpoint: 2, Product: "review-post", Detail: record.Decode}), 2},
		{"throttled after its write was refused", read(300, write, refuse("full"), answered, released(200)), 0},
		{"throttled after its write failed", read(300, write, refuse("internal"), answered, released(200)), 2},
		{"sent after a drain, long after it was away", []record.Event{{At: 0, Type: record.UpdateDelivered, Dispatcher: "d1", Endpoint: 1, Detail: "draining"}, away(10, 200, "stands"),
			{At: 900 * ms, Type: record.RequestSent, Request: "g1", ClientAttempt: 1, Dispatcher: "d1", Product: "review-post"}, leg(1000, "read", "d1-1-0", 1),
			{At: 1100 * ms, Type: record.AttemptAnswered, Attempt: "d1-1-0", Endpoint: 1},
			{At: 1200 * ms, Type: record.FinalAnswer, Request: "g1", ClientAttempt: 1, Dispatcher: "d1", Detail: record.Rejected}}, 3},
		{"pinned after it was away", read(4000, away(91, 1000, "cut"), released(3900)), 5},
		{"let go of once it was back", read(1300, away(91, 1000, "cut"), released(1400)), 0},
		{"a cold host overloaded, by its socket alone", []record.Event{{At: 0, Type: record.EndpointUp, Endpoint: 7, Kind: "prefill", Count: 1},
			{At: 1000 * ms, Type: record.AttemptArrived, Request: "a", Attempt: "d1-8-0", Endpoint: 7, Dispatcher: "d1", Kind: "prefill", Detail: record.Prefill, Value: 20000},
			{At: 1100 * ms, Type: record.AttemptArrived, Request: "b", Attempt: "d1-9-0", Endpoint: 7, Dispatcher: "d1", Kind: "prefill", Detail: record.Prefill, Value: 20000}}, 4},
	} {
		v := Judge(deployment.Standard(), c.events)
		for i, r := range v.Rules {
			if (len(r.Violations) > 0) != (i+1 == c.rule) {
				t.Errorf("%s: want rule %d:\n%s", c.name, c.rule, v.Text())
				break
			}
		}
	}
}
