package platform

import (
	"math/rand"
	"strconv"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// TestSilentWatchIsReopened: a watch that falls silent is opened anew in time for all that it missed to be known 6 s after it fell silent, at
// whatever moment between two empty lines; and where the first try is lost too.
func TestSilentWatchIsReopened(t *testing.T) {
	for _, lost := range []bool{false, true} {
		for at := eventloop.Micros(0); at < 2*eventloop.Second; at += 190 * eventloop.Millisecond {
			r := newHarness(t, 256, usualEndpoints...)
			r.world.Run(at)
			r.agent.watches[0].mute = true
			if lost {
				r.agent.silent = true
				r.waitFor(6*eventloop.Second, "another try", func() bool { return len(r.agent.watches) == 2 })
				r.agent.silent = false
			}
			began := r.world.Now()
			r.world.Run(100 * eventloop.Millisecond)
			if !lost { // what it missed; a try that was lost has taken its own part of the time
				r.waitFor(5900*eventloop.Millisecond, "another watch", func() bool { return len(r.agent.watches) == 2 })
			} else {
				r.waitFor(2*eventloop.Second, "a third watch", func() bool { return len(r.agent.watches) == 3 })
			}
			r.remote.Do(func() {
				r.agent.watches[len(r.agent.watches)-1].conn.Write(r.agent.fullList(r.endpoints[0].entry("SERVING"), r.endpoints[2].entry("SERVING")))
			})
			r.world.Run(10 * eventloop.Millisecond)
			if len(r.dispatcher.ready) != 2 {
				t.Errorf("silent from %d ms: %d hosts are ready %d ms later", at/eventloop.Millisecond, len(r.dispatcher.ready), (r.world.Now()-began)/eventloop.Millisecond)
			}
			if r.world.Run(10 * eventloop.Second); !r.agent.watches[0].closed || r.remote.OpenConnections() > 1 {
				t.Errorf("%d watches are open", r.remote.OpenConnections())
			}
		}
	}
}

// TestDiscoveryReturns: what the agent gets at its return counts as told at once, so it has to find a watch, whichever it still serves:
// the one from before, or the last that was opened while it was away.
func TestDiscoveryReturns(t *testing.T) {
	for _, old := range []bool{false, true} {
		for _, away := range []eventloop.Micros{3700, 5100, 8000, 12300} {
			r := newHarness(t, 256, usualEndpoints...)
			r.agent.silent, r.agent.watches[0].mute = true, true
			r.world.Run(away * eventloop.Millisecond)
			if n := r.remote.OpenConnections(); n > 3 {
				t.Errorf("%d watches are open", n)
			}
			l := r.agent.watches[0]
			for _, o := range r.agent.watches {
				if !old && !o.closed {
					l = o
				}
			}
			if l.closed {
				t.Fatal("the watch was closed")
			}
			r.agent.silent = false
			r.remote.Do(func() {
				if l != r.agent.watches[0] {
					r.agent.startStream(l)
				}
				l.conn.Write(r.agent.fullList(r.endpoints[0].entry("SERVING"), r.endpoints[2].entry("SERVING")))
			})
			r.world.Run(20 * eventloop.Millisecond)
			if len(r.dispatcher.ready) != 2 {
				t.Errorf("away for %d ms: %d hosts are ready", away, len(r.dispatcher.ready))
			}
		}
	}
}

// TestResetWatchIsReopened: a watch that is reset is opened again within the drains' grace.
func TestResetWatchIsReopened(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	r.world.Run(eventloop.Second)
	r.remote.Do(func() { r.agent.watches[0].conn.Abort() })
	r.waitFor(100*eventloop.Millisecond, "another watch", func() bool { return len(r.agent.watches) == 2 })
}

// TestIndentedList: a list may come over several lines, cut anywhere; one that does not end costs the watch.
func TestIndentedList(t *testing.T) {
	for _, most := range []int{0, 1, 7} {
		r := newHarness(t, 256, usualEndpoints...)
		r.world.MaxSegment = most
		indented := func(entries ...string) string {
			return "\r\n{\n  \"version\": 9,\n  \"full\": true,\n  \"note\": \"} \\\" ]\",\n  \"servers\": [\n    " + strings.Join(entries, ",\n    ") + "\n  ]\n}\n\n"
		}
		r.agent.push(indented(r.endpoints[0].entry("SERVING"), r.endpoints[2].entry("SERVING")))
		r.world.Run(eventloop.Second)
		if len(r.dispatcher.ready) != 2 {
			t.Errorf("pieces of %d: %d hosts are ready", most, len(r.dispatcher.ready))
		}
		r.agent.push("{\n \"version\": 10,\n")
		if r.waitFor(7*eventloop.Second, "another watch", func() bool { return len(r.agent.watches) == 2 }); !strings.HasSuffix(r.agent.targets[1], "index=9") {
			t.Errorf("asked %v", r.agent.targets)
		}
	}
}

// TestReadyOnceDiscoverySpoke: a new process does not begin with what it knew before where the agent can tell it better, and does where
// discovery is away.
func TestReadyOnceDiscoverySpoke(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	r.agent.silent, r.agent.watches = true, nil
	r.loop.Do(func() { r.dispatcher.discovery.Close(); r.dispatcher = Start(r.loop, r.dispatcher.config) })
	if r.world.Run(500 * eventloop.Millisecond); r.dispatcher.Ready() {
		t.Error("ready before the agent has had a chance to speak")
	}
	if r.world.Run(600 * eventloop.Millisecond); !r.dispatcher.Ready() {
		t.Error("not ready though discovery is away")
	}
	r.agent.silent, r.agent.watches = false, nil
	r.loop.Do(func() { r.dispatcher.discovery.Close(); r.dispatcher = Start(r.loop, r.dispatcher.config) })
	if r.world.Run(20 * eventloop.Millisecond); !r.dispatcher.Ready() {
		t.Error("not ready though the agent has spoken")
	}
}

// TestUnfetchedStateIsReleased: while writers can't be reached, a state that waits at its reader is let go of in time, however many
// writers there are to try; what comes after is read anew.
func TestUnfetchedStateIsReleased(t *testing.T) {
	for _, product := range []string{"explain", "post"} {
		r := newHarness(t, 256, "prefill", "prefill", "decode", "decode", "decode", "decode", "decode")
		for _, h := range r.decodeEndpoints() {
			r.world.Block(r.loop, h.loop, 500*eventloop.Millisecond)
		}
		c := r.sendRequest(product)
		r.waitFor(eventloop.Second, "the read", func() bool { return r.attempts() == 1 })
		r.waitFor(500*eventloop.Millisecond, "a release", func() bool { return r.releases() == 1 })
		read := 0
		for _, h := range r.decodeEndpoints() { // one that is asked for a state that is not there says so, and the leg is lost
			h.serve = func(l *endpointConn) {
				if read == 0 {
					t.Errorf("%s: written without a state", product)
				}
				serveDecode(l)
			}
		}
		for _, h := range r.prefillEndpoints() {
			h.serve = func(l *endpointConn) { read++; l.answer(202, "") }
		}
		if got := r.finalStatus(c); got != 200 {
			t.Errorf("%s: answered %d", product, got)
		}
		r.requireIdle()
	}
}

// TestLeaseRestartsAfterAnAttempt: its time counts from the end of the last leg that left, and then it binds again.
func TestLeaseRestartsAfterAnAttempt(t *testing.T) {
	r := newHarness(t, 256, "prefill", "prefill", "decode", "decode", "decode", "decode", "decode")
	refused := false
	for _, h := range r.decodeEndpoints() {
		h.serve = func(l *endpointConn) { // the first says only after 0.4 s that it is full, and by then no other can be reached
			for _, o := range r.decodeEndpoints() {
				r.world.Block(r.loop, o.loop, 3*eventloop.Second)
			}
			h.loop.AfterFunc(400*eventloop.Millisecond, func() { l.answer(503, "", "Srv-Declined", "1"); refused = true })
		}
	}
	c := r.sendRequest("explain")
	r.waitFor(eventloop.Second, "a refusal", func() bool { return refused })
	if r.releases() > 0 {
		t.Error("let go of while a leg was out")
	}
	r.waitFor(500*eventloop.Millisecond, "a release", func() bool { return r.releases() > 0 })
	r.remote.Do(c.conn.Abort)
	r.world.Run(5 * eventloop.Second)
	r.requireIdle()
}

// TestLateSecondAnswer: it comes while the connection would be in use again, and is not taken for the next generation's.
func TestLateSecondAnswer(t *testing.T) {
	for span := eventloop.Micros(500); span <= 10*eventloop.Millisecond; span += 500 {
		r := newHarness(t, 256, "prefill", "decode")
		n := 0
		own := func() string { return strings.Replace(wordEvent, "Lamu", "Lamu "+strconv.Itoa(n), 1) }
		r.endpoints[1].serve = func(l *endpointConn) {
			n++
			text := own()
			answer := func() { l.stream(text, stopEvent, usageEvent, "[DONE]"); l.endStream() }
			if answer(); n == 1 {
				l.endpoint.loop.AfterFunc(span, answer)
			}
		}
		var last *client
		for i := range 6 {
			last = r.sendRequest("post")
			r.waitFor(eventloop.Second, "an answer", func() bool { return len(last.statuses) > 0 || last.closed })
			if len(last.events) == 0 || last.events[0] != own() || n != i+1 {
				t.Fatalf("after %d µs: generation %d was answered %q and written %d times in all", span, i+1, last.events, n)
			}
		}
	}
}

// TestAttemptExpiresBehindSlowRelease: a leg that waited for it longer than for any connection does not leave any more, as by then what was
// looked at when it was ordered may no longer hold.
func TestAttemptExpiresBehindSlowRelease(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	met := 0
	serveAll(r.decodeEndpoints(), func(l *endpointConn) {
		if met++; met == 1 {
			l.answer(410, "", "Srv-Declined", "1")
			return
		}
		serveDecode(l)
	})
	for _, h := range r.endpoints {
		h.releaseDelay = eventloop.Second
	}
	c := r.sendRequest("explain")
	r.waitFor(eventloop.Second, "a release", func() bool { return r.releases() > 0 })
	r.world.Run(300 * eventloop.Millisecond)
	for _, h := range r.endpoints {
		h.releaseDelay = 0
	}
	if got := r.finalStatus(c); got != 200 || r.dispatcher.Outcomes[scheduler.NotSent] != 1 {
		t.Errorf("answered %d with endings %v", got, r.dispatcher.Outcomes)
	}
	r.requireIdle()
}

// TestReleaseWhenMostAreSilent: connections to hosts that have fallen silent wait like any others; a release goes to one that spoke.
func TestReleaseWhenMostAreSilent(t *testing.T) {
	r := newHarness(t, 256, "prefill", "prefill", "decode", "decode", "decode", "decode", "decode", "decode", "decode", "decode")
	for range 40 { // a connection to each
		r.sendRequest("explain")
	}
	r.world.Run(eventloop.Second)
	serveAll(r.decodeEndpoints(), func(*endpointConn) {})
	c := r.sendRequest("post")
	writes := func() (n int) {
		for _, h := range r.decodeEndpoints() {
			n += h.count("POST")
		}
		return n
	}
	before := writes()
	r.waitFor(eventloop.Second, "the write", func() bool { return writes() > before })
	for _, h := range r.endpoints[1:] {
		r.world.Block(r.loop, h.loop, 5*eventloop.Second)
		r.world.Block(h.loop, r.loop, 5*eventloop.Second)
	}
	r.world.Run(300 * eventloop.Millisecond)
	spoke := r.endpoints[0].count("POST")
	for i := 0; i < 20 && r.endpoints[0].count("POST") == spoke; i++ { // until one host speaks, the home of a text
		r.sendRequest("explain", "Req-Extra", "prefix="+strconv.Itoa(i)+",prompt_len=512,prefix_len=256,max_out=80")
		r.world.Run(5 * eventloop.Millisecond)
	}
	r.world.Run(200 * eventloop.Millisecond)
	r.remote.Do(c.conn.Abort)
	r.waitFor(200*eventloop.Millisecond, "a release", func() bool { return r.endpoints[0].count("DELETE") > 0 })
}

// TestRemainingTimeIsSent: a host is told what the client has left when the leg leaves, not when its connection was asked for.
func TestRemainingTimeIsSent(t *testing.T) {
	r := newHarness(t, 256, "prefill", "decode")
	r.world.Latency = 80 * eventloop.Millisecond
	r.endpoints[0].serve = func(l *endpointConn) {
		told, err := strconv.ParseInt(strings.TrimSuffix(l.head.Get("Req-Deadline"), "u"), 10, 64)
		if left := 900*eventloop.Millisecond - 2*r.world.Latency; err != nil || eventloop.Micros(told) > left { // its connection took two ways
			t.Errorf("told %d µs, %d are left", told, left)
		}
		servePrefill(l)
	}
	r.finalStatus(r.sendRequest("explain", "Req-Deadline", "900m"))
	if r.endpoints[0].count("POST") == 0 {
		t.Error("nothing was read")
	}
}

// TestNoAttemptAfterDisconnect: no leg begins over 0.1 s after a client has closed, wherever its generation is: with pipelined requests behind it,
// waiting for a connection, or where legs may not be cancelled.
func TestNoAttemptAfterDisconnect(t *testing.T) {
	for _, may := range []string{"true", "false"} {
		at := strings.Replace(testSettings, `"may_cancel": true`, `"may_cancel": `+may, 1)
		// More is behind it than is taken in.
		r := newHarnessWith(t, at, 256, usualEndpoints...)
		serveAll(r.prefillEndpoints(), func(*endpointConn) {})
		first := r.requestText("explain")
		c := r.connect(first + strings.Repeat(r.requestText("explain"), 2000))
		r.waitFor(eventloop.Second, "the read", func() bool { return r.attempts() == 1 })
		r.world.Run(100 * eventloop.Millisecond)
		r.remote.Do(c.conn.Abort)
		r.world.Run(100 * eventloop.Millisecond)
		for _, g := range r.dispatcher.requests {
			if !g.answered {
				t.Error("its going was not seen")
			}
		}
		if r.world.Run(10 * eventloop.Second); r.attempts() != 1 {
			t.Errorf("%d legs", r.attempts())
		}
		// The leg waits for its connection, which takes twice as long as the news.
		r = newHarnessWith(t, at, 256, usualEndpoints...)
		r.world.Latency = 60 * eventloop.Millisecond
		c = r.sendRequest("explain")
		r.waitFor(eventloop.Second, "the leg's order", func() bool { return r.dispatcher.Attempts == 1 })
		r.remote.Do(c.conn.Abort)
		if r.world.Run(5 * eventloop.Second); r.attempts() > 0 || r.dispatcher.ClientDisconnects != 1 {
			t.Errorf("may cancel %s: %d legs, %d clients left", may, r.attempts(), r.dispatcher.ClientDisconnects)
		}
	}
}

// TestNeverTwoAttemptsInFlight: a leg that was given up is out until its host has seen its connection close, and ways through the network differ:
// neither another leg nor a throttling may overtake that.
func TestNeverTwoAttemptsInFlight(t *testing.T) {
	for _, may := range []string{"true", "false"} {
		r := newHarnessWith(t, strings.Replace(testSettings, `"may_cancel": true`, `"may_cancel": `+may, 1), 256, "prefill", "prefill", "prefill", "decode", "decode")
		chance := rand.New(rand.NewSource(5))
		out := map[string]*endpointConn{}
		overtaken := 0
		for i, h := range r.endpoints {
			usual, hangs := h.serve, i < 2
			h.serve = func(l *endpointConn) {
				id := l.head.Get("Req-Id")
				if before := out[id]; before != nil && !before.closed {
					overtaken++
				}
				if hangs {
					out[id] = l
					return
				}
				delete(out, id)
				usual(l)
			}
		}
		r.world.ExtraLatency = func() eventloop.Micros { return eventloop.Micros(chance.Intn(8000)) }
		for i := range 60 {
			product, limit := "post", "1500m"
			if i%2 > 0 {
				product = "explain"
			}
			if i%3 > 0 {
				limit = "4000m"
			}
			c := r.sendRequest(product, "Req-Key", strconv.Itoa(i), "Req-Extra", "prompt_len=512,max_out=80", "Req-Deadline", limit)
			r.finalStatus(c)
		}
		r.world.ExtraLatency = nil
		if overtaken > 0 {
			t.Errorf("may cancel %s: %d legs overtook the close of the one before", may, overtaken)
		}
		if n := r.endpoints[0].count("POST") + r.endpoints[1].count("POST"); n < 5 || r.dispatcher.Completed < 40 {
			t.Errorf("%d legs hung, %d were streamed", n, r.dispatcher.Completed)
		}
		r.requireIdle()
	}
}

// TestCancelledTwice: what is asked of a leg in the moment after it was given up does not shorten that, nor is it taken for one that has
// never left: news that its host goes, a cancel, the end of its state's time.
func TestCancelledTwice(t *testing.T) {
	for name, meanwhile := range map[string]func(r *harness, g *request){
		"cancel":  func(r *harness, g *request) { r.dispatcher.Cancel(g.id, g.attempts-1) },
		"drain":   func(r *harness, g *request) { r.dispatcher.ready = nil; r.dispatcher.cancelUnsentToUnready() },
		"expired": func(r *harness, g *request) { g.leased = true; r.dispatcher.leaseExpired(g) },
	} {
		r := newHarness(t, 256, usualEndpoints...)
		serveAll(r.decodeEndpoints(), func(*endpointConn) {})
		r.sendRequest("post")
		closing := func() *request {
			for _, g := range r.dispatcher.requests {
				if g.cancelling {
					return g
				}
			}
			return nil
		}
		r.waitFor(eventloop.Second, "the write", func() bool { return r.dispatcher.Attempts == 2 })
		r.world.Run(100 * eventloop.Millisecond)
		for _, g := range r.dispatcher.requests { // as its time runs out
			r.loop.Do(func() { r.dispatcher.Cancel(g.id, g.attempts-1) })
		}
		g := closing()
		if g == nil {
			t.Fatal("no leg is being given up")
		}
		r.loop.Do(func() { meanwhile(r, g) })
		if r.world.Run(cancelDelivery - 2*eventloop.Millisecond); !g.cancelling {
			t.Errorf("%s: it was taken for over at once", name)
		}
		r.world.Run(2 * cancelDelivery)
		if r.dispatcher.Outcomes[scheduler.Cancelled] != 1 || r.dispatcher.Outcomes[scheduler.Unreachable]+r.dispatcher.Outcomes[scheduler.NoCapacity]+r.dispatcher.Outcomes[scheduler.NotSent] > 0 {
			t.Errorf("%s: endings %v", name, r.dispatcher.Outcomes)
		}
	}
}
