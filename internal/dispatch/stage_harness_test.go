package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/record"
	"plumspindle/internal/virtual"
)

// fleetHarness is a dispatcher with the laboratory's own hosts, one reader and two writers, and a record of what they and the client see.
type fleetHarness struct {
	*harness
	fleet    *modelserver.Fleet
	recorder *record.Book
}

func newFleetHarness(t *testing.T, stops, cancels bool) *fleetHarness {
	t.Helper()
	d := deployment.Standard()
	d.Zones, d.Kinds = d.Zones[:1], d.Kinds[:2]
	d.Fleet.CellsPerZone, d.Fleet.CancelStops, d.Fleet.CellTokensPerS, d.Fleet.RosterLateMs = 1, stops, 10000, 20
	d.Fleet.Groups = []*pb.Fleet_Group{
		{Kind: "prefill", HostsPerZone: 1, ReadTokensPerS: 18000, Slots: 1, Queue: 40, StepUs: 5000},
		{Kind: "decode", HostsPerZone: 2, Slots: 100, Queue: 30, StepUs: 16000}}
	d.Dispatching.MayCancel = cancels
	digest := sha256.Sum256([]byte(key))
	d.Tenants = []*pb.Tenant{{Name: "one", KeySha256: []string{hex.EncodeToString(digest[:])}}}
	w := virtual.NewNetwork(1)
	y := &fleetHarness{harness: &harness{t: t, world: w, loop: w.NewLoop("d"), remote: w.NewLoop("far"), deployment: d}}
	y.recorder, _ = record.Open("")
	y.recorder.Add(record.Event{At: int64(w.Now()), What: "world", N: int64(w.Latency)})
	var err error
	y.remote.Do(func() { y.fleet, err = modelserver.Start(y.remote, d, 1, "127.0.0.1:0", y.recorder) })
	if err != nil {
		t.Fatal(err)
	}
	y.loop.Do(func() {
		y.dispatcher, err = Start(y.loop, d, Config{Name: "d", Zone: d.Zones[0], Seed: 1, Discovery: y.fleet.Roster.Addr, Log: zerolog.Nop()})
		if err != nil {
			return
		}
		ln, e := y.loop.Listen("127.0.0.1:0", y.dispatcher.Frontend().Accept)
		y.addr, err = ln.Addr(), e
	})
	if err != nil {
		t.Fatal(err)
	}
	w.Run(100 * eventloop.Millisecond)
	return y
}

// stage is where a generation stands when it ends, and how it gets there.
type stage struct {
	name   string
	tokens int // of its prompt
	after  eventloop.Micros
	seen   string // where the hosts have it by then
	whole  bool   // its answer is asked for in one piece, as only that has a time limit once it is being written
	before func(y *fleetHarness)
}

var stages = []stage{
	{"held, as no writer fits", 1800, 300 * eventloop.Millisecond, "", false, func(y *fleetHarness) {
		y.remote.Do(func() {
			for _, h := range y.fleet.Hosts {
				if h.Kind() == "decode" {
					h.Drain(60*eventloop.Second, 0)
				}
			}
		})
		y.world.Run(100 * eventloop.Millisecond)
	}},
	{"waiting for a reader", 1800, 50 * eventloop.Millisecond, "waiting", false, func(y *fleetHarness) {
		y.askRecorded("blocker", "explain", 1800, false, 0)
		y.world.Run(10 * eventloop.Millisecond)
	}},
	{"being read", 5000, 150 * eventloop.Millisecond, "reading", false, nil},
	{"its state on its way", 5000, 530 * eventloop.Millisecond, "fetching", false, nil},
	{"being written", 5000, 1100 * eventloop.Millisecond, "writing", true, nil},
}

