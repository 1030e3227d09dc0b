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

// request is the dispatcher's state of one request. The scheduler has its own state for each request.
type request struct {
	lifecycle.Machine
	id              scheduler.RequestID
	class           scheduler.ClassID
	chat            *chat.Request
	part            *batchPart // set for a part of a batch call; nil for a chat completion
	clientRequestID string
	arrivedAt       eventloop.Micros
	deadline        eventloop.Micros

	responseID     string
	responses      []*frontend.Response // to the request's client, and to clients that repeated the request with its key
	deadlineTimer  eventloop.Timer      // fires shortly before the deadline; nil while the scheduler watches the deadline
	heartbeatTimer eventloop.Timer
	outputTokens   int              // number of forwarded events, or the endpoint's own token count
	promptTokens   int              // number that the endpoint counted; 0: not known
	finalAction    lifecycle.Action // the Answer action that was performed; 0: none
	orphanedBytes  int              // size of the body while the request goes on without a client; 0 otherwise

	tenant *tenantSlot
	ticket *tenancy.Ticket

	attempts       scheduler.AttemptNumber // number of attempts so far
	attempt        *engine.Attempt         // the last attempt; nil while the intent is being recorded
	endpoint       scheduler.EndpointID
	kvState        string          // the location of the prefill state, in the prefill endpoint's own format
	stateLocations []stateLocation // prefill attempts that may have left state at their endpoints
	lease          stateLease

	keyEntry         *idempotency.Entry // nil: the request has no idempotency key, or its product needs none
	mayHaveRun       bool               // a decode attempt may have run
	mayHaveRunBefore bool               // a decode attempt before the last one may have run
	intent           intentRecord
}

// stateLocation is an attempt that may have left prefill state at its endpoint.
type stateLocation struct {
	endpoint scheduler.EndpointID
	attempt  string
}

// isCurrent reports whether the attempt with this number is the request's last one.
func (r *request) isCurrent(number scheduler.AttemptNumber) bool { return number == r.attempts-1 }

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

// notifyArrived reports a request's arrival to the scheduler.
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

// forget cleans up after a request that has its final answer or whose client has disconnected: it stops the timers,
// ends the idempotency key and the admission, and removes the request.
func (d *Dispatcher) forget(r *request) {
	r.stopTimers()
	if r.part != nil && r.finalAction == 0 {
		r.part.finished(r, lifecycle.Forget, 0) // withdrawn without an answer
	}
	d.frontend.BufferedBytes -= r.orphanedBytes
	r.orphanedBytes = 0
	d.endIdempotencyKey(r, false) // has no effect if respond has ended the key
	d.releaseAdmission(r)
	d.loop.Defer(func() { // the scheduler's current call may still order the release of the request's state
		delete(d.requests, r.id)
		d.finishShutdown()
	})
}
