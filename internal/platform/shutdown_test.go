package platform

import (
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// shutDown begins the shutdown and tells through the result when the process would end.
func (r *harness) shutDown() (ended *bool) {
	ended = new(bool)
	r.loop.Do(func() { r.dispatcher.Shutdown(r.listener.Close, func() { *ended = true }) })
	return ended
}

// TestRequestReadAtShutdown: a request that was read in the instant in which idle connections are closed is answered, whatever closes them:
// the shutdown, the end of their time, or a connection that needs their place.
func TestRequestReadAtShutdown(t *testing.T) {
	for name, closes := range map[string]func(r *harness){
		"shutdown": func(r *harness) { r.dispatcher.Server().Shutdown() },
		"evicted": func(r *harness) {
			for range 40 { // more than there may be
				r.connect("")
			}
			r.world.Run(r.world.Latency)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 64, usualEndpoints...)
			c := r.connect("GET /up HTTP/1.1\r\n\r\n")
			r.world.Run(10 * eventloop.Millisecond)
			r.world.DeliveryDelay = 5 * eventloop.Millisecond // what has arrived is not handed over yet
			r.remote.Do(func() { c.conn.Write([]byte(r.requestText("explain"))) })
			r.world.Run(eventloop.Millisecond)
			r.loop.Do(func() { closes(r) })
			r.waitFor(5*eventloop.Second, "an answer", func() bool { return len(c.statuses) > 1 || c.closed })
			if len(c.statuses) < 2 {
				t.Error("its connection was closed without an answer")
			}
			r.requireIdle()
		})
	}
}

// TestRequestAtIdleTimeout: the same where the connection's idle time is over just then.
func TestRequestAtIdleTimeout(t *testing.T) {
	for before := eventloop.Micros(0); before < 4*eventloop.Millisecond; before += 500 {
		r := newHarness(t, 64, usualEndpoints...)
		c := r.connect("GET /up HTTP/1.1\r\n\r\n")
		r.waitFor(eventloop.Second, "the first answer", func() bool { return len(c.statuses) == 1 })
		r.world.Run(9990 * eventloop.Millisecond)
		r.world.DeliveryDelay = 20 * eventloop.Millisecond
		r.world.Run(before)
		r.remote.Do(func() { c.conn.Write([]byte(r.requestText("explain"))) })
		r.waitFor(5*eventloop.Second, "an answer", func() bool { return len(c.statuses) > 1 || c.closed })
		if len(c.statuses) < 2 {
			t.Errorf("%d µs: its connection was closed without an answer", before)
		}
	}
}

// TestRequestAfterShutdown: one whose last byte is read only after the shutdown is rejected and never sent on.
func TestRequestAfterShutdown(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	text := r.requestText("post")
	half := r.connect(text[:len(text)-10])
	r.world.Run(10 * eventloop.Millisecond)
	ended := r.shutDown()
	r.world.Run(drainTime + idleCloseTime + 300*eventloop.Millisecond)
	if *ended {
		t.Fatal("it ended while a request was coming in")
	}
	r.remote.Do(func() { half.conn.Write([]byte(text[len(text)-10:])) })
	if got := r.finalStatus(half); got != 503 || r.attempts() != 0 {
		t.Errorf("answered %d with %d attempts", got, r.attempts())
	}
	r.waitFor(2*eventloop.Second, "the end", func() bool { return *ended })
}

// TestPipelinedRequestsAtShutdown: what clients had sent ahead by then is answered too, each request once: before the shutdown it is served, after
// it rejected.
func TestPipelinedRequestsAtShutdown(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	serveAll(r.decodeEndpoints(), func(l *endpointConn) { l.endpoint.loop.AfterFunc(300*eventloop.Millisecond, func() { serveDecode(l) }) })
	var text strings.Builder
	for range 5 {
		text.WriteString(r.requestText("explain"))
	}
	c := r.connect(text.String())
	r.world.Run(10 * eventloop.Millisecond)
	ended := r.shutDown()
	r.waitFor(10*eventloop.Second, "the end", func() bool { return *ended })
	if want := []int{200, 200, 503, 503, 503}; !slices.Equal(c.statuses, want) || !c.closed {
		t.Errorf("answered %v, closed %v, want %v", c.statuses, c.closed, want)
	}
	r.requireIdle()
}

// TestSlowClientAtShutdown: a stream that its host has finished reaches a client that reads slowly to its last byte before the process
// ends.
func TestSlowClientAtShutdown(t *testing.T) {
	r := newHarness(t, 256, "prefill", "decode")
	r.world.ReceiveWindow = 4 << 10
	const many = 200
	r.endpoints[1].serve = serveLongStream(many)
	c := r.sendRequest("explain")
	r.waitFor(eventloop.Second, "its stream", func() bool { return len(c.events) > 0 })
	r.remote.Do(func() { c.conn.Pause(true) })
	r.world.Run(100 * eventloop.Millisecond)
	ended := r.shutDown()
	r.world.Run(3 * eventloop.Second)
	if *ended {
		t.Error("it ended with a stream that its client has not read")
	}
	r.remote.Do(func() { c.conn.Pause(false) })
	r.waitFor(2*eventloop.Second, "the end", func() bool { return *ended })
	if len(c.events) != many+1 || len(c.statuses) != 1 {
		t.Errorf("%d events of %d, %d ends", len(c.events), many+1, len(c.statuses))
	}
}

// TestShutdownTwice: a second signal neither shortens nor repeats anything.
func TestShutdownTwice(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	serveAll(r.decodeEndpoints(), func(l *endpointConn) { l.endpoint.loop.AfterFunc(2*eventloop.Second, func() { serveDecode(l) }) })
	c := r.sendRequest("post")
	r.world.Run(100 * eventloop.Millisecond)
	first := r.shutDown()
	r.world.Run(300 * eventloop.Millisecond)
	second := r.shutDown()
	r.loop.Do(func() { r.dispatcher.MoveDiscovery("127.0.0.9:8600") }) // a new configuration meanwhile
	if got := r.finalStatus(c); got != 200 {
		t.Errorf("answered %d", got)
	}
	r.waitFor(2*eventloop.Second, "the end", func() bool { return *first })
	if *second {
		t.Error("it ended twice")
	}
}

// TestReleaseBeforeShutdownEnds: the process does not end with a KV state unreleased, nor one whose release needs several tries.
func TestReleaseBeforeShutdownEnds(t *testing.T) {
	r := newHarness(t, 256, usualEndpoints...)
	serveAll(r.decodeEndpoints(), func(*endpointConn) {})
	c := r.sendRequest("explain")
	r.waitFor(eventloop.Second, "the decode attempt", func() bool { return r.attempts() == 2 })
	for _, h := range r.endpoints {
		h.releaseDelay = 700 * eventloop.Millisecond // longer than a try
	}
	ended := r.shutDown()
	r.remote.Do(c.conn.Abort)
	r.world.Run(drainTime + 300*eventloop.Millisecond)
	if *ended {
		t.Fatal("it ended with a KV state unreleased")
	}
	for _, h := range r.endpoints {
		h.releaseDelay = 0
	}
	r.waitFor(eventloop.Second, "the end", func() bool { return *ended })
	if len(r.dispatcher.requests) > 0 || r.releases() < 2 {
		t.Errorf("%d requests are left, %d releases were asked for", len(r.dispatcher.requests), r.releases())
	}
}
