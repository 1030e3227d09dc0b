package dispatch

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/store"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

// keeper starts a dispatcher anew, with its intents in a folder of the world.
func (r *rig) keeper(f *virtual.Disk) {
	r.t.Helper()
	loop := r.w.NewLoop("kept")
	r.loop = loop
	loop.Do(func() {
		intents, err := store.Open(f.AttachTo(loop), store.DefaultLimits)
		if err != nil {
			r.t.Fatal(err)
		}
		if r.x, err = Start(loop, r.d, Config{Name: "kept", Zone: "west", Seed: 1, CachedEndpoints: [][]byte{r.kept}, Log: zerolog.Nop(), Intents: intents}); err != nil {
			r.t.Fatal(err)
		}
		ln, err := loop.Listen("127.0.0.1:0", r.x.Front().Accept)
		if err != nil {
			r.t.Fatal(err)
		}
		r.addr = ln.Addr()
	})
}

// The disk has no room, writes short, or fails a sync, while keyed generations come: none runs whose record is not kept, what
// needs none goes on, and once there is room again, keyed ones run without a restart. What was refused is free to run.
func TestDiskWithoutRoom(t *testing.T) {
	for name, fail := range map[string]func(f *virtual.Disk, on bool){
		"no room": func(f *virtual.Disk, on bool) {
			f.Capacity = 0
			if on {
				f.Capacity = f.Used() + 20
			}
		},
		"a failed sync": func(f *virtual.Disk, on bool) {
			f.PartialWrites, f.Failure = on, nil
			if on {
				f.Failure = errors.New("input/output error")
			}
		},
	} {
		r := newRig(t, nil, "prefill west", "decode west", "decode west")
		f := r.w.NewDisk()
		r.keeper(f)
		writes := func() int { return r.hosts[1].legs() + r.hosts[2].legs() }
		r.ends(r.ask("review-post", "Idempotency-Key", "before"), "streamed")
		fail(f, true)
		n := writes()
		for _, key := range []string{"a", "b", "a"} {
			r.ends(r.ask("review-post", "Idempotency-Key", key), "throttled")
		}
		r.ends(r.ask("review-post"), "streamed")
		r.ends(r.ask("explain"), "streamed")
		if writes() != n+2 {
			t.Errorf("%s: %d writes without a record", name, writes()-n-2)
		}
		fail(f, false)
		r.w.Run(3 * eventloop.Second)
		for _, key := range []string{"a", "c"} {
			r.ends(r.ask("review-post", "Idempotency-Key", key), "streamed")
		}
		n = writes()
		r.virtual().Kill()
		r.keeper(f) // what was acknowledged is there, and the torn tail is gone
		for _, key := range []string{"before", "a", "c"} {
			r.ends(r.ask("review-post", "Idempotency-Key", key), "409")
		}
		r.ends(r.ask("review-post", "Idempotency-Key", "b"), "streamed")
		if writes() != n+1 {
			t.Errorf("%s: after the restart %d writes, want one", name, writes()-n)
		}
	}
}

// The disk stalls between a read and its write: the state that waits at the reader is let go within its time all the same, the
// generation is answered within its own, and nothing runs without its record.
func TestDiskStalls(t *testing.T) {
	for _, product := range []string{"review-post", "build-note"} {
		r := newRig(t, nil, "prefill west", "decode west", "decode west")
		f := r.w.NewDisk()
		r.keeper(f)
		f.SyncTime = 20 * eventloop.Second
		var since eventloop.Micros
		most := eventloop.Micros(0)
		r.hosts[0].serve = func(l *line) {
			since = r.far.Now()
			read(l)
		}
		c := r.ask(product, "Idempotency-Key", "k")
		seen := 0
		r.w.AfterStep = func() {
			if n := len(r.hosts[0].seen); n > seen {
				seen = n
				if r.hosts[0].seen[n-1].target == "/v1/kv/release" && since > 0 {
					most, since = max(most, r.far.Now()-since), 0
				}
			}
		}
		r.ends(c, "throttled")
		r.w.AfterStep = nil
		if since > 0 || most == 0 || most > eventloop.Micros(r.d.Rules.LetGoMs)*eventloop.Millisecond {
			t.Errorf("%s: a state waited for %d ms (still held: %v)", product, most/1000, since > 0)
		}
		if n := r.hosts[1].legs() + r.hosts[2].legs(); n != 0 {
			t.Errorf("%s: %d writes without a record", product, n)
		}
		f.SyncTime = eventloop.Millisecond
		r.w.Run(90 * eventloop.Second) // what it was asked for takes its time
		r.ends(r.ask(product, "Idempotency-Key", "m"), "streamed")
	}
}

