package platform

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/sse"
)

// TestRepeatAfterALongRelease: a repeat that waits for a release and then for a connection does not arrive after its window.
func TestRepeatAfterALongRelease(t *testing.T) {
	const window = 300 * eventloop.Millisecond
	text := strings.Replace(usualSettings, `"repeat": "non_idempotent"`, `"repeat": "idempotency_key", "group": "all", "window": 300000000`, 1)
	text = strings.Replace(text, `"let_go_by"`, `"local_read": true, "let_go_by"`, 1)
	r := newRigAt(t, text, 256, fleet...)
	var first eventloop.Micros
	met := 0
	all(r.writers(), func(l *line) {
		switch met++; met {
		case 1: // it may have run
			first = r.w.Now()
			l.conn.Abort()
		case 2: // where the state is gone: it is released, and the next attempt waits for that
			r.agent.tell(false, r.hosts[0].entry("DRAINING"), r.hosts[1].entry("DRAINING")) // so that a decode host reads the prompt too
			l.h.loop.AfterFunc(2*r.w.Latency, func() { l.answer(410, "", "Srv-Declined", "1", "Connection", "close") })
		default:
			if late := r.w.Now() - first; late > window+r.w.Latency { // it left after the window
				t.Errorf("a repeat arrived %d ms after the first attempt", late/eventloop.Millisecond)
			}
			write(l)
		}
	})
	for _, h := range r.hosts {
		h.slack = eventloop.Second
	}
	c := r.ask("post")
	r.until(eventloop.Second, "a release", func() bool { return r.releases() > 0 })
	r.w.Run(120 * eventloop.Millisecond)
	for _, h := range r.hosts { // the release arrives at last, and what follows it needs a new connection, which is slow to come up
		h.slack, h.after = 0, func() { r.w.Latency = 100 * eventloop.Millisecond }
		h.loop.Do(func() {
			for _, l := range h.lines {
				l.conn.Abort()
			}
		})
	}
	r.final(c)
	if met < 2 {
		t.Errorf("%d attempts", met)
	}
	r.quiet()
}

// TestStreamWithoutFraming: a stream that goes on until its connection ends is whole only where its last event came; one that broke off is
// never ended with the last chunk.
func TestStreamWithoutFraming(t *testing.T) {
	for name, test := range map[string]struct {
		events []string
		end    func(eventloop.Conn)
		whole  bool
	}{
		"whole":                   {[]string{word, stop, "[DONE]"}, eventloop.Conn.Close, true},
		"reset":                   {[]string{word}, eventloop.Conn.Abort, false},
		"closed before its end":   {[]string{word, stop}, eventloop.Conn.Close, false},
		"reset behind its end":    {[]string{word, stop, "[DONE]"}, eventloop.Conn.Abort, true},
		"nothing and then closed": {nil, eventloop.Conn.Close, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 256, fleet...)
			all(r.writers(), func(l *line) {
				l.conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"))
				for _, e := range test.events {
					l.conn.Write(sse.Append(nil, []byte(e)))
				}
				l.h.loop.AfterFunc(50*eventloop.Millisecond, func() { test.end(l.conn) })
			})
			c := r.ask("post")
			r.until(5*eventloop.Second, "the end", func() bool { return c.closed || len(c.finals) > 0 })
			r.w.Run(100 * eventloop.Millisecond)
			if whole := len(c.finals) == 1 && c.finals[0] == 200; whole != test.whole {
				t.Errorf("the client was told that it is whole: %v, with %d events", whole, len(c.got))
			}
			r.quiet()
		})
	}
}

