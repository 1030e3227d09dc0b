package dispatch

import (
	"fmt"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
	"plumspindle/scheduler"
)

// Mutation is where a fault can be planted on purpose, to see that it is found out. There is none in service.
type Mutation struct {
	Executor       func(scheduler.Executor) scheduler.Executor
	Config         func(*scheduler.Config)
	EndpointUpdate func([]endpoints.Entry) []endpoints.Entry
}

// overdue is how long after its time a generation may still be waiting: the loop's own work, and whole answers' grace.
const overdue = 100 * eventloop.Millisecond

// Check tells whether the dispatcher's own state is what it should be, between any two things that happen: each generation's
// fields fit where it stands, none has outlived its client's time unanswered, and what is counted is what there is.
func (x *Dispatcher) Check() error {
	now := x.loop.Now()
	parts, legs := 0, 0
	for id, g := range x.gens {
		fault := ""
		switch {
		case g.id != id:
			fault = "kept under another's id"
		case (g.State == lifecycle.Pending || g.State == lifecycle.Queued) && len(g.replies) == 0 && g.part == nil:
			fault = "nobody waits for it"
		case g.State == lifecycle.Prefilling && g.leg == nil:
			fault = "read without a leg"
		case g.State == lifecycle.Streaming && g.leg == nil:
			fault = "streamed without a leg"
		case !g.Answered() && g.ticket == nil:
			fault = "without a ticket of its tenant"
		case g.State != lifecycle.Streaming && !g.Answered() && now > g.deadline+overdue && g.beginsBy(now):
			fault = fmt.Sprintf("unanswered %d ms after its client's time", (now-g.deadline)/eventloop.Millisecond)
		case int(g.legs) > x.place.MaxAttempts:
			fault = "more legs than there may be"
		}
		if fault != "" {
			return fmt.Errorf("generation %d (%s), %v: %s", id, g.clientID, g.State, fault)
		}
		if g.AttemptInFlight() {
			legs++
		}
		if g.part != nil && !g.part.queued && g.final == 0 && g.State != lifecycle.Done {
			parts++
		}
	}
	if out := x.batches.limiter.InFlight(); out != parts {
		return fmt.Errorf("%d parts are out, and %d are counted", parts, out)
	}
	if open := x.module.InFlight(); open.Attempts != legs || open.Requests > len(x.gens) {
		return fmt.Errorf("the module has %d generations and %d legs out, the dispatcher %d and %d", open.Requests, open.Attempts, len(x.gens), legs)
	}
	if n := x.front.OpenRequests; n < 0 {
		return fmt.Errorf("%d requests are open", n)
	}
	return nil
}

// beginsBy: a clock that was set on makes what came before look late; only what was taken in this clock's time is judged.
func (g *gen) beginsBy(now eventloop.Micros) bool {
	return now-g.taken < 2*(g.deadline-g.taken)+eventloop.Second
}
