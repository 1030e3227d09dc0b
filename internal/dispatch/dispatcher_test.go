package dispatch

import (
	"testing"

	"plumspindle/internal/eventloop"
)

// Without any endpoint a request is pending, then rejected in time, whatever its product: nothing ran.
func TestRejectsInTimeWithoutEndpoints(t *testing.T) {
	for _, product := range []string{"explain", "build-note", "review-post"} {
		r := newHarness(t, nil)
		began := r.world.Now()
		c := r.ask(product, "x-time-limit-ms", "700")
		r.expectFinal(c, "throttled")
		took, retryAfter := r.world.Now()-began, c.head.Get("Retry-After")
		if took > 700*eventloop.Millisecond+eventloop.Second || retryAfter == "" {
			t.Errorf("%v, Retry-After %q", took, retryAfter)
		}
	}
}

// The dispatcher wakes from a freeze past a client's deadline: no second answer, no attempt to an endpoint that
// drains.
func TestFrozenDispatcherAnswersOnce(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west", "decode west")
	r.endpoints[0].serve = func(c *fakeConn) { c.after(50*eventloop.Millisecond, func() { answerPrefill(c) }) }
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
		t.Errorf("%d attempts to the draining endpoint", n)
	}
}

// Connections to endpoints run out of descriptors: the attempts are unreachable, not lost, and service returns.
func TestServiceReturnsAfterDescriptorsRunOut(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	c := r.ask("explain")
	r.expectFinal(c, "streamed")
	r.virtual().DescriptorLimit = 5 // its own client, two idle connections, and what is reserved
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

// A dispatcher shuts down with a stream running and a client on an idle connection: the stream completes, nothing new
// is accepted, and then it is done.
func TestShutdownCompletesRunningStreams(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	var decode *fakeConn
	r.endpoints[1].serve = func(c *fakeConn) { decode = c; streamFirstEvent(c) }
	c := r.ask("review-post")
	r.world.Run(50 * eventloop.Millisecond)
	done := false
	r.loop.Do(func() { r.dispatcher.Shutdown(func() { done = true }) })
	late := r.ask("explain")
	r.world.Run(50 * eventloop.Millisecond)
	if done || len(late.finals) > 0 || !late.closed {
		t.Errorf("done %v; the late one: finals %v, closed %v", done, late.finals, late.closed)
	}
	r.remote.Do(decode.finishStream)
	r.expectFinal(c, "streamed")
	if !done || !c.closed || c.text != completeText {
		t.Errorf("done %v, closed %v, text %q", done, c.closed, c.text)
	}
}