// TestUnusedConnectionAtTheEnd: a connection that was opened before the shutdown, and brings its first request only when the process has
// nothing else to do any more, is answered or closed unread, whatever the moment.
func TestUnusedConnectionAtTheEnd(t *testing.T) {
	for after := drainTime; after < drainTime+2*eventloop.Second; after += 20 * eventloop.Millisecond {
		r := newRig(t, 256, fleet...)
		c := r.raw("")
		r.w.Run(10 * eventloop.Millisecond)
		ended := r.shutDown()
		r.far.AfterFunc(after, func() {
			if !c.closed {
				c.conn.Write([]byte(r.request("explain")))
			}
		})
		clean := true
		r.w.AfterStep = func() {
			if *ended && r.x.Server().Open() > 0 { // the process ends, and resets what is open
				clean = false
			}
		}
		r.until(10*eventloop.Second, "the end", func() bool { return *ended })
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
			r := newRig(t, 256, fleet...)
			for range 40 { // a connection to each
				r.ask("explain")
			}
			r.w.Run(eventloop.Second)
			for _, h := range r.writers()[1:] { // only until the call has left
				r.agent.tell(false, h.entry("DELETED"))
			}
			silent := r.writers()[0]
			r.w.Run(100 * eventloop.Millisecond)
			var read eventloop.Micros
			all(r.readers(), func(l *line) {
				if read == 0 {
					read = r.w.Now()
					r.w.Block(r.loop, silent.loop, eventloop.Second) // nothing arrives there, and no error comes back
				}
				l.answer(202, `{"cached_tokens":0}`)
			})
			c := r.ask(class)
			before := r.releases()
			r.until(eventloop.Second, "the read", func() bool { return read > 0 })
			r.w.Run(100 * eventloop.Millisecond)
			for _, h := range r.writers()[1:] {
				r.agent.tell(false, h.entry("SERVING"))
			}
			r.until(eventloop.Second, "the release", func() bool { return r.releases() > before })
			if took := r.w.Now() - read; took > 500*eventloop.Millisecond {
				t.Errorf("released after %d ms", took/eventloop.Millisecond)
			}
			if got := r.final(c); got != want {
				t.Errorf("answered %d", got)
			}
			r.quiet()
		})
	}
}

// TestReleaseOverSlowConnections: where no connection waits and new ones are slow to come up, a release is not given up before it could
// arrive: other hosts are asked beside the first.
func TestReleaseOverSlowConnections(t *testing.T) {
	r := newRig(t, 256, fleet...)
	all(r.writers(), func(*line) {})
	c := r.ask("explain")
	r.until(eventloop.Second, "the call", func() bool { return r.hosts[2].count("POST")+r.hosts[3].count("POST") > 0 })
	for _, h := range r.hosts {
		h.loop.Do(func() {
			for _, l := range h.lines {
				l.conn.Abort()
			}
		})
	}
	r.w.Latency = 55 * eventloop.Millisecond // 110 for a connection, 110 for an answer
	r.far.Do(c.conn.Abort)
	r.w.Run(60 * eventloop.Millisecond)
	began := r.w.Now()
	r.until(5*eventloop.Second, "the release's end", func() bool { return len(r.x.requests) == 0 })
	if took := r.w.Now() - began; took > 500*eventloop.Millisecond {
		t.Errorf("released after %d ms", took/eventloop.Millisecond)
	}
	r.quiet()
}

// TestClientGoneBehindALag: where the news of a client's close has reached this machine and not the loop, as after the process was held up, no
// attempt begins for it.
func TestClientGoneBehindALag(t *testing.T) {
	r := newRig(t, 256, fleet...)
	declined := 0
	all(r.readers(), func(l *line) {
		declined++
		l.answer(503, "", "Srv-Declined", "1")
	})
	first := r.ask("post")
	r.until(eventloop.Second, "two refusals", func() bool { return declined == 2 })
	c := r.ask("post") // the hosts are not asked again for a moment
	r.w.Run(5 * eventloop.Millisecond)
	r.w.DeliveryDelay = 400 * eventloop.Millisecond
	r.far.Do(c.conn.Abort)
	r.w.Run(390 * eventloop.Millisecond)
	r.w.DeliveryDelay = 0
	r.far.Do(first.conn.Abort)
	r.w.Run(eventloop.Second)
	if declined > 2 {
		t.Errorf("%d attempts began after the client's close", declined-2)
	}
	r.quiet()
}

// TestAnyCrossing plays what TestAnyOrder does, with troubles of the network and of this machine on top that overlap: connections to some hosts
// are silent, descriptors run out, watches break, the loop stands still. The guard judges, and each client that stays gets what it is owed.
func TestAnyCrossing(t *testing.T) {
	for seed := range int64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playAnyCrossing(t, seed) })
	}
}

