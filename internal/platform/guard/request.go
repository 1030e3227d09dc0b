package guard

import (
	"fmt"

	"plumspindle/internal/eventloop"
)

// RetryPolicy is whether a request of a class may be run again.
type RetryPolicy uint8

// The retry policies.
const (
	RetryAlways       RetryPolicy = iota // the class is idempotent
	RetryWithinWindow                    // endpoints of one group drop duplicates for a while
	RetryNever
)

// Endpoint is the target of an attempt as the dispatcher knows it at the moment.
type Endpoint struct {
	Name       string
	Group      string // endpoints of one group drop each other's duplicates; "" where a class has no groups
	Ready      bool   // it is listed, and accepts new requests
	HasEffects bool   // an attempt there has the effects of the request; a prefill has none
}

// Terms are what a request is bound by.
type Terms struct {
	RequestID   string
	Retry       RetryPolicy
	RetryWindow eventloop.Micros
	Deadline    eventloop.Micros
}

// sentAttempt is an attempt in the ledger.
type sentAttempt struct {
	endpoint Endpoint
	sentAt   eventloop.Micros
}

// Request is the ledger of one request.
type Request struct {
	guard          *Guard
	terms          Terms
	inFlight       *sentAttempt
	mayHaveRun     *sentAttempt // the first attempt that may have had effects
	answered       bool
	disconnectedAt eventloop.Micros // when its client disconnected; 0: it has not
	leasedAt       eventloop.Micros // since when an endpoint may hold a KV state for it; 0: none does
}

// Begin opens a request's ledger.
func (g *Guard) Begin(terms Terms) *Request { return &Request{guard: g, terms: terms} }

// Send is called before an attempt is handed to the network; where it returns an error, always a *Violation, the
// attempt must not be made.
func (r *Request) Send(now eventloop.Micros, endpoint Endpoint) error {
	if r.inFlight != nil {
		return r.prevented(ConcurrentAttempts, &endpoint, "the attempt to %s is in flight since %d us",
			r.inFlight.endpoint.Name, now-r.inFlight.sentAt)
	}
	if b := r.checkSend(now, endpoint); b != nil {
		return r.prevented(b.rule, &endpoint, "%s", b.detail)
	}
	r.inFlight = &sentAttempt{endpoint: endpoint, sentAt: now}
	return nil
}

// Written checks an attempt again at the moment in which it is written, and the time that it gives its endpoint.
func (r *Request) Written(now eventloop.Micros, endpoint Endpoint, given eventloop.Micros) {
	if b := r.checkSend(now, endpoint); b != nil {
		r.violated(b.rule, &endpoint, "%s", b.detail)
	}
	if left := r.terms.Deadline - now; given > max(left, 0)+r.guard.limits.DeadlineSlack {
		r.violated(DeadlineOverstated, &endpoint, "given %d us, %d us are left", given, left)
	}
}

// breach is a rule that an attempt would break, and how.
type breach struct {
	rule   Rule
	detail string
}

// checkSend is the rule that an attempt begun now would break, or nil.
func (r *Request) checkSend(now eventloop.Micros, endpoint Endpoint) *breach {
	switch {
	case r.answered:
		return &breach{OneAnswer, "an attempt after the final answer"}
	case r.disconnectedAt > 0 && now-r.disconnectedAt > r.guard.limits.DisconnectSlack:
		return &breach{ClientDisconnected,
			fmt.Sprintf("an attempt %d us after its client disconnected", now-r.disconnectedAt)}
	case !endpoint.Ready:
		return &breach{EndpointNotReady, "the endpoint drains or is gone"}
	}
	return r.checkRetry(now, endpoint)
}

// checkRetry is the breach of an attempt that repeats one that may have had effects, or nil.
func (r *Request) checkRetry(now eventloop.Micros, endpoint Endpoint) *breach {
	earlier := r.mayHaveRun
	if earlier == nil || !endpoint.HasEffects || r.terms.Retry == RetryAlways {
		return nil
	}
	name, group := earlier.endpoint.Name, earlier.endpoint.Group
	if r.terms.Retry == RetryNever {
		return &breach{RepeatedEffect, fmt.Sprintf("the attempt to %s may have run", name)}
	}
	if elapsed := now - earlier.sentAt; elapsed > r.terms.RetryWindow {
		return &breach{RepeatedEffect, fmt.Sprintf("%d us after the attempt to %s, the window is %d us",
			elapsed, name, r.terms.RetryWindow)}
	}
	if group != endpoint.Group {
		return &breach{RepeatedEffect, fmt.Sprintf("the attempt to %s may have run in group %q, this is %q",
			name, group, endpoint.Group)}
	}
	return nil
}