// askRecorded asks for a generation and has what its client sees recorded.
func (y *fleetHarness) askRecorded(id, product string, tokens int, whole bool, limit eventloop.Micros) *clientCall {
	fields := []string{"x-client-request-id", id}
	if limit > 0 {
		fields = append(fields, "x-time-limit-ms", fmt.Sprint(limit/eventloop.Millisecond))
	}
	y.recorder.Add(record.Event{At: int64(y.world.Now()), What: "ask", Gen: id, Try: 1, Dispatcher: "d", Product: product, Value: float64(limit)})
	return y.send(fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`, product, !whole, strings.Repeat("tell ", tokens*4/5)), fields...)
}

// ending is how it ends there. It tells which final answers are right for it, by effect; none where the client has left.
type ending struct {
	name string
	do   func(y *fleetHarness, c *clientCall, at *modelserver.Host)
	want func(s stage, effect pb.Product_Effect) []string
}

// ends: what is known not to have run, or may run again, may come again.
func endsBy(s stage, effect pb.Product_Effect) []string {
	switch {
	case s.whole:
		return []string{"terminated"}
	case effect == pb.Product_IDEMPOTENT || s.seen == "":
		return []string{"throttled"}
	}
	return []string{"terminated"} // a leg is out, be it a read
}

var endings = []ending{
	{"its client leaves", func(y *fleetHarness, c *clientCall, _ *modelserver.Host) { y.remote.Do(c.conn.Abort) }, func(stage, pb.Product_Effect) []string { return nil }},
	{"its time limit", nil, endsBy},
	{"its tenant is removed", func(y *fleetHarness, _ *clientCall, _ *modelserver.Host) {
		y.loop.Do(func() { y.dispatcher.removeTenant(y.dispatcher.tenantSlots["one"], true) })
	}, endsBy},
	{"its host is lost", func(y *fleetHarness, _ *clientCall, at *modelserver.Host) {
		if at == nil { // held: the reader is
			at = y.fleet.Hosts[0]
		}
		y.remote.Do(func() { at.Crash(500 * eventloop.Millisecond) })
	}, func(s stage, effect pb.Product_Effect) []string {
		switch {
		case s.whole, s.seen == "fetching" && effect == pb.Product_SIDE_EFFECTING:
			return []string{"terminated"}
		}
		return []string{"streamed", "throttled"}
	}},
}

// expectCleanEnd ends a cell: one final answer or none, as it should be; no rule broken; nothing left at the dispatcher, in the module or
// at the hosts.
func (y *fleetHarness) expectCleanEnd(c *clientCall, product string, want []string, left bool) {
	y.t.Helper()
	if !left {
		y.runUntil(8*eventloop.Second, func() bool { return len(c.finals) > 0 })
		how := "gave_up"
		if len(c.finals) > 0 {
			how = c.finals[0]
		}
		y.recorder.Add(record.Event{At: int64(y.world.Now()), What: "final", Gen: "g", Try: 1, Dispatcher: "d", Product: product, How: how, Exact: true, N: int64(len(c.text))})
	} else {
		y.recorder.Add(record.Event{At: int64(y.world.Now()), What: "final", Gen: "g", Try: 1, Dispatcher: "d", Product: product, How: "terminated", N: 1})
	}
	y.world.Run(eventloop.Second)
	if jobs, states, tokens := y.fleet.Held(); y.deployment.Fleet.CancelStops && (jobs > 0 || states > 0 || tokens > 0) {
		y.t.Errorf("a second later the hosts have %d jobs, %d states, %d tokens\n%s", jobs, states, tokens, strings.Join(y.fleet.Summary(), "\n"))
	}
	y.world.Run(15 * eventloop.Second)
	n := len(c.finals)
	switch {
	case left && n > 0, !left && n != 1, c.eventsAfterFinal > 0:
		y.t.Errorf("final answers %v, %d events after; left: %v", c.finals, c.eventsAfterFinal, left)
	case !left && !slices.Contains(want, c.finals[0]):
		y.t.Errorf("final answer %s, want %v; raw %.200q", c.finals[0], want, c.raw)
	}
	if jobs, states, tokens := y.fleet.Held(); jobs > 0 || states > 0 || tokens > 0 {
		y.t.Errorf("at the end the hosts have %d jobs, %d states, %d tokens\n%s", jobs, states, tokens, strings.Join(y.fleet.Summary(), "\n"))
	}
	open := y.dispatcher.scheduler.InFlight()
	if open.Requests+open.Attempts+open.Queued > 0 || open.PrefillTokens > 0.5 || y.dispatcher.OpenRequests() > 0 || y.dispatcher.frontend.OpenRequests != 0 {
		y.t.Errorf("the module has %d generations, %d legs, %d held, %.0f tokens being read; the dispatcher %v, %d open", open.Requests, open.Attempts, open.Queued, open.PrefillTokens, y.dispatcher.DescribeOpenRequests(), y.dispatcher.frontend.OpenRequests)
	}
	for _, h := range y.fleet.Hosts {
		if out := y.dispatcher.engine.InFlight(h.Entry("ready").ID); out != 0 {
			y.t.Errorf("%d legs are out at host %d", out, h.ID)
		}
	}
	if err := y.dispatcher.CheckInvariants(); err != nil {
		y.t.Error(err)
	}
	events, _ := y.recorder.Close()
	events = slices.DeleteFunc(events, func(e record.Event) bool { return e.Gen == "blocker" && e.What == "ask" })
	v := audit.Judge(y.deployment, events)
	for i, r := range v.Rules {
		for _, b := range r.Breaks {
			y.t.Errorf("rule %d: %s", i+1, b.Text)
		}
	}
	for _, e := range events {
		if e.What == "lease" {
			y.t.Errorf("the state of leg %s was let go of by its host's lease alone", e.Leg)
		}
	}
}
