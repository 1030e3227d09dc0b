package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
)

// When a client disconnects, in any state of its request, the attempt is closed, the prefill state released, and the
// request removed.
func TestClientDisconnectLeavesNothing(t *testing.T) {
	for _, test := range []struct {
		state    string
		prepare  func(r *harness)
		releases bool
	}{
		{"pending", func(r *harness) { r.updateEndpoints(r.endpoints[1].entry("gone")) }, false},
		{"prefilling", func(r *harness) { r.endpoints[0].serve = neverAnswer }, true},
		{"decoding", func(r *harness) { r.endpoints[1].serve = neverAnswer }, true},
		{"streaming", func(r *harness) { r.endpoints[1].serve = streamFirstEvent }, false},
	} {
		t.Run(test.state, func(t *testing.T) {
			r := newHarness(t, nil, "prefill west", "decode west")
			test.prepare(r)
			c := r.ask("explain")
			r.network.Run(100 * eventloop.Millisecond)
			for _, request := range r.dispatcher.requests {
				if request.State.String() != test.state {
					t.Fatalf("the request is %v, want %s", request.State, test.state)
				}
			}
			if r.dispatcher.OpenRequests() != 1 {
				t.Fatalf("%d requests are open, want 1", r.dispatcher.OpenRequests())
			}
			r.remote.Do(c.conn.Abort)
			r.network.Run(100 * eventloop.Millisecond)
			r.expectIdle()
			if test.releases && r.endpoints[0].releases() == 0 {
				t.Error("the prefill state was not released")
			}
			if r.dispatcher.Disconnected != 1 {
				t.Errorf("%d disconnected clients were counted, want 1", r.dispatcher.Disconnected)
			}
		})
	}
}

// If a client stops reading, the dispatcher stops reading from its endpoint after a bounded number of bytes, and closes
// the client's connection after a while. Another client's stream is not affected.
func TestLaggingClientSlowsOnlyItsOwnStream(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	long := strings.Repeat("x", 8<<10)
	sent := 0
	r.endpoints[1].serve = func(c *fakeConn) {
		if c.endpoint.attempts() > 1 {
			answerDecode(c)
			return
		}
		streamFirstEvent(c)
		var streamOn func()
		streamOn = func() {
			if c.closed {
				return
			}
			if c.conn.Unsent() == 0 {
				sent += len(long)
				c.writeChunk(chunkEvent(long, ""))
			}
			c.after(2*eventloop.Millisecond, streamOn)
		}
		streamOn()
	}
	c := r.ask("explain")
	r.network.Run(20 * eventloop.Millisecond)
	r.remote.Do(func() { c.conn.SetPaused(true) })
	r.network.Run(3 * eventloop.Second)
	if most := 3*r.network.ReceiveWindow + int(r.deployment.Doors.UnsentMost); sent > most {
		t.Errorf("the endpoint could send %d bytes, more than %d", sent, most)
	}
	r.network.Run(200 * eventloop.Millisecond)
	other := r.ask("explain")
	r.network.Run(300 * eventloop.Millisecond)
	if other.text != completeText {
		t.Errorf("the other client got the text %q", other.text)
	}
	r.network.Run(15 * eventloop.Second)
	r.expectIdle()
}

