package platform

import (
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// lease is that of the KV state that an endpoint may hold for the request. Its time runs until the state is known to
// have been fetched or released. That an attempt to fetch it was written proves nothing: the network, a proxy or the
// machine of a stopped process confirms bytes that no endpoint has taken. Only a response does.
type lease struct {
	active      bool
	unconfirmed bool                 // the prefill that may have left the state was not answered
	endpoint    scheduler.EndpointID // the likely one
	startedAt   eventloop.Micros
	expiry      eventloop.Timeout // then, while the state is being released, the time by which that has to be done
	releasing   bool              // the state is being released
	awaited     bool              // it was, while an attempt to fetch it was in flight, for which endpoints keep it
	again       bool              // it is to be released once more, after the release under way
	waiting     func()            // starts the attempt that waits for the release, which would take what that leaves
}

// updateLease notes what an endpoint may hold for the request after an attempt. It reports whether the state that the
// attempt was to fetch has been released meanwhile.
func (d *Dispatcher) updateLease(req *request, result *engine.Result) (released bool) {
	switch {
	case req.attempt.prefill:
		d.updateLeaseAfterPrefill(req, result)
	case req.lease.awaited:
		d.stateNoLongerAwaited(req)
		return true
	case req.lease.active && result.Outcome == scheduler.NoCapacity:
		d.startLease(req) // the endpoint had the attempt until now, as its response proves
	}
	return false
}

// updateLeaseAfterPrefill starts the lease of the state that a prefill attempt may have left: even one that broke or
// was cancelled may have completed.
func (d *Dispatcher) updateLeaseAfterPrefill(req *request, result *engine.Result) {
	switch result.Outcome {
	case scheduler.Unreachable, scheduler.NotSent, scheduler.NoCapacity:
		return
	}
	req.lease.endpoint, req.lease.unconfirmed = req.attempt.endpoint, result.Outcome != scheduler.PrefillDone
	d.startLease(req)
}

// stateNoLongerAwaited takes the end of an attempt during which the state was released: endpoints may keep it for
// that attempt, and have to be asked again.
func (d *Dispatcher) stateNoLongerAwaited(req *request) {
	req.lease.awaited = false
	if req.lease.releasing {
		req.lease.again = true
		return
	}
	d.startLease(req) // the scheduler has it released, or the request's end does
}

// startLease notes that an endpoint may hold a state for the request from now on, for as long as a state may wait.
func (d *Dispatcher) startLease(req *request) {
	req.lease.active = true
	req.lease.startedAt = d.loop.Now()
	d.debugRequest(req).Str("endpoint", d.endpoints[req.lease.endpoint].Name).
		Bool("unconfirmed", req.lease.unconfirmed).Msg("state lease started")
	req.ledger.LeaseStarted(d.loop.Now())
	time := scheduler.StateLease(d.settings.StateTimeout)
	req.lease.expiry.Set(d.loop, time, func() { d.leaseExpired(req) })
}

// leaseExpired ends a lease during an attempt that has not been answered. One that is not sent yet is cancelled, and
// the state counts as missing for it. Any other may be with a running endpoint or with none, which can't be known: it
// goes on, and the state is released all the same. Endpoints keep a state for an attempt that they have taken.
func (d *Dispatcher) leaseExpired(req *request) {
	inFlight, number := req.attempt.inFlight, req.attempt.number()
	if !req.lease.active || req.lease.releasing || inFlight == nil {
		return
	}
	d.logLeaseExpired(req)
	if req.attempt.cancelling || !inFlight.Unsent() {
		req.lease.awaited = true
		d.release(req)
		return
	}
	result := newResult(scheduler.NoCapacity, reasonLeaseExpired)
	result.StateMissing = true
	inFlight.Cancel()
	d.release(req)
	d.attemptEnded(req, number, result)
}

// release has all that endpoints hold for the request released, and then starts the attempt that waits for that.
func (d *Dispatcher) release(req *request) {
	req.lease.active, req.lease.releasing = false, true
	age := d.loop.Now() - req.lease.startedAt
	overdue := max(d.stateLimit()-age, 0) + eventloop.Millisecond
	req.lease.expiry.Set(d.loop, overdue, func() { req.ledger.LeaseOverdue(d.loop.Now()) })
	d.debugRequest(req).Str("endpoint", d.endpoints[req.lease.endpoint].Name).
		Int64("lease_age_us", int64(age)).Msg("releasing state")
	d.upstream.Release(req.client.ID, req.lease.endpoint, func(confirmed bool) { d.released(req, confirmed) })
}

// released continues after a release has been confirmed, or given up.
func (d *Dispatcher) released(req *request, confirmed bool) {
	req.lease.releasing = false
	req.lease.expiry.Clear()
	d.debugRequest(req).Bool("confirmed", confirmed).
		Int64("lease_age_us", int64(d.loop.Now()-req.lease.startedAt)).Msg("state released")
	req.ledger.LeaseReleased(d.loop.Now())
	if req.lease.again {
		req.lease.again = false
		d.startLease(req)
		d.release(req)
		return
	}
	if start := req.lease.waiting; start != nil {
		req.lease.waiting = nil
		start()
	}
	d.finishIfIdle(req)
}

// Release implements scheduler.Executor: the state is released now; an attempt that follows waits for that.
func (d *Dispatcher) Release(id scheduler.RequestID) {
	req := d.requests[id]
	if req != nil && req.lease.active && !req.lease.releasing && req.attempt.inFlight == nil {
		d.release(req)
	}
}
