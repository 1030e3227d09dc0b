package dispatch

import (
	"plumspindle/internal/batch"
	"plumspindle/internal/chat"
	"plumspindle/internal/embeddings"
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/tenancy"
	"plumspindle/scheduler"
)

const (
	// maxPartResponse is the limit on an endpoint's response to a part, in bytes.
	maxPartResponse = 32 << 20
	// quotaRetryDelay is the delay before the retry of a part that the tenant's limits reject without naming a delay.
	quotaRetryDelay = 100 * eventloop.Millisecond
)

// batchPart links a request to the batch call that it is a part of.
type batchPart struct {
	call     *batchCall
	id       batch.PartID
	inputs   []int
	result   embeddings.PartResult
	sentAt   eventloop.Micros // when the part was reported to the scheduler
	queued   bool             // waits for admission
	failures int              // attempts that failed at their endpoint, or whose connection broke
	invalid  bool             // an endpoint reported that an input is invalid
}

// sendPart makes the call's next part a request, and submits it for admission.
func (c *batchCall) sendPart(now eventloop.Micros) {
	d, slot := c.dispatcher, c.tenantCalls.tenant
	id, inputs := c.parts.SendNext()
	tokens := c.request.EstimateTokens(inputs)
	ticket, decision := d.admission.Admit(now, tenancy.AdmissionRequest{
		Tenant:       slot.id,
		Key:          c.identity.Key,
		Product:      c.request.Model,
		PromptTokens: tokens,
	})
	if decision.Reason != tenancy.NotRejected {
		c.partOverQuota(now, id, decision)
		return
	}
	d.lastRequestID++
	r := &request{
		id:              d.lastRequestID,
		class:           c.class,
		chat:            &chat.Request{Model: c.request.Model, PromptTokens: tokens},
		part:            &batchPart{call: c, id: id, inputs: inputs, sentAt: now},
		clientRequestID: c.clientRequestID,
		arrivedAt:       now,
		deadline:        c.deadline,
		tenant:          slot,
		ticket:          ticket,
	}
	ticket.Owner = r
	d.requests[r.id] = r
	c.inFlight[id] = r
	if decision.Admitted {
		d.batches.limiter.Acquire()
		r.State = lifecycle.Pending
		d.notifyArrived(r)
		return
	}
	r.part.queued = true
	c.tenantCalls.queued++
	d.queue(r)
}

// partOverQuota handles a part that the tenant's limits reject. If the call has sent any part before, this part is
// retried later; otherwise the call is rejected, as a chat request would be. A call also ends if no retry can succeed,
// because the part is larger than the limit or the tenant is not served.
func (c *batchCall) partOverQuota(now eventloop.Micros, id batch.PartID, decision tenancy.Decision) {
	c.dispatcher.OverQuota++
	retryAfter := decision.RetryAfter
	if retryAfter == 0 {
		retryAfter = quotaRetryDelay
	}
	if decision.Reason == tenancy.PromptTooLarge || decision.Reason == tenancy.NotServed || !c.sentAny() {
		c.parts.PartFailed(now, id, batch.Overloaded, retryAfter)
		c.dispatcher.loop.Defer(func() { c.rejectOverQuota(decision) })
		return
	}
	c.partFailed(id, batch.Overloaded, retryAfter)
}

// sentAny reports whether the call has sent any part.
func (c *batchCall) sentAny() bool {
	return len(c.inFlight) > 0 || c.answer.Tokens > 0 || c.parts.Retries > 0 || c.parts.Splits > 0
}

// onAdmitted handles the admission of a queued part.
func (p *batchPart) onAdmitted(now eventloop.Micros) {
	if p.queued {
		p.queued = false
		p.call.tenantCalls.queued--
		p.call.dispatcher.batches.limiter.Acquire()
		p.sentAt = now
	}
}