// An answer without streaming that will not be complete by the client's deadline fails before the deadline.
func TestUnstreamedAnswerFailsAtItsDeadline(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.endpoints[1].serve = streamFirstEvent
	began := r.network.Now()
	c := r.send(`{"model":"explain","messages":[{"role":"user","content":"why?"}]}`, "x-time-limit-ms", "900")
	r.network.RunUntil(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if took := r.network.Now() - began; took > 900*eventloop.Millisecond {
		t.Errorf("answered after %d ms", took/eventloop.Millisecond)
	}
	r.expectFinal(c, "terminated")
}

// The time limit of a request starts when its first byte arrives, because the client counts from the moment when it
// sends that byte. The request may arrive slowly or wait behind another one on its connection. When the dispatcher
// counted from the last byte, or from when it handled the request, it answered after the client had given up. In the
// seeds of faultsearch/testdata/small-segments-*, whose requests take 0.6 to 22 ms to arrive, 18 answers were late. The
// fault showed in measurements of the time from a request's first byte to its handling.
func TestTimeLimitCountsFromTheFirstByte(t *testing.T) {
	const limit = 900 * eventloop.Millisecond
	body := `{"model":"explain","messages":[{"role":"user","content":"why?"}]}`
	for name, write := range map[string]func(r *harness, c *clientCall, request []byte){
		"in two pieces": func(r *harness, c *clientCall, request []byte) {
			c.conn.Write(request[:50])
			r.remote.AfterFunc(600*eventloop.Millisecond, func() { c.conn.Write(request[50:]) })
		},
		"behind another request": func(_ *harness, c *clientCall, request []byte) {
			c.conn.Write(append(slices.Clone(request), request...))
		},
	} {
		r := newHarness(t, nil, "prefill west", "decode west")
		r.endpoints[1].serve = streamFirstEvent
		c := r.send(body, "x-time-limit-ms", "900")
		request := c.request
		c.request = nil
		r.network.Run(10 * eventloop.Millisecond) // the client connects
		began := r.network.Now()
		r.remote.Do(func() { write(r, c, request) })
		r.network.RunUntil(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
		if took := r.network.Now() - began; took > limit {
			t.Errorf("%s: answered after %d ms", name, took/eventloop.Millisecond)
		}
		r.network.RunUntil(limit/10, func() bool { return len(c.finals) > 1 })
		if name == "behind another request" && len(c.finals) != 2 {
			t.Errorf("%s: %d ms later the final answers are %v, want two", name, limit/10/eventloop.Millisecond, c.finals)
		}
	}
}

// A pending stream gets comments as heartbeats, and then either the answer or, as an error event, the rejection.
func TestHeartbeatsPrecedeTheAnswer(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.updateEndpoints(r.endpoints[1].entry("gone"))
	c := r.ask("explain", "x-heartbeat-ms", "250")
	r.network.Run(1100 * eventloop.Millisecond)
	if n := strings.Count(string(c.raw), ": waiting"); n != 4 {
		t.Errorf("%d comments, want 4", n)
	}
	r.updateEndpoints(r.endpoints[1].entry("ready"))
	r.expectFinal(c, "streamed")
	if c.text != completeText {
		t.Errorf("got the text %q", c.text)
	}
	r.updateEndpoints(r.endpoints[1].entry("gone"))
	c = r.ask("explain", "x-heartbeat-ms", "250")
	r.expectFinal(c, "terminated") // the rejection is an error event
	if !strings.Contains(string(c.raw), `"code":"throttled"`) || strings.Contains(string(c.raw), "[DONE]") || !c.closed {
		t.Errorf("raw %.300q", c.raw)
	}
}

// Malformed requests get the specified status and an error object, and the dispatcher goes on serving.
func TestBadRequests(t *testing.T) {
	r := newHarness(t, func(dep deployment.Deployment) { dep.Doors.BodyMost = 2000 }, "prefill west", "decode west")
	ok := `"messages":[{"role":"user","content":"a"}]`
	for body, want := range map[string]string{
		`{`:                                 "400",
		`[]`:                                "400",
		`{` + ok + `}`:                      "400",
		`{"model":"abacus",` + ok + `}`:     "404",
		`{"model":"explain"}`:               "400",
		`{"model":"explain","messages":[]}`: "400",
		`{"model":"explain","model":"explain",` + ok + `}`:               "400",
		`{"model":"explain","n":2,` + ok + `}`:                           "400",
		`{"model":"explain","max_tokens":0,` + ok + `}`:                  "400",
		`{"model":"explain","max_tokens":"9",` + ok + `}`:                "400",
		`{"model":"explain","stream_options":{},` + ok + `}`:             "400",
		`{"model":"explain","messages":[{"role":"bard","content":"a"}]}`: "400",
		`{"model":"explain","messages":[{"role":"user"}]}`:               "400",

		`{"model":"explain","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`: "400",

		`{"model":"explain","messages":[{"role":"user","content":"` + strings.Repeat("a", 3000) + `"}]}`: "413",

		`{"model":"explain","stream":true,"messages":[` +
			`{"role":"user","content":[{"type":"text","text":"a"}]}],"seed":1}`: "streamed",
	} {
		c := r.send(body)
		r.expectFinal(c, want)
		if want != "streamed" && !strings.Contains(string(c.raw), `"error":{`) {
			t.Errorf("%.60s: no error object: %.200q", body, c.raw)
		}
	}
	c := r.send(`{"model":"explain",`+ok+`}`, "Authorization", "Bearer sk-other")
	c.request = []byte(strings.Replace(string(c.request), "Authorization: Bearer "+apiKey+"\r\n", "", 1))
	r.expectFinal(c, "401")
}

// A request whose header arrives too slowly, is too long, has too many fields or contradicts itself gets an error
// status, and its connection is closed.
func TestSlowAndEndlessHeads(t *testing.T) {
	r := newHarness(t, nil)
	writes := func(text string) func(*clientCall) { return func(c *clientCall) { c.conn.Write([]byte(text)) } }
	for name, test := range map[string]struct {
		send func(c *clientCall)
		want string
	}{
		"trickle": {func(c *clientCall) {
			for i := range 100 {
				r.remote.AfterFunc(eventloop.Micros(i)*eventloop.Second, func() { writes("X-Very: slow\r\n")(c) })
			}
		}, "408"},
		"endless": {writes("x-a: " + strings.Repeat("b", 100<<10)), "431"},
		"fields":  {writes(strings.Repeat("a: b\r\n", 200) + "\r\n"), "431"},
		"both":    {writes("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"), "400"},
	} {
		c := r.dial(r.newClientCall([]byte("POST /v1/chat/completions HTTP/1.1\r\n")))
		r.network.Run(10 * eventloop.Millisecond)
		r.remote.Do(func() { test.send(c) })
		r.network.Run(40 * eventloop.Second)
		wanted := fmt.Sprint(c.finals) == "["+test.want+"]" || test.want == "408" && len(c.finals) == 1
		if !wanted || !c.closed {
			t.Errorf("%s: finals %v, closed %v", name, c.finals, c.closed)
		}
	}
	if n := r.dispatcher.Frontend().OpenRequests; n != 0 {
		t.Errorf("%d requests are open, want none", n)
	}
}

// A request that arrives on an idle connection just before the dispatcher closes that connection is answered, whether
// the reason to close it is the dispatcher's shutdown or a new connection beyond the limit.
func TestRequestRacingAConnectionClose(t *testing.T) {
	for name, closeIdle := range map[string]func(r *harness){
		"shutdown": func(r *harness) { r.loop.Do(r.dispatcher.frontend.Shutdown) },
		"too many connections": func(r *harness) {
			r.loop.Do(func() { r.dispatcher.frontend.MaxConnections = 1 })
			r.ask("explain")
			r.network.Run(r.network.Latency)
		},
	} {
		r := newHarness(t, nil, "prefill west", "decode west")
		c := r.ask("explain")
		r.expectFinal(c, "streamed")
		r.network.Run(2 * eventloop.Second)
		r.network.DeliveryDelay = 5 * eventloop.Millisecond // the request has arrived but is not delivered yet
		r.remote.Do(func() { c.conn.Write(c.request) })
		r.network.Run(eventloop.Millisecond)
		closeIdle(r)
		r.runUntil(5*eventloop.Second, func() bool { return len(c.finals) > 1 || c.closed })
		if len(c.finals) < 2 {
			t.Errorf("%s: the connection was closed without an answer", name)
		}
	}
}
