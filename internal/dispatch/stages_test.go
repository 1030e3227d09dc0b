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

// yard is a dispatcher with the laboratory's own hosts, one reader and two writers, and a record of what they and the client see.
type yard struct {
	*rig
	fleet *modelserver.Fleet
	book  *record.Recorder
}

func newYard(t *testing.T, stops, cancels bool) *yard {
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
	y := &yard{rig: &rig{t: t, w: w, loop: w.NewLoop("d"), far: w.NewLoop("far"), d: d}}
	y.book, _ = record.Open("")
	y.book.Add(record.Event{At: int64(w.Now()), Type: "world", Count: int64(w.Latency)})
	var err error
	y.far.Do(func() { y.fleet, err = modelserver.Start(y.far, d, 1, "127.0.0.1:0", y.book) })
	if err != nil {
		t.Fatal(err)
	}
	y.loop.Do(func() {
		y.x, err = Start(y.loop, d, Config{Name: "d", Zone: d.Zones[0], Seed: 1, Discovery: y.fleet.Discovery.Addr, Log: zerolog.Nop()})
		if err != nil {
			return
		}
		ln, e := y.loop.Listen("127.0.0.1:0", y.x.Front().Accept)
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
	before func(y *yard)
}

var stages = []stage{
	{"held, as no writer fits", 1800, 300 * eventloop.Millisecond, "", false, func(y *yard) {
		y.far.Do(func() {
			for _, h := range y.fleet.Endpoints {
				if h.Kind() == "decode" {
					h.Drain(60*eventloop.Second, 0)
				}
			}
		})
		y.w.Run(100 * eventloop.Millisecond)
	}},
	{"waiting for a reader", 1800, 50 * eventloop.Millisecond, "waiting", false, func(y *yard) {
		y.begin("blocker", "explain", 1800, false, 0)
		y.w.Run(10 * eventloop.Millisecond)
	}},
	{"being read", 5000, 150 * eventloop.Millisecond, "reading", false, nil},
	{"its state on its way", 5000, 530 * eventloop.Millisecond, "fetching", false, nil},
	{"being written", 5000, 1100 * eventloop.Millisecond, "writing", true, nil},
}

// begin asks for a generation and has what its client sees recorded.
func (y *yard) begin(id, product string, tokens int, whole bool, limit eventloop.Micros) *call {
	fields := []string{"x-client-request-id", id}
	if limit > 0 {
		fields = append(fields, "x-time-limit-ms", fmt.Sprint(limit/eventloop.Millisecond))
	}
	y.book.Add(record.Event{At: int64(y.w.Now()), Type: "ask", Request: id, ClientAttempt: 1, Dispatcher: "d", Product: product, Value: float64(limit)})
	return y.send(fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`, product, !whole, strings.Repeat("tell ", tokens*4/5)), fields...)
}

// ending is how it ends there. It tells which final answers are right for it, by effect; none where the client has left.
type ending struct {
	name string
	do   func(y *yard, c *call, at *modelserver.Endpoint)
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
	{"its client leaves", func(y *yard, c *call, _ *modelserver.Endpoint) { y.far.Do(c.conn.Abort) }, func(stage, pb.Product_Effect) []string { return nil }},
	{"its time limit", nil, endsBy},
	{"its tenant is removed", func(y *yard, _ *call, _ *modelserver.Endpoint) {
		y.loop.Do(func() { y.x.leaveSeat(y.x.seats["one"], true) })
	}, endsBy},
	{"its host is lost", func(y *yard, _ *call, at *modelserver.Endpoint) {
		if at == nil { // held: the reader is
			at = y.fleet.Endpoints[0]
		}
		y.far.Do(func() { at.Crash(500 * eventloop.Millisecond) })
	}, func(s stage, effect pb.Product_Effect) []string {
		switch {
		case s.whole, s.seen == "fetching" && effect == pb.Product_SIDE_EFFECTING:
			return []string{"terminated"}
		}
		return []string{"streamed", "throttled"}
	}},
}

// judge ends a cell: one final answer or none, as it should be; no rule broken; nothing left at the dispatcher, in the module or
// at the hosts.
func (y *yard) judge(c *call, product string, want []string, left bool) {
	y.t.Helper()
	if !left {
		y.until(8*eventloop.Second, func() bool { return len(c.finals) > 0 })
		how := "gave_up"
		if len(c.finals) > 0 {
			how = c.finals[0]
		}
		y.book.Add(record.Event{At: int64(y.w.Now()), Type: "final", Request: "g", ClientAttempt: 1, Dispatcher: "d", Product: product, Detail: how, Exact: true, Count: int64(len(c.text))})
	} else {
		y.book.Add(record.Event{At: int64(y.w.Now()), Type: "final", Request: "g", ClientAttempt: 1, Dispatcher: "d", Product: product, Detail: "terminated", Count: 1})
	}
	y.w.Run(eventloop.Second)
	if jobs, states, tokens := y.fleet.Outstanding(); y.d.Fleet.CancelStops && (jobs > 0 || states > 0 || tokens > 0) {
		y.t.Errorf("a second later the hosts have %d jobs, %d states, %d tokens\n%s", jobs, states, tokens, strings.Join(y.fleet.Summary(), "\n"))
	}
	y.w.Run(15 * eventloop.Second)
	n := len(c.finals)
	switch {
	case left && n > 0, !left && n != 1, c.after > 0:
		y.t.Errorf("final answers %v, %d events after; left: %v", c.finals, c.after, left)
	case !left && !slices.Contains(want, c.finals[0]):
		y.t.Errorf("final answer %s, want %v; raw %.200q", c.finals[0], want, c.raw)
	}
	if jobs, states, tokens := y.fleet.Outstanding(); jobs > 0 || states > 0 || tokens > 0 {
		y.t.Errorf("at the end the hosts have %d jobs, %d states, %d tokens\n%s", jobs, states, tokens, strings.Join(y.fleet.Summary(), "\n"))
	}
	open := y.x.module.InFlight()
	if open.Requests+open.Attempts+open.Queued > 0 || open.PrefillTokens > 0.5 || y.x.OpenRequests() > 0 || y.x.front.OpenRequests != 0 {
		y.t.Errorf("the module has %d generations, %d legs, %d held, %.0f tokens being read; the dispatcher %v, %d open", open.Requests, open.Attempts, open.Queued, open.PrefillTokens, y.x.DescribeOpen(), y.x.front.OpenRequests)
	}
	for _, h := range y.fleet.Endpoints {
		if out := y.x.engine.InFlight(h.Entry("ready").ID); out != 0 {
			y.t.Errorf("%d legs are out at host %d", out, h.ID)
		}
	}
	if err := y.x.Check(); err != nil {
		y.t.Error(err)
	}
	events, _ := y.book.Close()
	events = slices.DeleteFunc(events, func(e record.Event) bool { return e.Request == "blocker" && e.Type == "ask" })
	v := audit.Judge(y.d, events)
	for i, r := range v.Rules {
		for _, b := range r.Violations {
			y.t.Errorf("rule %d: %s", i+1, b.Text)
		}
	}
	for _, e := range events {
		if e.Type == "lease" {
			y.t.Errorf("the state of leg %s was let go of by its host's lease alone", e.Attempt)
		}
	}
}

// A generation ends at each stage, in each way, for each effect, at hosts that do or don't stop what is cancelled, with a module
// that may or may not cancel: each cell keeps the rules and leaves nothing behind.
func TestEndAtEachStage(t *testing.T) {
	cells := 0
	for _, mode := range []struct{ stops, cancels bool }{{true, true}, {false, true}, {false, false}} {
		for _, s := range stages {
			for _, e := range endings {
				for _, product := range []string{"explain", "build-note", "review-post"} {
					cells++
					t.Run(fmt.Sprintf("%s/%s/%s/stops %v, cancels %v", s.name, e.name, product, mode.stops, mode.cancels), func(t *testing.T) {
						y := newYard(t, mode.stops, mode.cancels)
						if s.before != nil {
							s.before(y)
						}
						limit := eventloop.Micros(0)
						if e.do == nil {
							limit = s.after + 10*eventloop.Millisecond
							if s.whole {
								limit += wholeGrace + 20*eventloop.Millisecond
							}
						}
						c := y.begin("g", product, s.tokens, s.whole, limit)
						y.w.Run(s.after)
						seen, at := y.fleet.Stage("g")
						if seen != s.seen {
							t.Fatalf("after %d ms it is %q", s.after/eventloop.Millisecond, seen)
						}
						if e.do != nil {
							e.do(y, c, at)
						}
						effect := y.d.Products[slices.IndexFunc(y.d.Products, func(p *pb.Product) bool { return p.Name == product })].Effect
						y.judge(c, product, e.want(s, effect), e.name == "its client leaves")
					})
				}
			}
		}
	}
	t.Logf("%d cells", cells)
}

// An outcome and the end of its generation reach the dispatcher in the same turn, in either order: it stands still for a moment and
// finds both when it goes on.
func TestOutcomeAndEndInOneTurn(t *testing.T) {
	const still = 60 * eventloop.Millisecond
	cells := 0
	for _, product := range []string{"explain", "build-note", "review-post"} {
		for _, whole := range []bool{false, true} {
			// When things happen is seen on a day on which nothing ends early.
			y := newYard(t, true, true)
			began := y.w.Now()
			c := y.begin("g", product, 5000, whole, 0)
			y.until(20*eventloop.Second, func() bool { return len(c.finals) > 0 })
			ended := y.w.Now() - began
			events, _ := y.book.Close()
			at := map[string]eventloop.Micros{"streamed": ended - y.w.Latency}
			for _, e := range events {
				if e.Request == "g" && (e.Type == "ran" || e.Type == "answered" && e.Detail == "read") {
					at[e.Type] = eventloop.Micros(e.At) - began
				}
			}
			for _, what := range []string{"answered", "ran", "streamed"} {
				for _, e := range endings[:3] {
					for _, first := range []bool{false, true} {
						if e.do == nil && what == "streamed" && !whole { // a stream that has begun has no time limit
							continue
						}
						cells++
						t.Run(fmt.Sprintf("%s, whole %v/%s/%s/the end first: %v", product, whole, what, e.name, first), func(t *testing.T) {
							y := newYard(t, true, true)
							stands := at[what] - 20*eventloop.Millisecond
							ends := at[what] + 20*eventloop.Millisecond
							if first {
								ends = at[what] - 10*eventloop.Millisecond
							}
							limit := eventloop.Micros(0)
							if e.do == nil {
								limit = ends + 9*eventloop.Millisecond // the module gives up so much earlier
								if what == "streamed" {
									limit = ends + wholeGrace
								}
							}
							c := y.begin("g", product, 5000, whole, limit)
							y.w.Run(stands)
							y.book.Add(record.Event{At: int64(y.w.Now()), Type: "away", Dispatcher: "d", Detail: "stands", Count: int64(still)})
							y.virtual().Freeze(still)
							y.w.Run(ends - stands)
							if e.do != nil {
								e.do(y, c, nil)
							}
							y.judge(c, product, []string{"streamed", "throttled", "terminated"}, e.name == "its client leaves")
						})
					}
				}
			}
		}
	}
	t.Logf("%d crossings", cells)
}

// The subscription to the list's source breaks while clients take each descriptor that is given back: it is heard all the same, by one that
// is kept back. Where not even that is left, the list known is served from, and once there is room the source is heard again, without a
// restart, with what it told meanwhile.
func TestListIsHeardAgainOnceThereIsRoom(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprintf("kept back %v", kept), func(t *testing.T) { listWithoutRoom(t, kept) })
	}
}

func listWithoutRoom(t *testing.T, kept bool) {
	y := newYard(t, true, true)
	c := y.begin("warm", "explain", 500, false, 0)
	y.until(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	var mutes []*mute
	y.virtual().DescriptorLimit = y.virtual().OpenConnections() + 2
	for i := range 6000 {
		y.far.Do(func() {
			y.far.AfterFunc(eventloop.Micros(i)*500, func() {
				m := &mute{}
				m.conn = y.far.Dial(y.addr, eventloop.Second, m)
				mutes = append(mutes, m)
			})
		})
	}
	y.w.Run(10 * eventloop.Millisecond)
	if !kept {
		y.virtual().DescriptorLimit = 1
	}
	y.far.Do(y.fleet.Discovery.ResetWatches)
	y.w.Run(500 * eventloop.Millisecond)
	heard := y.x.heard
	y.far.Do(func() { y.fleet.Endpoints[1].Drain(60*eventloop.Second, 0) })
	y.w.Run(2 * eventloop.Second)
	if (y.x.heard != heard) != kept {
		t.Fatalf("the source was heard: %v", !kept)
	}
	if kept {
		heard = 0
	}
	y.virtual().DescriptorLimit = 0
	for _, m := range mutes {
		y.far.Do(m.conn.Abort)
	}
	y.w.Run(8 * eventloop.Second)
	if e := y.x.hosts[y.fleet.Endpoints[1].Entry("").ID]; y.x.heard == heard || e.Condition != "draining" {
		t.Errorf("heard %d times, then %d; the host is %q", heard, y.x.heard, e.Condition)
	}
	c = y.begin("after", "review-post", 500, false, 0)
	y.until(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if len(c.finals) != 1 || c.finals[0] != "streamed" {
		t.Errorf("afterwards: %v", c.finals)
	}
}
