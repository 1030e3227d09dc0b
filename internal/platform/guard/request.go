package guard

import (
	"fmt"

	"plumspindle/internal/eventloop"
)

// RetryPolicy is what a request's class lets be done again.
type RetryPolicy uint8

const (
	RetryAlways       RetryPolicy = iota // the class is idempotent
	RetryWithinWindow                    // its hosts drop repeats in their group for a while
	RetryNever
)

// Endpoint is a model host as an attempt meets it.
type Endpoint struct {
	Name       string
	Group      string // hosts of one group drop each other's repeats; "" where a class has no groups
	Ready      bool   // it is listed, and wants new requests
	HasEffects bool   // an attempt there has the effects of the request; one that only reads the prompt has none
}

// Terms are what a request is bound by.
type Terms struct {
	RequestID   string
	Retry       RetryPolicy
	RetryWindow eventloop.Micros
	Deadline    eventloop.Micros
}

// Request is the ledger of one request.
type Request struct {
	guard          *Guard
	terms          Terms
	inFlight       *Endpoint // of the attempt that is out
	sentAt         eventloop.Micros
	mayHaveRun     *Endpoint // of the first attempt that may have had effects
	mayHaveRunAt   eventloop.Micros
	answered       bool
	disconnectedAt eventloop.Micros // when its client closed; 0: it has not
	leasedAt       eventloop.Micros // since when something may be held, or waits on; 0: nothing is
}

// Begin opens a request's ledger.
func (g *Guard) Begin(terms Terms) *Request { return &Request{guard: g, terms: terms} }

func (r *Request) violated(rule Rule, host *Endpoint, prevented bool, format string, args ...any) *Violation {
	v := Violation{Rule: rule, RequestID: r.terms.RequestID, Detail: fmt.Sprintf(format, args...), Prevented: prevented}
	if host != nil {
		v.Endpoint = host.Name
	}
	r.guard.Violated(v)
	return &v
}

// Send is asked before an attempt is handed to the network; one that it objects to must not be made.
func (r *Request) Send(now eventloop.Micros, host Endpoint) *Violation {
	if r.inFlight != nil {
		return r.violated(ConcurrentAttempts, &host, true, "the attempt to %s is out since %d us", r.inFlight.Name, now-r.sentAt)
	}
	if v := r.checkSend(now, host, true); v != nil {
		return v
	}
	r.inFlight, r.sentAt = &host, now
	return nil
}

// Written checks an attempt again in the moment in which it is written, and what it tells its host of the time.
func (r *Request) Written(now eventloop.Micros, host Endpoint, told eventloop.Micros) {
	r.checkSend(now, host, false)
	if left := r.terms.Deadline - now; told > max(left, 0)+r.guard.limits.DeadlineSlack {
		r.violated(DeadlineOverstated, &host, false, "told %d us, %d us are left", told, left)
	}
}

func (r *Request) checkSend(now eventloop.Micros, host Endpoint, prevents bool) *Violation {
	switch {
	case r.answered:
		return r.violated(OneAnswer, &host, prevents, "an attempt after the final answer")
	case r.disconnectedAt > 0 && now-r.disconnectedAt > r.guard.limits.DisconnectSlack:
		return r.violated(ClientDisconnected, &host, prevents, "an attempt %d us after its client closed", now-r.disconnectedAt)
	case !host.Ready:
		return r.violated(EndpointNotReady, &host, prevents, "the host drains or is gone")
	case r.mayHaveRun == nil || !host.HasEffects || r.terms.Retry == RetryAlways:
		return nil
	case r.terms.Retry == RetryNever:
		return r.violated(RepeatedEffect, &host, prevents, "the attempt to %s may have run", r.mayHaveRun.Name)
	case now-r.mayHaveRunAt > r.terms.RetryWindow:
		return r.violated(RepeatedEffect, &host, prevents, "%d us after the attempt to %s, the window is %d us", now-r.mayHaveRunAt, r.mayHaveRun.Name, r.terms.RetryWindow)
	case r.mayHaveRun.Group != host.Group:
		return r.violated(RepeatedEffect, &host, prevents, "the attempt to %s may have run in group %q, this is %q", r.mayHaveRun.Name, r.mayHaveRun.Group, host.Group)
	}
	return nil
}

// AttemptEnded notes that the attempt that was out is over, and whether it may have run.
func (r *Request) AttemptEnded(mayHaveRun bool) {
	if r.inFlight != nil && r.inFlight.HasEffects && mayHaveRun && r.mayHaveRun == nil {
		r.mayHaveRun, r.mayHaveRunAt = r.inFlight, r.sentAt
	}
	r.inFlight = nil
}

// Answer is a final answer.
type Answer uint8

const (
	Completed Answer = iota // a stream, whole
	Rejected                // with the promise that a repeat is harmless
	Failed
	Broken // a stream that had begun in time
)

// Answered checks a final answer as it is given.
func (r *Request) Answered(now eventloop.Micros, answer Answer) {
	switch {
	case r.answered:
		r.violated(OneAnswer, nil, false, "a second final answer")
	case answer != Completed && answer != Broken && now > r.terms.Deadline+r.guard.limits.AnswerSlack:
		r.violated(OneAnswer, nil, false, "answered %d us after its deadline", now-r.terms.Deadline)
	case answer == Rejected && r.terms.Retry != RetryAlways && r.mayHaveRun != nil:
		r.violated(RepeatedEffect, r.mayHaveRun, false, "rejected as safe to repeat, and the attempt to %s may have run", r.mayHaveRun.Name)
	case answer == Rejected && r.terms.Retry != RetryAlways && r.inFlight != nil:
		r.violated(RepeatedEffect, r.inFlight, false, "rejected as safe to repeat, and the attempt to %s is out", r.inFlight.Name)
	}
	r.answered = true
}

// ClientDisconnected notes that nobody waits for the answer any more.
func (r *Request) ClientDisconnected(now eventloop.Micros) {
	if r.disconnectedAt == 0 {
		r.disconnectedAt = now
	}
}

// LeaseStarted notes that a host may hold something for the request, from now on.
func (r *Request) LeaseStarted(now eventloop.Micros) { r.leasedAt = now }

// LeaseTaken notes that what was held has been taken.
func (r *Request) LeaseTaken() { r.leasedAt = 0 }

// LeaseReleased checks that what was held was let go of in time, or taken.
func (r *Request) LeaseReleased(now eventloop.Micros) {
	if held := now - r.leasedAt; r.leasedAt > 0 && held > r.guard.limits.StateLease {
		r.violated(StateLease, nil, false, "released after %d us", held)
	}
	r.leasedAt = 0
}

// Closed is told when nothing is kept of the request any more.
func (r *Request) Closed() {
	if !r.answered && r.disconnectedAt == 0 {
		r.violated(OneAnswer, nil, false, "no final answer was given")
	}
	if r.inFlight != nil {
		r.violated(ConcurrentAttempts, r.inFlight, false, "its attempt is still out")
	}
}
