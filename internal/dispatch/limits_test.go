package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/virtual"
)

// A state is to be let go of while all connections to its reader are in use, or no descriptor is left: neither pins it.
func TestReleaseNeedsNoFreeConnection(t *testing.T) {
	for name, fill := range map[string]func(r *harness){
		"all connections in use": func(r *harness) {
			r.endpoints[0].serve = func(*fakeConn) {} // reads that go on
			for range r.deployment.Dispatching.Connections {
				r.ask("explain")
			}
		},
		"no descriptor is left": func(r *harness) {
			r.endpoints[0].serve = func(*fakeConn) {}
			r.ask("explain") // takes the idle connection
			r.world.Run(20 * eventloop.Millisecond)
			r.virtual().DescriptorLimit = r.virtual().OpenConnections() + 2 // which are kept back; and what is given back is taken at once
			for i := range 4000 {
				r.remote.Do(func() {
					r.remote.AfterFunc(eventloop.Micros(i*250), func() { r.remote.Dial(r.addr, eventloop.Second, &silentClient{}) })
				})
			}
		},
	} {
		r := newHarness(t, func(d deployment.Deployment) { d.Dispatching.Connections = 3 }, "prefill west", "decode west")
		r.endpoints[1].serve = func(*fakeConn) {}
		c := r.ask("review-post", "x-time-limit-ms", "600")
		r.world.Run(100 * eventloop.Millisecond) // read, and at the writer, which does not begin
		if r.endpoints[1].attempts() != 1 {
			t.Fatal("it is not being written")
		}
		fill(r)
		r.world.Run(100 * eventloop.Millisecond)
		before := r.endpoints[0].releases()
		r.runUntil(eventloop.Second, func() bool { return len(c.finals) > 0 })
		r.expectRelease(r.endpoints[0], before, name)
		r.virtual().DescriptorLimit = 0
		r.endpoints[0].serve, r.endpoints[1].serve = answerPrefill, answerDecode
		r.world.Run(10 * eventloop.Second)
		r.expectFinal(r.ask("review-post"), "streamed")
	}
}

// A reader can't be reached for longer than a state may wait: once it can be, it is told to let go, of all that came together.
func TestReleaseIsRetriedAfterAPartition(t *testing.T) {
	r := newHarness(t, func(d deployment.Deployment) { d.Dispatching.IdleMs = 50 }, "prefill west", "decode west") // it has to connect anew
	r.endpoints[1].serve = func(*fakeConn) {}
	var calls []*clientCall
	for range 5 {
		calls = append(calls, r.ask("review-post", "x-time-limit-ms", "800"))
	}
	r.world.Run(300 * eventloop.Millisecond)
	if r.endpoints[1].attempts() != 5 {
		t.Fatalf("%d are being written", r.endpoints[1].attempts())
	}
	d, far := r.virtual(), r.remote.(*virtual.Loop)
	r.world.Block(far, d, 3*eventloop.Second)
	r.world.Run(3 * eventloop.Second)
	for i, c := range calls {
		if len(c.finals) != 1 {
			t.Errorf("call %d: %v", i, c.finals)
		}
	}
	r.endpoints[1].serve = answerDecode
	let := func() string {
		var b strings.Builder
		for _, l := range r.endpoints[0].seen {
			if l.target == "/v1/kv/release" {
				b.Write(l.body)
			}
		}
		return b.String()
	}
	r.world.Run(eventloop.Micros(r.deployment.Rules.LetGoMs) * eventloop.Millisecond)
	for i := range 5 {
		if name := fmt.Sprintf(`"d-%d-0"`, i+1); !strings.Contains(let(), name) {
			t.Errorf("the reader was not told to let go of %s: %s", name, let())
		}
	}
	n := len(r.endpoints[0].seen)
	r.world.Run(12 * eventloop.Second)
	if more := len(r.endpoints[0].seen) - n; more > 0 {
		t.Errorf("it was told %d times more", more)
	}
	r.expectFinal(r.ask("review-post"), "streamed")
}

// Idle connections to other hosts make room for one that is needed.
func TestIdleConnectionsGiveWay(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west", "decode west", "decode west")
	for range 12 { // each of the writers has an idle connection
		r.expectFinal(r.ask("explain"), "streamed")
	}
	for _, h := range r.endpoints[1:3] {
		r.updateEndpoints(h.entry("draining"))
	}
	r.updateEndpoints(r.endpoints[0].entry("gone"))
	next := &fakeEndpoint{harness: r, id: 9, kind: "prefill", zone: "west", serve: answerPrefill}
	r.remote.Do(next.listen)
	r.endpoints = append(r.endpoints, next)
	r.updateEndpoints(next.entry("ready"))
	r.world.Run(100 * eventloop.Millisecond)
	r.virtual().DescriptorLimit = r.virtual().OpenConnections() + 3 // its client's, and what is kept back
	r.expectFinal(r.ask("review-post"), "streamed")
}

