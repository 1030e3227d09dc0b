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
	// deadlineSlack is the tolerance for the remaining time that an endpoint is told. The platform allows 150 ms; most of
	// these 150 ms are reserved for suspensions of the process.
	deadlineSlack = 10 * eventloop.Millisecond
	leaseSlack    = 300 * eventloop.Millisecond
)

// maxLoggedViolations is how many violations are logged with their request ids; further ones are only counted.
const maxLoggedViolations = 200

// newGuard creates the guard, which logs violations and passes them to onViolation.
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

// stateLimit returns the time from the start of a lease within which the KV state must be fetched or released.
func (d *Dispatcher) stateLimit() eventloop.Micros { return d.settings.StateTimeout + leaseSlack }

var retryPolicies = map[scheduler.Effect]guard.RetryPolicy{
	scheduler.Idempotent:    guard.RetryAlways,
	scheduler.Deduplicated:  guard.RetryWithinWindow,
	scheduler.NonIdempotent: guard.RetryNever,
}

// openLedger opens the guard's ledger for a request that is being accepted. It reports a violation if the dispatcher
// shouldn't accept requests at this time.
func (d *Dispatcher) openLedger(incoming *server.Request, class scheduler.ClassID) *guard.Request {
	if !d.discoveryReady() {
		d.reportNotServing(incoming.ID, "accepted before discovery was heard")
	}
	if d.lastActiveAt > 0 {
		d.reportNotServing(incoming.ID, "accepted after the shutdown")
	}
	c := &d.settings.Scheduler.Classes[class]
	return d.guard.Begin(guard.RequestProperties{
		RequestID:   incoming.ID,
		Retry:       retryPolicies[c.Effect],
		RetryWindow: c.DedupWindow,
		Deadline:    incoming.ReceivedAt + incoming.Timeout,
	})
}

func (d *Dispatcher) reportNotServing(requestID, detail string) {
	d.guard.ReportViolation(guard.Violation{Rule: guard.NotServing, RequestID: requestID, Detail: detail})
}

// endpointForGuard describes the endpoint of the last attempt for the guard, as discovery lists the endpoint now.
func (d *Dispatcher) endpointForGuard(req *request) guard.Endpoint {
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

// checkWrittenAttempt has the guard check an attempt when it is written, and the remaining time that the attempt states
// to its endpoint.
func (d *Dispatcher) checkWrittenAttempt(req *request, number scheduler.AttemptNumber, remaining eventloop.Micros) {
	if number == req.attempt.number() {
		req.ledger.Written(d.loop.Now(), d.endpointForGuard(req), remaining)
	}
}

// reportUnansweredClose reports a violation: the server closes a connection although a request that was read from the
// connection has no response.
func (d *Dispatcher) reportUnansweredClose(requestID, reason string) {
	d.guard.ReportViolation(guard.Violation{Rule: guard.UnansweredClose, RequestID: requestID, Detail: reason})
}
