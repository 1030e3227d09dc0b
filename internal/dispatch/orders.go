package dispatch

import (
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/schedulerhost"
	"plumspindle/scheduler"
)

// Send starts an attempt of a request at an endpoint.
func (d *Dispatcher) Send(id scheduler.RequestID, endpoint scheduler.EndpointID, timeout scheduler.Micros) {
	r := d.requests[id]
	if r == nil {
		return
	}
	event := lifecycle.DecodeOrdered
	if r.part != nil || d.roleOf(endpoint) == scheduler.Prefill {
		event = lifecycle.PrefillOrdered
	}
	d.fireWith(r, event, eventDetails{endpoint: endpoint, timeout: timeout})
}

// Reject sends the final answer of a request that the client may retry.
func (d *Dispatcher) Reject(id scheduler.RequestID, retryAfter scheduler.Micros) {
	if r := d.requests[id]; r != nil {
		d.fireWith(r, lifecycle.RejectOrdered, eventDetails{retryAfter: retryAfter})
	}
}

// Fail sends the final answer of a request that failed.
func (d *Dispatcher) Fail(id scheduler.RequestID) {
	if r := d.requests[id]; r != nil {
		d.fireWith(r, lifecycle.FailOrdered, eventDetails{reason: "The generation failed."})
	}
}

// Cancel closes an attempt. Its end is reported once the scheduler's current call has returned.
func (d *Dispatcher) Cancel(id scheduler.RequestID, attempt scheduler.AttemptNumber) {
	if r := d.requests[id]; r != nil && r.isCurrent(attempt) {
		d.fire(r, lifecycle.CancelOrdered)
	}
}

// Release tells each prefill endpoint that may hold state of the request to drop that state.
func (d *Dispatcher) Release(id scheduler.RequestID) {
	if r := d.requests[id]; r != nil {
		d.fire(r, lifecycle.ReleaseOrdered)
	}
}

// WatchEndpoints subscribes to the endpoint list.
func (d *Dispatcher) WatchEndpoints() { d.endpointWatch.Subscribe() }

// SetTimer starts one of the scheduler's timers.
func (d *Dispatcher) SetTimer(after scheduler.Micros, timer scheduler.TimerID) {
	d.loop.AfterFunc(after, func() {
		d.scheduler.TimerFired(d.loop.Now(), timer)
		if timer == scheduler.PeriodicTimer && d.admission.QueueLength() > 0 {
			d.admitQueued()
		}
	})
}

// Log writes the scheduler's events to the dispatcher's log.
func (d *Dispatcher) Log(event scheduler.Event) { schedulerhost.WriteLog(&d.config.Log, event) }
