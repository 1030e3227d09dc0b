package dispatch

import (
	"fmt"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
)

// overdueGrace is how long after its deadline a request may still be unanswered: the loop's own work, and the grace of
// answers in one piece.
const overdueGrace = 100 * eventloop.Millisecond

// CheckInvariants checks the dispatcher's own state between any two events: each request's fields fit its state, none
// is unanswered past its deadline, and what is counted is what there is.
func (d *Dispatcher) CheckInvariants() error {
	now := d.loop.Now()
	parts, attempts := 0, 0
	for id, r := range d.requests {
		if violation := d.violationOf(r, now); violation != "" {
			return fmt.Errorf("request %d (%s), %v: %s", id, r.clientRequestID, r.State, violation)
		}
		if r.id != id {
			return fmt.Errorf("request %d is stored as %d", r.id, id)
		}
		if r.AttemptInFlight() {
			attempts++
		}
		if r.part != nil && !r.part.queued && r.finalAction == 0 && r.State != lifecycle.Done {
			parts++
		}
	}
	if counted := d.batches.limiter.InFlight(); counted != parts {
		return fmt.Errorf("%d parts are in flight, and %d are counted", parts, counted)
	}
	if open := d.scheduler.InFlight(); open.Attempts != attempts || open.Requests > len(d.requests) {
		return fmt.Errorf("the scheduler has %d requests and %d attempts in flight, the dispatcher %d and %d",
			open.Requests, open.Attempts, len(d.requests), attempts)
	}
	if n := d.frontend.OpenRequests; n < 0 {
		return fmt.Errorf("%d requests are open", n)
	}
	return nil
}

// violationOf describes what is wrong with a request; empty: nothing.
func (d *Dispatcher) violationOf(r *request, now eventloop.Micros) string {
	waiting := r.State == lifecycle.Pending || r.State == lifecycle.Queued
	switch {
	case waiting && len(r.responses) == 0 && r.part == nil:
		return "nobody waits for it"
	case r.State == lifecycle.Prefilling && r.attempt == nil:
		return "prefilling without an attempt"
	case r.State == lifecycle.Streaming && r.attempt == nil:
		return "streaming without an attempt"
	case !r.Answered() && r.ticket == nil:
		return "without a ticket of its tenant"
	case r.State != lifecycle.Streaming && !r.Answered() && now > r.deadline+overdueGrace && r.isOnClock(now):
		return fmt.Sprintf("unanswered %d ms after its deadline", (now-r.deadline)/eventloop.Millisecond)
	case int(r.attempts) > d.schedulerConfig.MaxAttempts:
		return "more attempts than allowed"
	}
	return ""
}

// isOnClock reports whether a request arrived by the present clock: one that was stepped makes what arrived before look
// overdue.
func (r *request) isOnClock(now eventloop.Micros) bool {
	return now-r.arrivedAt < 2*(r.deadline-r.arrivedAt)+eventloop.Second
}
