package platform

import (
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/platform/upstream"
	"plumspindle/scheduler"
)

// cancelDelivery is for how long an attempt that is cancelled still counts as in flight: until its endpoint sees the
// connection closed, which takes one way through the network, between zones at the most. Nothing else is done for its
// request for so long.
const cancelDelivery = 20 * eventloop.Millisecond

// Why attempts ended, for logs. Package upstream has the reasons that endpoints give.
const (
	reasonCancelled          = "cancelled"
	reasonCancelledUnsent    = "cancelled before it was sent"
	reasonClientDisconnected = "client disconnected"
	reasonEndpointNotReady   = "endpoint not ready"
	reasonReleaseTooLate     = "release took too long"
	reasonLeaseExpired       = "lease expired before the connection was up"
	reasonLeaseExpiredSilent = "lease expired on a silent connection"
)

// attempt is the request's attempt in flight, or its last one.
type attempt struct {
	count      scheduler.AttemptNo // ordered so far
	inFlight   *engine.Attempt     // nil: none has been handed to the network, or it has ended
	endpoint   scheduler.EndpointID
	orderedAt  eventloop.Micros
	prefill    bool
	cancelling bool // it was cancelled, and its endpoint may not have seen that yet
	started    bool // its stream has, and the client has it
}

// number is that of the last attempt.
func (a *attempt) number() scheduler.AttemptNo { return a.count - 1 }

// newResult is the result of an attempt that brought no load report.
func newResult(outcome scheduler.Outcome, reason string) engine.Result {
	return engine.Result{Outcome: outcome, MemoryUsage: scheduler.NoLoadReport, Reason: reason}
}

// Send implements scheduler.Executor: it makes an attempt.
func (d *Dispatcher) Send(id scheduler.RequestID, endpoint scheduler.EndpointID, timeout scheduler.Micros) {
	r := d.requests[id]
	if r == nil {
		return
	}
	a := &r.attempt
	a.count++
	a.endpoint, a.orderedAt, a.started = endpoint, d.loop.Now(), false
	a.prefill = d.role(endpoint) == scheduler.Prefill
	number := a.number()
	d.Attempts++
	// A prefill does not fetch the state that waits, and what it leaves must not be released with that.
	if r.lease.active && !r.lease.releasing && (a.prefill || r.lease.unconfirmed) {
		d.release(r)
	}
	if r.lease.releasing {
		r.lease.waiting = func() { d.startAfterRelease(r, number, timeout) }
		return
	}
	d.startAttempt(r, number, timeout)
}

// startAttempt hands the attempt to the network. Its time-outs count from when it was ordered: whether it may still be
// sent, as a retry within its window, was checked then.
func (d *Dispatcher) startAttempt(r *request, number scheduler.AttemptNo, timeout eventloop.Micros) {
	// The disconnect may not have been handed over yet, as after the process was suspended.
	if r.client.response.Disconnected() {
		d.loop.Defer(func() {
			d.clientDisconnected(r)
			d.attemptEnded(r, number, newResult(scheduler.NotSent, reasonClientDisconnected))
		})
		return
	}
	if err := r.ledger.Send(d.loop.Now(), d.guardEndpoint(r)); err != nil {
		d.loop.Defer(func() { // never within the scheduler's own call
			d.attemptEnded(r, number, newResult(scheduler.NotSent, err.Error()))
		})
		return
	}
	callbacks := engine.Callbacks{
		Event: func(data []byte) { d.streamEvent(r, number, data) },
		Ended: func(result engine.Result) { d.attemptEnded(r, number, result) },
	}
	waited := d.loop.Now() - r.attempt.orderedAt
	out := upstream.Request{
		ID:          r.client.ID,
		Target:      r.client.Target,
		Fields:      r.client.Fields,
		Body:        r.client.Body,
		SendTimeout: max(d.settings.ConnectTimeout-waited, 1),
		OnSend:      func(left eventloop.Micros) { d.attemptWritten(r, number, left) },
	}
	timeout = max(timeout-waited, 0)
	if r.attempt.prefill {
		r.attempt.inFlight = d.upstream.Prefill(r.attempt.endpoint, out, timeout, callbacks)
	} else {
		r.attempt.inFlight = d.upstream.Decode(r.attempt.endpoint, out, timeout, callbacks)
	}
}

