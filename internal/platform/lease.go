package platform

import (
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// lease tracks the KV state that an endpoint may hold for a request. The lease runs until the state is known to have
// been fetched or released. Only a response proves that the state was fetched. A written attempt proves nothing,
// because the network, a proxy or the machine of a stopped process may acknowledge bytes that no endpoint has read.
type lease struct {
	active      bool
	unconfirmed bool                 // the prefill that may have left the state did not end with the outcome PrefillDone
	endpoint    scheduler.EndpointID // the endpoint that most likely holds the state
	startedAt   eventloop.Micros
	expiry      eventloop.Timeout // the end of the lease; during a release, the time by which the release must be done
	releasing   bool              // a release of the state is under way
	// releasedDuringAttempt is set if the state was released while an attempt to fetch it was in flight. Endpoints keep
	// the state for an attempt that they have accepted, even if the state is released.
	releasedDuringAttempt bool
	releaseAgain          bool // another release has to follow the one under way
	// startWaiting starts the attempt that waits for the release; nil if no attempt waits. If the attempt started before
	// the end of the release, the release would drop the state that the attempt leaves.
	startWaiting func()
}

// updateLease updates the lease after an attempt, which may have changed what endpoints hold for the request. It
// reports whether the state that the attempt was meant to fetch was released while the attempt was in flight.
func (d *Dispatcher) updateLease(req *request, result *engine.Result) (released bool) {
	switch {
	case req.attempt.prefill:
		d.updateLeaseAfterPrefill(req, result)
	case req.lease.releasedDuringAttempt:
		d.attemptEndedAfterRelease(req)
		return true
	case req.lease.active && result.Outcome == scheduler.NoCapacity:
		d.startLease(req) // the response proves that the endpoint had the attempt until now
	}
	return false
}

// updateLeaseAfterPrefill starts the lease of the state that a prefill attempt may have left. Even a prefill that was
// cancelled or whose connection broke may have completed.
func (d *Dispatcher) updateLeaseAfterPrefill(req *request, result *engine.Result) {
	switch result.Outcome {
	case scheduler.Unreachable, scheduler.NotSent, scheduler.NoCapacity:
		return
	}
	req.lease.endpoint, req.lease.unconfirmed = req.attempt.endpoint, result.Outcome != scheduler.PrefillDone
	d.startLease(req)
}

// attemptEndedAfterRelease handles the end of an attempt during which the state was released. Endpoints may have kept
// the state for that attempt, so it has to be released again.
func (d *Dispatcher) attemptEndedAfterRelease(req *request) {
	req.lease.releasedDuringAttempt = false
	if req.lease.releasing {
		req.lease.releaseAgain = true
		return
	}
	d.startLease(req) // the scheduler's next order or the end of the request releases the state
}

// startLease starts or restarts the lease: an endpoint may hold a state for the request from now on. The lease lasts
// for the share of the settings' StateTimeout that scheduler.StateLease grants.
func (d *Dispatcher) startLease(req *request) {
	req.lease.active = true
	req.lease.startedAt = d.loop.Now()
	d.debugRequest(req).Str("endpoint", d.endpoints[req.lease.endpoint].Name).
		Bool("unconfirmed", req.lease.unconfirmed).Msg("state lease started")
	req.ledger.LeaseStarted(d.loop.Now())
	duration := scheduler.StateLease(d.settings.StateTimeout)
	req.lease.expiry.Set(d.loop, duration, func() { d.leaseExpired(req) })
}

// leaseExpired handles a lease that expires while an attempt is in flight and unanswered. It releases the state. If the
// attempt has not been sent, leaseExpired cancels it and reports to the scheduler that the state is missing. Otherwise
// the attempt goes on, because the dispatcher can't know whether a running endpoint has received the attempt. An
// endpoint that has accepted the attempt keeps the state for it in spite of the release.
func (d *Dispatcher) leaseExpired(req *request) {
	inFlight, number := req.attempt.inFlight, req.attempt.number()
	if !req.lease.active || req.lease.releasing || inFlight == nil {
		return
	}
	d.logLeaseExpired(req)
	if req.attempt.cancelling || !inFlight.Unsent() {
		req.lease.releasedDuringAttempt = true
		d.release(req)
		return
	}
	result := newResult(scheduler.NoCapacity, reasonLeaseExpired)
	result.StateMissing = true
	inFlight.Cancel()
	d.release(req)
	d.attemptEnded(req, number, result)
}

// release releases all states that endpoints hold for the request. When the release is over, the method released starts
// the attempt that waits for the release, if there is one.
func (d *Dispatcher) release(req *request) {
	req.lease.active, req.lease.releasing = false, true
	age := d.loop.Now() - req.lease.startedAt
	overdue := max(d.stateLimit()-age, 0) + eventloop.Millisecond
	req.lease.expiry.Set(d.loop, overdue, func() { req.ledger.LeaseOverdue(d.loop.Now()) })
	d.debugRequest(req).Str("endpoint", d.endpoints[req.lease.endpoint].Name).
		Int64("lease_age_us", int64(age)).Msg("releasing state")
	d.upstream.Release(req.client.ID, req.lease.endpoint, func(confirmed bool) { d.released(req, confirmed) })
}

// released continues after a release that an endpoint has confirmed or that was given up.
func (d *Dispatcher) released(req *request, confirmed bool) {
	req.lease.releasing = false
	req.lease.expiry.Clear()
	d.debugRequest(req).Bool("confirmed", confirmed).
		Int64("lease_age_us", int64(d.loop.Now()-req.lease.startedAt)).Msg("state released")
	req.ledger.LeaseReleased(d.loop.Now())
	if req.lease.releaseAgain {
		req.lease.releaseAgain = false
		d.startLease(req)
		d.release(req)
		return
	}
	if start := req.lease.startWaiting; start != nil {
		req.lease.startWaiting = nil
		start()
	}
	d.finishIfIdle(req)
}

// Release implements scheduler.Executor: it releases the request's state now. The next attempt waits for the end of the
// release.
func (d *Dispatcher) Release(id scheduler.RequestID) {
	req := d.requests[id]
	if req != nil && req.lease.active && !req.lease.releasing && req.attempt.inFlight == nil {
		d.release(req)
	}
}
