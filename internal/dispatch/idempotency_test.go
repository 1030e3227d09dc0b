package dispatch

import (
	"net/http"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
)

// repeatHarness sends requests of one product with idempotency keys.
type repeatHarness struct {
	*harness
	product string
}

// A repeat with the key of a running request gets the answer of the running request from the first token on. A repeat
// of a completed request gets the same answer again. A repeat of a request that may have run, and whose answer is lost,
// is rejected without a retry. No request runs twice.
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
	r.network.Run(50 * eventloop.Millisecond)
	second := r.ask(r.product, "Idempotency-Key", "k")
	r.network.Run(50 * eventloop.Millisecond)
	r.remote.Do(first.conn.Abort) // the request goes on for the second client
	r.network.Run(50 * eventloop.Millisecond)
	r.remote.Do(second.conn.Abort) // the request goes on without a client, and a third one can join it
	r.network.Run(50 * eventloop.Millisecond)
	third := r.ask(r.product, "Idempotency-Key", "k")
	r.network.Run(50 * eventloop.Millisecond)
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
	r.network.Run(10 * eventloop.Millisecond)
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
		r.t.Errorf("after a lost answer: x-should-retry %q, %d more decodes", retry, r.decodes()-before)
	}
}

// The key of a rejected request is free again, since the request did not run. The key of a request of an idempotent
// product is ignored.
func TestIdempotencyKeyIsFreeIfNothingRan(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.updateEndpoints(r.endpoints[1].entry("gone"))
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "k", "x-time-limit-ms", "300"), "throttled")
	r.updateEndpoints(r.endpoints[1].entry("ready"))
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "k"), "streamed")
	r.expectFinal(r.ask("explain", "Idempotency-Key", "k"), "streamed")
	r.expectFinal(r.ask("explain", "Idempotency-Key", "k"), "streamed")
	if n := r.endpoints[1].attempts(); n != 3 {
		t.Errorf("%d decodes, want 3", n)
	}
	r.expectFinal(r.ask("review-post", "Idempotency-Key", strings.Repeat("k", 300)), "400")
}

// The body of a request that goes on without its client, because it has an idempotency key, counts as buffered until
// the request ends.
func TestOrphanedBodyCountsUntilItsRequestEnds(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.endpoints[1].serve = func(c *fakeConn) { c.after(eventloop.Second, func() { answerDecode(c) }) }
	c := r.ask("review-post", "Idempotency-Key", "k")
	r.network.Run(100 * eventloop.Millisecond)
	r.remote.Do(c.conn.Abort)
	r.network.Run(100 * eventloop.Millisecond)
	if bytes, open := r.dispatcher.frontend.BufferedBytes, r.dispatcher.OpenRequests(); bytes == 0 || open != 1 {
		t.Errorf("%d bytes are counted and %d requests are open", bytes, open)
	}
	r.network.Run(2 * eventloop.Second)
	if bytes, open := r.dispatcher.frontend.BufferedBytes, r.dispatcher.OpenRequests(); bytes != 0 || open != 0 {
		t.Errorf("at the end %d bytes are counted and %d requests are open", bytes, open)
	}
	r.expectFinal(r.ask("review-post", "Idempotency-Key", "k"), "streamed") // the answer is replayed
}

// Client libraries evaluate these error bodies, so every byte of the bodies is part of the API.
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
