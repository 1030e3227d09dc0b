package platform

import (
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// leaseShare is the part of the time in which a KV state has to be taken or released after which an attempt that has no connection yet
// does not get it any more: to the rule the state waits there, and its release needs a part too.
const leaseShare = 0.6

// deliveryConfirmTime is how long the other side's machine may take to confirm what has just left.
const deliveryConfirmTime = 30 * eventloop.Millisecond

// startLease notes that a host may hold something for the request from now on, for as long as a state may wait.
func (d *Dispatcher) startLease(r *request) {
	r.leased = true
	r.ledger.LeaseStarted(d.loop.Now())
	r.leaseEnd = d.loop.Now() + eventloop.Micros(leaseShare*float64(d.settings.StateTimeout))
	d.scheduleLeaseExpiry(r)
}

func (d *Dispatcher) scheduleLeaseExpiry(r *request) {
	r.confirming = false
	r.lease.Set(d.loop, max(r.leaseEnd-d.loop.Now(), 0), func() { d.leaseExpired(r) })
}

// leaseExpired ends the wait of what is held, as its time runs on while connections fail to come up or are silent. An attempt that has
// reached its host by now takes it; one that has not is taken back, and to a decode attempt its state is gone.
func (d *Dispatcher) leaseExpired(r *request) {
	attempt, no := r.attempt, r.attempts-1
	if !r.leased || r.releasing || r.cancelling || attempt == nil || !attempt.Undelivered() {
		return
	}
	outcome := engine.Result{Outcome: scheduler.NoCapacity, StateMissing: true, MemoryUsage: scheduler.NoLoadReport, Reason: "no connection while its state may wait"}
	switch {
	case !attempt.Unsent() && !r.confirming: // it may have left only now
		r.confirming = true
		r.lease.Set(d.loop, deliveryConfirmTime, func() { d.leaseExpired(r) })
		return
	case !attempt.Unsent(): // it may arrive, or have arrived, all the same
		outcome.Outcome, outcome.ClosedLocally, outcome.Reason = scheduler.ConnectionLost, true, "its connection is silent while its state may wait"
	case r.prefill:
		outcome.Outcome, outcome.StateMissing = scheduler.NotSent, false
	}
	attempt.Cancel()
	d.release(r)
	d.attemptEnded(r, no, outcome)
}

// release has all that is held for the request dropped, and lets the attempt that waits for it go.
func (d *Dispatcher) release(r *request) {
	r.leased, r.releasing = false, true
	r.lease.Clear()
	d.logState(r, "releasing").Str("holder", d.endpoints[r.leaseEndpoint].Name).Msg("request")
	d.upstream.Release(r.client.ID, r.leaseEndpoint, func(bool) {
		r.releasing = false
		r.ledger.LeaseReleased(d.loop.Now())
		if send := r.deferred; send != nil {
			r.deferred = nil
			send()
		}
		d.finishIfIdle(r)
	})
}

// Release implements scheduler.Orders: what is held is released now; an attempt that follows waits for that.
func (d *Dispatcher) Release(id scheduler.RequestID) {
	if r := d.requests[id]; r != nil && r.leased && !r.releasing && r.attempt == nil {
		d.release(r)
	}
}
