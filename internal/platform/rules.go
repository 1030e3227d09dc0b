package platform

import (
	"strconv"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/platform/server"
	"plumspindle/scheduler"
)

// What the rules allow beyond the times themselves.
const (
	answerSlack     = 500 * eventloop.Millisecond
	disconnectSlack = 100 * eventloop.Millisecond
	deadlineSlack   = 10 * eventloop.Millisecond // the platform allows 150, of which a process that is held up needs most
	leaseSlack      = 300 * eventloop.Millisecond
	// So many violations are logged with their ids; the rest are only counted.
	maxLoggedViolations = 200
)

func (d *Dispatcher) newGuard(heldFor eventloop.Micros) *guard.Guard {
	logged := 0
	limits := guard.Limits{AnswerSlack: answerSlack, DisconnectSlack: disconnectSlack, DeadlineSlack: deadlineSlack, StateLease: heldFor + leaseSlack}
	return guard.New(limits, func(v guard.Violation) {
		if logged++; logged <= maxLoggedViolations {
			d.config.Log.Error().Stringer("rule", v.Rule).Str("id", v.RequestID).Str("host", v.Endpoint).Bool("prevented", v.Prevented).Str("what", v.Detail).
				Msg("a rule would be broken")
		}
		if d.OnViolation != nil {
			d.OnViolation(v)
		}
	})
}

// Guard is what the dispatcher is held to its rules by.
func (d *Dispatcher) Guard() *guard.Guard { return d.guard }

var retryPolicies = map[scheduler.Effect]guard.RetryPolicy{scheduler.Idempotent: guard.RetryAlways, scheduler.Deduplicated: guard.RetryWithinWindow,
	scheduler.NonIdempotent: guard.RetryNever}

// openLedger opens the ledger of a request that is taken.
func (d *Dispatcher) openLedger(client *server.Request, class scheduler.ClassID) *guard.Request {
	if !d.discoveryReady() {
		d.guard.Violated(guard.Violation{Rule: guard.NotServing, RequestID: client.ID, Detail: "taken before discovery was heard"})
	}
	if d.lastActiveAt > 0 {
		d.guard.Violated(guard.Violation{Rule: guard.NotServing, RequestID: client.ID, Detail: "passed on after the shutdown"})
	}
	c := d.settings.Scheduler.Classes[class]
	return d.guard.Begin(guard.Terms{RequestID: client.ID, Retry: retryPolicies[c.Effect], RetryWindow: c.Window, Deadline: client.ReceivedAt + client.Timeout})
}

// guardEndpoint is the host of the attempt that is ordered, as it stands now.
func (d *Dispatcher) guardEndpoint(r *request) guard.Endpoint {
	e := d.endpoints[r.endpoint]
	h := guard.Endpoint{Name: e.Name, Ready: d.isReady(r.endpoint), HasEffects: !r.prefill}
	switch d.settings.Scheduler.Classes[r.class].Group {
	case scheduler.SameZone:
		h.Group = e.Zone
	case scheduler.SameCell:
		h.Group = strconv.Itoa(int(e.Cell))
	}
	return h
}

// attemptWritten checks the attempt that is written now.
func (d *Dispatcher) attemptWritten(r *request, no scheduler.AttemptNo, told eventloop.Micros) {
	if no == r.attempts-1 {
		r.ledger.Written(d.loop.Now(), d.guardEndpoint(r), told)
	}
}

// reportUnansweredClose is told of a connection that the server closes over a request that it has read.
func (d *Dispatcher) reportUnansweredClose(id, why string) {
	d.guard.Violated(guard.Violation{Rule: guard.UnansweredClose, RequestID: id, Detail: why})
}

// logState begins a line on what becomes of a request.
func (d *Dispatcher) logState(r *request, state string) *zerolog.Event {
	return d.config.Log.Debug().Str("id", r.client.ID).Str("state", state).Int64("after", int64(d.loop.Now()-r.client.ReceivedAt))
}