func playAnyCrossing(t *testing.T, seed int64) {
	chance := rand.New(rand.NewSource(seed))
	p := drawPlace(chance)
	r, watch := p.rig(t, chance)
	watch.t = &testing.T{} // what arrives after a silence is no fault of the dispatcher's
	r.w.DeliveryDelay = eventloop.Micros(chance.Intn(2000))
	r.w.ExtraLatency = func() eventloop.Micros { return eventloop.Micros(chance.Intn(3000)) }
	during := func(most eventloop.Micros) eventloop.Micros { return eventloop.Micros(chance.Int63n(int64(most))) }
	const day = 6 * eventloop.Second
	var visitors []*visitor
	for i := range 60 {
		r.far.AfterFunc(during(day), func() { visitors = append(visitors, r.visit(p, watch, chance, i)) })
	}
	troubles := []func(){
		func() { r.w.Block(r.loop, r.hosts[chance.Intn(len(r.hosts))].loop, during(eventloop.Second)) },
		func() { r.w.Block(r.hosts[chance.Intn(len(r.hosts))].loop, r.loop, during(eventloop.Second)) },
		func() {
			r.loop.DescriptorLimit = r.loop.OpenConnections() + chance.Intn(4)
			r.far.AfterFunc(during(eventloop.Second), func() { r.loop.DescriptorLimit = 0 })
		},
		func() {
			for _, l := range r.agent.watches {
				l.conn.Abort()
			}
		},
		func() { r.loop.Freeze(during(140 * eventloop.Millisecond)) },
		func() { r.agent.tell(false, r.hosts[chance.Intn(len(r.hosts))].entry("DRAINING")) },
		func() {
			for _, l := range r.hosts[chance.Intn(len(r.hosts))].lines {
				l.conn.Abort()
			}
		},
	}
	for range 12 {
		r.far.AfterFunc(during(day), troubles[chance.Intn(len(troubles))])
	}
	r.w.Run(during(day + eventloop.Second))
	ended := r.shutDown()
	r.w.Run(2 * day)
	r.until(20*eventloop.Second, "the end", func() bool { return *ended })
	for _, v := range visitors {
		v.check(t)
	}
	for _, v := range r.violations {
		t.Errorf("%s of %s: %s", v.Rule, v.Request, v.Detail)
	}
	if n := r.x.module.Violations(); n > 0 {
		t.Errorf("the scheduler refused %d of its own sends", n)
	}
	if n := len(r.x.requests); n > 0 {
		t.Errorf("%d requests are left: %s", n, r.x.Summary())
	}
}

// TestNoAttemptAfterTheAnswer: an attempt that waits for its connection when the request's time is over never leaves, also where attempts may
// not be cancelled.
func TestNoAttemptAfterTheAnswer(t *testing.T) {
	for latency := 95 * eventloop.Millisecond; latency < 101*eventloop.Millisecond; latency += 500 {
		r := newRigAt(t, strings.Replace(usualSettings, `"may_cancel": true`, `"may_cancel": false`, 1), 256, fleet...)
		all(r.readers(), func(l *line) {
			r.w.Latency = latency // the connection comes up as the time is over, at one of these
			read(l)
		})
		c := r.ask("explain", "Req-Deadline", "300m")
		if got := r.final(c); got == 200 {
			t.Errorf("answered %d", got)
		}
		r.quiet()
	}
}

// TestReleaseWhereAllOthersDrain: where no host that wants new requests can be reached, one that drains is asked: it runs, and a release is
// nothing new.
func TestReleaseWhereAllOthersDrain(t *testing.T) {
	r := newRig(t, 256, fleet...)
	all(r.writers(), func(*line) {})
	c := r.ask("explain")
	r.until(eventloop.Second, "the call", func() bool { return r.hosts[2].count("POST")+r.hosts[3].count("POST") > 0 })
	var entries []string
	for _, h := range r.hosts[1:] {
		entries = append(entries, h.entry("DRAINING"))
	}
	r.agent.tell(false, entries...)
	r.w.Run(10 * eventloop.Millisecond)
	r.w.Block(r.loop, r.hosts[0].loop, 3*eventloop.Second)
	r.far.Do(c.conn.Abort)
	r.until(500*eventloop.Millisecond, "the release's end", func() bool { return len(r.x.requests) == 0 })
	r.quiet()
}

// TestStateOfABrokenPrefill: what a prefill attempt may have left whose answer was lost is released in time, also while the prompt is being read
// elsewhere.
func TestStateOfABrokenPrefill(t *testing.T) {
	for _, mayCancel := range []string{"true", "false"} {
		r := newRigAt(t, strings.Replace(usualSettings, `"may_cancel": true`, `"may_cancel": `+mayCancel, 1), 256, fleet...)
		met := 0
		all(r.readers(), func(l *line) {
			if met++; met == 1 {
				l.conn.Abort() // it has read the prompt
			} // the other one hangs
		})
		r.ask("explain")
		r.until(eventloop.Second, "the first attempt", func() bool { return met > 0 })
		r.until(500*eventloop.Millisecond, "a release", func() bool { return r.releases() > 0 })
		r.until(eventloop.Second, "the second attempt", func() bool { return met > 1 })
	}
}
