package platform

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/sse"
)

// TestNoRetryAfterItsWindow: a repeat that waits for a release and then for a connection does not arrive after its window.
func TestNoRetryAfterItsWindow(t *testing.T) {
	const window = 300 * eventloop.Millisecond
	text := strings.Replace(testSettings, `"repeat": "non_idempotent"`, `"repeat": "idempotency_key", "group": "all", "window": 300000000`, 1)
	text = strings.Replace(text, `"let_go_by"`, `"local_read": true, "let_go_by"`, 1)
	r := newHarnessWith(t, text, 256, usualEndpoints...)
	var first eventloop.Micros
	met := 0
	serveAll(r.decodeEndpoints(), func(l *endpointConn) {
		switch met++; met {
		case 1: // it may have run
			first = r.world.Now()
			l.conn.Abort()
		case 2: // where the state is gone: it is released, and the next attempt waits for that
			r.agent.update(false, r.endpoints[0].entry("DRAINING"), r.endpoints[1].entry("DRAINING")) // so that a decode host reads the prompt too
			l.endpoint.loop.AfterFunc(2*r.world.Latency, func() { l.answer(410, "", "Srv-Declined", "1", "Connection", "close") })
		default:
			if late := r.world.Now() - first; late > window+r.world.Latency { // it left after the window
				t.Errorf("a repeat arrived %d ms after the first attempt", late/eventloop.Millisecond)
			}
			serveDecode(l)
		}
	})
	for _, h := range r.endpoints {
		h.releaseDelay = eventloop.Second
	}
	c := r.sendRequest("post")
	r.waitFor(eventloop.Second, "a release", func() bool { return r.releases() > 0 })
	r.world.Run(120 * eventloop.Millisecond)
	for _, h := range r.endpoints { // the release arrives at last, and what follows it needs a new connection, which is slow to come up
		h.releaseDelay, h.onReleased = 0, func() { r.world.Latency = 100 * eventloop.Millisecond }
		h.loop.Do(func() {
			for _, l := range h.connections {
				l.conn.Abort()
			}
		})
	}
	r.finalStatus(c)
	if met < 2 {
		t.Errorf("%d attempts", met)
	}
	r.requireIdle()
}

// TestStreamWithoutFraming: a stream that goes on until its connection ends is whole only where its last event came; one that broke off is
// never ended with the last chunk.
func TestStreamWithoutFraming(t *testing.T) {
	for name, test := range map[string]struct {
		events []string
		end    func(eventloop.Conn)
		whole  bool
	}{
		"whole":                   {[]string{wordEvent, stopEvent, "[DONE]"}, eventloop.Conn.Close, true},
		"reset":                   {[]string{wordEvent}, eventloop.Conn.Abort, false},
		"closed before its end":   {[]string{wordEvent, stopEvent}, eventloop.Conn.Close, false},
		"reset behind its end":    {[]string{wordEvent, stopEvent, "[DONE]"}, eventloop.Conn.Abort, true},
		"nothing and then closed": {nil, eventloop.Conn.Close, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 256, usualEndpoints...)
			serveAll(r.decodeEndpoints(), func(l *endpointConn) {
				l.conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"))
				for _, e := range test.events {
					l.conn.Write(sse.Append(nil, []byte(e)))
				}
				l.endpoint.loop.AfterFunc(50*eventloop.Millisecond, func() { test.end(l.conn) })
			})
			c := r.sendRequest("post")
			r.waitFor(5*eventloop.Second, "the end", func() bool { return c.closed || len(c.statuses) > 0 })
			r.world.Run(100 * eventloop.Millisecond)
			if whole := len(c.statuses) == 1 && c.statuses[0] == 200; whole != test.whole {
				t.Errorf("the client was told that it is whole: %v, with %d events", whole, len(c.events))
			}
			r.requireIdle()
		})
	}
}

// TestUnusedConnectionAtShutdown: a connection that was opened before the shutdown, and brings its first request only when the process has
// nothing else to do any more, is answered or closed unread, whatever the moment.
func TestUnusedConnectionAtShutdown(t *testing.T) {
	for after := drainTime; after < drainTime+2*eventloop.Second; after += 20 * eventloop.Millisecond {
		r := newHarness(t, 256, usualEndpoints...)
		c := r.connect("")
		r.world.Run(10 * eventloop.Millisecond)
		ended := r.shutDown()
		r.remote.AfterFunc(after, func() {
			if !c.closed {
				c.conn.Write([]byte(r.requestText("explain")))
			}
		})
		clean := true
		r.world.AfterStep = func() {
			if *ended && r.dispatcher.Server().Open() > 0 { // the process ends, and resets what is open
				clean = false
			}
		}
		r.waitFor(10*eventloop.Second, "the end", func() bool { return *ended })
		if !clean {
			t.Errorf("%d ms after the signal: it ended with an open connection", after/eventloop.Millisecond)
		}
	}
}

