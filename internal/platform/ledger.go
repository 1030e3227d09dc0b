package platform

import (
	"strconv"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/platform/server"
	"plumspindle/scheduler"
)

// Tolerances of the guard's rules.
const (
	answerSlack     = 500 * eventloop.Millisecond
	disconnectSlack = 100 * eventloop.Millisecond
	// The platform allows 150 ms, most of which is left for a process that is suspended.
	deadlineSlack = 10 * eventloop.Millisecond
	leaseSlack    = 300 * eventloop.Millisecond
)

// maxLoggedViolations are logged with their ids; the rest are only counted.
const maxLoggedViolations = 200

func (d *Dispatcher) newGuard() *guard.Guard {
	limits := guard.Limits{
		AnswerSlack:     answerSlack,
		DisconnectSlack: disconnectSlack,
		DeadlineSlack:   deadlineSlack,
		StateLease:      d.stateLimit(),
	}
	logged := 0
	return guard.New(limits, func(v guard.Violation) {
		if logged < maxLoggedViolations {
			logged++
			d.logViolation(&v)
		}
		if d.onViolation != nil {
			d.onViolation(v)
		}
	})
}

// stateLimit is the time by which a KV state has to be fetched or released.
func (d *Dispatcher) stateLimit() eventloop.Micros { return d.settings.StateTimeout + leaseSlack }

var retryPolicies = map[scheduler.Effect]guard.RetryPolicy{
	scheduler.Idempotent:    guard.RetryAlways,
	scheduler.Deduplicated:  guard.RetryWithinWindow,
	scheduler.NonIdempotent: guard.RetryNever,
}

// openLedger opens the guard's ledger of a request that is accepted.
func (d *Dispatcher) openLedger(incoming *server.Request, class scheduler.ClassID) *guard.Request {
	if !d.discoveryReady() {
		d.reportNotServing(incoming.ID, "accepted before discovery was heard")
	}
	if d.lastActiveAt > 0 {
		d.reportNotServing(incoming.ID, "accepted after the shutdown")
	}
	c := &d.settings.Scheduler.Classes[class]
	return d.guard.Begin(guard.Terms{
		RequestID:   incoming.ID,
		Retry:       retryPolicies[c.Effect],
		RetryWindow: c.Window,
		Deadline:    incoming.ReceivedAt + incoming.Timeout,
	})
}

func (d *Dispatcher) reportNotServing(requestID, detail string) {
	d.guard.Violated(guard.Violation{Rule: guard.NotServing, RequestID: requestID, Detail: detail})
}

// guardEndpoint is the endpoint of the last attempt, as it is listed at the moment.
func (d *Dispatcher) guardEndpoint(req *request) guard.Endpoint {
	listed := d.endpoints[req.attempt.endpoint]
	endpoint := guard.Endpoint{
		Name:       listed.Name,
		Ready:      d.isReady(req.attempt.endpoint),
		HasEffects: !req.attempt.prefill,
	}
	switch d.settings.Scheduler.Classes[req.class].Group {
	case scheduler.SameZone:
		endpoint.Group = listed.Zone
	case scheduler.SameCell:
		endpoint.Group = strconv.Itoa(int(listed.Cell))
	}
	return endpoint
}

// attemptWritten checks the attempt that is written now, with the time that it gives its endpoint.
func (d *Dispatcher) attemptWritten(req *request, number scheduler.AttemptNo, remaining eventloop.Micros) {
	if number == req.attempt.number() {
		req.ledger.Written(d.loop.Now(), d.guardEndpoint(req), remaining)
	}
}

// reportUnansweredClose reports a connection that the server closes although it has read a request on it.
func (d *Dispatcher) reportUnansweredClose(requestID, reason string) {
	d.guard.Violated(guard.Violation{Rule: guard.UnansweredClose, RequestID: requestID, Detail: reason})
}
