package platform

import "plumspindle/scheduler"

// Reject implements scheduler.Orders: the final answer of a request that may come again.
func (d *Dispatcher) Reject(id scheduler.RequestID, retryAfter scheduler.Micros) {
	if r := d.requests[id]; r != nil && !r.answered {
		r.answered = true
		d.Rejected++
		r.response.Reject(retryAfter)
		d.afterAnswer(r, "rejected")
	}
}

// Fail implements scheduler.Orders: the final answer of a request that failed.
func (d *Dispatcher) Fail(id scheduler.RequestID) {
	if r := d.requests[id]; r != nil && !r.answered {
		r.answered = true
		d.Failed++
		r.response.Fail()
		d.afterAnswer(r, "failed")
	}
}

func (d *Dispatcher) afterAnswer(r *request, how string) {
	d.config.Log.Debug().Str("id", r.client.ID).Str("class", r.client.Class).Str("final", how).Int("attempts", int(r.attempts)).
		Int64("after", int64(d.loop.Now()-r.client.ReceivedAt)).Msg("answered")
	d.loop.Later(func() { d.settle(r) })
}

// Subscribe implements scheduler.Orders; the list comes by itself here.
func (d *Dispatcher) Subscribe() {}

// SetTimer implements scheduler.Orders: it sets one of the module's two timers.
func (d *Dispatcher) SetTimer(after scheduler.Micros, bell scheduler.TimerID) {
	d.loop.After(after, func() { d.module.Rang(d.loop.Now(), bell) })
}

// Log implements scheduler.Orders.
func (d *Dispatcher) Log(line string) { d.config.Log.Info().Msg(line) }
