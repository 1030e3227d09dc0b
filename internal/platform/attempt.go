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
	req := d.requests[id]
	if req == nil {
		return
	}
	a := &req.attempt
	a.count++
	a.endpoint, a.orderedAt, a.started = endpoint, d.loop.Now(), false
	a.prefill = d.roleOf(endpoint) == scheduler.Prefill
	number := a.number()
	d.Attempts++
	// A prefill does not fetch the state that waits, and what it leaves must not be released with that.
	if req.lease.active && !req.lease.releasing && (a.prefill || req.lease.unconfirmed) {
		d.release(req)
	}
	if req.lease.releasing {
		req.lease.waiting = func() { d.startAfterRelease(req, number, timeout) }
		return
	}
	d.startAttempt(req, number, timeout)
}

// startAttempt hands the attempt to the network. Its time-outs count from when it was ordered: whether it may still be
// sent, as a retry within its window, was checked then.
func (d *Dispatcher) startAttempt(req *request, number scheduler.AttemptNo, timeout eventloop.Micros) {
	// The disconnect may not have been handed over yet, as after the process was suspended.
	if req.client.response.Disconnected() {
		d.loop.Defer(func() {
			d.clientDisconnected(req)
			d.attemptEnded(req, number, newResult(scheduler.NotSent, reasonClientDisconnected))
		})
		return
	}
	if err := req.ledger.Send(d.loop.Now(), d.guardEndpoint(req)); err != nil {
		d.loop.Defer(func() { // never within the scheduler's own call
			d.attemptEnded(req, number, newResult(scheduler.NotSent, err.Error()))
		})
		return
	}
	callbacks := engine.Callbacks{
		Event: func(data []byte) { d.forwardEvent(req, number, data) },
		Ended: func(result engine.Result) { d.attemptEnded(req, number, result) },
	}
	waited := d.loop.Now() - req.attempt.orderedAt
	out := upstream.Request{
		ID:          req.client.ID,
		Target:      req.client.Target,
		Fields:      req.client.Fields,
		Body:        req.client.Body,
		SendTimeout: max(d.settings.ConnectTimeout-waited, 1),
		OnSend:      func(remaining eventloop.Micros) { d.attemptWritten(req, number, remaining) },
	}
	timeout = max(timeout-waited, 0)
	if req.attempt.prefill {
		req.attempt.inFlight = d.upstream.Prefill(req.attempt.endpoint, out, timeout, callbacks)
	} else {
		req.attempt.inFlight = d.upstream.Decode(req.attempt.endpoint, out, timeout, callbacks)
	}
}

// startAfterRelease starts an attempt that waited for a release, unless its endpoint has begun to drain meanwhile, or
// the time for a retry may be over, which was checked when it was ordered.
func (d *Dispatcher) startAfterRelease(req *request, number scheduler.AttemptNo, timeout eventloop.Micros) {
	switch {
	case !d.isReady(req.attempt.endpoint):
		d.attemptEnded(req, number, newResult(scheduler.NotSent, reasonEndpointNotReady))
	case d.loop.Now()-req.attempt.orderedAt > d.settings.ConnectTimeout:
		d.attemptEnded(req, number, newResult(scheduler.NotSent, reasonReleaseTooLate))
	default:
		d.startAttempt(req, number, timeout)
	}
}

// forwardEvent forwards an event to the client.
func (d *Dispatcher) forwardEvent(req *request, number scheduler.AttemptNo, data []byte) {
	if number != req.attempt.number() || req.attempt.inFlight == nil || req.client.closed {
		return
	}
	if !req.attempt.started {
		d.streamStarted(req)
		if req.client.closed {
			return
		}
	}
	if req.client.response.WriteEvent(data) {
		req.attempt.inFlight.SetReadingPaused(true)
	}
}

// streamStarted takes the first event as proof that the endpoint has fetched the KV state.
func (d *Dispatcher) streamStarted(req *request) {
	req.attempt.started = true
	req.lease.active, req.lease.awaited = false, false
	req.lease.expiry.Clear()
	req.ledger.LeaseTaken()
	req.attempt.inFlight.Started()
	now := d.loop.Now()
	if e := d.debugAttempt(req); e.Enabled() {
		e.Int64("duration_us", int64(now-req.attempt.orderedAt)).Msg("stream started")
	}
	d.scheduler.AttemptStarted(now, req.id, req.attempt.number())
}

// attemptEnded handles the result of an attempt, unless another one has been ordered since.
func (d *Dispatcher) attemptEnded(req *request, number scheduler.AttemptNo, result engine.Result) {
	a := &req.attempt
	if number != a.number() {
		return
	}
	if result.ClosedLocally && !a.started && !a.cancelling && result.Outcome != scheduler.Unreachable {
		a.cancelling = true
		d.loop.AfterFunc(cancelDelivery, func() { d.attemptEnded(req, number, result) })
		return
	}
	a.inFlight, a.cancelling = nil, false
	req.ledger.AttemptEnded(!result.Outcome.KnownNotRun())
	d.Outcomes[result.Outcome]++
	d.logResult(req, &result)
	released := d.updateLease(req, &result)
	if a.started && !req.client.closed {
		d.endStream(req, result.Outcome)
	}
	ended := result.ForScheduler(req.client.closed)
	ended.StateReleased = released
	d.scheduler.AttemptEnded(d.loop.Now(), req.id, number, ended)
	d.finishIfIdle(req)
}

// endStream ends the client's stream, completely or not.
func (d *Dispatcher) endStream(req *request, outcome scheduler.Outcome) {
	req.client.closed = true
	if outcome == scheduler.Completed {
		d.Completed++
		req.ledger.Answered(d.loop.Now(), guard.Completed)
		req.client.response.Complete()
		return
	}
	d.Broken++
	req.ledger.Answered(d.loop.Now(), guard.Broken)
	req.client.response.Break()
}

// Cancel implements scheduler.Executor: it cancels an attempt. The result is reported after the call that is under way;
// an attempt that was never written is known not to have run.
func (d *Dispatcher) Cancel(id scheduler.RequestID, number scheduler.AttemptNo) {
	req := d.requests[id]
	if req == nil || number != req.attempt.number() || req.attempt.started || req.attempt.cancelling {
		return
	}
	if req.attempt.inFlight == nil && req.lease.waiting == nil {
		return
	}
	result := newResult(scheduler.Cancelled, reasonCancelled)
	result.ClosedLocally = true
	if req.attempt.inFlight == nil || req.attempt.inFlight.Unsent() {
		result = newResult(scheduler.NotSent, reasonCancelledUnsent)
	}
	d.cancelAttempt(req, result)
}

// cancelAttempt ends the attempt that is in flight, or that waits for a release; its result comes after the call that
// is under way.
func (d *Dispatcher) cancelAttempt(req *request, result engine.Result) {
	inFlight, number := req.attempt.inFlight, req.attempt.number()
	if inFlight != nil {
		inFlight.Cancel()
	}
	req.lease.waiting = nil
	d.loop.Defer(func() {
		if number == req.attempt.number() && req.attempt.inFlight == inFlight {
			d.attemptEnded(req, number, result)
		}
	})
}
