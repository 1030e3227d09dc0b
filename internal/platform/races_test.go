package platform

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

// TestHeaderFieldsAreForwarded: a model host gets the fields that the client sent, as the key by which repeats are dropped, but for those that speak of
// the client's own connection; and the time that is left in place of the client's.
func TestHeaderFieldsAreForwarded(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	text := strings.Replace(r.requestText("explain", "Req-Id", "77"), "Host: ", "Idempotency-Key: fc46\r\nX-Custom:  a, b\r\nConnection: keep-alive, X-Hop, Req-Id\r\nX-Hop: 1\r\nTE: trailers\r\nHost: ", 1)
	if got := r.finalStatus(r.connect(text)); got != 200 {
		t.Fatalf("answered %d", got)
	}
	for _, h := range r.endpoints {
		for _, head := range h.received {
			for name, want := range map[string]string{"Idempotency-Key": "fc46", "X-Custom": "a, b", "Req-Id": "77", "Req-Kind": "explain", "Req-Key": "7f3a9c21e0b4d655",
				"Host": h.addr, "X-Hop": "", "TE": "", "Connection": ""} {
				if got := head.Get(name); got != want {
					t.Errorf("%s: %s is %q, want %q", h.id, name, got, want)
				}
			}
			seen := map[string]bool{}
			for _, f := range head.Fields {
				if name := strings.ToLower(f.Name); seen[name] {
					t.Errorf("%s: two fields %s", h.id, f.Name)
				} else {
					seen[name] = true
				}
			}
		}
	}
}

// TestPipelinedRequestDeadline: a request sent behind another counts its time from when it came, not from when its turn comes.
func TestPipelinedRequestDeadline(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	met := 0
	serveAll(r.decodeEndpoints(), func(l *endpointConn) {
		if met++; met == 1 {
			l.endpoint.loop.AfterFunc(800*eventloop.Millisecond, func() { serveDecode(l) })
		} // the second never is answered
	})
	began := r.world.Now()
	c := r.connect(r.requestText("explain") + r.requestText("explain", "Req-Deadline", "1500m"))
	r.waitFor(10*eventloop.Second, "two answers", func() bool { return len(c.statuses) == 2 })
	if took := c.answeredAt - began; took > 1500*eventloop.Millisecond {
		t.Errorf("the second was answered after %d ms of 1500", took/eventloop.Millisecond)
	}
	r.requireIdle()
}

// TestRemainingTimeAfterRelease: an attempt that waited for a release tells its host what the client has left then.
func TestRemainingTimeAfterRelease(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	const limit = 480 * eventloop.Millisecond // short enough for a host to be given all of it
	began := r.world.Now()
	check := func(then func(*endpointConn)) func(*endpointConn) {
		return func(l *endpointConn) {
			told, _ := strconv.ParseInt(strings.TrimSuffix(l.head.Get("Req-Deadline"), "u"), 10, 64)
			if left := limit - (r.world.Now() - began); eventloop.Micros(told) > left+eventloop.Millisecond {
				t.Errorf("told %d ms, %d ms are left", told/1000, left/eventloop.Millisecond)
			}
			then(l)
		}
	}
	met := 0
	serveAll(r.prefillEndpoints(), check(servePrefill))
	serveAll(r.decodeEndpoints(), check(func(l *endpointConn) {
		if met++; met == 1 {
			l.answer(410, "", "Srv-Declined", "1")
			return
		}
		serveDecode(l)
	}))
	for _, h := range r.endpoints {
		h.releaseDelay = 60 * eventloop.Millisecond // of a release
	}
	if got := r.finalStatus(r.sendRequest("explain", "Req-Deadline", "480m")); got != 200 || r.releases() == 0 {
		t.Errorf("answered %d after %d releases", got, r.releases())
	}
	r.requireIdle()
}