// startAttempt sends the part to the attempt's endpoint as a prefill-only request.
func (p *batchPart) startAttempt(r *request, spec attemptSpec) {
	call := p.call
	path, body := call.request.BuildPart(p.inputs, call.dimensions)
	r.attempt = call.dispatcher.engine.PrefillOnly(spec.target, engine.PrefillOnlyRequest{
		Path:            path,
		Body:            body,
		MaxResponseBody: maxPartResponse,
		ReadResponse:    p.readResponse,
	}, spec.callbacks)
}

func (p *batchPart) readResponse(body []byte) engine.Result {
	result, err := p.call.request.ReadPart(body, len(p.inputs), p.call.dimensions)
	if err != nil {
		return engine.Result{
			Outcome: scheduler.Errored,
			Reason:  "an answer that is not what was asked for: " + err.Error(),
		}
	}
	p.result = result
	return engine.Result{Outcome: scheduler.PrefillDone, Reason: "read"}
}

// finished handles the end of a part's request. The parameter final is Forget if the request was withdrawn.
func (p *batchPart) finished(r *request, final lifecycle.Action, retryAfter eventloop.Micros) {
	call := p.call
	d := call.dispatcher
	delete(call.inFlight, p.id)
	completed := final == lifecycle.AnswerCompleted
	p.releaseLimiter(r, completed)
	switch {
	case call.closed:
		d.loop.Defer(d.sendParts)
	case completed:
		p.storeResult(r)
	default:
		call.partFailed(p.id, p.failure(), retryAfter)
	}
}

// releaseLimiter frees the part's place in the limiter, or in the queue for admission.
func (p *batchPart) releaseLimiter(r *request, completed bool) {
	limiter := p.call.dispatcher.batches.limiter
	switch {
	case p.queued:
		p.queued = false
		p.call.tenantCalls.queued--
	case p.call.closed || p.invalid:
		limiter.Cancelled()
	default:
		now := p.call.dispatcher.loop.Now()
		limiter.Completed(now, r.chat.PromptTokens, now-p.sentAt, completed)
	}
}

func (p *batchPart) failure() batch.Failure {
	switch {
	case p.invalid:
		return batch.InvalidInput
	case p.failures > 0:
		return batch.EndpointFailed
	}
	return batch.Overloaded
}

// storeResult stores a part's result in the call's answer.
func (p *batchPart) storeResult(r *request) {
	call := p.call
	call.parts.PartCompleted(p.id)
	r.promptTokens = max(p.result.Tokens, 1)
	r.outputTokens = 0
	call.answer.Tokens += r.promptTokens
	for i, input := range p.inputs {
		if call.request.Kind == embeddings.Rerank {
			call.answer.Scores[input] = p.result.Scores[i]
			continue
		}
		call.answer.Vectors[input] = p.result.Vectors[i]
		if call.cache != nil {
			call.cache.Put(call.request.CacheKey(input, call.dimensions), p.result.Vectors[i])
		}
	}
	call.dispatcher.loop.Defer(func() { // the scheduler must not be called back within its own call
		if !call.discardInputs(p.inputs...) {
			return
		}
		call.dispatcher.sendParts()
		call.finishIfDone()
	})
}

// partFailed retries a part that ended without a result, or gives up the call.
func (c *batchCall) partFailed(id batch.PartID, failure batch.Failure, retryAfter eventloop.Micros) {
	d := c.dispatcher
	if c.parts.PartFailed(d.loop.Now(), id, failure, retryAfter) == batch.Failed {
		d.loop.Defer(c.abandon)
		return
	}
	d.loop.Defer(func() {
		c.scheduleRetry()
		d.sendParts()
	})
}

// scheduleRetry sets the timer for the next retry of a part.
func (c *batchCall) scheduleRetry() {
	if c.retryTimer != nil {
		c.retryTimer.Stop()
		c.retryTimer = nil
	}
	at, some := c.parts.NextRetryAt()
	if !some || c.closed {
		return
	}
	loop := c.dispatcher.loop
	c.retryTimer = loop.AfterFunc(max(at-loop.Now(), 0)+1, func() {
		c.parts.Ready(loop.Now())
		c.scheduleRetry()
		c.dispatcher.sendParts()
	})
}
