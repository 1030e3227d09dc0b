// Package guard checks at run time that a dispatcher obeys its rules for requests, attempts and connections.
//
// It keeps a record of each request, independent of the scheduler's own records. The dispatcher calls it at each event
// that a rule concerns: a request is accepted, an attempt is sent, is written or ends, the lease of a KV state starts
// or ends, a final answer is given, a client disconnects, or a connection is closed without a response. The package
// owns these records and the counts of violations. It counts and reports each event that breaks a rule, and prevents
// the event where possible. The report contains the request's ID if the ID is known.
//
// The caller passes the time and calls the package in the order of events. The package never schedules anything, never
// reads a clock, and decides nothing but whether an attempt may be sent.
package guard

import (
	"fmt"

	"plumspindle/internal/eventloop"
)

// ViolationMessage is the message that each violation is logged with. Tools that read the logs search for it.
const ViolationMessage = "rule violation"

// Rule identifies a rule that the guard checks.
type Rule uint8

// The rules.
const (
	OneAnswer          Rule = iota // a request gets one final answer, in time unless streamed, and no later attempt
	RepeatedEffect                 // a request takes effect at most once, and is rejected only if a retry is safe
	ConcurrentAttempts             // a request has at most one attempt in flight
	EndpointNotReady               // no attempt is sent to an endpoint that drains or is no longer listed
	ClientDisconnected             // no attempt begins after the client has disconnected
	DeadlineOverstated             // an endpoint is told no more time than the client's deadline leaves
	StateLease                     // a KV state is fetched or released within its lease
	UnansweredClose                // no connection is closed while a request that was read from it has no response
	NotServing                     // no request is accepted before discovery is ready or after the shutdown
	ruleCount
)

var ruleNames = [ruleCount]string{
	OneAnswer:          "one answer",
	RepeatedEffect:     "repeated effect",
	ConcurrentAttempts: "concurrent attempts",
	EndpointNotReady:   "endpoint not ready",
	ClientDisconnected: "client disconnected",
	DeadlineOverstated: "deadline overstated",
	StateLease:         "state lease",
	UnansweredClose:    "unanswered close",
	NotServing:         "not serving",
}

// String returns the rule's name in logs.
func (r Rule) String() string { return ruleNames[r] }

// Violation is an event that broke a rule, or would have broken one if the guard had not prevented the event.
type Violation struct {
	Rule      Rule
	RequestID string // as the client sent it
	Endpoint  string // name of the endpoint; empty if the violation concerns none
	Detail    string
	Prevented bool // the event did not happen
}

// Error returns the rule and the detail.
func (v *Violation) Error() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// Limits are the tolerances of the rules.
type Limits struct {
	AnswerSlack     eventloop.Micros // how long after the deadline a final answer may be given
	DisconnectSlack eventloop.Micros // how long after the client's disconnect an attempt may begin
	DeadlineSlack   eventloop.Micros // how much more than the remaining time an endpoint may be told
	StateLease      eventloop.Micros // how long a KV state may be held until it is fetched or released
}

// Guard checks the rules, and counts and reports violations.
type Guard struct {
	limits Limits
	report func(Violation)
	counts [ruleCount]uint64
}

// New returns a guard that calls report for each violation.
func New(limits Limits, report func(Violation)) *Guard { return &Guard{limits: limits, report: report} }

// Violations returns the number of violations of all rules.
func (g *Guard) Violations() (total uint64) {
	for _, n := range g.counts {
		total += n
	}
	return total
}

// ReportViolation counts and reports a violation.
func (g *Guard) ReportViolation(v Violation) {
	g.counts[v.Rule]++
	g.report(v)
}
