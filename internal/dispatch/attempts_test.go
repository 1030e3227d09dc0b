package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

// decodeFailures are the ways in which the first write goes wrong, and what a client of each sort of product is owed. The
// second write, where one is allowed, goes well.
var decodeFailures = []struct {
	name                   string
	serve                  func(l *fakeConn)
	idempotent, sideEffect string
}{
	{"closed before a token", closeConn, "streamed", "terminated"},
	{"reset before a token", abortConn, "streamed", "terminated"},
	{"head, then closed", func(l *fakeConn) { l.stream(); closeConn(l) }, "streamed", "terminated"},
	{"closed after a token", func(l *fakeConn) { l.stream(chunkEvent("Lamu ", "")); closeConn(l) }, "terminated", "terminated"},
	{"reset after a token", func(l *fakeConn) {
		l.stream(chunkEvent("Lamu ", ""))
		l.endpoint.harness.remote.AfterFunc(5000, func() { abortConn(l) })
	},
		"terminated", "terminated"},
	{"closed inside an event", func(l *fakeConn) { l.stream(chunkEvent("Lamu ", ""), chunkEvent("é", "stop")[:20]); closeConn(l) }, "terminated", "terminated"},
	{"closed inside a character", func(l *fakeConn) {
		e := chunkEvent("é", "stop")
		l.stream(chunkEvent("Lamu ", ""), e[:strings.Index(e, "é")+1])
		closeConn(l)
	}, "terminated", "terminated"},
	{"closed after the last token", func(l *fakeConn) { l.stream(chunkEvent("Lamu ", ""), chunkEvent("é", "stop")); closeConn(l) }, "streamed", "streamed"},
	{"closed after [DONE]", func(l *fakeConn) {
		l.stream(chunkEvent("Lamu ", ""), chunkEvent("é", "stop"), "data: [DONE]\n\n")
		closeConn(l)
	},
		"streamed", "streamed"},
	{"silent", func(*fakeConn) {}, "streamed", "terminated"},
	{"silent after a token", func(l *fakeConn) { l.stream(chunkEvent("Lamu ", "")) }, "terminated", "terminated"},
	{"an error", func(l *fakeConn) { l.answer(500, `{"error":{"code":"internal"}}`) }, "streamed", "terminated"},
	{"full", func(l *fakeConn) { l.answer(429, `{"error":{"code":"full"}}`) }, "streamed", "streamed"},
	{"full, with another status", func(l *fakeConn) { l.answer(500, `{"error":{"code":"full"}}`) }, "streamed", "terminated"},
	{"draining", func(l *fakeConn) { l.answer(503, `{"error":{"code":"draining"}}`) }, "streamed", "streamed"},
	{"state lost", func(l *fakeConn) { l.answer(409, `{"error":{"code":"state_lost"}}`) }, "streamed", "streamed"},
	{"not HTTP", func(l *fakeConn) { l.conn.Write([]byte("PONG\r\n\r\n")) }, "streamed", "terminated"},
	{"two lengths", func(l *fakeConn) {
		l.conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello"))
	}, "streamed", "terminated"},
	{"shorter than its length", func(l *fakeConn) {
		l.conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 500\r\n\r\n"))
		closeConn(l)
	}, "streamed", "terminated"},
	{"two answers", func(l *fakeConn) { answerDecode(l); answerDecode(l) }, "streamed", "streamed"},
	{"an event after the last", func(l *fakeConn) {
		l.stream(chunkEvent("Lamu ", ""), chunkEvent("é", "stop"), "data: [DONE]\n\n", chunkEvent("x", ""))
		l.conn.Write(http1.AppendLastChunk(nil))
	}, "streamed", "streamed"},
	{"an event that is no chunk", func(l *fakeConn) { l.stream("data: {\"x\":1}\n\n") }, "streamed", "terminated"},
	{"one byte at a time", func(l *fakeConn) {
		b := http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream")
		b = http1.AppendChunk(b, []byte(chunkEvent("Lamu ", "")+chunkEvent("é", "stop")+"data: [DONE]\n\n"))
		for i, c := range http1.AppendLastChunk(b) {
			l.endpoint.harness.remote.AfterFunc(eventloop.Micros(i*100), func() { l.conn.Write([]byte{c}) })
		}
	}, "streamed", "streamed"},
}

