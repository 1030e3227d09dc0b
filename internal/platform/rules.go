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
	answerSlack = 500 * eventloop.Millisecond
	goneSlack   = 100 * eventloop.Millisecond
	toldSlack   = 10 * eventloop.Millisecond // the platform allows 150, of which a process that is held up needs most
	heldSlack   = 300 * eventloop.Millisecond
	// So many violations are logged with their ids; the rest are only counted.
	maxLogged = 200
)

func (d *Dispatcher) newGuard(heldFor eventloop.Micros) *guard.Guard {
	logged := 0
	limits := guard.Limits{AnswerSlack: answerSlack, GoneSlack: goneSlack, ToldSlack: toldSlack, HeldFor: heldFor + heldSlack}
	return guard.New(limits, func(v guard.Violation) {
		if logged++; logged <= maxLogged {
			d.config.Log.Error().Stringer("rule", v.Rule).Str("id", v.Request).Str("host", v.Host).Bool("prevented", v.Prevented).Str("what", v.Detail).
				Msg("a rule would be broken")
		}
		if d.OnViolation != nil {
			d.OnViolation(v)
		}
	})
}

// Guard is what the dispatcher is held to its rules by.
func (d *Dispatcher) Guard() *guard.Guard { return d.guard }

var repeats = map[scheduler.Effect]guard.Repeats{scheduler.Idempotent: guard.Always, scheduler.Deduplicated: guard.WithinWindow,
	scheduler.NonIdempotent: guard.Never}

// begin opens the ledger of a request that is taken.
func (d *Dispatcher) begin(client *server.Request, class scheduler.ClassID) *guard.Request {
	if !d.informed() {
		d.guard.Violated(guard.Violation{Rule: guard.EarlyStart, Request: client.ID, Detail: "taken before discovery was heard"})
	}
	if d.lastActive > 0 {
		d.guard.Violated(guard.Violation{Rule: guard.EarlyStart, Request: client.ID, Detail: "passed on after the shutdown"})
	}
	c := d.settings.Scheduler.Classes[class]
	return d.guard.Begin(guard.Terms{ID: client.ID, Repeats: repeats[c.Effect], Window: c.Window, Deadline: client.ReceivedAt + client.Timeout})
}

// guardHost is the host of the attempt that is ordered, as it stands now.
func (d *Dispatcher) guardHost(r *request) guard.Host {
	e := d.hosts[r.host]
	h := guard.Host{Name: e.Name, Wanted: d.wanted(r.host), Effects: !r.prefill}
	switch d.settings.Scheduler.Classes[r.class].Group {
	case scheduler.SameZone:
		h.Group = e.Zone
	case scheduler.SameCell:
		h.Group = strconv.Itoa(int(e.Cell))
	}
	return h
}

// attemptLeaves checks the attempt that is written now.
func (d *Dispatcher) attemptLeaves(r *request, no scheduler.AttemptNo, told eventloop.Micros) {
	if no == r.attempts-1 {
		r.ledger.Leaves(d.loop.Now(), d.guardHost(r), told)
	}
}

// unansweredClose is told of a connection that the server closes over a request that it has read.
func (d *Dispatcher) unansweredClose(id, why string) {
	d.guard.Violated(guard.Violation{Rule: guard.UnansweredClose, Request: id, Detail: why})
}

// logState begins a line on what becomes of a request.
func (d *Dispatcher) logState(r *request, state string) *zerolog.Event {
	return d.config.Log.Debug().Str("id", r.client.ID).Str("state", state).Int64("after", int64(d.loop.Now()-r.client.ReceivedAt))
}