// TestStateBehindASilentConnection: a call that has left this machine and not reached its host is not out. What it was to take is released in
// time, and the request, which may have run, is not sent again where that would do harm.
func TestStateBehindASilentConnection(t *testing.T) {
	for class, want := range map[string]int{"explain": 200, "post": 500} {
		t.Run(class, func(t *testing.T) {
			r := newHarness(t, 256, usualEndpoints...)
			for range 40 { // a connection to each
				r.sendRequest("explain")
			}
			r.world.Run(eventloop.Second)
			for _, h := range r.decodeEndpoints()[1:] { // only until the call has left
				r.agent.update(false, h.entry("DELETED"))
			}
			silent := r.decodeEndpoints()[0]
			r.world.Run(100 * eventloop.Millisecond)
			var read eventloop.Micros
			serveAll(r.prefillEndpoints(), func(l *endpointConn) {
				if read == 0 {
					read = r.world.Now()
					r.world.Block(r.loop, silent.loop, eventloop.Second) // nothing arrives there, and no error comes back
				}
				l.answer(202, `{"cached_tokens":0}`)
			})
			c := r.sendRequest(class)
			before := r.releases()
			r.waitFor(eventloop.Second, "the read", func() bool { return read > 0 })
			r.world.Run(100 * eventloop.Millisecond)
			for _, h := range r.decodeEndpoints()[1:] {
				r.agent.update(false, h.entry("SERVING"))
			}
			r.waitFor(eventloop.Second, "the release", func() bool { return r.releases() > before })
			if took := r.world.Now() - read; took > 500*eventloop.Millisecond {
				t.Errorf("released after %d ms", took/eventloop.Millisecond)
			}
			if got := r.finalStatus(c); got != want {
				t.Errorf("answered %d", got)
			}
			r.requireIdle()
		})
	}
}

// TestReleaseOverSlowConnections: where no connection waits and new ones are slow to come up, a release is not given up before it could
// arrive: other hosts are asked beside the first.
func TestReleaseOverSlowConnections(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	serveAll(r.decodeEndpoints(), func(*endpointConn) {})
	c := r.sendRequest("explain")
	r.waitFor(eventloop.Second, "the call", func() bool { return r.endpoints[2].count("POST")+r.endpoints[3].count("POST") > 0 })
	for _, h := range r.endpoints {
		h.loop.Do(func() {
			for _, l := range h.connections {
				l.conn.Abort()
			}
		})
	}
	r.world.Latency = 55 * eventloop.Millisecond // 110 for a connection, 110 for an answer
	r.remote.Do(c.conn.Abort)
	r.world.Run(60 * eventloop.Millisecond)
	began := r.world.Now()
	r.waitFor(5*eventloop.Second, "the release's end", func() bool { return len(r.dispatcher.requests) == 0 })
	if took := r.world.Now() - began; took > 500*eventloop.Millisecond {
		t.Errorf("released after %d ms", took/eventloop.Millisecond)
	}
	r.requireIdle()
}

// TestDisconnectNotYetHandedOver: where the news of a client's close has reached this machine and not the loop, as after the process was held up, no
// attempt begins for it.
func TestDisconnectNotYetHandedOver(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	declined := 0
	serveAll(r.prefillEndpoints(), func(l *endpointConn) {
		declined++
		l.answer(503, "", "Srv-Declined", "1")
	})
	first := r.sendRequest("post")
	r.waitFor(eventloop.Second, "two refusals", func() bool { return declined == 2 })
	c := r.sendRequest("post") // the hosts are not asked again for a moment
	r.world.Run(5 * eventloop.Millisecond)
	r.world.DeliveryDelay = 400 * eventloop.Millisecond
	r.remote.Do(c.conn.Abort)
	r.world.Run(390 * eventloop.Millisecond)
	r.world.DeliveryDelay = 0
	r.remote.Do(first.conn.Abort)
	r.world.Run(eventloop.Second)
	if declined > 2 {
		t.Errorf("%d attempts began after the client's close", declined-2)
	}
	r.requireIdle()
}

// TestRandomFaults plays what TestAnyOrder does, with troubles of the network and of this machine on top that overlap: connections to some hosts
// are silent, descriptors run out, watches break, the loop stands still. The guard judges, and each client that stays gets what it is owed.
func TestRandomFaults(t *testing.T) {
	for seed := range int64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomFaults(t, seed) })
	}
}