// Whatever a writer does, the client has one final answer, nothing comes after it, nothing is left out, and a
// side-effecting generation is written again only where the first writer has said that it did not run it.
func TestDecodeEndpointFailures(t *testing.T) {
	for _, b := range decodeFailures {
		for _, product := range []string{"explain", "review-post"} {
			t.Run(b.name+"/"+product, func(t *testing.T) {
				testDecodeFailure(t, newHarness(t, nil, "prefill west", "decode west", "decode west"), b.serve, product, b.idempotent, b.sideEffect)
			})
			t.Run("sockets/"+b.name+"/"+product, func(t *testing.T) {
				t.Parallel()
				testDecodeFailure(t, newSocketHarness(t, "prefill west", "decode west", "decode west"), b.serve, product, b.idempotent, b.sideEffect)
			})
		}
	}
}

func testDecodeFailure(t *testing.T, r *harness, serve func(*fakeConn), product, idempotent, sideEffect string) {
	first := true
	r.remote.Do(func() {
		for _, h := range r.endpoints[1:] {
			h.serve = func(l *fakeConn) {
				if !first {
					answerDecode(l)
					return
				}
				first = false
				serve(l)
			}
		}
	})
	want := idempotent
	if product == "review-post" {
		want = sideEffect
	}
	c := r.ask(product)
	r.expectFinal(c, want)
	r.remote.Do(func() {
		if want == "streamed" && c.text != completeText {
			t.Errorf("the client was sent %q", c.text)
		}
		if writes := r.endpoints[1].attempts() + r.endpoints[2].attempts(); want == "terminated" && writes != 1 {
			t.Errorf("written %d times", writes)
		}
		if c.head == nil {
			return
		}
		retry := c.head.Get("x-should-retry")
		if want == "terminated" && c.head.Status != 200 && (retry == "false") != (product == "review-post") {
			t.Errorf("x-should-retry: %q", retry)
		}
	})
}

// A reader that fails has had no effect: any product is read again elsewhere, and what may lie there is let go.
func TestPrefillEndpointFailureIsRetried(t *testing.T) {
	for name, serve := range map[string]func(l *fakeConn){"closed": closeConn, "reset": abortConn, "silent": func(*fakeConn) {},
		"no state": func(l *fakeConn) { l.answer(200, `{"choices":[]}`) }, "full": func(l *fakeConn) { l.answer(429, `{"error":{"code":"full"}}`) }} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, nil, "prefill west", "prefill west", "decode west")
			var broken *fakeEndpoint
			for _, h := range r.endpoints[:2] {
				h.serve = func(l *fakeConn) {
					if broken == nil {
						broken = l.endpoint
					}
					if broken == l.endpoint {
						serve(l)
					} else {
						answerPrefill(l)
					}
				}
			}
			r.expectFinal(r.ask("review-post"), "streamed")
			if name != "full" && broken.releases() == 0 {
				t.Error("what the broken read may have left was not let go")
			}
		})
	}
}

// The reader dies while its state waits: the writer finds nothing to fetch, and the prompt is read anew.
func TestPrefillIsRepeatedWhenItsStateIsLost(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "prefill west", "decode west", "decode west")
	var died *fakeEndpoint
	r.endpoints[2].serve = func(l *fakeConn) {
		if died == nil {
			for _, h := range r.endpoints[:2] {
				if h.attempts() > 0 {
					died = h
					h.listener.Close()
				}
			}
			l.answer(409, `{"error":{"code":"state_lost"}}`)
			return
		}
		answerDecode(l)
	}
	r.endpoints[3].serve = r.endpoints[2].serve
	r.expectFinal(r.ask("review-post"), "streamed")
	if died == nil || died.attempts() != 1 {
		t.Error("the reader that died was not the first, or was asked again")
	}
}

