package platform

import (
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/platform/upstream"
	"plumspindle/scheduler"
)

// cancelDelivery is for how long an attempt that is given up is still out: until its host sees its connection closed, which takes a way
// through the network, between zones at the most. Nothing else is done for its request for so long.
const cancelDelivery = 20 * eventloop.Millisecond

// Send implements scheduler.Orders: it makes an attempt.
func (d *Dispatcher) Send(id scheduler.RequestID, host scheduler.EndpointID, allow scheduler.Micros) {
	r := d.requests[id]
	if r == nil {
		return
	}
	no := r.attempts
	r.attempts++
	d.Attempts++
	r.endpoint, r.sentAt, r.prefill, r.started = host, d.loop.Now(), d.role(host) == scheduler.Prefill, false
	if r.leased && !r.releasing && (r.prefill || r.unconfirmed) { // it does not take what is held, and what it leaves must not go with that
		d.release(r)
	}
	send := func() { d.startAttempt(r, no, allow) }
	if r.releasing {
		r.deferred = func() { d.afterRelease(r, no, send) }
		return
	}
	send()
}

// startAttempt hands the attempt to the network. The times that it may take, and may take to leave, count from when it was ordered: whether
// it may still be sent, as a repeat in its window, was looked at then.
func (d *Dispatcher) startAttempt(r *request, no scheduler.AttemptNo, allow eventloop.Micros) {
	if r.response.Disconnected() { // its news may be late, as after the process was held up
		d.loop.Defer(func() {
			d.clientDisconnected(r)
			d.attemptEnded(r, no, engine.Result{Outcome: scheduler.NotSent, MemoryUsage: scheduler.NoLoadReport, Reason: "its client has left"})
		})
		return
	}
	host := d.guardEndpoint(r)
	if v := r.ledger.Send(d.loop.Now(), host); v != nil { // never within the module's own call
		d.loop.Defer(func() {
			d.attemptEnded(r, no, engine.Result{Outcome: scheduler.NotSent, MemoryUsage: scheduler.NoLoadReport, Reason: "the guard: " + v.Error()})
		})
		return
	}
	hear := engine.Callbacks{
		Event: func(data []byte) { d.streamEvent(r, no, data) },
		Ended: func(o engine.Result) { d.attemptEnded(r, no, o) },
	}
	waited := d.loop.Now() - r.sentAt
	out := upstream.Request{ID: r.client.ID, Target: r.client.Target, Fields: r.client.Fields, Body: r.client.Body,
		SendTimeout: max(d.settings.ConnectTimeout-waited, 1), OnSend: func(told eventloop.Micros) { d.attemptWritten(r, no, told) }}
	allow = max(allow-waited, 0)
	if r.prefill {
		r.attempt = d.upstream.Prefill(r.endpoint, out, allow, hear)
	} else {
		r.attempt = d.upstream.Decode(r.endpoint, out, allow, hear)
	}
}

// afterRelease sends an attempt that had to wait, unless its host has begun to go meanwhile, or the time for a repeat may be over,
// which was looked at when it was ordered.
func (d *Dispatcher) afterRelease(r *request, no scheduler.AttemptNo, send func()) {
	why := "the host is going"
	if d.isReady(r.endpoint) {
		if d.loop.Now()-r.sentAt <= d.settings.ConnectTimeout {
			send()
			return
		}
		why = "what was held was released too late"
	}
	d.attemptEnded(r, no, engine.Result{Outcome: scheduler.NotSent, MemoryUsage: scheduler.NoLoadReport, Reason: why})
}

// streamEvent passes an event on to the client.
func (d *Dispatcher) streamEvent(r *request, no scheduler.AttemptNo, data []byte) {
	if no != r.attempts-1 || r.attempt == nil || r.answered {
		return
	}
	if !r.started {
		d.streamStarted(r, no)
		if r.answered {
			return
		}
	}
	if r.response.WriteEvent(data) {
		r.attempt.PauseReading(true)
	}
}

func (d *Dispatcher) streamStarted(r *request, no scheduler.AttemptNo) {
	r.started, r.leased = true, false
	r.lease.Clear()
	r.ledger.LeaseTaken()
	r.attempt.Started()
	now := d.loop.Now()
	if e := d.config.Log.Debug(); e.Enabled() {
		e.Str("id", r.client.ID).Int("attempt", int(no)).Str("host", d.endpoints[r.endpoint].Name).Int64("took", int64(now-r.sentAt)).
			Int64("after", int64(now-r.client.ReceivedAt)).Msg("first event")
	}
	d.scheduler.AttemptStarted(now, r.id, no)
}