// AttemptEnded notes that the attempt in flight is over, and whether it may have run.
func (r *Request) AttemptEnded(mayHaveRun bool) {
	if r.inFlight != nil && r.inFlight.endpoint.HasEffects && mayHaveRun && r.mayHaveRun == nil {
		r.mayHaveRun = r.inFlight
	}
	r.inFlight = nil
}

// Answer is a final answer.
type Answer uint8

// The final answers.
const (
	Completed Answer = iota // a complete stream
	Rejected                // with the promise that a retry is safe
	Failed
	Broken // a stream that had begun in time
)

// Answered checks a final answer as it is given.
func (r *Request) Answered(now eventloop.Micros, answer Answer) {
	idempotent := r.terms.Retry == RetryAlways
	switch {
	case r.answered:
		r.violated(OneAnswer, nil, "a second final answer")
	case answer != Completed && answer != Broken && now > r.terms.Deadline+r.guard.limits.AnswerSlack:
		r.violated(OneAnswer, nil, "answered %d us after its deadline", now-r.terms.Deadline)
	case answer == Rejected && !idempotent && r.mayHaveRun != nil:
		target := &r.mayHaveRun.endpoint
		r.violated(RepeatedEffect, target, "rejected as safe to retry, and the attempt to %s may have run", target.Name)
	case answer == Rejected && !idempotent && r.inFlight != nil:
		target := &r.inFlight.endpoint
		r.violated(RepeatedEffect, target, "rejected as safe to retry, and the attempt to %s is in flight", target.Name)
	}
	r.answered = true
}

// ClientDisconnected notes when the client disconnected; only the first call counts.
func (r *Request) ClientDisconnected(now eventloop.Micros) {
	if r.disconnectedAt == 0 {
		r.disconnectedAt = now
	}
}

// LeaseStarted notes that an endpoint may hold a KV state for the request from now on, for all that is known: a caller
// calls it again only for what an endpoint's response, or a release, has proved.
func (r *Request) LeaseStarted(now eventloop.Micros) { r.leasedAt = now }

// LeaseOverdue reports a state that is still held although its lease is over.
func (r *Request) LeaseOverdue(now eventloop.Micros) {
	if elapsed := now - r.leasedAt; r.leasedAt > 0 && elapsed > r.guard.limits.StateLease {
		r.violated(StateLease, nil, "held for %d us, and not released yet", elapsed)
		r.leasedAt = 0
	}
}

// LeaseTaken notes that the state has been fetched.
func (r *Request) LeaseTaken() { r.leasedAt = 0 }

// LeaseReleased checks that the state was released within its lease.
func (r *Request) LeaseReleased(now eventloop.Micros) {
	if elapsed := now - r.leasedAt; r.leasedAt > 0 && elapsed > r.guard.limits.StateLease {
		r.violated(StateLease, nil, "released after %d us", elapsed)
	}
	r.leasedAt = 0
}

// Closed checks the ledger when the dispatcher forgets the request.
func (r *Request) Closed() {
	if !r.answered && r.disconnectedAt == 0 {
		r.violated(OneAnswer, nil, "no final answer was given")
	}
	if r.inFlight != nil {
		r.violated(ConcurrentAttempts, &r.inFlight.endpoint, "its attempt is still in flight")
	}
}

// violated reports what has broken a rule.
func (r *Request) violated(rule Rule, endpoint *Endpoint, format string, args ...any) {
	_ = r.report(Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}, endpoint)
}

// prevented reports what would have broken a rule and is not done.
func (r *Request) prevented(rule Rule, endpoint *Endpoint, format string, args ...any) error {
	return r.report(Violation{Rule: rule, Detail: fmt.Sprintf(format, args...), Prevented: true}, endpoint)
}

func (r *Request) report(v Violation, endpoint *Endpoint) *Violation {
	v.RequestID = r.terms.RequestID
	if endpoint != nil {
		v.Endpoint = endpoint.Name
	}
	r.guard.Violated(v)
	return &v
}
