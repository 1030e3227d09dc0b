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

// decodeFailure is a way in which the first decode attempt of a request fails, with the final answers that the clients
// of an idempotent and of a side-effecting product get. A second decode attempt, where one is allowed, succeeds.
type decodeFailure struct {
	name          string
	serve         func(*fakeConn)
	idempotent    string
	sideEffecting string
}

var decodeFailures = []decodeFailure{
	{"closed before a token", closeConn, "streamed", "terminated"},
	{"reset before a token", abortConn, "streamed", "terminated"},
	{"head, then closed", func(c *fakeConn) { c.stream(); closeConn(c) }, "streamed", "terminated"},
	{"closed after a token", func(c *fakeConn) { streamFirstEvent(c); closeConn(c) }, "terminated", "terminated"},
	{"reset after a token", func(c *fakeConn) {
		streamFirstEvent(c)
		c.after(5*eventloop.Millisecond, func() { abortConn(c) })
	}, "terminated", "terminated"},
	{"closed inside an event", func(c *fakeConn) {
		c.stream(firstEvent, lastEvent[:20])
		closeConn(c)
	}, "terminated", "terminated"},
	{"closed inside a character", func(c *fakeConn) {
		c.stream(firstEvent, lastEvent[:strings.Index(lastEvent, "é")+1])
		closeConn(c)
	}, "terminated", "terminated"},
	{"closed after the last token", func(c *fakeConn) {
		c.stream(firstEvent, lastEvent)
		closeConn(c)
	}, "streamed", "streamed"},
	{"closed after [DONE]", func(c *fakeConn) {
		c.stream(firstEvent, lastEvent, doneEvent)
		closeConn(c)
	}, "streamed", "streamed"},
	{"silent", neverAnswer, "streamed", "terminated"},
	{"silent after a token", streamFirstEvent, "terminated", "terminated"},
	{"an error", answerError(500, "internal"), "streamed", "terminated"},
	{"full", answerError(429, "full"), "streamed", "streamed"},
	{"full, with another status", answerError(500, "full"), "streamed", "terminated"},
	{"draining", answerError(503, "draining"), "streamed", "streamed"},
	{"state lost", answerError(409, "state_lost"), "streamed", "streamed"},
	{"not HTTP", func(c *fakeConn) { c.conn.Write([]byte("PONG\r\n\r\n")) }, "streamed", "terminated"},
	{"two lengths", func(c *fakeConn) {
		c.conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello"))
	}, "streamed", "terminated"},
	{"shorter than its length", func(c *fakeConn) {
		c.conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 500\r\n\r\n"))
		closeConn(c)
	}, "streamed", "terminated"},
	{"two answers", func(c *fakeConn) { answerDecode(c); answerDecode(c) }, "streamed", "streamed"},
	{"an event after the last", func(c *fakeConn) {
		c.stream(firstEvent, lastEvent, doneEvent, chunkEvent("x", ""))
		c.conn.Write(http1.AppendLastChunk(nil))
	}, "streamed", "streamed"},
	{"an event that is no chunk", func(c *fakeConn) { c.stream("data: {\"x\":1}\n\n") }, "streamed", "terminated"},
	{"one byte at a time", func(c *fakeConn) {
		response := http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream")
		response = http1.AppendChunk(response, []byte(firstEvent+lastEvent+doneEvent))
		for i, b := range http1.AppendLastChunk(response) {
			c.after(eventloop.Micros(i*100), func() { c.conn.Write([]byte{b}) })
		}
	}, "streamed", "streamed"},
}

// provesNotRun reports whether the endpoint's answer proves that the endpoint did not run the attempt.
func (f decodeFailure) provesNotRun() bool {
	return f.name == "full" || f.name == "draining" || f.name == "state lost"
}

func (f decodeFailure) want(product string) string {
	if product == "review-post" {
		return f.sideEffecting
	}
	return f.idempotent
}

// However a decode endpoint fails, the client gets exactly one final answer with nothing after it, a streamed text is
// complete, and a side-effecting request is decoded again only if the first endpoint reported that it did not run the
// request.
func TestDecodeEndpointFailures(t *testing.T) {
	endpoints := []string{"prefill west", "decode west", "decode west"}
	for _, failure := range decodeFailures {
		for _, product := range []string{"explain", "review-post"} {
			t.Run(failure.name+"/"+product, func(t *testing.T) {
				testDecodeFailure(t, newHarness(t, nil, endpoints...), failure, product)
			})
			t.Run("sockets/"+failure.name+"/"+product, func(t *testing.T) {
				t.Parallel()
				testDecodeFailure(t, newSocketHarness(t, endpoints...), failure, product)
			})
		}
	}
}

