package dispatch

import (
	"fmt"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
)

// overdueGrace is how long after its deadline a request may still be unanswered. It allows for delays of the event
// loop.
const overdueGrace = 100 * eventloop.Millisecond

// CheckInvariants checks the dispatcher's own state; it may be called between any two events. Each request's fields
// must fit its state, no request may be unanswered past its deadline, and the counters must agree with the requests.
func (d *Dispatcher) CheckInvariants() error {
	now := d.loop.Now()
	parts, attempts := 0, 0
	for id, r := range d.requests {
		if violation := d.invariantViolation(r, now); violation != "" {
			return fmt.Errorf("request %d (%s), %v: %s", id, r.clientRequestID, r.State, violation)
		}
		if r.id != id {
			return fmt.Errorf("request %d is stored under the id %d", r.id, id)
		}
		if r.AttemptInFlight() {
			attempts++
		}
		if r.part != nil && !r.part.queued && r.finalAction == 0 && r.State != lifecycle.Done {
			parts++
		}
	}
	if counted := d.batches.limiter.InFlight(); counted != parts {
		return fmt.Errorf("%d parts are in flight, but the limiter counts %d", parts, counted)
	}
	if open := d.scheduler.InFlight(); open.Attempts != attempts || open.Requests > len(d.requests) {
		return fmt.Errorf("the scheduler has %d requests and %d attempts in flight, the dispatcher %d and %d",
			open.Requests, open.Attempts, len(d.requests), attempts)
	}
	if n := d.frontend.OpenRequests; n < 0 {
		return fmt.Errorf("the frontend counts %d open requests", n)
	}
	return nil
}

// invariantViolation describes the invariant that a request violates; empty: none.
func (d *Dispatcher) invariantViolation(r *request, now eventloop.Micros) string {
	waiting := r.State == lifecycle.Pending || r.State == lifecycle.Queued
	switch {
	case waiting && len(r.responses) == 0 && r.part == nil:
		return "no client waits for it"
	case r.State == lifecycle.Prefilling && r.attempt == nil:
		return "it is prefilling without an attempt"
	case r.State == lifecycle.Streaming && r.attempt == nil:
		return "it is streaming without an attempt"
	case !r.Answered() && r.ticket == nil:
		return "it has no admission ticket"
	case r.State != lifecycle.Streaming && !r.Answered() && now > r.deadline+overdueGrace && r.arrivedOnCurrentClock(now):
		return fmt.Sprintf("it is unanswered %d ms after its deadline", (now-r.deadline)/eventloop.Millisecond)
	case int(r.attempts) > d.schedulerConfig.MaxAttempts:
		return "it has more attempts than allowed"
	}
	return ""
}

// arrivedOnCurrentClock reports whether a request's arrival time is plausible by the current clock. A clock that was
// stepped forward makes requests that arrived before the step look overdue.
func (r *request) arrivedOnCurrentClock(now eventloop.Micros) bool {
	return now-r.arrivedAt < 2*(r.deadline-r.arrivedAt)+eventloop.Second
}
