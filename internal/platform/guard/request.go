package guard

import (
	"fmt"

	"plumspindle/internal/eventloop"
)

// RetryPolicy states whether a request may be run again after an attempt that may have run.
type RetryPolicy uint8

// The retry policies.
const (
	RetryAlways       RetryPolicy = iota // the request is idempotent
	RetryWithinWindow                    // endpoints of one group drop duplicates for the length of the retry window
	RetryNever                           // a second run would repeat the request's effects
)

// Endpoint is the target of an attempt, in its current state as the dispatcher knows it.
type Endpoint struct {
	Name       string
	Group      string // endpoints of one group drop each other's duplicates; "" if the request class has no groups
	Ready      bool   // discovery lists it, and it accepts new requests
	HasEffects bool   // an attempt at the endpoint has the request's effects; a prefill has none
}

// RequestProperties are the properties of a request that the rules depend on.
type RequestProperties struct {
	RequestID   string
	Retry       RetryPolicy
	RetryWindow eventloop.Micros
	Deadline    eventloop.Micros
}

// sentAttempt is an attempt that Send has allowed.
type sentAttempt struct {
	endpoint Endpoint
	sentAt   eventloop.Micros
}

// Request is the guard's record of one request.
type Request struct {
	guard          *Guard
	properties     RequestProperties
	inFlight       *sentAttempt
	mayHaveRun     *sentAttempt // the first attempt that may have had effects; nil if there is none
	answered       bool
	disconnectedAt eventloop.Micros // when the client disconnected; 0 if it has not disconnected
	leasedAt       eventloop.Micros // since when an endpoint may hold a KV state; 0 if no endpoint holds one
}

// Begin returns a new record for a request.
func (g *Guard) Begin(properties RequestProperties) *Request {
	return &Request{guard: g, properties: properties}
}

// Send checks and records an attempt before the caller hands it to the network. If it returns an error, which is
// always a *Violation, the caller must not make the attempt.
func (r *Request) Send(now eventloop.Micros, endpoint Endpoint) error {
	if r.inFlight != nil {
		return r.reportPrevented(ConcurrentAttempts, &endpoint, "the attempt to %s is in flight since %d us",
			r.inFlight.endpoint.Name, now-r.inFlight.sentAt)
	}
	if b := r.checkSend(now, endpoint); b != nil {
		return r.reportPrevented(b.rule, &endpoint, "%s", b.detail)
	}
	r.inFlight = &sentAttempt{endpoint: endpoint, sentAt: now}
	return nil
}

// Written checks an attempt again when it is written to the connection. It also checks the remaining time that the
// attempt states to the endpoint.
func (r *Request) Written(now eventloop.Micros, endpoint Endpoint, remaining eventloop.Micros) {
	if b := r.checkSend(now, endpoint); b != nil {
		r.reportViolation(b.rule, &endpoint, "%s", b.detail)
	}
	if left := r.properties.Deadline - now; remaining > max(left, 0)+r.guard.limits.DeadlineSlack {
		r.reportViolation(DeadlineOverstated, &endpoint, "given %d us, %d us are left", remaining, left)
	}
}

// breach is the rule that an attempt would break, and the detail to report.
type breach struct {
	rule   Rule
	detail string
}

// checkSend returns the rule that an attempt would break if it began now, or nil if it would break none.
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

// checkRetry returns a breach if the attempt could repeat the effects of an earlier one, otherwise nil.
func (r *Request) checkRetry(now eventloop.Micros, endpoint Endpoint) *breach {
	earlier := r.mayHaveRun
	if earlier == nil || !endpoint.HasEffects || r.properties.Retry == RetryAlways {
		return nil
	}
	name, group := earlier.endpoint.Name, earlier.endpoint.Group
	if r.properties.Retry == RetryNever {
		return &breach{RepeatedEffect, fmt.Sprintf("the attempt to %s may have run", name)}
	}
	if elapsed := now - earlier.sentAt; elapsed > r.properties.RetryWindow {
		return &breach{RepeatedEffect, fmt.Sprintf("%d us after the attempt to %s, the window is %d us",
			elapsed, name, r.properties.RetryWindow)}
	}
	if group != endpoint.Group {
		return &breach{RepeatedEffect, fmt.Sprintf("the attempt to %s may have run in group %q, this is %q",
			name, group, endpoint.Group)}
	}
	return nil
}