func testDecodeFailure(t *testing.T, r *harness, failure decodeFailure, product string) {
	t.Helper()
	first := true
	r.remote.Do(func() {
		for _, endpoint := range r.endpoints[1:] {
			endpoint.serve = func(c *fakeConn) {
				if !first {
					answerDecode(c)
					return
				}
				first = false
				failure.serve(c)
			}
		}
	})
	want := failure.want(product)
	c := r.ask(product)
	r.expectFinal(c, want)
	r.remote.Do(func() {
		if want == "streamed" && c.text != completeText {
			t.Errorf("the client got the text %q, want %q", c.text, completeText)
		}
		if decodes := r.endpoints[1].attempts() + r.endpoints[2].attempts(); want == "terminated" && decodes != 1 {
			t.Errorf("%d decode attempts, want 1", decodes)
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

// A failed prefill has no side effects, so a request of any product is prefilled again at another endpoint, and the
// state that the failed prefill may have left is released.
func TestPrefillEndpointFailureIsRetried(t *testing.T) {
	for name, serve := range map[string]func(*fakeConn){
		"closed":   closeConn,
		"reset":    abortConn,
		"silent":   neverAnswer,
		"no state": func(c *fakeConn) { c.answer(200, `{"choices":[]}`) },
		"full":     answerError(429, "full"),
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, nil, "prefill west", "prefill west", "decode west")
			var broken *fakeEndpoint
			for _, endpoint := range r.endpoints[:2] {
				endpoint.serve = func(c *fakeConn) {
					if broken == nil {
						broken = c.endpoint
					}
					if broken == c.endpoint {
						serve(c)
					} else {
						answerPrefill(c)
					}
				}
			}
			r.expectFinal(r.ask("review-post"), "streamed")
			if name != "full" && broken.releases() == 0 {
				t.Error("the state that the failed prefill may have left was not released")
			}
		})
	}
}

// If a prefill endpoint fails before its state was fetched, the decode endpoint reports that the state is lost, and the
// prompt is prefilled again at another endpoint.
func TestPrefillIsRepeatedWhenItsStateIsLost(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "prefill west", "decode west", "decode west")
	var stopped *fakeEndpoint
	r.endpoints[2].serve = func(c *fakeConn) {
		if stopped != nil {
			answerDecode(c)
			return
		}
		for _, endpoint := range r.endpoints[:2] {
			if endpoint.attempts() > 0 {
				stopped = endpoint
				endpoint.listener.Close()
			}
		}
		answerError(409, "state_lost")(c)
	}
	r.endpoints[3].serve = r.endpoints[2].serve
	r.expectFinal(r.ask("review-post"), "streamed")
	if stopped == nil || stopped.attempts() != 1 {
		t.Error("no prefill endpoint was stopped, or the stopped one got another attempt")
	}
}

// A decode endpoint that begins to drain between a request's prefill and its decode gets no attempt.
func TestDrainBetweenPrefillAndDecode(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west", "decode west")
	r.endpoints[0].serve = func(c *fakeConn) {
		r.updateEndpoints(r.endpoints[1].entry("draining"))
		answerPrefill(c)
	}
	for range 6 {
		r.expectFinal(r.ask("review-post"), "streamed")
	}
	if n := r.endpoints[1].attempts(); n != 0 {
		t.Errorf("the draining endpoint got %d attempts", n)
	}
}

// A client disconnects while the last bytes of its endpoint wait to be read. The dispatcher handles both in one turn of
// its event loop. The request gets one final answer at most, and nothing of the request is left.
func TestClientAndEndpointEndInOneTurn(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		r := newHarness(t, nil, "prefill west", "decode west")
		var decode *fakeConn
		r.endpoints[1].serve = func(c *fakeConn) { decode = c; streamFirstEvent(c) }
		c := r.ask("review-post")
		r.network.Run(20 * eventloop.Millisecond)
		if frozen {
			r.virtual().Freeze(300 * eventloop.Millisecond) // the dispatcher finds both events at once when it continues
		}
		r.remote.Do(func() {
			decode.writeChunk(lastEvent + doneEvent)
			decode.conn.Close()
			c.conn.Abort()
		})
		r.network.Run(eventloop.Second)
		r.expectIdle()
		if len(c.finals) > 1 {
			t.Errorf("finals %v", c.finals)
		}
	}
}

// A hundred requests arrive at once while there is no connection to an endpoint. The number of connections that are
// being opened at the same time stays within its limit, each connection carries one attempt at a time, and all requests
// complete.
func TestLimitsOpeningConnections(t *testing.T) {
	r := newHarness(t, func(dep deployment.Deployment) {
		dep.Dispatching.Openings, dep.Dispatching.ConnectMs = 4, 1000
	}, "prefill west", "decode west")
	r.network.Latency = 5 * eventloop.Millisecond
	for _, endpoint := range r.endpoints {
		serve := endpoint.serve
		endpoint.serve = func(c *fakeConn) { c.after(30*eventloop.Millisecond, func() { serve(c) }) }
	}
	var calls []*clientCall
	for range 100 {
		calls = append(calls, r.ask("explain"))
	}
	most := 0
	for range 1000 {
		r.network.Run(eventloop.Millisecond)
		for _, endpoint := range r.endpoints {
			most = max(most, r.dispatcher.engine.OpeningConnections(scheduler.EndpointID(endpoint.id)))
		}
	}
	r.network.Run(5 * eventloop.Second)
	for i, c := range calls {
		if fmt.Sprint(c.finals) != "[streamed]" {
			t.Fatalf("call %d: %v", i, c.finals)
		}
	}
	if most > 4 || most < 2 {
		t.Errorf("%d connections were being opened at once, want 2 to 4", most)
	}
	r.expectIdle()
}

// The client of a request with an idempotency key disconnects during the decode, and the decode endpoint then reports
// that it did not run the request. The request ends, its prefill state is released, and its key is free again.
func TestRejectedDecodeAfterClientDisconnect(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.endpoints[1].serve = func(c *fakeConn) {
		c.after(100*eventloop.Millisecond, func() { answerError(429, "full")(c) })
	}
	c := r.ask("review-post", "Idempotency-Key", "k")
	r.network.Run(50 * eventloop.Millisecond)
	r.remote.Do(c.conn.Abort)
	r.network.Run(100 * eventloop.Millisecond)
	if err := r.dispatcher.CheckInvariants(); err != nil {
		t.Error(err)
	}
	r.expectIdle()
	if n := r.endpoints[0].releases(); n != 1 {
		t.Errorf("%d releases, want 1", n)
	}
	r.endpoints[1].serve = answerDecode
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "k"), "streamed")
}
