package dispatch

import (
	"testing"

	"plumspindle/internal/eventloop"
)

// Without any endpoint, a request of any product is rejected in time, because it has not run.
func TestRejectsInTimeWithoutEndpoints(t *testing.T) {
	for _, product := range []string{"explain", "build-note", "review-post"} {
		r := newHarness(t, nil)
		began := r.network.Now()
		c := r.ask(product, "x-time-limit-ms", "700")
		r.expectFinal(c, "throttled")
		took, retryAfter := r.network.Now()-began, c.head.Get("Retry-After")
		if took > 700*eventloop.Millisecond+eventloop.Second || retryAfter == "" {
			t.Errorf("rejected after %d ms, Retry-After %q", took/eventloop.Millisecond, retryAfter)
		}
	}
}

// A dispatcher that was frozen until after a client's deadline sends no second answer, and starts no attempt at an
// endpoint that began to drain meanwhile.
func TestFrozenDispatcherAnswersOnce(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west", "decode west")
	r.endpoints[0].serve = func(c *fakeConn) { c.after(50*eventloop.Millisecond, func() { answerPrefill(c) }) }
	c := r.ask("review-post")
	r.network.Run(20 * eventloop.Millisecond)
	r.virtual().Freeze(6 * eventloop.Second)
	r.updateEndpoints(r.endpoints[1].entry("draining"))
	r.network.Run(10 * eventloop.Second)
	r.expectIdle()
	if len(c.finals) != 1 {
		t.Errorf("final answers %v, want one", c.finals)
	}
	if n := r.endpoints[1].attempts(); n > 0 {
		t.Errorf("%d attempts at the draining endpoint", n)
	}
}

// While the process has no file descriptors left for connections to endpoints, attempts end as unreachable, not as
// lost, and requests get one final answer at most. Once descriptors are free again, requests are served.
func TestServiceReturnsAfterDescriptorsRunOut(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	c := r.ask("explain")
	r.expectFinal(c, "streamed")
	r.virtual().DescriptorLimit = 5 // the client's connection, two idle ones and the reserved descriptors
	var calls []*clientCall
	for range 8 {
		calls = append(calls, r.ask("review-post"))
	}
	r.network.Run(10 * eventloop.Second)
	r.virtual().DescriptorLimit = 0
	r.expectFinal(r.ask("review-post"), "streamed")
	for i, c := range calls {
		if len(c.finals) > 1 || !c.closed && len(c.finals) == 0 {
			t.Errorf("call %d: final answers %v", i, c.finals)
		}
	}
}

// During a shutdown, a running stream completes and a new client is not accepted. The shutdown is done only after the
// stream's end.
func TestShutdownCompletesRunningStreams(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	var decode *fakeConn
	r.endpoints[1].serve = func(c *fakeConn) { decode = c; streamFirstEvent(c) }
	c := r.ask("review-post")
	r.network.Run(50 * eventloop.Millisecond)
	done := false
	r.loop.Do(func() { r.dispatcher.Shutdown(func() { done = true }) })
	late := r.ask("explain")
	r.network.Run(50 * eventloop.Millisecond)
	if done || len(late.finals) > 0 || !late.closed {
		t.Errorf("done %v; the late client: final answers %v, closed %v", done, late.finals, late.closed)
	}
	r.remote.Do(decode.finishStream)
	r.expectFinal(c, "streamed")
	if !done || !c.closed || c.text != completeText {
		t.Errorf("done %v, closed %v, text %q", done, c.closed, c.text)
	}
}