// startAfterRelease starts an attempt that waited for a release, unless its endpoint has begun to drain meanwhile, or
// the time for a retry may be over, which was checked when it was ordered.
func (d *Dispatcher) startAfterRelease(r *request, number scheduler.AttemptNo, timeout eventloop.Micros) {
	switch {
	case !d.isReady(r.attempt.endpoint):
		d.attemptEnded(r, number, newResult(scheduler.NotSent, reasonEndpointNotReady))
	case d.loop.Now()-r.attempt.orderedAt > d.settings.ConnectTimeout:
		d.attemptEnded(r, number, newResult(scheduler.NotSent, reasonReleaseTooLate))
	default:
		d.startAttempt(r, number, timeout)
	}
}

// streamEvent forwards an event to the client.
func (d *Dispatcher) streamEvent(r *request, number scheduler.AttemptNo, data []byte) {
	if number != r.attempt.number() || r.attempt.inFlight == nil || r.client.answered {
		return
	}
	if !r.attempt.started {
		d.streamStarted(r)
		if r.client.answered {
			return
		}
	}
	if r.client.response.WriteEvent(data) {
		r.attempt.inFlight.PauseReading(true)
	}
}

// streamStarted takes the first event as proof that the endpoint has fetched the KV state.
func (d *Dispatcher) streamStarted(r *request) {
	r.attempt.started, r.lease.active = true, false
	r.lease.expiry.Clear()
	r.ledger.LeaseTaken()
	r.attempt.inFlight.Started()
	if e := d.debugAttempt(r); e.Enabled() {
		e.Int64("duration_us", int64(d.loop.Now()-r.attempt.orderedAt)).Msg("stream started")
	}
	d.scheduler.AttemptStarted(d.loop.Now(), r.id, r.attempt.number())
}

// attemptEnded takes the end of an attempt.
func (d *Dispatcher) attemptEnded(r *request, number scheduler.AttemptNo, result engine.Result) {
	a := &r.attempt
	if number != a.number() {
		return
	}
	if result.ClosedLocally && !a.started && !a.cancelling && result.Outcome != scheduler.Unreachable {
		a.cancelling = true
		d.loop.AfterFunc(cancelDelivery, func() { d.attemptEnded(r, number, result) })
		return
	}
	a.inFlight, a.cancelling = nil, false
	r.ledger.AttemptEnded(!result.Outcome.KnownNotRun())
	d.Outcomes[result.Outcome]++
	d.logResult(r, &result)
	d.updateLease(r, &result)
	if a.started && !r.client.answered {
		d.endStream(r, result.Outcome)
	}
	d.scheduler.AttemptEnded(d.loop.Now(), r.id, number, result.ForScheduler(r.client.answered))
	d.finishIfIdle(r)
}

// endStream gives the client the end of its stream.
func (d *Dispatcher) endStream(r *request, outcome scheduler.Outcome) {
	r.client.answered = true
	if outcome == scheduler.Completed {
		d.Completed++
		r.ledger.Answered(d.loop.Now(), guard.Completed)
		r.client.response.Complete()
		return
	}
	d.Broken++
	r.ledger.Answered(d.loop.Now(), guard.Broken)
	r.client.response.Break()
}

// Cancel implements scheduler.Executor: it cancels an attempt. The scheduler hears of that after the call that is under
// way; an attempt that was never written is known not to have run.
func (d *Dispatcher) Cancel(id scheduler.RequestID, number scheduler.AttemptNo) {
	r := d.requests[id]
	if r == nil || number != r.attempt.number() || r.attempt.started || r.attempt.cancelling {
		return
	}
	if r.attempt.inFlight == nil && r.lease.waiting == nil {
		return
	}
	result := newResult(scheduler.Cancelled, reasonCancelled)
	result.ClosedLocally = true
	if r.attempt.inFlight == nil || r.attempt.inFlight.Unsent() {
		result = newResult(scheduler.NotSent, reasonCancelledUnsent)
	}
	d.cancelAttempt(r, result)
}

// cancelAttempt ends the attempt that is in flight, or that waits for a release; its result comes after the call that
// is under way.
func (d *Dispatcher) cancelAttempt(r *request, result engine.Result) {
	inFlight, number := r.attempt.inFlight, r.attempt.number()
	if inFlight != nil {
		inFlight.Cancel()
		result.Undelivered = inFlight.Undelivered()
	}
	r.lease.waiting = nil
	d.loop.Defer(func() {
		if number == r.attempt.number() && r.attempt.inFlight == inFlight {
			d.attemptEnded(r, number, result)
		}
	})
}
