package dispatch

import (
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
	"plumspindle/scheduler"
)

// stateLease is how long a request's prefill state may wait for a decode endpoint. Its time runs until the state is
// fetched or released, but for an attempt whose endpoint was seen running with it. That an attempt was written, or
// waits for its connection or its intent, does not stop it.
type stateLease struct {
	expiry   eventloop.Timeout
	inUse    bool // the attempt's endpoint was seen running as the lease was over
	released bool // the state was released during the attempt
}

// startStateLease begins the lease anew: a prefill has completed, or an endpoint that had taken an attempt has not used
// the state.
func (d *Dispatcher) startStateLease(r *request) {
	r.lease.inUse = false
	time := scheduler.StateLease(milliseconds(d.Deployment.Rules.LetGoMs))
	r.lease.expiry.Set(d.loop, time, func() { d.stateLeaseExpired(r) })
}

// stateLeaseExpired releases a state that no running endpoint is known to use. An attempt that was sent goes on: it may
// still be answered, and finds out that the state is missing where it arrives late. One that was not is given up.
func (d *Dispatcher) stateLeaseExpired(r *request) {
	if len(r.stateLocations) == 0 || r.State != lifecycle.Decoding && r.State != lifecycle.Closing {
		return
	}
	if r.attempt != nil && r.attempt.SeenRunning() {
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
		d.giveUpUnsent(r)
		return
	}
	r.lease.released = true
	d.fire(r, lifecycle.ReleaseOrdered)
}

// isUnsent reports whether the last attempt has not left this process, as its connection is not up or its intent not
// recorded.
func (r *request) isUnsent() bool { return r.attempt == nil || r.attempt.Unsent() }

// giveUpUnsent ends a decode attempt that was not sent. The state counts as missing for it, and the scheduler repeats
// the prefill or gives up.
func (d *Dispatcher) giveUpUnsent(r *request) {
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

// updateStateLease takes the end of an attempt. A prefill that has completed begins a lease; so does the end of a
// decode attempt that its endpoint had taken, as its answer or the endpoint's other answers prove.
func (d *Dispatcher) updateStateLease(r *request, result engine.Result) {
	switch {
	case r.part != nil:
	case result.Outcome == scheduler.PrefillDone:
		d.startStateLease(r)
	case len(r.stateLocations) > 0 && (r.lease.inUse || result.Outcome == scheduler.NoCapacity):
		d.startStateLease(r)
	}
}
