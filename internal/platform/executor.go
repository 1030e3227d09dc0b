package platform

import (
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/schedulerlog"
	"plumspindle/scheduler"
)

// Reject implements scheduler.Orders: the final answer of a request that may come again.
func (d *Dispatcher) Reject(id scheduler.RequestID, retryAfter scheduler.Micros) {
	if r := d.requests[id]; r != nil && !r.answered {
		r.answered = true
		d.Rejected++
		r.ledger.Answered(d.loop.Now(), guard.Rejected)
		r.response.Reject(retryAfter)
		d.afterAnswer(r, "rejected")
	}
}

// Fail implements scheduler.Orders: the final answer of a request that failed.
func (d *Dispatcher) Fail(id scheduler.RequestID) {
	if r := d.requests[id]; r != nil && !r.answered {
		r.answered = true
		d.Failed++
		r.ledger.Answered(d.loop.Now(), guard.Failed)
		r.response.Fail()
		d.afterAnswer(r, "failed")
	}
}

// Explain implements scheduler.Explainer.
func (d *Dispatcher) Explain(id scheduler.RequestID, why scheduler.Reason) {
	if r := d.requests[id]; r != nil {
		r.reason = why
	}
}

func (d *Dispatcher) afterAnswer(r *request, how string) {
	d.Reasons[r.reason]++
	d.logState(r, how).Str("class", r.client.Class).Stringer("why", r.reason).Int("attempts", int(r.attempts)).Msg("request")
	d.cancelUnsent(r)
	d.loop.Defer(func() { d.finishIfIdle(r) })
}

// WatchEndpoints implements scheduler.Orders; the list comes by itself here.
func (d *Dispatcher) WatchEndpoints() {}

// SetTimer implements scheduler.Orders: it sets one of the module's two timers.
func (d *Dispatcher) SetTimer(after scheduler.Micros, bell scheduler.TimerID) {
	d.loop.AfterFunc(after, func() { d.scheduler.TimerFired(d.loop.Now(), bell) })
}

// Log implements scheduler.Executor.
func (d *Dispatcher) Log(event scheduler.Event) { schedulerlog.Write(&d.config.Log, event) }
