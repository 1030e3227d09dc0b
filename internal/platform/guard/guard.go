// Package guard checks a dispatcher against its promises while it runs.
//
// It keeps a ledger for each request, independent of the scheduler's own records, and is consulted where each thing is
// done: an attempt is sent or written, a response is given, a connection is closed, a KV state is released, requests
// begin to be accepted. It owns these ledgers and the counts of violations. What would break a rule is counted,
// reported with its ids and, where that is possible, prevented.
//
// It relies on its caller for the time and for calling it in the order of events. It never schedules anything, never
// reads a clock and decides nothing beyond refusing an attempt.
package guard

import (
	"fmt"

	"plumspindle/internal/eventloop"
)

// ViolationMessage is the log message of each violation. Tools that read the logs of dispatchers search for it.
const ViolationMessage = "rule violation"

// Rule is one of the promises that are checked.
type Rule uint8

// The rules.
const (
	OneAnswer          Rule = iota // a request gets exactly one final answer, in time
	RepeatedEffect                 // no effect twice, and no response that says a retry is safe where it may not be
	ConcurrentAttempts             // never two attempts of a request in flight
	EndpointNotReady               // nothing new to an endpoint that drains or is gone
	ClientDisconnected             // no attempt begins after its client has disconnected
	DeadlineOverstated             // an endpoint is not given more time than the client has left
	StateLease                     // a KV state is fetched or released within its lease
	UnansweredClose                // no connection is closed over a request that was read
	NotServing                     // no request is accepted before discovery is ready, or after the shutdown
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

// String is the rule's name in logs.
func (r Rule) String() string { return ruleNames[r] }

// Violation is one event that broke a rule, or would have.
type Violation struct {
	Rule      Rule
	RequestID string // as the client gave it
	Endpoint  string // name; empty where none is concerned
	Detail    string
	Prevented bool
}

// Error implements error.
func (v *Violation) Error() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// Limits are the tolerances that the rules are checked with.
type Limits struct {
	AnswerSlack     eventloop.Micros // for a final answer after its deadline
	DisconnectSlack eventloop.Micros // for an attempt after its client's disconnect
	DeadlineSlack   eventloop.Micros // for the time that an endpoint is given
	StateLease      eventloop.Micros // within which a KV state is fetched or released
}

// Guard counts violations.
type Guard struct {
	limits Limits
	report func(Violation)
	counts [ruleCount]uint64
}

// New makes a guard that reports each violation.
func New(limits Limits, report func(Violation)) *Guard { return &Guard{limits: limits, report: report} }

// Violations is how many there were of all rules.
func (g *Guard) Violations() (total uint64) {
	for _, n := range g.counts {
		total += n
	}
	return total
}

// Violated counts and reports a violation.
func (g *Guard) Violated(v Violation) {
	g.counts[v.Rule]++
	g.report(v)
}
