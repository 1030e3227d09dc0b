package dispatch

import (
	"net/http"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
)

// repeatHarness sends requests of one product with keys.
type repeatHarness struct {
	*harness
	product string
}

// A repeat with the key of a running request joins it, from its first token; of a completed one it is sent the same
// answer; of one that may have run and was lost it is rejected for good. Nothing is run twice.
func TestIdempotencyKeyJoinsAndReplays(t *testing.T) {
	for _, product := range []string{"build-note", "review-post"} {
		r := &repeatHarness{newHarness(t, nil, "prefill west", "decode west", "decode west"), product}
		r.testJoinAndReplay()
		r.testConflict()
		r.testJoinDuringPrefill()
		r.testLost()
	}
}

func (r *repeatHarness) testJoinAndReplay() {
	r.t.Helper()
	var decode *fakeConn
	r.serveDecodes(func(c *fakeConn) { decode = c; streamFirstEvent(c) })
	first := r.ask(r.product, "Idempotency-Key", "k")
	r.world.Run(50 * eventloop.Millisecond)
	second := r.ask(r.product, "Idempotency-Key", "k")
	r.world.Run(50 * eventloop.Millisecond)
	r.remote.Do(first.conn.Abort) // the request goes on for the other client
	r.world.Run(50 * eventloop.Millisecond)
	r.remote.Do(second.conn.Abort) // and for one that may come
	r.world.Run(50 * eventloop.Millisecond)
	third := r.ask(r.product, "Idempotency-Key", "k")
	r.world.Run(50 * eventloop.Millisecond)
	r.remote.Do(decode.finishStream)
	r.expectFinal(third, "streamed")
	fourth := r.ask(r.product, "Idempotency-Key", "k")
	r.expectFinal(fourth, "streamed")
	if second.text != "Lamu " || third.text != completeText || fourth.text != completeText || r.decodes() != 1 {
		r.t.Errorf("%s: texts %q, %q, %q; %d decodes", r.product, second.text, third.text, fourth.text, r.decodes())
	}
}

func (r *repeatHarness) testConflict() {
	r.t.Helper()
	other := `{"model":"` + r.product + `","stream":true,"messages":[{"role":"user","content":"other"}]}`
	r.expectFinal(r.send(other, "Idempotency-Key", "k"), "422")
}

func (r *repeatHarness) testJoinDuringPrefill() {
	r.t.Helper()
	r.endpoints[0].serve = func(c *fakeConn) { c.after(100*eventloop.Millisecond, func() { answerPrefill(c) }) }
	r.serveDecodes(answerDecode)
	first := r.ask(r.product, "Idempotency-Key", "m")
	r.world.Run(10 * eventloop.Millisecond)
	joined := r.ask(r.product, "Idempotency-Key", "m")
	r.expectFinal(joined, "streamed")
	r.expectFinal(first, "streamed")
}

func (r *repeatHarness) testLost() {
	r.t.Helper()
	r.serveDecodes(abortConn)
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "l"), "terminated")
	before := r.decodes()
	repeat := r.ask("review-post", "Idempotency-Key", "l")
	r.expectFinal(repeat, "409")
	if retry := repeat.head.Get("x-should-retry"); retry != "false" || r.decodes() != before {
		r.t.Errorf("a lost one: x-should-retry %q, %d more decodes", retry, r.decodes()-before)
	}
}

// What was rejected did not run, so that its key is free; so is that of an idempotent product, which needs none.
func TestIdempotencyKeyIsFreeIfNothingRan(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.updateEndpoints(r.endpoints[1].entry("gone"))
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "k", "x-time-limit-ms", "300"), "throttled")
	r.updateEndpoints(r.endpoints[1].entry("ready"))
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "k"), "streamed")
	r.expectFinal(r.ask("explain", "Idempotency-Key", "k"), "streamed")
	r.expectFinal(r.ask("explain", "Idempotency-Key", "k"), "streamed")
	if n := r.endpoints[1].attempts(); n != 3 {
		t.Errorf("%d decodes", n)
	}
	r.expectFinal(r.ask("review-post", "Idempotency-Key", strings.Repeat("k", 300)), "400")
}

// The body of a request with a key that goes on without its client counts as buffered until the request ends.
func TestOrphanedBodyCountsUntilItsRequestEnds(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.endpoints[1].serve = func(c *fakeConn) { c.after(eventloop.Second, func() { answerDecode(c) }) }
	c := r.ask("review-post", "Idempotency-Key", "k")
	r.world.Run(100 * eventloop.Millisecond)
	r.remote.Do(c.conn.Abort)
	r.world.Run(100 * eventloop.Millisecond)
	if bytes, open := r.dispatcher.frontend.BufferedBytes, r.dispatcher.OpenRequests(); bytes == 0 || open != 1 {
		t.Errorf("%d bytes are counted, %d requests are open", bytes, open)
	}
	r.world.Run(2 * eventloop.Second)
	if bytes, open := r.dispatcher.frontend.BufferedBytes, r.dispatcher.OpenRequests(); bytes != 0 || open != 0 {
		t.Errorf("at the end %d bytes are counted, %d requests are open", bytes, open)
	}
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "k"), "streamed") // its answer is replayed
}

// Client libraries act on these bodies: they are part of the API, byte for byte.
func TestIdempotencyKeyProblemsKeepTheirWireForm(t *testing.T) {
	for _, test := range []struct {
		problem *frontend.Problem
		status  int
		noRetry bool
		body    string
	}{
		{idempotencyKeyTooLong(), http.StatusBadRequest, false,
			`{"error":{"code":"invalid_value","message":"The Idempotency-Key is longer than 255 bytes.",` +
				`"param":"Idempotency-Key","type":"invalid_request_error"}}`},
		{idempotencyKeyReused(), http.StatusUnprocessableEntity, false,
			`{"error":{"code":"idempotency_key_reused","message":"The Idempotency-Key was used for another request.",` +
				`"param":"Idempotency-Key","type":"invalid_request_error"}}`},
		{idempotencyKeyAlreadyRan(), http.StatusConflict, true,
			`{"error":{"code":"already_ran","message":"The generation of this Idempotency-Key ran, or may have run, ` +
				`and is not run again; its answer is no longer here.",` +
				`"param":"Idempotency-Key","type":"invalid_request_error"}}`},
	} {
		if body := string(test.problem.Body()); body != test.body {
			t.Errorf("body %s, want %s", body, test.body)
		}
		if test.problem.Status != test.status || test.problem.NoRetry != test.noRetry {
			t.Errorf("%s: status %d, no retry %v", test.problem.Code, test.problem.Status, test.problem.NoRetry)
		}
	}
}