// News of a drain between the read and the write: the writer that drains gets nothing.
func TestDrainBetweenPrefillAndDecode(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west", "decode west")
	r.endpoints[0].serve = func(l *fakeConn) {
		r.updateEndpoints(r.endpoints[1].entry("draining"))
		answerPrefill(l)
	}
	for range 6 {
		r.expectFinal(r.ask("review-post"), "streamed")
	}
	if n := r.endpoints[1].attempts(); n != 0 {
		t.Errorf("the draining writer got %d legs", n)
	}
}

// Two endings in one turn of the loop: the client leaves while its writer's last bytes wait to be read.
func TestClientAndEndpointEndInOneTurn(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		r := newHarness(t, nil, "prefill west", "decode west")
		var l1 *fakeConn
		r.endpoints[1].serve = func(l *fakeConn) { l1 = l; l.stream(chunkEvent("Lamu ", "")) }
		c := r.ask("review-post")
		r.world.Run(20 * eventloop.Millisecond)
		if frozen {
			r.virtual().Freeze(300 * eventloop.Millisecond) // all of it is found at once when the dispatcher wakes
		}
		r.remote.Do(func() {
			l1.conn.Write(http1.AppendChunk(nil, []byte(chunkEvent("é", "stop")+"data: [DONE]\n\n")))
			l1.conn.Close()
			c.conn.Abort()
		})
		r.world.Run(eventloop.Second)
		r.expectIdle()
		if len(c.finals) > 1 {
			t.Errorf("finals %v", c.finals)
		}
	}
}

// A hundred generations at once to hosts that this dispatcher has no connection to yet: few connections open at a
// time, each carries one leg at a time, and all generations are streamed.
func TestLimitsOpeningConnections(t *testing.T) {
	r := newHarness(t, func(d deployment.Deployment) { d.Dispatching.Openings, d.Dispatching.ConnectMs = 4, 1000 }, "prefill west", "decode west")
	r.world.Latency = 5 * eventloop.Millisecond
	for _, h := range r.endpoints {
		good := h.serve
		h.serve = func(l *fakeConn) {
			r.remote.AfterFunc(30*eventloop.Millisecond, func() { good(l) })
		}
	}
	var calls []*clientCall
	for range 100 {
		calls = append(calls, r.ask("explain"))
	}
	most := 0
	for range 1000 {
		r.world.Run(eventloop.Millisecond)
		for _, h := range r.endpoints {
			most = max(most, r.dispatcher.engine.OpeningConnections(scheduler.EndpointID(h.id)))
		}
	}
	r.world.Run(5 * eventloop.Second)
	for i, c := range calls {
		if fmt.Sprint(c.finals) != "[streamed]" {
			t.Fatalf("call %d: %v", i, c.finals)
		}
	}
	if most > 4 || most < 2 {
		t.Errorf("%d connections were opening at once", most)
	}
	r.expectIdle()
}

// The client of a keyed generation leaves while it is being written, and the writer then says that it has not run it: nobody waits,
// and nothing of it is left to wait for. Its key is free.
func TestRejectedDecodeAfterClientDisconnect(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.endpoints[1].serve = func(l *fakeConn) {
		r.remote.AfterFunc(100*eventloop.Millisecond, func() { l.answer(429, `{"error":{"code":"full"}}`) })
	}
	c := r.ask("review-post", "Idempotency-Key", "k")
	r.world.Run(50 * eventloop.Millisecond)
	r.remote.Do(c.conn.Abort)
	r.world.Run(100 * eventloop.Millisecond)
	if err := r.dispatcher.CheckInvariants(); err != nil || r.dispatcher.OpenRequests() > 0 || r.endpoints[0].releases() != 1 {
		t.Errorf("%v; left %v; %d releases", err, r.dispatcher.DescribeOpenRequests(), r.endpoints[0].releases())
	}
	r.endpoints[1].serve = answerDecode
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "k"), "streamed")
}