// mute is a client that holds a connection and says nothing.
type mute struct {
	conn   eventloop.Conn
	closed bool
}

func (m *mute) Opened()      {}
func (m *mute) Data([]byte)  {}
func (m *mute) Drained()     {}
func (m *mute) Closed(error) { m.closed = true }

// letGoWithin lets time pass until a reader has been told to let go of what it held, and fails where that takes too long.
func (r *rig) letGoWithin(reader *script, before int, what string) {
	r.t.Helper()
	if !r.until(eventloop.Micros(r.d.Rules.LetGoMs)*eventloop.Millisecond, func() bool { return reader.releases() > before }) {
		r.t.Errorf("%s: the reader was not told to let go in time", what)
	}
}

// A state is to be let go of while all connections to its reader are in use, or no descriptor is left: neither pins it.
func TestReleaseWithoutAConnection(t *testing.T) {
	for name, fill := range map[string]func(r *rig){
		"all connections in use": func(r *rig) {
			r.hosts[0].serve = func(*line) {} // reads that go on
			for range r.d.Dispatching.Connections {
				r.ask("explain")
			}
		},
		"no descriptor is left": func(r *rig) {
			r.hosts[0].serve = func(*line) {}
			r.ask("explain") // takes the idle connection
			r.w.Run(20 * eventloop.Millisecond)
			r.virtual().DescriptorLimit = r.virtual().OpenConnections() + 2 // which are kept back; and what is given back is taken at once
			for i := range 4000 {
				r.far.Do(func() {
					r.far.AfterFunc(eventloop.Micros(i*250), func() { r.far.Dial(r.addr, eventloop.Second, &mute{}) })
				})
			}
		},
	} {
		r := newRig(t, func(d deployment.Deployment) { d.Dispatching.Connections = 3 }, "prefill west", "decode west")
		r.hosts[1].serve = func(*line) {}
		c := r.ask("review-post", "x-time-limit-ms", "600")
		r.w.Run(100 * eventloop.Millisecond) // read, and at the writer, which does not begin
		if r.hosts[1].legs() != 1 {
			t.Fatal("it is not being written")
		}
		fill(r)
		r.w.Run(100 * eventloop.Millisecond)
		before := r.hosts[0].releases()
		r.until(eventloop.Second, func() bool { return len(c.finals) > 0 })
		r.letGoWithin(r.hosts[0], before, name)
		r.virtual().DescriptorLimit = 0
		r.hosts[0].serve, r.hosts[1].serve = read, write
		r.w.Run(10 * eventloop.Second)
		r.ends(r.ask("review-post"), "streamed")
	}
}

// Idle connections to other hosts make room for one that is needed.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	r := newRig(t, nil, "prefill west", "decode west", "decode west", "decode west")
	for range 12 { // each of the writers has an idle connection
		r.ends(r.ask("explain"), "streamed")
	}
	for _, h := range r.hosts[1:3] {
		r.told(h.entry("draining"))
	}
	r.told(r.hosts[0].entry("gone"))
	next := &script{rig: r, id: 9, kind: "prefill", zone: "west", serve: read}
	r.far.Do(next.up)
	r.hosts = append(r.hosts, next)
	r.told(next.entry("ready"))
	r.w.Run(100 * eventloop.Millisecond)
	r.virtual().DescriptorLimit = r.virtual().OpenConnections() + 3 // its client's, and what is kept back
	r.ends(r.ask("review-post"), "streamed")
}

