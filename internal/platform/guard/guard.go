// Package guard holds a dispatcher to its rules while it runs. It keeps a ledger of its own for each request, apart from the scheduler's, and
// is asked in the one place where each thing is done: an attempt is sent or repeated, an answer is given, a connection is closed, what is
// held is released, requests begin to be taken. What would break a rule is counted, reported with its ids and, where that is possible, not
// done. It decides nothing else, and has no clock.
package guard

import (
	"fmt"

	"plumspindle/internal/eventloop"
)

// Rule is one of the promises that are checked.
type Rule uint8

const (
	OneAnswer          Rule = iota // a request gets exactly one final answer, in time
	RepeatedEffect                 // no effect twice, and no promise that a repeat is harmless where it may not be
	ConcurrentAttempts             // never two attempts of a request out
	EndpointNotReady               // nothing new to a host that drains or is gone
	ClientDisconnected             // no attempt begins after its client has closed
	DeadlineOverstated             // a host is not told more time than the client has left
	StateLease                     // what a host holds is used or released in time
	UnansweredClose                // no connection is closed over a request that was read
	NotServing                     // no request is taken before discovery was heard, or passed on after the shutdown
	ruleCount
)

var ruleNames = [ruleCount]string{"one answer", "repeated effect", "two attempts", "unwanted send", "client gone", "time told", "held state", "unanswered close", "early start"}

func (r Rule) String() string { return ruleNames[r] }

// Violation is one thing that broke a rule, or would have.
type Violation struct {
	Rule      Rule
	RequestID string // the client's id for it
	Endpoint  string
	Detail    string
	Prevented bool
}

func (v Violation) Error() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// Limits are the terms that the rules are checked by.
type Limits struct {
	AnswerSlack     eventloop.Micros // for a final answer after its deadline
	DisconnectSlack eventloop.Micros // for an attempt after its client's close
	DeadlineSlack   eventloop.Micros // for the time that a host is told
	StateLease      eventloop.Micros // what is held is used or released by then
}

// Guard counts what breaks rules.
type Guard struct {
	limits Limits
	report func(Violation)
	counts [ruleCount]uint64
}

// New makes a guard that reports each violation.
func New(limits Limits, report func(Violation)) *Guard { return &Guard{limits: limits, report: report} }

// Violations is how many there were, of all rules.
func (g *Guard) Violations() (all uint64) {
	for _, n := range g.counts {
		all += n
	}
	return all
}

// Count is how many there were of one rule.
func (g *Guard) Count(rule Rule) uint64 { return g.counts[rule] }

// Violated counts and reports one.
func (g *Guard) Violated(v Violation) {
	g.counts[v.Rule]++
	g.report(v)
}
