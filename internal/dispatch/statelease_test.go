package dispatch

import (
	"testing"

	"plumspindle/internal/eventloop"
)

// If a decode attempt was sent but nothing shows that its endpoint is running, the prefill state is released in time
// and the attempt goes on.
func TestStateOfAnUnansweredDecode(t *testing.T) {
	for _, test := range []struct {
		product string
		final   string
	}{
		{"explain", "streamed"}, // the other decode endpoint answers
		{"review-post", "terminated"},
	} {
		r := newHarness(t, nil, "prefill west", "decode west", "decode west")
		r.serveDecodes(func(c *fakeConn) {
			if r.decodes() > 1 {
				answerDecode(c)
			}
		})
		c := r.ask(test.product)
		r.runUntil(eventloop.Second, func() bool { return r.decodes() == 1 })
		r.expectRelease(r.endpoints[0], 0, test.product)
		for _, endpoint := range r.endpoints[1:] {
			if endpoint.attempts() == 1 && len(endpoint.conns) == 0 {
				t.Errorf("%s: the attempt was closed", test.product)
			}
		}
		r.expectFinal(c, test.final)
	}
}

// If a decode endpoint sends events of another request, and has answered before on the attempt's connection, the
// endpoint's process is known to have run since the attempt arrived. The prefill state is then kept until the endpoint
// has fetched it. A new connection does not show this, since the endpoint's machine may have accepted the connection
// without the endpoint's process.
func TestStateAtAnEndpointThatIsSeenRunning(t *testing.T) {
	const (
		interval = 20 * eventloop.Millisecond
		events   = 60
		queued   = 800 * eventloop.Millisecond
	)
	for name, test := range map[string]struct{ connections, wantReleases int }{
		"known connection": {connections: 2, wantReleases: 0},
		"new connection":   {connections: 1, wantReleases: 1},
	} {
		r := newHarness(t, nil, "prefill west", "decode west")
		prefill, decode := r.endpoints[0], r.endpoints[1]
		for range test.connections {
			r.ask("explain")
		}
		r.network.Run(eventloop.Second)
		decode.serve = func(c *fakeConn) {
			streamFirstEvent(c)
			for i := range events {
				c.after(eventloop.Micros(i)*interval, func() { c.writeChunk(chunkEvent("", "")) })
			}
			c.after(events*interval, c.finishStream)
		}
		r.ask("explain")
		r.network.Run(100 * eventloop.Millisecond)
		decode.serve = func(c *fakeConn) { c.after(queued, func() { answerDecode(c) }) }
		prefills := prefill.attempts()
		r.expectFinal(r.ask("review-post"), "streamed")
		if prefill.attempts() != prefills+1 || prefill.releases() != test.wantReleases {
			t.Errorf("%s: %d prefill attempts, %d releases", name, prefill.attempts()-prefills, prefill.releases())
		}
	}
}

// A decode attempt whose connection is never established is given up in time, however many endpoints are left to try,
// and the prefill state is released.
func TestStateOfAnUnsentDecode(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west", "decode west", "decode west", "decode west")
	away := r.network.NewLoop("away")
	listener, err := away.Listen("127.0.0.1:0", func(eventloop.Conn) eventloop.Handler { return &fakeConn{} })
	if err != nil {
		t.Fatal(err)
	}
	r.network.Block(r.virtual(), away, 10*eventloop.Second)
	for _, endpoint := range r.endpoints[1:] {
		entry := endpoint.entry("ready")
		entry.Addr = listener.Addr()
		r.updateEndpoints(entry)
	}
	c := r.ask("review-post")
	r.runUntil(eventloop.Second, func() bool { return r.endpoints[0].attempts() == 1 })
	r.expectRelease(r.endpoints[0], 0, "no connection")
	r.expectFinal(c, "throttled")
}
