package dispatch

import (
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// A repeat with the key of a running generation joins it, from its first token; of a streamed one it is sent the same
// answer; of one that may have run and was lost it is told so. Nothing is run twice.
func TestIdempotencyKeyJoinsAndReplays(t *testing.T) {
	for _, product := range []string{"build-note", "review-post"} {
		r := newHarness(t, nil, "prefill west", "decode west", "decode west")
		var l1 *fakeConn
		for _, h := range r.endpoints[1:] {
			h.serve = func(l *fakeConn) { l1 = l; l.stream(chunkEvent("Lamu ", "")) }
		}
		writes := func() int { return r.endpoints[1].attempts() + r.endpoints[2].attempts() }
		first := r.ask(product, "Idempotency-Key", "k")
		r.world.Run(50 * eventloop.Millisecond)
		second := r.ask(product, "Idempotency-Key", "k")
		r.world.Run(50 * eventloop.Millisecond)
		r.remote.Do(first.conn.Abort) // the generation goes on for the other
		r.world.Run(50 * eventloop.Millisecond)
		r.remote.Do(second.conn.Abort) // and for one that may come
		r.world.Run(50 * eventloop.Millisecond)
		third := r.ask(product, "Idempotency-Key", "k")
		r.world.Run(50 * eventloop.Millisecond)
		r.remote.Do(func() {
			l1.conn.Write(http1.AppendLastChunk(http1.AppendChunk(nil, []byte(chunkEvent("é", "stop")+"data: [DONE]\n\n"))))
		})
		r.expectFinal(third, "streamed")
		fourth := r.ask(product, "Idempotency-Key", "k")
		r.expectFinal(fourth, "streamed")
		if second.text != "Lamu " || third.text != completeText || fourth.text != completeText || writes() != 1 {
			t.Errorf("%s: texts %q, %q, %q; written %d times", product, second.text, third.text, fourth.text, writes())
		}
		r.expectFinal(r.send(`{"model":"`+product+`","stream":true,"messages":[{"role":"user","content":"other"}]}`, "Idempotency-Key", "k"), "422")
		r.endpoints[0].serve = func(l *fakeConn) { r.remote.AfterFunc(100*eventloop.Millisecond, func() { answerPrefill(l) }) }
		r.endpoints[1].serve, r.endpoints[2].serve = answerDecode, answerDecode
		early := r.ask(product, "Idempotency-Key", "m")
		r.world.Run(10 * eventloop.Millisecond)
		joined := r.ask(product, "Idempotency-Key", "m") // while the prompt is still read
		r.expectFinal(joined, "streamed")
		r.expectFinal(early, "streamed")
		r.endpoints[1].serve, r.endpoints[2].serve = abortConn, abortConn
		lost := r.ask("review-post", "Idempotency-Key", "l")
		r.expectFinal(lost, "terminated")
		before := writes()
		again := r.ask("review-post", "Idempotency-Key", "l")
		r.expectFinal(again, "409")
		if again.head.Get("x-should-retry") != "false" || writes() != before {
			t.Errorf("a lost one: x-should-retry %q, %d more writes", again.head.Get("x-should-retry"), writes()-before)
		}
	}
}

// What was throttled did not run, so its key is free; so is that of an idempotent product, which needs none.
func TestIdempotencyKeyIsFreeIfNothingRan(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.updateEndpoints(r.endpoints[1].entry("gone"))
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "k", "x-time-limit-ms", "300"), "throttled")
	r.updateEndpoints(r.endpoints[1].entry("ready"))
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "k"), "streamed")
	r.expectFinal(r.ask("explain", "Idempotency-Key", "k"), "streamed")
	r.expectFinal(r.ask("explain", "Idempotency-Key", "k"), "streamed")
	if n := r.endpoints[1].attempts(); n != 3 {
		t.Errorf("written %d times", n)
	}
	r.expectFinal(r.ask("review-post", "Idempotency-Key", strings.Repeat("k", 300)), "400")
}

// A keyed generation that goes on without its client counts with its body until it has ended.
func TestOrphanedBodyCountsUntilItsRequestEnds(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.endpoints[1].serve = func(l *fakeConn) { r.remote.AfterFunc(eventloop.Second, func() { answerDecode(l) }) }
	c := r.ask("review-post", "Idempotency-Key", "k")
	r.world.Run(100 * eventloop.Millisecond)
	r.remote.Do(c.conn.Abort)
	r.world.Run(100 * eventloop.Millisecond)
	if r.dispatcher.frontend.BufferedBytes == 0 || r.dispatcher.OpenRequests() != 1 {
		t.Errorf("%d bytes are counted, %d run", r.dispatcher.frontend.BufferedBytes, r.dispatcher.OpenRequests())
	}
	r.world.Run(2 * eventloop.Second)
	if r.dispatcher.frontend.BufferedBytes != 0 || r.dispatcher.OpenRequests() != 0 {
		t.Errorf("at the end %d bytes are counted, %d run", r.dispatcher.frontend.BufferedBytes, r.dispatcher.OpenRequests())
	}
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "k"), "streamed") // its answer is kept
}
