package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// A client may leave in any state: its leg is closed, its state let go, nothing is left.
func TestClientDisconnectLeavesNothing(t *testing.T) {
	silent := func(*fakeConn) {}
	for _, when := range []string{"held", "reading", "waiting for the writer", "streaming"} {
		t.Run(when, func(t *testing.T) {
			r := newHarness(t, nil, "prefill west", "decode west")
			switch when {
			case "held":
				r.updateEndpoints(r.endpoints[1].entry("gone"))
			case "reading":
				r.endpoints[0].serve = silent
			case "waiting for the writer":
				r.endpoints[1].serve = silent
			case "streaming":
				r.endpoints[1].serve = func(l *fakeConn) { l.stream(chunkEvent("Lamu ", "")) }
			}
			c := r.ask("explain")
			r.world.Run(100 * eventloop.Millisecond)
			if r.dispatcher.OpenRequests() != 1 {
				t.Fatalf("it is not %s", when)
			}
			r.remote.Do(c.conn.Abort)
			r.world.Run(100 * eventloop.Millisecond)
			r.expectIdle()
			if (when == "reading" || when == "waiting for the writer") && r.endpoints[0].releases() == 0 {
				t.Error("its state was not let go")
			}
			if r.dispatcher.Disconnected != 1 {
				t.Errorf("left: %d", r.dispatcher.Disconnected)
			}
		})
	}
}

// A client that does not read slows its writer only, within a bound, and is ended after a while; another's
// stream goes on meanwhile.
func TestLaggingClientSlowsOnlyItsOwnStream(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	long := strings.Repeat("x", 8<<10)
	sent := 0
	r.endpoints[1].serve = func(l *fakeConn) {
		if l.endpoint.attempts() > 1 {
			answerDecode(l)
			return
		}
		l.stream(chunkEvent("Lamu ", ""))
		var more func()
		more = func() {
			if l.closed {
				return
			}
			if l.conn.Unsent() == 0 {
				sent += len(long)
				l.conn.Write(http1.AppendChunk(nil, []byte(chunkEvent(long, ""))))
			}
			r.remote.AfterFunc(2000, more)
		}
		more()
	}
	c := r.ask("explain")
	r.world.Run(20 * eventloop.Millisecond)
	r.remote.Do(func() { c.conn.Pause(true) })
	r.world.Run(3 * eventloop.Second)
	if most := 3*r.world.ReceiveWindow + int(r.deployment.Doors.UnsentMost); sent > most {
		t.Errorf("%d bytes were taken from the writer, more than %d", sent, most)
	}
	r.world.Run(200 * eventloop.Millisecond)
	other := r.ask("explain")
	r.world.Run(300 * eventloop.Millisecond)
	if other.text != completeText {
		t.Errorf("the other client was sent %q", other.text)
	}
	r.world.Run(15 * eventloop.Second)
	r.expectIdle()
}