// Clients that hold connections leave some for everybody else: past their part requests are throttled in words and the connection
// closed, past an eighth more none is served; those that idle make way, and with room again all is as before.
func TestClientsHaveTheirPartOfConnections(t *testing.T) {
	r := newRig(t, nil, "prefill west", "decode west")
	r.x.front.MaxConnections = 8
	running := r.ask("explain")
	r.hosts[1].serve = func(l *line) {
		l.stream(event("Lamu ", ""))
		r.far.AfterFunc(3*eventloop.Second, func() {
			l.conn.Write(http1.AppendLastChunk(http1.AppendChunk(nil, []byte(event("é", "stop")+"data: [DONE]\n\n"))))
		})
	}
	r.w.Run(100 * eventloop.Millisecond)
	var idle []*mute
	for range 7 {
		l := &mute{}
		r.far.Do(func() { l.conn = r.far.Dial(r.addr, eventloop.Second, l) })
		idle = append(idle, l)
	}
	r.w.Run(100 * eventloop.Millisecond)
	c := r.ask("explain")
	r.until(eventloop.Second, func() bool { return len(c.finals) > 0 })
	if len(c.finals) != 1 || c.finals[0] != "throttled" || c.head.KeepAlive() || r.hosts[0].legs() != 1 {
		t.Errorf("past the clients' part: %v, keeps the connection: %v, %d legs", c.finals, c.head.KeepAlive(), r.hosts[0].legs())
	}
	for range 4 {
		r.far.Do(func() {
			r.far.Dial(r.addr, eventloop.Second, &mute{})
		})
	}
	c = r.ask("explain")
	r.until(eventloop.Second, func() bool { return c.closed })
	if len(c.finals) != 1 || c.finals[0] != "throttled" || r.virtual().OpenConnections() > 16 {
		t.Errorf("past an eighth more: %v, %d connections", c.finals, r.virtual().OpenConnections())
	}
	r.w.Run(2 * eventloop.Second)
	r.ask("explain") // one of those that idle makes way
	r.w.Run(100 * eventloop.Millisecond)
	if !idle[0].closed {
		t.Error("the connection that idled longest is still there")
	}
	for _, l := range idle {
		r.far.Do(l.conn.Abort)
	}
	r.ends(running, "streamed")
	r.hosts[1].serve = write
	r.w.Run(8 * eventloop.Second)
	r.x.front.MaxConnections = 40
	r.ends(r.ask("explain"), "streamed")
}

// Hosts are replaced for months: nothing of those that are gone is kept, and what runs at one that is listed as gone is let go of.
func TestReplacedHostsLeaveNothing(t *testing.T) {
	r := newRig(t, nil, "prefill west", "decode west")
	for i := range 3000 {
		e := r.hosts[1].entry("ready")
		e.ID, e.Addr = scheduler.EndpointID(1000+i), "127.0.0.1:9"
		r.told(e)
		r.w.Run(500 * eventloop.Millisecond)
		e.Condition = "gone"
		r.told(e)
	}
	r.w.Run(120 * eventloop.Second)
	if n := r.x.engine.EndpointCount(); n != 2 || len(r.x.hosts) != 2 {
		t.Errorf("%d hosts are known to the legs, %d to the dispatcher", n, len(r.x.hosts))
	}
	r.ends(r.ask("explain"), "streamed")
	r.hosts[1].serve = func(*line) {}
	c := r.ask("review-post", "x-time-limit-ms", "900")
	r.w.Run(100 * eventloop.Millisecond)
	r.told(r.hosts[0].entry("gone"))
	before := r.hosts[0].releases()
	r.until(eventloop.Second, func() bool { return len(c.finals) > 0 })
	r.letGoWithin(r.hosts[0], before, "a reader that is listed as gone")
}