func playRandomFaults(t *testing.T, seed int64) {
	chance := rand.New(rand.NewSource(seed))
	p := randomDeployment(chance)
	r, watch := p.harness(t, chance)
	watch.t = &testing.T{} // what arrives after a silence is no fault of the dispatcher's
	r.world.DeliveryDelay = eventloop.Micros(chance.Intn(2000))
	r.world.ExtraLatency = func() eventloop.Micros { return eventloop.Micros(chance.Intn(3000)) }
	during := func(most eventloop.Micros) eventloop.Micros { return eventloop.Micros(chance.Int63n(int64(most))) }
	const day = 6 * eventloop.Second
	var visitors []*visitor
	for i := range 60 {
		r.remote.AfterFunc(during(day), func() { visitors = append(visitors, r.visit(p, watch, chance, i)) })
	}
	troubles := []func(){
		func() {
			r.world.Block(r.loop, r.endpoints[chance.Intn(len(r.endpoints))].loop, during(eventloop.Second))
		},
		func() {
			r.world.Block(r.endpoints[chance.Intn(len(r.endpoints))].loop, r.loop, during(eventloop.Second))
		},
		func() {
			r.loop.DescriptorLimit = r.loop.OpenConnections() + chance.Intn(4)
			r.remote.AfterFunc(during(eventloop.Second), func() { r.loop.DescriptorLimit = 0 })
		},
		func() {
			for _, l := range r.agent.watches {
				l.conn.Abort()
			}
		},
		func() { r.loop.Freeze(during(140 * eventloop.Millisecond)) },
		func() { r.agent.update(false, r.endpoints[chance.Intn(len(r.endpoints))].entry("DRAINING")) },
		func() {
			for _, l := range r.endpoints[chance.Intn(len(r.endpoints))].connections {
				l.conn.Abort()
			}
		},
	}
	for range 12 {
		r.remote.AfterFunc(during(day), troubles[chance.Intn(len(troubles))])
	}
	r.world.Run(during(day + eventloop.Second))
	ended := r.shutDown()
	r.world.Run(2 * day)
	r.waitFor(20*eventloop.Second, "the end", func() bool { return *ended })
	for _, v := range visitors {
		v.check(t)
	}
	for _, v := range r.violations {
		t.Errorf("%s of %s: %s", v.Rule, v.RequestID, v.Detail)
	}
	if n := r.dispatcher.scheduler.Violations(); n > 0 {
		t.Errorf("the scheduler refused %d of its own sends", n)
	}
	if n := len(r.dispatcher.requests); n > 0 {
		t.Errorf("%d requests are left: %s", n, r.dispatcher.Summary())
	}
}

// TestNoAttemptAfterTheAnswer: an attempt that waits for its connection when the request's time is over never leaves, also where attempts may
// not be cancelled.
func TestNoAttemptAfterTheAnswer(t *testing.T) {
	for latency := 95 * eventloop.Millisecond; latency < 101*eventloop.Millisecond; latency += 500 {
		r := newHarnessWith(t, strings.Replace(testSettings, `"may_cancel": true`, `"may_cancel": false`, 1), 256, usualEndpoints...)
		serveAll(r.prefillEndpoints(), func(l *endpointConn) {
			r.world.Latency = latency // the connection comes up as the time is over, at one of these
			servePrefill(l)
		})
		c := r.sendRequest("explain", "Req-Deadline", "300m")
		if got := r.finalStatus(c); got == 200 {
			t.Errorf("answered %d", got)
		}
		r.requireIdle()
	}
}

// TestReleaseWhenAllOthersDrain: where no host that wants new requests can be reached, one that drains is asked: it runs, and a release is
// nothing new.
func TestReleaseWhenAllOthersDrain(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	serveAll(r.decodeEndpoints(), func(*endpointConn) {})
	c := r.sendRequest("explain")
	r.waitFor(eventloop.Second, "the call", func() bool { return r.endpoints[2].count("POST")+r.endpoints[3].count("POST") > 0 })
	var entries []string
	for _, h := range r.endpoints[1:] {
		entries = append(entries, h.entry("DRAINING"))
	}
	r.agent.update(false, entries...)
	r.world.Run(10 * eventloop.Millisecond)
	r.world.Block(r.loop, r.endpoints[0].loop, 3*eventloop.Second)
	r.remote.Do(c.conn.Abort)
	r.waitFor(500*eventloop.Millisecond, "the release's end", func() bool { return len(r.dispatcher.requests) == 0 })
	r.requireIdle()
}

// TestStateOfABrokenPrefill: what a prefill attempt may have left whose answer was lost is released in time, also while the prompt is being read
// elsewhere.
func TestStateOfABrokenPrefill(t *testing.T) {
	for _, mayCancel := range []string{"true", "false"} {
		r := newHarnessWith(t, strings.Replace(testSettings, `"may_cancel": true`, `"may_cancel": `+mayCancel, 1), 256, usualEndpoints...)
		met := 0
		serveAll(r.prefillEndpoints(), func(l *endpointConn) {
			if met++; met == 1 {
				l.conn.Abort() // it has read the prompt
			} // the other one hangs
		})
		r.sendRequest("explain")
		r.waitFor(eventloop.Second, "the first attempt", func() bool { return met > 0 })
		r.waitFor(500*eventloop.Millisecond, "a release", func() bool { return r.releases() > 0 })
		r.waitFor(eventloop.Second, "the second attempt", func() bool { return met > 1 })
	}
}