// A whole answer that is not whole within the client's time is terminated within it.
func TestUnstreamedAnswerFailsAtItsDeadline(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.endpoints[1].serve = func(l *fakeConn) { l.stream(chunkEvent("Lamu ", "")) }
	began := r.world.Now()
	c := r.send(`{"model":"explain","messages":[{"role":"user","content":"why?"}]}`, "x-time-limit-ms", "900")
	r.world.RunUntil(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if took := r.world.Now() - began; took > 900*eventloop.Millisecond {
		t.Errorf("answered after %d ms", took/eventloop.Millisecond)
	}
	r.expectFinal(c, "terminated")
}

// Comments keep a held stream alive; the answer, or the throttling as an event, follows them.
func TestHeartbeat(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.updateEndpoints(r.endpoints[1].entry("gone"))
	c := r.ask("explain", "x-heartbeat-ms", "250")
	r.world.Run(1100 * eventloop.Millisecond)
	if n := strings.Count(string(c.raw), ": waiting"); n != 4 {
		t.Errorf("%d comments", n)
	}
	r.updateEndpoints(r.endpoints[1].entry("ready"))
	r.expectFinal(c, "streamed")
	if c.text != completeText {
		t.Errorf("text %q", c.text)
	}
	r.updateEndpoints(r.endpoints[1].entry("gone"))
	c = r.ask("explain", "x-heartbeat-ms", "250")
	r.expectFinal(c, "terminated") // an error event
	if !strings.Contains(string(c.raw), `"code":"throttled"`) || strings.Contains(string(c.raw), "[DONE]") || !c.closed {
		t.Errorf("raw %.300q", c.raw)
	}
}

// Malformed requests get the specified status and an error object; the dispatcher goes on.
func TestBadRequests(t *testing.T) {
	r := newHarness(t, func(d deployment.Deployment) { d.Doors.BodyMost = 2000 }, "prefill west", "decode west")
	ok := `"messages":[{"role":"user","content":"a"}]`
	for body, want := range map[string]string{
		`{`:                                 "400",
		`[]`:                                "400",
		`{` + ok + `}`:                      "400",
		`{"model":"abacus",` + ok + `}`:     "404",
		`{"model":"explain"}`:               "400",
		`{"model":"explain","messages":[]}`: "400",
		`{"model":"explain","model":"explain",` + ok + `}`:                                                               "400",
		`{"model":"explain","n":2,` + ok + `}`:                                                                           "400",
		`{"model":"explain","max_tokens":0,` + ok + `}`:                                                                  "400",
		`{"model":"explain","max_tokens":"9",` + ok + `}`:                                                                "400",
		`{"model":"explain","stream_options":{},` + ok + `}`:                                                             "400",
		`{"model":"explain","messages":[{"role":"bard","content":"a"}]}`:                                                 "400",
		`{"model":"explain","messages":[{"role":"user"}]}`:                                                               "400",
		`{"model":"explain","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`:                              "400",
		`{"model":"explain","messages":[{"role":"user","content":"` + strings.Repeat("a", 3000) + `"}]}`:                 "413",
		`{"model":"explain","stream":true,"messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"seed":1}`: "streamed",
	} {
		c := r.send(body)
		r.expectFinal(c, want)
		if want != "streamed" && !strings.Contains(string(c.raw), `"error":{`) {
			t.Errorf("%.60s: no error object: %.200q", body, c.raw)
		}
	}
	c := r.send(`{"model":"explain",`+ok+`}`, "Authorization", "Bearer sk-other")
	c.request = []byte(strings.Replace(string(c.request), "Authorization: Bearer "+key+"\r\n", "", 1))
	r.expectFinal(c, "401")
}

// A head that trickles in, one that never ends, and many fields: answered, closed, and bounded.
func TestSlowAndEndlessHeads(t *testing.T) {
	r := newHarness(t, nil)
	for name, c := range map[string]struct {
		send func(c *clientCall)
		want string
	}{
		"trickle": {func(c *clientCall) {
			for i := range 100 {
				r.remote.AfterFunc(eventloop.Micros(i)*eventloop.Second, func() { c.conn.Write([]byte("X-Very: slow\r\n")) })
			}
		}, "408"},
		"endless": {func(c *clientCall) { c.conn.Write([]byte("x-a: " + strings.Repeat("b", 100<<10))) }, "431"},
		"fields":  {func(c *clientCall) { c.conn.Write([]byte(strings.Repeat("a: b\r\n", 200) + "\r\n")) }, "431"},
		"both":    {func(c *clientCall) { c.conn.Write([]byte("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")) }, "400"},
	} {
		call := &clientCall{harness: r, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, request: []byte("POST /v1/chat/completions HTTP/1.1\r\n")}
		r.remote.Do(func() { call.conn = r.remote.Dial(r.addr, eventloop.Second, call) })
		r.world.Run(10 * eventloop.Millisecond)
		r.remote.Do(func() { c.send(call) })
		r.world.Run(40 * eventloop.Second)
		if fmt.Sprint(call.finals) != "["+c.want+"]" && !(c.want == "408" && len(call.finals) == 1) || !call.closed {
			t.Errorf("%s: finals %v, closed %v", name, call.finals, call.closed)
		}
	}
	if r.dispatcher.Frontend().OpenRequests != 0 {
		t.Errorf("%d requests open", r.dispatcher.Frontend().OpenRequests)
	}
}

// TestRequestRacingAConnectionClose: a request that was read in the instant in which its idle connection would be closed is answered, whatever closes
// it: the dispatcher's leaving, or a connection that needs the place.
func TestRequestRacingAConnectionClose(t *testing.T) {
	for name, closes := range map[string]func(r *harness){
		"leaving": func(r *harness) { r.loop.Do(r.dispatcher.frontend.Shutdown) },
		"a crowd": func(r *harness) {
			r.loop.Do(func() { r.dispatcher.frontend.MaxConnections = 1 })
			r.ask("explain")
			r.world.Run(r.world.Latency)
		},
	} {
		r := newHarness(t, nil, "prefill west", "decode west")
		c := r.ask("explain")
		r.expectFinal(c, "streamed")
		r.world.Run(2 * eventloop.Second)
		r.world.DeliveryDelay = 5 * eventloop.Millisecond // what has arrived is not handed over yet
		r.remote.Do(func() { c.conn.Write(c.request) })
		r.world.Run(eventloop.Millisecond)
		closes(r)
		r.runUntil(5*eventloop.Second, func() bool { return len(c.finals) > 1 || c.closed })
		if len(c.finals) < 2 {
			t.Errorf("%s: its connection was closed without an answer", name)
		}
	}
}