// AttemptEnded records that the attempt in flight has ended, and whether it may have run.
func (r *Request) AttemptEnded(mayHaveRun bool) {
	if r.inFlight != nil && r.inFlight.endpoint.HasEffects && mayHaveRun && r.mayHaveRun == nil {
		r.mayHaveRun = r.inFlight
	}
	r.inFlight = nil
}

// Answer is the kind of a request's final answer.
type Answer uint8

// The final answers.
const (
	Completed Answer = iota // a complete stream
	Rejected                // a response that says that a retry is safe
	Failed                  // a response that does not say whether anything was run
	Broken                  // a stream that began in time, and ended incomplete
)

// Answered checks and records a final answer when it is given.
func (r *Request) Answered(now eventloop.Micros, answer Answer) {
	idempotent := r.properties.Retry == RetryAlways
	switch {
	case r.answered:
		r.reportViolation(OneAnswer, nil, "a second final answer")
	case answer != Completed && answer != Broken && now > r.properties.Deadline+r.guard.limits.AnswerSlack:
		r.reportViolation(OneAnswer, nil, "answered %d us after its deadline", now-r.properties.Deadline)
	case answer == Rejected && !idempotent && r.mayHaveRun != nil:
		target := &r.mayHaveRun.endpoint
		r.reportViolation(RepeatedEffect, target,
			"rejected as safe to retry, and the attempt to %s may have run", target.Name)
	case answer == Rejected && !idempotent && r.inFlight != nil:
		target := &r.inFlight.endpoint
		r.reportViolation(RepeatedEffect, target,
			"rejected as safe to retry, and the attempt to %s is in flight", target.Name)
	}
	r.answered = true
}

// ClientDisconnected records when the client disconnected. Only the first call has an effect.
func (r *Request) ClientDisconnected(now eventloop.Micros) {
	if r.disconnectedAt == 0 {
		r.disconnectedAt = now
	}
}

// LeaseStarted records that an endpoint may hold a KV state for the request from now on. The caller calls it again only
// if an endpoint's response or a release has proved that the lease starts now.
func (r *Request) LeaseStarted(now eventloop.Micros) { r.leasedAt = now }

// LeaseOverdue reports a violation if the KV state is still held after its lease has expired.
func (r *Request) LeaseOverdue(now eventloop.Micros) {
	if elapsed := now - r.leasedAt; r.leasedAt > 0 && elapsed > r.guard.limits.StateLease {
		r.reportViolation(StateLease, nil, "held for %d us, and not released yet", elapsed)
		r.leasedAt = 0
	}
}

// StateFetched records that an endpoint has fetched the KV state.
func (r *Request) StateFetched() { r.leasedAt = 0 }

// LeaseReleased records the release of the KV state, and checks that it came within the lease.
func (r *Request) LeaseReleased(now eventloop.Micros) {
	if elapsed := now - r.leasedAt; r.leasedAt > 0 && elapsed > r.guard.limits.StateLease {
		r.reportViolation(StateLease, nil, "released after %d us", elapsed)
	}
	r.leasedAt = 0
}

// Closed checks the record when the dispatcher drops the request.
func (r *Request) Closed() {
	if !r.answered && r.disconnectedAt == 0 {
		r.reportViolation(OneAnswer, nil, "no final answer was given")
	}
	if r.inFlight != nil {
		r.reportViolation(ConcurrentAttempts, &r.inFlight.endpoint, "its attempt is still in flight")
	}
}

// reportViolation reports an event that broke a rule.
func (r *Request) reportViolation(rule Rule, endpoint *Endpoint, format string, args ...any) {
	_ = r.report(Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}, endpoint)
}

// reportPrevented reports an event that would have broken a rule and is prevented.
func (r *Request) reportPrevented(rule Rule, endpoint *Endpoint, format string, args ...any) error {
	return r.report(Violation{Rule: rule, Detail: fmt.Sprintf(format, args...), Prevented: true}, endpoint)
}

// report adds the request ID and the endpoint's name to a violation, then counts and reports the violation.
func (r *Request) report(v Violation, endpoint *Endpoint) *Violation {
	v.RequestID = r.properties.RequestID
	if endpoint != nil {
		v.Endpoint = endpoint.Name
	}
	r.guard.ReportViolation(v)
	return &v
}