// Bodies that wait with their generations, and bodies that never end, are kept up to a bound in all; past it requests are throttled
// and nothing of them is kept. The memory comes back, and so does the service.
func TestBodiesHaveABound(t *testing.T) {
	const each = 19000
	text := strings.Repeat("a", each-200)
	for _, whole := range []bool{true, false} {
		r := newRig(t, func(d deployment.Deployment) { d.Doors.BodyMost = 20000 }, "prefill west", "decode west")
		r.told(r.hosts[1].entry("gone"))
		bound, most := bodiesMost*20000, 0
		var calls []*call
		for range 120 {
			if whole {
				calls = append(calls, r.send(`{"model":"explain","stream":true,"messages":[{"role":"user","content":"`+text+`"}]}`))
			} else {
				c := &call{r: r, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
				c.request = []byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\nContent-Type: application/json\r\nContent-Length: 20000\r\n\r\n" + text)
				r.far.Do(func() { c.conn = r.far.Dial(r.addr, eventloop.Second, c) })
				calls = append(calls, c)
			}
			r.w.Run(5 * eventloop.Millisecond)
			most = max(most, r.x.front.BufferedBytes)
		}
		r.w.Run(100 * eventloop.Millisecond)
		if most > bound || most < bound/2 {
			t.Errorf("whole %v: %d bytes of bodies are kept, %d may be", whole, most, bound)
		}
		if whole {
			throttled := 0
			for _, c := range calls {
				if len(c.finals) == 1 && c.finals[0] == "throttled" {
					throttled++
				}
			}
			if throttled < 40 || throttled > 70 || r.x.OpenRequests() > 70 {
				t.Errorf("%d of 120 are throttled, %d run", throttled, r.x.OpenRequests())
			}
		}
		r.w.Run(15 * eventloop.Second)
		if r.x.front.BufferedBytes != 0 {
			t.Errorf("whole %v: %d bytes are counted at the end", whole, r.x.front.BufferedBytes)
		}
		r.told(r.hosts[1].entry("ready"))
		r.ends(r.ask("explain"), "streamed")
	}
}

// The answers that calls with many inputs are going to have are bounded too.
func TestAnswersOfBatchesHaveABound(t *testing.T) {
	r := newRig(t, func(d deployment.Deployment) {
		for _, p := range d.Products {
			if p.Name == "embed" {
				p.Dimensions, p.TimeLimitMs = 16384, 5000
			}
		}
	}, "prefill west", "decode west")
	r.hosts[0].serve = func(*line) {}
	inputs := strings.Repeat(`"a b c",`, 1900)
	body := func(i int) string {
		return fmt.Sprintf(`{"model":"embed","input":[%s"last %d"]}`, strings.ReplaceAll(inputs, "a b c", fmt.Sprint("text ", i, " %")), i)
	}
	numbered := func(i int) string {
		var b strings.Builder
		for n, part := range strings.Split(body(i), "%") {
			if n > 0 {
				fmt.Fprint(&b, n)
			}
			b.WriteString(part)
		}
		return b.String()
	}
	post := func(i int) *call {
		c := &call{r: r, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
		c.request = http1.AppendRequest(nil, http1.Request{
			Method: "POST", Target: "/v1/embeddings", Host: r.addr, Body: []byte(numbered(i)),
		}, "Authorization", "Bearer "+key, "Content-Type", "application/json")
		r.far.Do(func() { c.conn = r.far.Dial(r.addr, eventloop.Second, c) })
		return c
	}
	var calls []*call
	for i := range 4 {
		calls = append(calls, post(i))
	}
	r.w.Run(500 * eventloop.Millisecond)
	if n := r.x.batches.answers; n > answersMost || n < answersMost/3 {
		t.Errorf("%d bytes of answers are going to be", n)
	}
	if f := calls[3].finals; len(f) != 1 || f[0] != "throttled" {
		t.Errorf("the last call: %v", f)
	}
	r.w.Run(10 * eventloop.Second)
	if r.x.batches.answers != 0 || r.x.front.BufferedBytes != 0 || r.x.batches.calls != 0 {
		t.Errorf("at the end %d bytes of answers, %d of bodies, %d calls", r.x.batches.answers, r.x.front.BufferedBytes, r.x.batches.calls)
	}
	for i, c := range calls {
		if len(c.finals) != 1 {
			t.Errorf("call %d: %v", i, c.finals)
		}
	}
}

// A reader can't be reached for longer than a state may wait: once it can be, it is told to let go, of all that came together.
func TestReleaseAfterACut(t *testing.T) {
	r := newRig(t, func(d deployment.Deployment) { d.Dispatching.IdleMs = 50 }, "prefill west", "decode west") // it has to connect anew
	r.hosts[1].serve = func(*line) {}
	var calls []*call
	for range 5 {
		calls = append(calls, r.ask("review-post", "x-time-limit-ms", "800"))
	}
	r.w.Run(300 * eventloop.Millisecond)
	if r.hosts[1].legs() != 5 {
		t.Fatalf("%d are being written", r.hosts[1].legs())
	}
	d, far := r.virtual(), r.far.(*virtual.Loop)
	r.w.Block(far, d, 3*eventloop.Second)
	r.w.Run(3 * eventloop.Second)
	for i, c := range calls {
		if len(c.finals) != 1 {
			t.Errorf("call %d: %v", i, c.finals)
		}
	}
	r.hosts[1].serve = write
	let := func() string {
		var b strings.Builder
		for _, l := range r.hosts[0].seen {
			if l.target == "/v1/kv/release" {
				b.Write(l.body)
			}
		}
		return b.String()
	}
	r.w.Run(eventloop.Micros(r.d.Rules.LetGoMs) * eventloop.Millisecond)
	for i := range 5 {
		if name := fmt.Sprintf(`"d-%d-0"`, i+1); !strings.Contains(let(), name) {
			t.Errorf("the reader was not told to let go of %s: %s", name, let())
		}
	}
	n := len(r.hosts[0].seen)
	r.w.Run(12 * eventloop.Second)
	if more := len(r.hosts[0].seen) - n; more > 0 {
		t.Errorf("it was told %d times more", more)
	}
	r.ends(r.ask("review-post"), "streamed")
}

// A keyed generation that goes on without its client counts with its body until it has ended.
func TestBodyOfOneThatGoesOnAlone(t *testing.T) {
	r := newRig(t, nil, "prefill west", "decode west")
	r.hosts[1].serve = func(l *line) { r.far.AfterFunc(eventloop.Second, func() { write(l) }) }
	c := r.ask("review-post", "Idempotency-Key", "k")
	r.w.Run(100 * eventloop.Millisecond)
	r.far.Do(c.conn.Abort)
	r.w.Run(100 * eventloop.Millisecond)
	if r.x.front.BufferedBytes == 0 || r.x.OpenRequests() != 1 {
		t.Errorf("%d bytes are counted, %d run", r.x.front.BufferedBytes, r.x.OpenRequests())
	}
	r.w.Run(2 * eventloop.Second)
	if r.x.front.BufferedBytes != 0 || r.x.OpenRequests() != 0 {
		t.Errorf("at the end %d bytes are counted, %d run", r.x.front.BufferedBytes, r.x.OpenRequests())
	}
	r.ends(r.ask("review-post", "Idempotency-Key", "k"), "streamed") // its answer is kept
}

// TestRequestMeetsAClose: a request that was read in the instant in which its idle connection would be closed is answered, whatever closes
// it: the dispatcher's leaving, or a connection that needs the place.
func TestRequestMeetsAClose(t *testing.T) {
	for name, closes := range map[string]func(r *rig){
		"leaving": func(r *rig) { r.loop.Do(r.x.front.Shutdown) },
		"a crowd": func(r *rig) {
			r.loop.Do(func() { r.x.front.MaxConnections = 1 })
			r.ask("explain")
			r.w.Run(r.w.Latency)
		},
	} {
		r := newRig(t, nil, "prefill west", "decode west")
		c := r.ask("explain")
		r.ends(c, "streamed")
		r.w.Run(2 * eventloop.Second)
		r.w.DeliveryDelay = 5 * eventloop.Millisecond // what has arrived is not handed over yet
		r.far.Do(func() { c.conn.Write(c.request) })
		r.w.Run(eventloop.Millisecond)
		closes(r)
		r.until(5*eventloop.Second, func() bool { return len(c.finals) > 1 || c.closed })
		if len(c.finals) < 2 {
			t.Errorf("%s: its connection was closed without an answer", name)
		}
	}
}
