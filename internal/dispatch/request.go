package dispatch

import (
	"plumspindle/internal/chat"
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/idempotency"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/tenancy"
	"plumspindle/scheduler"
)

// request is one request's state in the dispatcher. What the scheduler knows of a request it stores itself.
type request struct {
	lifecycle.Machine
	id              scheduler.RequestID
	class           scheduler.ClassID
	chat            *chat.Request
	part            *batchPart // of a call with many inputs; nil: it is a chat completion
	clientRequestID string
	arrivedAt       eventloop.Micros
	deadline        eventloop.Micros

	responseID     string
	responses      []*frontend.Response // to its client, and to those that came with the same key
	deadlineTimer  eventloop.Timer      // of the deadline, while the dispatcher watches it
	heartbeatTimer eventloop.Timer
	outputTokens   int              // events forwarded, or the endpoint's own count
	promptTokens   int              // as counted by its decode endpoint
	finalAction    lifecycle.Action // how it was answered; 0: not yet
	orphanedBytes  int              // of its body, where it goes on without a client

	tenant *tenantSlot
	ticket *tenancy.Ticket

	attempts       scheduler.AttemptNo // made so far
	attempt        *engine.Attempt     // the last one; nil while its intent is being recorded
	endpoint       scheduler.EndpointID
	kvState        string          // where the prefill state is, in the prefill endpoint's words
	stateLocations []stateLocation // prefill attempts that may have left state at their endpoints
	lease          stateLease

	keyEntry         *idempotency.Entry // where it came with a key that counts
	mayHaveRun       bool               // some decode of it may have run
	mayHaveRunBefore bool               // some decode before the last attempt may have run
	intent           intentRecord
}

// stateLocation is an attempt that may have left prefill state at its endpoint.
type stateLocation struct {
	endpoint scheduler.EndpointID
	attempt  string
}

// isCurrent reports whether an attempt is the request's last one.
func (r *request) isCurrent(number scheduler.AttemptNo) bool { return number == r.attempts-1 }

func (r *request) dropLastStateLocation() {
	if n := len(r.stateLocations); n > 0 {
		r.stateLocations = r.stateLocations[:n-1]
	}
}

func (r *request) forgetState() { r.kvState, r.stateLocations = "", nil }

func (r *request) stopTimers() {
	for _, timer := range []eventloop.Timer{r.deadlineTimer, r.heartbeatTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	r.lease.expiry.Clear()
}

// notifyArrived reports a request to the scheduler.
func (d *Dispatcher) notifyArrived(r *request) {
	d.scheduler.RequestArrived(d.loop.Now(), scheduler.Arrival{
		ID:              r.id,
		Session:         scheduler.SessionID(r.chat.Session),
		Prefix:          scheduler.PrefixID(r.chat.SharedPrefix),
		Class:           r.class,
		Tenant:          r.tenant.schedulerID,
		PromptTokens:    float64(r.chat.PromptTokens),
		PrefixTokens:    float64(r.chat.SharedPrefixTokens),
		MaxOutputTokens: float64(r.chat.MaxTokens),
		Deadline:        r.deadline,
	})
}

// forget ends a request that has its final answer or has lost its client: its timers, its idempotency key and its
// admission.
func (d *Dispatcher) forget(r *request) {
	r.stopTimers()
	if r.part != nil && r.finalAction == 0 {
		r.part.finished(r, lifecycle.Forget, 0) // withdrawn by its call
	}
	d.frontend.BufferedBytes -= r.orphanedBytes
	r.orphanedBytes = 0
	d.endIdempotencyKey(r, false) // where its client disconnected before it was answered
	d.settle(r)
	d.loop.Defer(func() { // the scheduler answers first and then releases, in one call
		delete(d.requests, r.id)
		d.finishShutdown()
	})
}
