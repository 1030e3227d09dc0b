package platform

import (
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// shutDown begins the shutdown and tells through the result when the process would end.
func (r *rig) shutDown() (ended *bool) {
	ended = new(bool)
	r.loop.Do(func() { r.x.Shutdown(r.ln.Close, func() { *ended = true }) })
	return ended
}

// TestRequestReadAtShutdown: a request that was read in the instant in which idle connections are closed is answered, whatever closes them:
// the shutdown, the end of their time, or a connection that needs their place.
func TestRequestReadAtShutdown(t *testing.T) {
	for name, closes := range map[string]func(r *rig){
		"shutdown": func(r *rig) { r.x.Server().Shutdown() },
		"evicted": func(r *rig) {
			for range 40 { // more than there may be
				r.raw("")
			}
			r.w.Run(r.w.Latency)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 64, fleet...)
			c := r.raw("GET /up HTTP/1.1\r\n\r\n")
			r.w.Run(10 * eventloop.Millisecond)
			r.w.DeliveryDelay = 5 * eventloop.Millisecond // what has arrived is not handed over yet
			r.far.Do(func() { c.conn.Write([]byte(r.request("explain"))) })
			r.w.Run(eventloop.Millisecond)
			r.loop.Do(func() { closes(r) })
			r.until(5*eventloop.Second, "an answer", func() bool { return len(c.finals) > 1 || c.closed })
			if len(c.finals) < 2 {
				t.Error("its connection was closed without an answer")
			}
			r.quiet()
		})
	}
}

// TestIdleTimeMeetsARequest: the same where the connection's idle time is over just then.
func TestIdleTimeMeetsARequest(t *testing.T) {
	for before := eventloop.Micros(0); before < 4*eventloop.Millisecond; before += 500 {
		r := newRig(t, 64, fleet...)
		c := r.raw("GET /up HTTP/1.1\r\n\r\n")
		r.until(eventloop.Second, "the first answer", func() bool { return len(c.finals) == 1 })
		r.w.Run(9990 * eventloop.Millisecond)
		r.w.DeliveryDelay = 20 * eventloop.Millisecond
		r.w.Run(before)
		r.far.Do(func() { c.conn.Write([]byte(r.request("explain"))) })
		r.until(5*eventloop.Second, "an answer", func() bool { return len(c.finals) > 1 || c.closed })
		if len(c.finals) < 2 {
			t.Errorf("%d µs: its connection was closed without an answer", before)
		}
	}
}

// TestRequestAfterShutdown: one whose last byte is read only after the shutdown is rejected and never sent on.
func TestRequestAfterShutdown(t *testing.T) {
	r := newRig(t, 256, fleet...)
	text := r.request("post")
	half := r.raw(text[:len(text)-10])
	r.w.Run(10 * eventloop.Millisecond)
	ended := r.shutDown()
	r.w.Run(drainTime + lastAnswerTime + 300*eventloop.Millisecond)
	if *ended {
		t.Fatal("it ended while a request was coming in")
	}
	r.far.Do(func() { half.conn.Write([]byte(text[len(text)-10:])) })
	if got := r.final(half); got != 503 || r.legs() != 0 {
		t.Errorf("answered %d with %d attempts", got, r.legs())
	}
	r.until(2*eventloop.Second, "the end", func() bool { return *ended })
}

// TestSentAheadAtShutdown: what clients had sent ahead by then is answered too, each request once: before the shutdown it is served, after
// it rejected.
func TestSentAheadAtShutdown(t *testing.T) {
	r := newRig(t, 256, fleet...)
	all(r.writers(), func(l *line) { l.h.loop.AfterFunc(300*eventloop.Millisecond, func() { write(l) }) })
	var text strings.Builder
	for range 5 {
		text.WriteString(r.request("explain"))
	}
	c := r.raw(text.String())
	r.w.Run(10 * eventloop.Millisecond)
	ended := r.shutDown()
	r.until(10*eventloop.Second, "the end", func() bool { return *ended })
	if want := []int{200, 200, 503, 503, 503}; !slices.Equal(c.finals, want) || !c.closed {
		t.Errorf("answered %v, closed %v, want %v", c.finals, c.closed, want)
	}
	r.quiet()
}

// TestSlowClientAtShutdown: a stream that its host has finished reaches a client that reads slowly to its last byte before the process
// ends.
func TestSlowClientAtShutdown(t *testing.T) {
	r := newRig(t, 256, "prefill", "decode")
	r.w.ReceiveWindow = 4 << 10
	const many = 200
	r.hosts[1].serve = wordy(many)
	c := r.ask("explain")
	r.until(eventloop.Second, "its stream", func() bool { return len(c.got) > 0 })
	r.far.Do(func() { c.conn.Pause(true) })
	r.w.Run(100 * eventloop.Millisecond)
	ended := r.shutDown()
	r.w.Run(3 * eventloop.Second)
	if *ended {
		t.Error("it ended with a stream that its client has not read")
	}
	r.far.Do(func() { c.conn.Pause(false) })
	r.until(2*eventloop.Second, "the end", func() bool { return *ended })
	if len(c.got) != many+1 || len(c.finals) != 1 {
		t.Errorf("%d events of %d, %d ends", len(c.got), many+1, len(c.finals))
	}
}

// TestShutdownTwice: a second signal neither shortens nor repeats anything.
func TestShutdownTwice(t *testing.T) {
	r := newRig(t, 256, fleet...)
	all(r.writers(), func(l *line) { l.h.loop.AfterFunc(2*eventloop.Second, func() { write(l) }) })
	c := r.ask("post")
	r.w.Run(100 * eventloop.Millisecond)
	first := r.shutDown()
	r.w.Run(300 * eventloop.Millisecond)
	second := r.shutDown()
	r.loop.Do(func() { r.x.MoveDiscovery("127.0.0.9:8600") }) // a new configuration meanwhile
	if got := r.final(c); got != 200 {
		t.Errorf("answered %d", got)
	}
	r.until(2*eventloop.Second, "the end", func() bool { return *first })
	if *second {
		t.Error("it ended twice")
	}
}

// TestReleaseBeforeTheEnd: the process does not end with a KV state unreleased, nor one whose release needs several tries.
func TestReleaseBeforeTheEnd(t *testing.T) {
	r := newRig(t, 256, fleet...)
	all(r.writers(), func(*line) {})
	c := r.ask("explain")
	r.until(eventloop.Second, "the decode attempt", func() bool { return r.legs() == 2 })
	for _, h := range r.hosts {
		h.slack = 700 * eventloop.Millisecond // longer than a try
	}
	ended := r.shutDown()
	r.far.Do(c.conn.Abort)
	r.w.Run(drainTime + 300*eventloop.Millisecond)
	if *ended {
		t.Fatal("it ended with a KV state unreleased")
	}
	for _, h := range r.hosts {
		h.slack = 0
	}
	r.until(eventloop.Second, "the end", func() bool { return *ended })
	if len(r.x.requests) > 0 || r.releases() < 2 {
		t.Errorf("%d requests are left, %d releases were asked for", len(r.x.requests), r.releases())
	}
}
