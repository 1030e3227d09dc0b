package platform

import (
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/schedulerhost"
	"plumspindle/scheduler"
)

// Reject implements scheduler.Executor: the final answer of a request that may be sent again.
func (d *Dispatcher) Reject(id scheduler.RequestID, retryAfter scheduler.Micros) {
	if r := d.requests[id]; r != nil && !r.client.answered {
		r.client.answered = true
		d.Rejected++
		r.ledger.Answered(d.loop.Now(), guard.Rejected)
		r.client.response.Reject(retryAfter)
		d.afterAnswer(r, "request rejected")
	}
}

// Fail implements scheduler.Executor: the final answer of a request that failed.
func (d *Dispatcher) Fail(id scheduler.RequestID) {
	if r := d.requests[id]; r != nil && !r.client.answered {
		r.client.answered = true
		d.Failed++
		r.ledger.Answered(d.loop.Now(), guard.Failed)
		r.client.response.Fail()
		d.afterAnswer(r, "request failed")
	}
}

// Explain implements scheduler.Explainer.
func (d *Dispatcher) Explain(id scheduler.RequestID, reason scheduler.Reason) {
	if r := d.requests[id]; r != nil {
		r.client.reason = reason
	}
}

func (d *Dispatcher) afterAnswer(r *request, message string) {
	d.Reasons[r.client.reason]++
	d.debugRequest(r).Str("class", r.client.Class).Stringer("reason", r.client.reason).
		Int("attempts", int(r.attempt.count)).Msg(message)
	d.cancelUnsent(r)
	d.loop.Defer(func() { d.finishIfIdle(r) })
}

// WatchEndpoints implements scheduler.Executor; the list comes by itself here.
func (d *Dispatcher) WatchEndpoints() {}

// SetTimer implements scheduler.Executor: it sets one of the scheduler's two timers.
func (d *Dispatcher) SetTimer(after scheduler.Micros, timer scheduler.TimerID) {
	d.loop.AfterFunc(after, func() { d.scheduler.TimerFired(d.loop.Now(), timer) })
}

// Log implements scheduler.Executor.
func (d *Dispatcher) Log(event scheduler.Event) { schedulerhost.WriteLog(&d.config.Log, event) }