// Clients that hold connections leave some for everybody else: past their part requests are throttled in words and the connection
// closed, past an eighth more none is served; those that idle make way, and with room again all is as before.
func TestClientConnectionsAreLimited(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.dispatcher.frontend.MaxConnections = 8
	running := r.ask("explain")
	r.endpoints[1].serve = func(l *fakeConn) {
		l.stream(chunkEvent("Lamu ", ""))
		r.remote.AfterFunc(3*eventloop.Second, func() {
			l.conn.Write(http1.AppendLastChunk(http1.AppendChunk(nil, []byte(chunkEvent("é", "stop")+"data: [DONE]\n\n"))))
		})
	}
	r.world.Run(100 * eventloop.Millisecond)
	var idle []*silentClient
	for range 7 {
		l := &silentClient{}
		r.remote.Do(func() { l.conn = r.remote.Dial(r.addr, eventloop.Second, l) })
		idle = append(idle, l)
	}
	r.world.Run(100 * eventloop.Millisecond)
	c := r.ask("explain")
	r.runUntil(eventloop.Second, func() bool { return len(c.finals) > 0 })
	if len(c.finals) != 1 || c.finals[0] != "throttled" || c.head.KeepAlive() || r.endpoints[0].attempts() != 1 {
		t.Errorf("past the clients' part: %v, keeps the connection: %v, %d legs", c.finals, c.head.KeepAlive(), r.endpoints[0].attempts())
	}
	for range 4 {
		r.remote.Do(func() {
			r.remote.Dial(r.addr, eventloop.Second, &silentClient{})
		})
	}
	c = r.ask("explain")
	r.runUntil(eventloop.Second, func() bool { return c.closed })
	if len(c.finals) != 1 || c.finals[0] != "throttled" || r.virtual().OpenConnections() > 16 {
		t.Errorf("past an eighth more: %v, %d connections", c.finals, r.virtual().OpenConnections())
	}
	r.world.Run(2 * eventloop.Second)
	r.ask("explain") // one of those that idle makes way
	r.world.Run(100 * eventloop.Millisecond)
	if !idle[0].closed {
		t.Error("the connection that idled longest is still there")
	}
	for _, l := range idle {
		r.remote.Do(l.conn.Abort)
	}
	r.expectFinal(running, "streamed")
	r.endpoints[1].serve = answerDecode
	r.world.Run(8 * eventloop.Second)
	r.dispatcher.frontend.MaxConnections = 40
	r.expectFinal(r.ask("explain"), "streamed")
}

// Bodies that wait with their generations, and bodies that never end, are kept up to a bound in all; past it requests are throttled
// and nothing of them is kept. The memory comes back, and so does the service.
func TestBufferedBodiesAreBounded(t *testing.T) {
	const each = 19000
	text := strings.Repeat("a", each-200)
	for _, whole := range []bool{true, false} {
		r := newHarness(t, func(d deployment.Deployment) { d.Doors.BodyMost = 20000 }, "prefill west", "decode west")
		r.updateEndpoints(r.endpoints[1].entry("gone"))
		bound, most := maxBufferedBodies*20000, 0
		var calls []*clientCall
		for range 120 {
			if whole {
				calls = append(calls, r.send(`{"model":"explain","stream":true,"messages":[{"role":"user","content":"`+text+`"}]}`))
			} else {
				c := &clientCall{harness: r, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
				c.request = []byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\nContent-Type: application/json\r\nContent-Length: 20000\r\n\r\n" + text)
				r.remote.Do(func() { c.conn = r.remote.Dial(r.addr, eventloop.Second, c) })
				calls = append(calls, c)
			}
			r.world.Run(5 * eventloop.Millisecond)
			most = max(most, r.dispatcher.frontend.BufferedBytes)
		}
		r.world.Run(100 * eventloop.Millisecond)
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
			if throttled < 40 || throttled > 70 || r.dispatcher.OpenRequests() > 70 {
				t.Errorf("%d of 120 are throttled, %d run", throttled, r.dispatcher.OpenRequests())
			}
		}
		r.world.Run(15 * eventloop.Second)
		if r.dispatcher.frontend.BufferedBytes != 0 {
			t.Errorf("whole %v: %d bytes are counted at the end", whole, r.dispatcher.frontend.BufferedBytes)
		}
		r.updateEndpoints(r.endpoints[1].entry("ready"))
		r.expectFinal(r.ask("explain"), "streamed")
	}
}

// The answers that calls with many inputs are going to have are bounded too.
func TestBatchAnswersAreBounded(t *testing.T) {
	r := newHarness(t, func(d deployment.Deployment) {
		for _, p := range d.Products {
			if p.Name == "embed" {
				p.Dimensions, p.TimeLimitMs = 16384, 5000
			}
		}
	}, "prefill west", "decode west")
	r.endpoints[0].serve = func(*fakeConn) {}
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
	post := func(i int) *clientCall {
		c := &clientCall{harness: r, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
		c.request = http1.AppendRequest(nil, "POST", "/v1/embeddings", r.addr, []byte(numbered(i)), "Authorization", "Bearer "+key, "Content-Type", "application/json")
		r.remote.Do(func() { c.conn = r.remote.Dial(r.addr, eventloop.Second, c) })
		return c
	}
	var calls []*clientCall
	for i := range 4 {
		calls = append(calls, post(i))
	}
	r.world.Run(500 * eventloop.Millisecond)
	if n := r.dispatcher.batches.answerBytes; n > maxBatchAnswerBytes || n < maxBatchAnswerBytes/3 {
		t.Errorf("%d bytes of answers are going to be", n)
	}
	if f := calls[3].finals; len(f) != 1 || f[0] != "throttled" {
		t.Errorf("the last call: %v", f)
	}
	r.world.Run(10 * eventloop.Second)
	if r.dispatcher.batches.answerBytes != 0 || r.dispatcher.frontend.BufferedBytes != 0 || r.dispatcher.batches.openCalls != 0 {
		t.Errorf("at the end %d bytes of answers, %d of bodies, %d calls", r.dispatcher.batches.answerBytes, r.dispatcher.frontend.BufferedBytes, r.dispatcher.batches.openCalls)
	}
	for i, c := range calls {
		if len(c.finals) != 1 {
			t.Errorf("call %d: %v", i, c.finals)
		}
	}
}
