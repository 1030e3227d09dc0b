package platform

import (
	"github.com/rs/zerolog"

	"plumspindle/internal/platform/guard"
	"plumspindle/internal/schedulerhost"
	"plumspindle/scheduler"
)

// Reject implements scheduler.Executor: it sends the final answer of a request that the client may safely send again.
func (d *Dispatcher) Reject(id scheduler.RequestID, retryAfter scheduler.Micros) {
	if req := d.requests[id]; req != nil && !req.client.closed {
		req.client.closed = true
		d.Rejected++
		req.ledger.Answered(d.loop.Now(), guard.Rejected)
		req.client.response.Reject(retryAfter)
		d.afterAnswer(req, zerolog.DebugLevel, "request rejected")
	}
}

// Fail implements scheduler.Executor: it sends the final answer of a request that failed.
func (d *Dispatcher) Fail(id scheduler.RequestID) {
	if req := d.requests[id]; req != nil && !req.client.closed {
		req.client.closed = true
		d.Failed++
		req.ledger.Answered(d.loop.Now(), guard.Failed)
		req.client.response.Fail()
		d.afterAnswer(req, zerolog.InfoLevel, "request failed")
	}
}

// Explain implements scheduler.Explainer: it records why the scheduler rejects or fails a request.
func (d *Dispatcher) Explain(id scheduler.RequestID, reason scheduler.Reason) {
	if req := d.requests[id]; req != nil {
		req.client.reason = reason
	}
}

// afterAnswer counts and logs a rejection or failure, and cancels an attempt that has not been written yet. The request
// is cleaned up only after the current call to the scheduler has returned.
func (d *Dispatcher) afterAnswer(req *request, level zerolog.Level, message string) {
	d.Reasons[req.client.reason]++
	d.logRequest(req, level).Str("class", req.client.Class).Stringer("reason", req.client.reason).
		Int("attempts", int(req.attempt.count)).Msg(message)
	d.cancelUnsent(req)
	d.loop.Defer(func() { d.finishIfIdle(req) })
}

// WatchEndpoints implements scheduler.Executor. It does nothing, because Start subscribes to discovery.
func (d *Dispatcher) WatchEndpoints() {}

// SetTimer implements scheduler.Executor: it sets one of the scheduler's two timers.
func (d *Dispatcher) SetTimer(after scheduler.Micros, timer scheduler.TimerID) {
	d.loop.AfterFunc(after, func() { d.scheduler.TimerFired(d.loop.Now(), timer) })
}

// Log implements scheduler.Executor: it writes an event of the scheduler to the dispatcher's log.
func (d *Dispatcher) Log(event scheduler.Event) { schedulerhost.WriteLog(&d.config.Log, event) }