// TestAnswerBeforeRequestIsSent: a host that speaks before it has the whole request has not run it, whatever it says; its word is not
// taken for the answer.
func TestAnswerBeforeRequestIsSent(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	r.world.ReceiveWindow = 16 << 10
	hasty := true
	for _, h := range r.decodeEndpoints() {
		h.listener.Close()
		h.listener, _ = h.loop.Listen(h.addr, func(c eventloop.Conn) eventloop.Handler {
			l := &endpointConn{endpoint: h, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
			if hasty { // it takes in what its window holds, reads nothing, and answers all the same
				hasty = false
				c.Pause(true)
				h.loop.AfterFunc(10*eventloop.Millisecond, func() { l.stream(`{"choices":[]}`); l.endStream() })
			}
			return l
		})
	}
	c := r.sendRequest("post", "body", `{"messages":["`+strings.Repeat("x", 100<<10)+`"]}`)
	if got := r.finalStatus(c); got != 200 || hasty || len(c.events) == 0 || c.events[0] != wordEvent {
		t.Errorf("answered %d with %.60q", got, c.events)
	}
	r.requireIdle()
}

// TestEndpointThatDoesNotRead: an attempt that has not left in the time for a connection does not leave any more; it goes elsewhere, also with
// side effects, and a repeat can't arrive after its window.
func TestEndpointThatDoesNotRead(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	r.world.ReceiveWindow = 16 << 10
	var deaf eventloop.Conn
	for _, h := range r.decodeEndpoints() {
		h.listener.Close()
		h.listener, _ = h.loop.Listen(h.addr, func(c eventloop.Conn) eventloop.Handler {
			if deaf == nil {
				deaf = c
				c.Pause(true)
			}
			return &endpointConn{endpoint: h, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
		})
	}
	began := r.world.Now()
	c := r.sendRequest("post", "body", `{"messages":["`+strings.Repeat("x", 100<<10)+`"]}`)
	if got := r.finalStatus(c); got != 200 {
		t.Errorf("answered %d", got)
	}
	if took := c.answeredAt - began; took > eventloop.Second || r.dispatcher.Outcomes[scheduler.Unreachable] != 1 {
		t.Errorf("answered after %d ms with outcomes %v", took/eventloop.Millisecond, r.dispatcher.Outcomes)
	}
	r.requireIdle()
}

// TestTricklingList: one that does not come to its end is given up when a silent watch would be, however its bytes come.
func TestTricklingList(t *testing.T) {
	for _, every := range []eventloop.Micros{100, 1900, 2990} {
		r := newHarness(t, 256, usualEndpoints...)
		r.agent.watches[0].mute = true
		began := r.world.Now()
		var trickle func()
		trickle = func() {
			if !r.agent.watches[0].closed {
				r.agent.watches[0].conn.Write(http1.AppendChunk(nil, []byte("{ ")[:1+int(min(r.world.Now()-began, 1))]))
				r.remote.AfterFunc(every*eventloop.Millisecond, trickle)
			}
		}
		r.remote.Do(trickle)
		r.waitFor(6*eventloop.Second, "another watch", func() bool { return len(r.agent.watches) == 2 })
		if took := r.world.Now() - began; took > 4*eventloop.Second {
			t.Errorf("a byte each %d ms: another watch after %d ms", every, took/eventloop.Millisecond)
		}
		r.world.Run(10 * eventloop.Second)
		if n := r.remote.OpenConnections(); n != 1 {
			t.Errorf("%d watches are open", n)
		}
	}
}

// TestOlderList: a list of an older version does not take back that a host drains, is gone or has started anew.
func TestOlderList(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	started := func(h *endpoint, ms int64) string {
		return strings.Replace(h.entry("SERVING"), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, ms), 1)
	}
	now := int64(r.world.Now() / eventloop.Millisecond)
	r.agent.update(false, r.endpoints[0].entry("DRAINING"), r.endpoints[2].entry("DELETED"), started(r.endpoints[3], now))
	r.world.Run(10 * eventloop.Millisecond)
	r.agent.version -= 3
	r.agent.update(true, r.endpoints[0].entry("SERVING"), r.endpoints[1].entry("SERVING"), r.endpoints[2].entry("SERVING"), r.endpoints[3].entry("SERVING"))
	r.world.Run(10 * eventloop.Millisecond)
	if len(r.dispatcher.ready) != 2 {
		t.Errorf("%d hosts are ready", len(r.dispatcher.ready))
	}
	if e := r.dispatcher.endpoints[r.dispatcher.discovery.EndpointID(r.endpoints[3].id)]; e.StartedAt != eventloop.Micros(now)*eventloop.Millisecond {
		t.Errorf("it started at %d", e.StartedAt)
	}
	// A newer one does, and so does an older one that names a new process.
	r.agent.update(true, r.endpoints[0].entry("SERVING"), r.endpoints[1].entry("SERVING"), started(r.endpoints[2], now+1), r.endpoints[3].entry("SERVING"))
	r.world.Run(10 * eventloop.Millisecond)
	if len(r.dispatcher.ready) != 3 {
		t.Errorf("with a new process: %d hosts are ready", len(r.dispatcher.ready))
	}
	r.agent.version += 10
	r.agent.update(true, r.endpoints[0].entry("SERVING"), r.endpoints[1].entry("SERVING"), r.endpoints[2].entry("SERVING"), r.endpoints[3].entry("SERVING"))
	r.world.Run(10 * eventloop.Millisecond)
	if len(r.dispatcher.ready) != 4 {
		t.Errorf("by a newer list: %d hosts are ready", len(r.dispatcher.ready))
	}
}

// TestWhenDiscoveryReady: no request is taken before discovery has spoken or has had its chance to.
func TestWhenDiscoveryReady(t *testing.T) {
	for _, away := range []bool{false, true} {
		r := newHarness(t, 256, usualEndpoints...)
		r.agent.silent, r.agent.watches = true, nil
		var at eventloop.Micros
		began := r.world.Now()
		r.loop.Do(func() {
			r.dispatcher.discovery.Close()
			r.dispatcher = Start(r.loop, r.dispatcher.config)
			r.dispatcher.WhenDiscoveryReady(func() { at = r.world.Now() })
		})
		r.world.Run(300 * eventloop.Millisecond)
		if at != 0 {
			t.Fatal("informed before discovery has spoken")
		}
		if !away {
			r.remote.Do(func() { r.agent.startStream(r.agent.watches[0]) })
		}
		r.world.Run(eventloop.Second)
		if took := at - began; at == 0 || (took < 500*eventloop.Millisecond) == away {
			t.Errorf("away %v: informed after %d ms", away, took/eventloop.Millisecond)
		}
	}
}

// TestReadyWithoutEndpoints: a process that knows no host to serve with says that it is ready after a while, and rejects what comes.
func TestReadyWithoutEndpoints(t *testing.T) {
	r := newHarness(t, 256)
	if r.world.Run(2 * eventloop.Second); r.dispatcher.Ready() {
		t.Error("ready at once")
	}
	if r.world.Run(4 * eventloop.Second); !r.dispatcher.Ready() {
		t.Error("never ready")
	}
	for _, class := range []string{"explain", "post"} {
		if got := r.finalStatus(r.sendRequest(class)); got != 503 {
			t.Errorf("%s: answered %d", class, got)
		}
	}
}

// TestEventsInOnePollRound: what a client and a host send is heard in one round, in either order: nothing is left behind, and no attempt begins
// after the close was heard.
func TestEventsInOnePollRound(t *testing.T) {
	const pause = 50 * eventloop.Millisecond
	for name, arrive := range map[string]func(r *harness, c *client, l *endpointConn){
		"the close, then the first event": func(r *harness, c *client, l *endpointConn) {
			r.remote.Do(c.conn.Abort)
			r.world.Run(5 * eventloop.Millisecond)
			l.stream(wordEvent)
		},
		"the first event, then the close": func(r *harness, c *client, l *endpointConn) {
			l.stream(wordEvent)
			r.world.Run(5 * eventloop.Millisecond)
			r.remote.Do(c.conn.Abort)
		},
		"the close, then a refusal": func(r *harness, c *client, l *endpointConn) {
			r.remote.Do(c.conn.Abort)
			r.world.Run(5 * eventloop.Millisecond)
			l.answer(503, "", "Srv-Declined", "1")
		},
		"the close, then the host's end": func(r *harness, c *client, l *endpointConn) {
			r.remote.Do(c.conn.Abort)
			r.world.Run(5 * eventloop.Millisecond)
			l.conn.Abort()
		},
	} {
		for _, class := range []string{"explain", "post"} {
			r := newHarness(t, 256, usualEndpoints...)
			var out *endpointConn
			serveAll(r.decodeEndpoints(), func(l *endpointConn) { out = l })
			c := r.sendRequest(class)
			r.waitFor(eventloop.Second, "the decode attempt", func() bool { return out != nil })
			r.loop.Freeze(pause)
			attempts := r.attempts()
			arrive(r, c, out)
			r.world.Run(pause + 50*eventloop.Millisecond)
			if !out.closed {
				t.Errorf("%s, %s: the attempt's connection is still open", name, class)
			}
			r.requireIdle()
			if n := r.attempts() - attempts; n > 0 {
				t.Errorf("%s, %s: %d attempts began after the close", name, class, n)
			}
		}
	}
}

// TestRequestAndCloseInOnePollRound: the attempt that begins in the very moment is given up at once, and no other follows.
func TestRequestAndCloseInOnePollRound(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	serveAll(r.endpoints, func(*endpointConn) {})
	c := r.connect("")
	r.world.Run(10 * eventloop.Millisecond)
	r.loop.Freeze(50 * eventloop.Millisecond)
	r.remote.Do(func() { c.conn.Write([]byte(r.requestText("explain"))); c.conn.Close() })
	r.world.Run(eventloop.Second)
	if r.dispatcher.Accepted > 1 || r.attempts() > 1 || len(r.dispatcher.requests) > 0 {
		t.Errorf("%d were accepted, %d attempts arrived, %d requests are left", r.dispatcher.Accepted, r.attempts(), len(r.dispatcher.requests))
	}
	r.requireIdle()
}

// TestSlowClientDisconnects: the end of a client is heard while its stream is slowed for it.
func TestSlowClientDisconnects(t *testing.T) {
	r := newHarness(t, 256, "prefill", "decode")
	r.world.ReceiveWindow = 4 << 10
	var out *endpointConn
	r.endpoints[1].serve = func(l *endpointConn) {
		out = l
		serveLongStream(2000)(l)
	}
	c := r.sendRequest("explain")
	r.waitFor(eventloop.Second, "its stream", func() bool { return len(c.events) > 0 })
	r.remote.Do(func() { c.conn.Pause(true) })
	r.world.Run(200 * eventloop.Millisecond)
	r.remote.Do(c.conn.Abort)
	if r.world.Run(20 * eventloop.Millisecond); !out.closed || r.dispatcher.ClientDisconnects != 1 {
		t.Errorf("its host's connection is closed: %v; %d clients have gone", out.closed, r.dispatcher.ClientDisconnects)
	}
	r.requireIdle()
}
