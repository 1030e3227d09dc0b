package platform

import (
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/platform/upstream"
	"plumspindle/scheduler"
)

// cancelDeliveryTime is how long an attempt still counts as in flight after the dispatcher has reset its connection.
// The reset reaches the endpoint after one network latency, which is highest between two zones. Until
// cancelDeliveryTime is over, the end of the attempt is not reported to the scheduler, so the scheduler starts no other
// attempt of the request.
const cancelDeliveryTime = 20 * eventloop.Millisecond

// The reasons why the dispatcher itself ended an attempt, for logs. Package upstream defines the reasons that come from
// endpoints.
const (
	reasonCancelled          = "cancelled"
	reasonCancelledUnsent    = "cancelled before it was sent"
	reasonClientDisconnected = "client disconnected"
	reasonEndpointNotReady   = "endpoint not ready"
	reasonReleaseTooLate     = "release took too long"
	reasonLeaseExpired       = "lease expired before the connection was up"
)

// attempt describes the attempt that the scheduler ordered last for a request, whether it is still in flight or not.
type attempt struct {
	count      scheduler.AttemptNumber // attempts of the request that the scheduler has ordered so far
	inFlight   *engine.Attempt         // nil before the attempt is handed to the network and after it has ended
	endpoint   scheduler.EndpointID
	orderedAt  eventloop.Micros
	prefill    bool
	cancelling bool // the dispatcher reset the connection, and the endpoint may not have seen the reset yet
	started    bool // the first event of the attempt's stream has arrived, so the client's response has begun
}

// number returns the number of the attempt that was ordered last.
func (a *attempt) number() scheduler.AttemptNumber { return a.count - 1 }

// newResult returns the result of an attempt that returned no load report.
func newResult(outcome scheduler.Outcome, reason string) engine.Result {
	return engine.Result{Outcome: outcome, MemoryUsage: scheduler.NoLoadReport, Reason: reason}
}

// Send implements scheduler.Executor: it starts an attempt at an endpoint, or has it wait until a release of the
// request's KV state is over.
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
	// A prefill attempt leaves a new KV state, and doesn't fetch the state of an earlier prefill. A release drops all
	// states of the request, so the earlier state is released before the attempt. A release after the attempt would drop
	// the new state too. A state that a prefill may have left without reporting success is released before any attempt.
	if req.lease.active && !req.lease.releasing && (a.prefill || req.lease.unconfirmed) {
		d.release(req)
	}
	if req.lease.releasing {
		req.lease.startWaiting = func() { d.startAfterRelease(req, number, timeout) }
		return
	}
	d.startAttempt(req, number, timeout)
}

