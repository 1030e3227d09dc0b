package platform

import (
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// leaseShare is the part of the state timeout after which an attempt that has no connection yet is cancelled. The rest
// of the timeout is needed to release the state.
const leaseShare = 0.6

// deliveryConfirmTime is how long the other side's machine may take to confirm what has just been sent.
const deliveryConfirmTime = 30 * eventloop.Millisecond

// lease is that of the KV state that an endpoint may hold for a request.
type lease struct {
	active      bool
	unconfirmed bool                 // the prefill that may have left the state was not answered
	endpoint    scheduler.EndpointID // the likely one
	startedAt   eventloop.Micros
	expiry      eventloop.Timeout
	expiresAt   eventloop.Micros
	confirming  bool   // whether an attempt has reached its endpoint is looked at once more
	releasing   bool   // the state is being released
	waiting     func() // starts the attempt that waits for the release, which would take what that attempt leaves
}

// updateLease notes what an endpoint may hold for the request after an attempt.
func (d *Dispatcher) updateLease(req *request, result *engine.Result) {
	switch result.Outcome {
	case scheduler.Unreachable, scheduler.NotSent: // the lease has run on
		return
	case scheduler.NoCapacity:
		if req.lease.active { // the attempt that was to fetch the state was in flight until now
			d.startLease(req)
		}
		return
	}
	// Even a prefill that broke or was cancelled may have completed and left a state; a decode attempt that broke or was
	// cancelled may not have fetched it.
	switch {
	case req.attempt.prefill:
		req.lease.endpoint, req.lease.unconfirmed = req.attempt.endpoint, result.Outcome != scheduler.PrefillDone
		d.startLease(req)
	case req.lease.active && result.Undelivered: // it did not reach its endpoint, and the lease has run on
		d.scheduleLeaseExpiry(req)
	case req.lease.active:
		d.startLease(req)
	}
}

// startLease notes that an endpoint may hold a state for the request from now on, for as long as a state may wait.
func (d *Dispatcher) startLease(req *request) {
	req.lease.active = true
	req.lease.startedAt = d.loop.Now()
	d.debugRequest(req).Str("endpoint", d.endpoints[req.lease.endpoint].Name).
		Bool("unconfirmed", req.lease.unconfirmed).Msg("state lease started")
	req.ledger.LeaseStarted(d.loop.Now())
	req.lease.expiresAt = d.loop.Now() + eventloop.Micros(leaseShare*float64(d.settings.StateTimeout))
	d.scheduleLeaseExpiry(req)
}

func (d *Dispatcher) scheduleLeaseExpiry(req *request) {
	req.lease.confirming = false
	left := max(req.lease.expiresAt-d.loop.Now(), 0)
	req.lease.expiry.Set(d.loop, left, func() { d.leaseExpired(req) })
}

// leaseExpired ends a lease that has run on while connections failed to come up or were silent. An attempt that has
// reached its endpoint by now fetches the state; one that has not is cancelled, and the state counts as missing for a
// decode attempt.
func (d *Dispatcher) leaseExpired(req *request) {
	inFlight, number := req.attempt.inFlight, req.attempt.number()
	if !req.lease.active || req.lease.releasing || req.attempt.cancelling || inFlight == nil {
		return
	}
	d.logLeaseExpired(req)
	if !inFlight.Undelivered() {
		return
	}
	unsent := inFlight.Unsent()
	if !unsent && !req.lease.confirming { // it may have been sent only now
		req.lease.confirming = true
		req.lease.expiry.Set(d.loop, deliveryConfirmTime, func() { d.leaseExpired(req) })
		return
	}
	result := newResult(scheduler.NoCapacity, reasonLeaseExpired)
	switch {
	case !unsent: // its endpoint may have received it, or may receive it yet
		result = newResult(scheduler.ConnectionLost, reasonLeaseExpiredSilent)
		result.ClosedLocally, result.StateMissing = true, true
	case req.attempt.prefill:
		result.Outcome = scheduler.NotSent
	default:
		result.StateMissing = true
	}
	inFlight.Cancel()
	d.release(req)
	d.attemptEnded(req, number, result)
}

// release has all that endpoints hold for the request released, and then starts the attempt that waits for that.
func (d *Dispatcher) release(req *request) {
	req.lease.active, req.lease.releasing = false, true
	req.lease.expiry.Clear()
	d.debugRequest(req).Str("endpoint", d.endpoints[req.lease.endpoint].Name).
		Int64("held_us", int64(d.loop.Now()-req.lease.startedAt)).Msg("releasing state")
	d.upstream.Release(req.client.ID, req.lease.endpoint, func(confirmed bool) {
		req.lease.releasing = false
		d.debugRequest(req).Bool("confirmed", confirmed).
			Int64("held_us", int64(d.loop.Now()-req.lease.startedAt)).Msg("state released")
		req.ledger.LeaseReleased(d.loop.Now())
		if start := req.lease.waiting; start != nil {
			req.lease.waiting = nil
			start()
		}
		d.finishIfIdle(req)
	})
}

// Release implements scheduler.Executor: the state is released now; an attempt that follows waits for that.
func (d *Dispatcher) Release(id scheduler.RequestID) {
	req := d.requests[id]
	if req != nil && req.lease.active && !req.lease.releasing && req.attempt.inFlight == nil {
		d.release(req)
	}
}
