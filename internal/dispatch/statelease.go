package dispatch

import (
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
	"plumspindle/scheduler"
)

// stateLease limits how long a request's prefill state may wait for a decode endpoint. The lease ends early only if the
// state is fetched or released. If the lease expires during a decode attempt, the state is kept only if the process of
// the attempt's endpoint is known to have been running after the attempt reached the endpoint. A decode attempt that
// was only sent, or that still waits for its connection or its intent, does not keep the state.
type stateLease struct {
	expiry   eventloop.Timeout
	inUse    bool // the attempt's endpoint was known to be running when the lease expired
	released bool // the state was released during the attempt
}

// startStateLease starts the lease anew, after a prefill has completed or an endpoint has ended an attempt without
// using the state.
func (d *Dispatcher) startStateLease(r *request) {
	r.lease.inUse = false
	duration := scheduler.StateLease(milliseconds(d.Deployment.Rules.LetGoMs))
	r.lease.expiry.Set(d.loop, duration, func() { d.stateLeaseExpired(r) })
}

// stateLeaseExpired releases the state, unless an endpoint that is known to be running may use it. An attempt that was
// sent goes on, because it may still be answered. If the attempt reaches its endpoint after the release, the
// endpoint reports that the state is missing. An attempt that was not sent fails.
func (d *Dispatcher) stateLeaseExpired(r *request) {
	if len(r.stateLocations) == 0 || r.State != lifecycle.Decoding && r.State != lifecycle.Closing {
		return
	}
	if r.attempt != nil && r.attempt.EndpointSeenRunning() {
		r.lease.inUse = true
		return
	}
	d.config.Log.Info().
		Uint64("request_id", uint64(r.id)).
		Int("attempt", int(r.attempts)-1).
		Uint32("endpoint", uint32(r.endpoint)).
		Bool("unsent", r.isUnsent()).
		Msg("state lease expired")
	if r.isUnsent() && r.State == lifecycle.Decoding {
		d.failUnsentAttempt(r)
		return
	}
	r.lease.released = true
	d.fire(r, lifecycle.ReleaseOrdered)
}

// isUnsent reports whether the last attempt was not sent yet because its connection is not open or its intent is not
// recorded.
func (r *request) isUnsent() bool { return r.attempt == nil || r.attempt.Unsent() }

// failUnsentAttempt ends a decode attempt that was not sent, and reports that its state is missing. The scheduler then
// repeats the prefill or gives up the request.
func (d *Dispatcher) failUnsentAttempt(r *request) {
	r.intent.waiting = nil
	if r.attempt != nil {
		r.attempt.Cancel()
	}
	d.attemptEnded(r, engine.Result{
		Outcome:      scheduler.NoCapacity,
		StateMissing: true,
		MemoryUsage:  scheduler.NoLoadReport,
		Reason:       "not sent before its state's lease was over",
	})
}

// updateStateLease handles the end of an attempt. A completed prefill starts a lease. So does the end of a decode
// attempt that had reached its endpoint, as shown by its own response or by the endpoint's responses to other attempts.
func (d *Dispatcher) updateStateLease(r *request, result engine.Result) {
	switch {
	case r.part != nil:
	case result.Outcome == scheduler.PrefillDone:
		d.startStateLease(r)
	case len(r.stateLocations) > 0 && (r.lease.inUse || result.Outcome == scheduler.NoCapacity):
		d.startStateLease(r)
	}
}
