package platform

import (
	"github.com/rs/zerolog"

	"plumspindle/internal/platform/guard"
	"plumspindle/internal/schedulerhost"
	"plumspindle/scheduler"
)

// Reject implements scheduler.Executor: the final answer of a request that may be sent again.
func (d *Dispatcher) Reject(id scheduler.RequestID, retryAfter scheduler.Micros) {
	if req := d.requests[id]; req != nil && !req.client.closed {
		req.client.closed = true
		d.Rejected++
		req.ledger.Answered(d.loop.Now(), guard.Rejected)
		req.client.response.Reject(retryAfter)
		d.afterAnswer(req, zerolog.DebugLevel, "request rejected")
	}
}

// Fail implements scheduler.Executor: the final answer of a request that failed.
func (d *Dispatcher) Fail(id scheduler.RequestID) {
	if req := d.requests[id]; req != nil && !req.client.closed {
		req.client.closed = true
		d.Failed++
		req.ledger.Answered(d.loop.Now(), guard.Failed)
		req.client.response.Fail()
		d.afterAnswer(req, zerolog.InfoLevel, "request failed")
	}
}

// Explain implements scheduler.Explainer.
func (d *Dispatcher) Explain(id scheduler.RequestID, reason scheduler.Reason) {
	if req := d.requests[id]; req != nil {
		req.client.reason = reason
	}
}

func (d *Dispatcher) afterAnswer(req *request, level zerolog.Level, message string) {
	d.Reasons[req.client.reason]++
	d.logRequest(req, level).Str("class", req.client.Class).Stringer("reason", req.client.reason).
		Int("attempts", int(req.attempt.count)).Msg(message)
	d.cancelUnsent(req)
	d.loop.Defer(func() { d.finishIfIdle(req) })
}

// WatchEndpoints implements scheduler.Executor. There is nothing to do: Start subscribes to discovery.
func (d *Dispatcher) WatchEndpoints() {}

// SetTimer implements scheduler.Executor: it sets one of the scheduler's two timers.
func (d *Dispatcher) SetTimer(after scheduler.Micros, timer scheduler.TimerID) {
	d.loop.AfterFunc(after, func() { d.scheduler.TimerFired(d.loop.Now(), timer) })
}

// Log implements scheduler.Executor.
func (d *Dispatcher) Log(event scheduler.Event) { schedulerhost.WriteLog(&d.config.Log, event) }
