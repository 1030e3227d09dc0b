package platform

import (
	"math/rand"
	"strconv"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// TestSilentWatch: a watch that falls silent is opened anew in time for all that it missed to be known 6 s after it fell silent, at
// whatever moment between two empty lines; and where the first try is lost too.
func TestSilentWatch(t *testing.T) {
	for _, lost := range []bool{false, true} {
		for at := eventloop.Micros(0); at < 2*eventloop.Second; at += 190 * eventloop.Millisecond {
			r := newRig(t, 256, fleet...)
			r.w.Run(at)
			r.agent.watches[0].mute = true
			if lost {
				r.agent.away = true
				r.until(6*eventloop.Second, "another try", func() bool { return len(r.agent.watches) == 2 })
				r.agent.away = false
			}
			began := r.w.Now()
			r.w.Run(100 * eventloop.Millisecond)
			if !lost { // what it missed; a try that was lost has taken its own part of the time
				r.until(5900*eventloop.Millisecond, "another watch", func() bool { return len(r.agent.watches) == 2 })
			} else {
				r.until(2*eventloop.Second, "a third watch", func() bool { return len(r.agent.watches) == 3 })
			}
			r.far.Do(func() {
				r.agent.watches[len(r.agent.watches)-1].conn.Write(r.agent.list(r.hosts[0].entry("SERVING"), r.hosts[2].entry("SERVING")))
			})
			r.w.Run(10 * eventloop.Millisecond)
			if len(r.x.ready) != 2 {
				t.Errorf("silent from %d ms: %d hosts are ready %d ms later", at/eventloop.Millisecond, len(r.x.ready), (r.w.Now()-began)/eventloop.Millisecond)
			}
			if r.w.Run(10 * eventloop.Second); !r.agent.watches[0].closed || r.far.OpenConnections() > 1 {
				t.Errorf("%d watches are open", r.far.OpenConnections())
			}
		}
	}
}

// TestDiscoveryReturns: what the agent gets at its return counts as told at once, so it has to find a watch, whichever it still serves:
// the one from before, or the last that was opened while it was away.
func TestDiscoveryReturns(t *testing.T) {
	for _, old := range []bool{false, true} {
		for _, away := range []eventloop.Micros{3700, 5100, 8000, 12300} {
			r := newRig(t, 256, fleet...)
			r.agent.away, r.agent.watches[0].mute = true, true
			r.w.Run(away * eventloop.Millisecond)
			if n := r.far.OpenConnections(); n > 3 {
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
			r.agent.away = false
			r.far.Do(func() {
				if l != r.agent.watches[0] {
					r.agent.greet(l)
				}
				l.conn.Write(r.agent.list(r.hosts[0].entry("SERVING"), r.hosts[2].entry("SERVING")))
			})
			r.w.Run(20 * eventloop.Millisecond)
			if len(r.x.ready) != 2 {
				t.Errorf("away for %d ms: %d hosts are ready", away, len(r.x.ready))
			}
		}
	}
}

// TestWatchReset: a watch that is reset is opened again within the drains' grace.
func TestWatchReset(t *testing.T) {
	r := newRig(t, 256, fleet...)
	r.w.Run(eventloop.Second)
	r.far.Do(func() { r.agent.watches[0].conn.Abort() })
	r.until(100*eventloop.Millisecond, "another watch", func() bool { return len(r.agent.watches) == 2 })
}

// TestIndentedList: a list may come over several lines, cut anywhere; one that does not end costs the watch.
func TestIndentedList(t *testing.T) {
	for _, most := range []int{0, 1, 7} {
		r := newRig(t, 256, fleet...)
		r.w.MaxSegment = most
		indented := func(entries ...string) string {
			return "\r\n{\n  \"version\": 9,\n  \"full\": true,\n  \"note\": \"} \\\" ]\",\n  \"servers\": [\n    " + strings.Join(entries, ",\n    ") + "\n  ]\n}\n\n"
		}
		r.agent.text(indented(r.hosts[0].entry("SERVING"), r.hosts[2].entry("SERVING")))
		r.w.Run(eventloop.Second)
		if len(r.x.ready) != 2 {
			t.Errorf("pieces of %d: %d hosts are ready", most, len(r.x.ready))
		}
		r.agent.text("{\n \"version\": 10,\n")
		if r.until(7*eventloop.Second, "another watch", func() bool { return len(r.agent.watches) == 2 }); !strings.HasSuffix(r.agent.targets[1], "index=9") {
			t.Errorf("asked %v", r.agent.targets)
		}
	}
}

// TestReadyOnceToldWhatThereIs: a new process does not begin with what it knew before where the agent can tell it better, and does where
// discovery is away.
func TestReadyOnceToldWhatThereIs(t *testing.T) {
	r := newRig(t, 256, fleet...)
	r.agent.away, r.agent.watches = true, nil
	r.loop.Do(func() { r.x.discovery.Close(); r.x = Start(r.loop, r.x.config) })
	if r.w.Run(500 * eventloop.Millisecond); r.x.Ready() {
		t.Error("ready before the agent has had a chance to speak")
	}
	if r.w.Run(600 * eventloop.Millisecond); !r.x.Ready() {
		t.Error("not ready though discovery is away")
	}
	r.agent.away, r.agent.watches = false, nil
	r.loop.Do(func() { r.x.discovery.Close(); r.x = Start(r.loop, r.x.config) })
	if r.w.Run(20 * eventloop.Millisecond); !r.x.Ready() {
		t.Error("not ready though the agent has spoken")
	}
}

// TestAStateThatNobodyFetches: while writers can't be reached, a state that waits at its reader is let go of in time, however many
// writers there are to try; what comes after is read anew.
func TestAStateThatNobodyFetches(t *testing.T) {
	for _, product := range []string{"explain", "post"} {
		r := newRig(t, 256, "prefill", "prefill", "decode", "decode", "decode", "decode", "decode")
		for _, h := range r.writers() {
			r.w.Block(r.loop, h.loop, 500*eventloop.Millisecond)
		}
		c := r.ask(product)
		r.until(eventloop.Second, "the read", func() bool { return r.legs() == 1 })
		r.until(500*eventloop.Millisecond, "a release", func() bool { return r.releases() == 1 })
		read := 0
		for _, h := range r.writers() { // one that is asked for a state that is not there says so, and the leg is lost
			h.serve = func(l *line) {
				if read == 0 {
					t.Errorf("%s: written without a state", product)
				}
				write(l)
			}
		}
		for _, h := range r.readers() {
			h.serve = func(l *line) { read++; l.answer(202, "") }
		}
		if got := r.final(c); got != 200 {
			t.Errorf("%s: answered %d", product, got)
		}
		r.quiet()
	}
}

// TestAStateWaitsAnewAfterALeg: its time counts from the end of the last leg that left, and then it binds again.
func TestAStateWaitsAnewAfterALeg(t *testing.T) {
	r := newRig(t, 256, "prefill", "prefill", "decode", "decode", "decode", "decode", "decode")
	refused := false
	for _, h := range r.writers() {
		h.serve = func(l *line) { // the first says only after 0.4 s that it is full, and by then no other can be reached
			for _, o := range r.writers() {
				r.w.Block(r.loop, o.loop, 3*eventloop.Second)
			}
			h.loop.AfterFunc(400*eventloop.Millisecond, func() { l.answer(503, "", "Srv-Declined", "1"); refused = true })
		}
	}
	c := r.ask("explain")
	r.until(eventloop.Second, "a refusal", func() bool { return refused })
	if r.releases() > 0 {
		t.Error("let go of while a leg was out")
	}
	r.until(500*eventloop.Millisecond, "a release", func() bool { return r.releases() > 0 })
	r.far.Do(c.conn.Abort)
	r.w.Run(5 * eventloop.Second)
	r.quiet()
}

// TestASecondAnswerLate: it comes while the connection would be in use again, and is not taken for the next generation's.
func TestASecondAnswerLate(t *testing.T) {
	for span := eventloop.Micros(500); span <= 10*eventloop.Millisecond; span += 500 {
		r := newRig(t, 256, "prefill", "decode")
		n := 0
		own := func() string { return strings.Replace(word, "Lamu", "Lamu "+strconv.Itoa(n), 1) }
		r.hosts[1].serve = func(l *line) {
			n++
			text := own()
			answer := func() { l.stream(text, stop, usage, "[DONE]"); l.last() }
			if answer(); n == 1 {
				l.h.loop.AfterFunc(span, answer)
			}
		}
		var last *client
		for i := range 6 {
			last = r.ask("post")
			r.until(eventloop.Second, "an answer", func() bool { return len(last.finals) > 0 || last.closed })
			if len(last.got) == 0 || last.got[0] != own() || n != i+1 {
				t.Fatalf("after %d µs: generation %d was answered %q and written %d times in all", span, i+1, last.got, n)
			}
		}
	}
}

// TestAReleaseThatTakesLong: a leg that waited for it longer than for any connection does not leave any more, as by then what was
// looked at when it was ordered may no longer hold.
func TestAReleaseThatTakesLong(t *testing.T) {
	r := newRig(t, 256, fleet...)
	met := 0
	all(r.writers(), func(l *line) {
		if met++; met == 1 {
			l.answer(410, "", "Srv-Declined", "1")
			return
		}
		write(l)
	})
	for _, h := range r.hosts {
		h.slack = eventloop.Second
	}
	c := r.ask("explain")
	r.until(eventloop.Second, "a release", func() bool { return r.releases() > 0 })
	r.w.Run(300 * eventloop.Millisecond)
	for _, h := range r.hosts {
		h.slack = 0
	}
	if got := r.final(c); got != 200 || r.x.Outcomes[scheduler.NotSent] != 1 {
		t.Errorf("answered %d with endings %v", got, r.x.Outcomes)
	}
	r.quiet()
}

// TestReleaseWhereMostAreSilent: connections to hosts that have fallen silent wait like any others; a release goes to one that spoke.
func TestReleaseWhereMostAreSilent(t *testing.T) {
	r := newRig(t, 256, "prefill", "prefill", "decode", "decode", "decode", "decode", "decode", "decode", "decode", "decode")
	for range 40 { // a connection to each
		r.ask("explain")
	}
	r.w.Run(eventloop.Second)
	all(r.writers(), func(*line) {})
	c := r.ask("post")
	writes := func() (n int) {
		for _, h := range r.writers() {
			n += h.count("POST")
		}
		return n
	}
	before := writes()
	r.until(eventloop.Second, "the write", func() bool { return writes() > before })
	for _, h := range r.hosts[1:] {
		r.w.Block(r.loop, h.loop, 5*eventloop.Second)
		r.w.Block(h.loop, r.loop, 5*eventloop.Second)
	}
	r.w.Run(300 * eventloop.Millisecond)
	spoke := r.hosts[0].count("POST")
	for i := 0; i < 20 && r.hosts[0].count("POST") == spoke; i++ { // until one host speaks, the home of a text
		r.ask("explain", "Req-Extra", "prefix="+strconv.Itoa(i)+",prompt_len=512,prefix_len=256,max_out=80")
		r.w.Run(5 * eventloop.Millisecond)
	}
	r.w.Run(200 * eventloop.Millisecond)
	r.far.Do(c.conn.Abort)
	r.until(200*eventloop.Millisecond, "a release", func() bool { return r.hosts[0].count("DELETE") > 0 })
}

// TestTimeTold: a host is told what the client has left when the leg leaves, not when its connection was asked for.
func TestTimeTold(t *testing.T) {
	r := newRig(t, 256, "prefill", "decode")
	r.w.Latency = 80 * eventloop.Millisecond
	r.hosts[0].serve = func(l *line) {
		told, err := strconv.ParseInt(strings.TrimSuffix(l.head.Get("Req-Deadline"), "u"), 10, 64)
		if left := 900*eventloop.Millisecond - 2*r.w.Latency; err != nil || eventloop.Micros(told) > left { // its connection took two ways
			t.Errorf("told %d µs, %d are left", told, left)
		}
		read(l)
	}
	r.final(r.ask("explain", "Req-Deadline", "900m"))
	if r.hosts[0].count("POST") == 0 {
		t.Error("nothing was read")
	}
}

// TestClientsThatGo: no leg begins over 0.1 s after a client has closed, wherever its generation is: with pipelined requests behind it,
// waiting for a connection, or where legs may not be cancelled.
func TestClientsThatGo(t *testing.T) {
	for _, may := range []string{"true", "false"} {
		at := strings.Replace(usualSettings, `"may_cancel": true`, `"may_cancel": `+may, 1)
		// More is behind it than is taken in.
		r := newRigAt(t, at, 256, fleet...)
		all(r.readers(), func(*line) {})
		first := r.request("explain")
		c := r.raw(first + strings.Repeat(r.request("explain"), 2000))
		r.until(eventloop.Second, "the read", func() bool { return r.legs() == 1 })
		r.w.Run(100 * eventloop.Millisecond)
		r.far.Do(c.conn.Abort)
		r.w.Run(100 * eventloop.Millisecond)
		for _, g := range r.x.requests {
			if !g.answered {
				t.Error("its going was not seen")
			}
		}
		if r.w.Run(10 * eventloop.Second); r.legs() != 1 {
			t.Errorf("%d legs", r.legs())
		}
		// The leg waits for its connection, which takes twice as long as the news.
		r = newRigAt(t, at, 256, fleet...)
		r.w.Latency = 60 * eventloop.Millisecond
		c = r.ask("explain")
		r.until(eventloop.Second, "the leg's order", func() bool { return r.x.Attempts == 1 })
		r.far.Do(c.conn.Abort)
		if r.w.Run(5 * eventloop.Second); r.legs() > 0 || r.x.ClientsGone != 1 {
			t.Errorf("may cancel %s: %d legs, %d clients left", may, r.legs(), r.x.ClientsGone)
		}
	}
}

// TestNeverTwoLegsOut: a leg that was given up is out until its host has seen its connection close, and ways through the network differ:
// neither another leg nor a throttling may overtake that.
func TestNeverTwoLegsOut(t *testing.T) {
	for _, may := range []string{"true", "false"} {
		r := newRigAt(t, strings.Replace(usualSettings, `"may_cancel": true`, `"may_cancel": `+may, 1), 256, "prefill", "prefill", "prefill", "decode", "decode")
		chance := rand.New(rand.NewSource(5))
		out := map[string]*line{}
		overtaken := 0
		for i, h := range r.hosts {
			usual, hangs := h.serve, i < 2
			h.serve = func(l *line) {
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
		r.w.ExtraLatency = func() eventloop.Micros { return eventloop.Micros(chance.Intn(8000)) }
		for i := range 60 {
			product, limit := "post", "1500m"
			if i%2 > 0 {
				product = "explain"
			}
			if i%3 > 0 {
				limit = "4000m"
			}
			c := r.ask(product, "Req-Key", strconv.Itoa(i), "Req-Extra", "prompt_len=512,max_out=80", "Req-Deadline", limit)
			r.final(c)
		}
		r.w.ExtraLatency = nil
		if overtaken > 0 {
			t.Errorf("may cancel %s: %d legs overtook the close of the one before", may, overtaken)
		}
		if n := r.hosts[0].count("POST") + r.hosts[1].count("POST"); n < 5 || r.x.Completed < 40 {
			t.Errorf("%d legs hung, %d were streamed", n, r.x.Completed)
		}
		r.quiet()
	}
}

// TestGivenUpTwice: what is asked of a leg in the moment after it was given up does not shorten that, nor is it taken for one that has
// never left: news that its host goes, a cancel, the end of its state's time.
func TestGivenUpTwice(t *testing.T) {
	for name, meanwhile := range map[string]func(r *rig, g *request){
		"cancel":  func(r *rig, g *request) { r.x.Cancel(g.id, g.attempts-1) },
		"drain":   func(r *rig, g *request) { r.x.ready = nil; r.x.takeBackUnsent() },
		"expired": func(r *rig, g *request) { g.held = true; r.x.leaseExpired(g) },
	} {
		r := newRig(t, 256, fleet...)
		all(r.writers(), func(*line) {})
		r.ask("post")
		closing := func() *request {
			for _, g := range r.x.requests {
				if g.closing {
					return g
				}
			}
			return nil
		}
		r.until(eventloop.Second, "the write", func() bool { return r.x.Attempts == 2 })
		r.w.Run(100 * eventloop.Millisecond)
		for _, g := range r.x.requests { // as its time runs out
			r.loop.Do(func() { r.x.Cancel(g.id, g.attempts-1) })
		}
		g := closing()
		if g == nil {
			t.Fatal("no leg is being given up")
		}
		r.loop.Do(func() { meanwhile(r, g) })
		if r.w.Run(closeSeen - 2*eventloop.Millisecond); !g.closing {
			t.Errorf("%s: it was taken for over at once", name)
		}
		r.w.Run(2 * closeSeen)
		if r.x.Outcomes[scheduler.Cancelled] != 1 || r.x.Outcomes[scheduler.Unreachable]+r.x.Outcomes[scheduler.NoCapacity]+r.x.Outcomes[scheduler.NotSent] > 0 {
			t.Errorf("%s: endings %v", name, r.x.Outcomes)
		}
	}
}