// attemptEnded takes the end of an attempt.
func (d *Dispatcher) attemptEnded(r *request, no scheduler.AttemptNo, o engine.Result) {
	if no != r.attempts-1 {
		return
	}
	if o.ClosedLocally && !r.started && !r.cancelling && o.Outcome != scheduler.Unreachable {
		r.cancelling = true
		d.loop.AfterFunc(cancelDelivery, func() { d.attemptEnded(r, no, o) })
		return
	}
	r.attempt, r.cancelling = nil, false
	r.ledger.AttemptEnded(!o.Outcome.KnownNotRun())
	d.Outcomes[o.Outcome]++
	d.logOutcome(r, no, o)
	d.updateLease(r, o)
	if r.started && !r.answered {
		d.endStream(r, o.Outcome)
	}
	d.scheduler.AttemptEnded(d.loop.Now(), r.id, no, o.ForScheduler(r.answered))
	d.finishIfIdle(r)
}

func (d *Dispatcher) logOutcome(r *request, no scheduler.AttemptNo, o engine.Result) {
	e := d.config.Log.Debug()
	if !e.Enabled() {
		return
	}
	e.Str("id", r.client.ID).Int("attempt", int(no)).Str("host", d.endpoints[r.endpoint].Name).Bool("prefill", r.prefill).Bool("started", r.started).
		Int("outcome", int(o.Outcome)).Int("cached_tokens", o.CachedTokens).Bool("state_missing", o.StateMissing).Bool("undelivered", o.Undelivered).Float64("prompt", r.client.PromptTokens).Int64("took", int64(d.loop.Now()-r.sentAt)).
		Int64("waited", int64(r.sentAt-r.client.ReceivedAt)).Str("class", r.client.Class).Str("prefix", r.client.Prefix).
		Str("why", o.Reason).Msg("attempt ended")
}

// updateLease notes what a host may hold for the request after an attempt.
func (d *Dispatcher) updateLease(r *request, o engine.Result) {
	switch o.Outcome {
	case scheduler.Unreachable, scheduler.NotSent: // and what is held has waited on
	case scheduler.NoCapacity:
		if r.leased { // the attempt that was to take it was out until now
			d.startLease(r)
		}
	default:
		// Also a prefill attempt that broke or was given up may have ended well; a decode attempt that did may have left what it was to take.
		switch {
		case r.prefill:
			r.leaseEndpoint, r.unconfirmed = r.endpoint, o.Outcome != scheduler.PrefillDone
			d.startLease(r)
		case r.leased && o.Undelivered: // it was not out, and what is held has waited on
			d.scheduleLeaseExpiry(r)
		case r.leased:
			d.startLease(r)
		}
	}
}

// endStream gives the client the end of its stream.
func (d *Dispatcher) endStream(r *request, how scheduler.Outcome) {
	r.answered = true
	if how == scheduler.Completed {
		d.Completed++
		r.ledger.Answered(d.loop.Now(), guard.Completed)
		r.response.Complete()
		return
	}
	d.Broken++
	r.ledger.Answered(d.loop.Now(), guard.Broken)
	r.response.Break()
}

// Cancel implements scheduler.Orders: it gives an attempt up. That it was cancelled is told after the module's call; one that never left
// is known not to have run.
func (d *Dispatcher) Cancel(id scheduler.RequestID, no scheduler.AttemptNo) {
	r := d.requests[id]
	if r == nil || no != r.attempts-1 || r.started || r.cancelling || r.attempt == nil && r.deferred == nil {
		return
	}
	o := engine.Result{Outcome: scheduler.Cancelled, ClosedLocally: true, MemoryUsage: scheduler.NoLoadReport, Reason: "given up"}
	if r.attempt == nil || r.attempt.Unsent() {
		o = engine.Result{Outcome: scheduler.NotSent, MemoryUsage: scheduler.NoLoadReport, Reason: "given up before it left"}
	}
	d.cancelAttempt(r, o)
}

// cancelAttempt ends the attempt that is out, or that waits to be; that is told after the call that is under way.
func (d *Dispatcher) cancelAttempt(r *request, o engine.Result) {
	attempt, no := r.attempt, r.attempts-1
	if attempt != nil {
		attempt.Cancel()
		o.Undelivered = attempt.Undelivered()
	}
	r.deferred = nil
	d.loop.Defer(func() {
		if no == r.attempts-1 && r.attempt == attempt {
			d.attemptEnded(r, no, o)
		}
	})
}