// startAttempt hands the attempt to the network. The timeouts of the attempt count from the time of the scheduler's
// order, because the scheduler checked at that time whether the attempt may be sent, for example as a retry within the
// retry window.
func (d *Dispatcher) startAttempt(req *request, number scheduler.AttemptNumber, timeout eventloop.Micros) {
	// The client may have disconnected without OnDisconnect having been called yet, for example if the process was
	// suspended.
	if req.client.response.Disconnected() {
		d.loop.Defer(func() {
			d.clientDisconnected(req)
			d.attemptEnded(req, number, newResult(scheduler.NotSent, reasonClientDisconnected))
		})
		return
	}
	if err := req.ledger.Send(d.loop.Now(), d.endpointForGuard(req)); err != nil {
		d.loop.Defer(func() { // the scheduler must not be called back from within its own call
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
		OnSend:      func(remaining eventloop.Micros) { d.checkWrittenAttempt(req, number, remaining) },
	}
	timeout = max(timeout-waited, 0)
	if req.attempt.prefill {
		req.attempt.inFlight = d.upstream.Prefill(req.attempt.endpoint, out, timeout, callbacks)
	} else {
		req.attempt.inFlight = d.upstream.Decode(req.attempt.endpoint, out, timeout, callbacks)
	}
}

// startAfterRelease starts an attempt that waited for a release. It reports the attempt as not sent if the endpoint has
// begun to drain meanwhile. It does the same if the attempt has waited for longer than the connect timeout, because the
// scheduler checked the retry window when it ordered the attempt, and the window may be over by now.
func (d *Dispatcher) startAfterRelease(req *request, number scheduler.AttemptNumber, timeout eventloop.Micros) {
	switch {
	case !d.isReady(req.attempt.endpoint):
		d.attemptEnded(req, number, newResult(scheduler.NotSent, reasonEndpointNotReady))
	case d.loop.Now()-req.attempt.orderedAt > d.settings.ConnectTimeout:
		d.attemptEnded(req, number, newResult(scheduler.NotSent, reasonReleaseTooLate))
	default:
		d.startAttempt(req, number, timeout)
	}
}

// forwardEvent forwards an event of the endpoint's stream to the client, and pauses the endpoint's stream if the client
// reads too slowly.
func (d *Dispatcher) forwardEvent(req *request, number scheduler.AttemptNumber, data []byte) {
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

// streamStarted handles the first event of a stream. The event proves that the endpoint has fetched the KV state, so
// the lease of the state ends.
func (d *Dispatcher) streamStarted(req *request) {
	req.attempt.started = true
	req.lease.active, req.lease.releasedDuringAttempt = false, false
	req.lease.expiry.Clear()
	req.ledger.StateFetched()
	req.attempt.inFlight.MarkStarted()
	now := d.loop.Now()
	if e := d.debugAttempt(req); e.Enabled() {
		e.Int64("duration_us", int64(now-req.attempt.orderedAt)).Msg("stream started")
	}
	d.scheduler.AttemptStarted(now, req.id, req.attempt.number())
}

// attemptEnded handles the result of an attempt, unless the scheduler has ordered another one since. If the dispatcher
// reset the connection before a stream started, and the endpoint may have received the attempt, the result is handled
// only after cancelDeliveryTime.
func (d *Dispatcher) attemptEnded(req *request, number scheduler.AttemptNumber, result engine.Result) {
	a := &req.attempt
	if number != a.number() {
		return
	}
	if result.ClosedLocally && !a.started && !a.cancelling && result.Outcome != scheduler.Unreachable {
		a.cancelling = true
		d.loop.AfterFunc(cancelDeliveryTime, func() { d.attemptEnded(req, number, result) })
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

// endStream ends the client's stream: with its last chunk if the attempt completed, otherwise by breaking the
// connection.
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

// Cancel implements scheduler.Executor: it cancels an attempt that is in flight or waits for a release. It reports the
// result only after the current call to the scheduler has returned. An attempt that was never written completely is
// reported as NotSent, since it can't have run.
func (d *Dispatcher) Cancel(id scheduler.RequestID, number scheduler.AttemptNumber) {
	req := d.requests[id]
	if req == nil || number != req.attempt.number() || req.attempt.started || req.attempt.cancelling {
		return
	}
	if req.attempt.inFlight == nil && req.lease.startWaiting == nil {
		return
	}
	result := newResult(scheduler.Cancelled, reasonCancelled)
	result.ClosedLocally = true
	if req.attempt.inFlight == nil || req.attempt.inFlight.Unsent() {
		result = newResult(scheduler.NotSent, reasonCancelledUnsent)
	}
	d.cancelAttempt(req, result)
}

// cancelAttempt ends the attempt that is in flight, or that waits for a release. It reports the result only after the
// current call to the scheduler has returned.
func (d *Dispatcher) cancelAttempt(req *request, result engine.Result) {
	inFlight, number := req.attempt.inFlight, req.attempt.number()
	if inFlight != nil {
		inFlight.Cancel()
	}
	req.lease.startWaiting = nil
	d.loop.Defer(func() {
		if number == req.attempt.number() && req.attempt.inFlight == inFlight {
			d.attemptEnded(req, number, result)
		}
	})
}
