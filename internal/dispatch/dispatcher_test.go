package dispatch

import (
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// With no host at all a generation is held, then throttled in time, whatever its product: nothing ran.
func TestRejectsInTimeWithoutEndpoints(t *testing.T) {
	for _, product := range []string{"explain", "build-note", "review-post"} {
		r := newHarness(t, nil)
		began := r.world.Now()
		c := r.ask(product, "x-time-limit-ms", "700")
		r.expectFinal(c, "throttled")
		if took := r.world.Now() - began; took > 700*eventloop.Millisecond+eventloop.Second || c.head.Get("Retry-After") == "" {
			t.Errorf("%v, Retry-After %q", took, c.head.Get("Retry-After"))
		}
	}
}

// The dispatcher wakes from a freeze with a client's time gone: no second answer, no leg to a host that drains.
func TestFrozenDispatcherAnswersOnce(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west", "decode west")
	r.endpoints[0].serve = func(l *fakeConn) { r.remote.AfterFunc(50*eventloop.Millisecond, func() { answerPrefill(l) }) }
	c := r.ask("review-post")
	r.world.Run(20 * eventloop.Millisecond)
	r.virtual().Freeze(6 * eventloop.Second)
	r.updateEndpoints(r.endpoints[1].entry("draining"))
	r.world.Run(10 * eventloop.Second)
	r.expectIdle()
	if len(c.finals) != 1 {
		t.Errorf("finals %v", c.finals)
	}
	if n := r.endpoints[1].attempts(); n > 0 {
		t.Errorf("%d legs to the draining host", n)
	}
}

// Connections to hosts run out of descriptors: the legs are unreachable, not lost, and service returns.
func TestServiceReturnsAfterDescriptorsRunOut(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	c := r.ask("explain")
	r.expectFinal(c, "streamed")
	r.virtual().DescriptorLimit = 5 // its own client, two idle trunks, and what is kept back
	var calls []*clientCall
	for range 8 {
		calls = append(calls, r.ask("review-post"))
	}
	r.world.Run(10 * eventloop.Second)
	r.virtual().DescriptorLimit = 0
	r.expectFinal(r.ask("review-post"), "streamed")
	for i, c := range calls {
		if len(c.finals) > 1 || !c.closed && len(c.finals) == 0 {
			t.Errorf("call %d: finals %v", i, c.finals)
		}
	}
}

// A dispatcher told to end, with a stream running and a client on a connection that is kept: the stream ends well, nothing
// new is taken, and then it is done.
func TestShutdownCompletesRunningStreams(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	var l1 *fakeConn
	r.endpoints[1].serve = func(l *fakeConn) { l1 = l; l.stream(chunkEvent("Lamu ", "")) }
	c := r.ask("review-post")
	r.world.Run(50 * eventloop.Millisecond)
	done := false
	r.loop.Do(func() { r.dispatcher.Shutdown(func() { done = true }) })
	late := r.ask("explain")
	r.world.Run(50 * eventloop.Millisecond)
	if done || len(late.finals) > 0 || !late.closed {
		t.Errorf("done %v; the late one: finals %v, closed %v", done, late.finals, late.closed)
	}
	r.remote.Do(func() {
		l1.conn.Write(http1.AppendLastChunk(http1.AppendChunk(nil, []byte(chunkEvent("é", "stop")+"data: [DONE]\n\n"))))
	})
	r.expectFinal(c, "streamed")
	if !done || !c.closed || c.text != completeText {
		t.Errorf("done %v, closed %v, text %q", done, c.closed, c.text)
	}
}
