// Package audit checks the record of a scenario, which holds what clients and stand-in endpoints saw on their sockets,
// against five rules.
//
// It owns the rules and the exemptions from them: a dispatcher that was killed, frozen or partitioned is only held to
// what it was able to do. It uses only the record and the deployment's rules. It never queries a dispatcher, and shares
// no code with one.
package audit

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/testbed/record"
)

// Violation is one case in which a rule was broken.
type Violation struct {
	Line    int    // of the event in the record, from 1
	Request string // the client's request id; empty if no single request is concerned
	Text    string
}

// RuleResult is the result of checking one rule.
type RuleResult struct {
	Name       string
	Checked    int // cases that were checked
	Violations []Violation
}

// Row sums up the requests of one product, of one tenant or of all, by their outcomes.
type Row struct {
	Name          string
	Requests      int // all requests
	Completed     int
	InSLO         int
	Rejected      int
	Failed        int
	OtherOutcomes int                     // any other outcome
	Attempts      int                     // at endpoints
	FirstToken    *hdrhistogram.Histogram // time to first token, µs
}

// Verdict is the result of auditing a scenario.
type Verdict struct {
	Rules            [5]RuleResult
	Rows             []*Row
	PeakSlowStartUse float64 // the largest share of its slow-start budget that any endpoint used
	// RevenueShare is the share of the possible revenue that was earned: an answer within its SLO earns its full revenue,
	// and a late answer earns the product's late share of that revenue.
	RevenueShare float64
	Evidence     string // the events of requests in violation, as text; empty if no rule was broken
}

// Rules, by their index in a verdict.
const (
	ruleFinalAnswer = iota
	ruleRepeatedEffect
	ruleDrains
	ruleSlowStart
	rulePinnedState
)

// ruleNames are the names of the rules in the printed verdict.
var ruleNames = [5]string{"one final answer", "no repeated effect", "drains respected",
	"no overload during slow start", "no state left pinned"}

// Passed reports whether no rule was broken.
func (v *Verdict) Passed() bool {
	for _, rule := range v.Rules {
		if len(rule.Violations) > 0 {
			return false
		}
	}
	return true
}

// Units of time; a record's times are in µs.
const (
	millisecond = 1000
	second      = 1000 * millisecond
)

const (
	// socketSlack is the tolerance between the times that one process records for events on two sockets.
	socketSlack = 50 * millisecond
	// virtualSlack replaces socketSlack in virtual time. The network's latency over virtualHops hops is added to it.
	virtualSlack = 2 * millisecond
	virtualHops  = 4
)

// attempt is a dispatcher's attempt of a request at an endpoint.
type attempt struct {
	line       int
	event      record.Event // its arrival
	acceptedAt int64        // when the endpoint's process accepted the attempt, or the constant never
	end        int64        // 0: the attempt is in flight
}

// never is later than any time in a record.
const never = math.MaxInt64

// checker checks one record. Its times are in µs.
type checker struct {
	deployment deployment.Deployment
	verdict    *Verdict
	products   map[string]*pb.Product
	// slack is socketSlack, or less in virtual time. All events in virtual time share one clock, so their times differ
	// only by the network's latency.
	slack             int64
	unavailable       map[string][]unavailability // by dispatcher
	delays            map[string][]unavailability // by event loop of the test bed
	killTimes         map[string][]int64          // by the dispatcher's name, with and without its incarnation
	refusedAt         map[string]int64            // when an endpoint reported that it had not run an attempt, by attempt
	clientAttempts    map[clientAttemptKey]*clientAttempt
	clientAttemptKeys []clientAttemptKey
	attempts          map[string][]*attempt // by the dispatcher's request id
	attemptsByID      map[string]*attempt
	runLines          map[string][]int // lines of the AttemptRan events, by the client's request id
}

// Judge checks a record against all rules and sums up the service that clients got.
func Judge(dep deployment.Deployment, events []record.Event) *Verdict {
	c := &checker{
		deployment:     dep,
		verdict:        &Verdict{},
		products:       map[string]*pb.Product{},
		slack:          socketSlack,
		unavailable:    map[string][]unavailability{},
		delays:         map[string][]unavailability{},
		killTimes:      map[string][]int64{},
		refusedAt:      map[string]int64{},
		clientAttempts: map[clientAttemptKey]*clientAttempt{},
		attempts:       map[string][]*attempt{},
		attemptsByID:   map[string]*attempt{},
		runLines:       map[string][]int{},
	}
	for i, name := range ruleNames {
		c.verdict.Rules[i].Name = name
	}
	for _, product := range dep.Products {
		c.products[product.Name] = product
	}
	c.gather(events)
	c.checkFinalAnswers(events)
	c.checkSecondRuns(events)
	c.checkDrains(events)
	c.checkSlowStart(events)
	c.checkPinnedState(events)
	c.summariseService(events)
	c.gatherEvidence(events)
	return c.verdict
}

// countChecked counts a case in which a rule was checked.
func (c *checker) countChecked(rule int) { c.verdict.Rules[rule].Checked++ }

// addViolation adds a violation of a rule to the verdict.
func (c *checker) addViolation(rule, line int, request, format string, args ...any) {
	r := &c.verdict.Rules[rule]
	r.Violations = append(r.Violations, Violation{Line: line, Request: request, Text: fmt.Sprintf(format, args...)})
}

// requestOf returns the dispatcher's request id, which is an attempt's id without its last part.
func requestOf(attemptID string) string {
	if at := strings.LastIndexByte(attemptID, '-'); at >= 0 {
		return attemptID[:at]
	}
	return attemptID
}

// refusals are the error codes with which an endpoint reports that it has not run an attempt.
var refusals = []string{"full", "draining", "state_lost", "invalid_input"}

// gather collects the attempts and when they ended, ran or were refused, the times at which dispatchers were
// unavailable or killed, and the delays of the test bed.
func (c *checker) gather(events []record.Event) {
	inFlight := map[uint32][]*attempt{} // by endpoint
	for i, event := range events {
		switch event.Type {
		case record.NetworkLatency:
			c.slack = virtualHops*event.Count + virtualSlack
		case record.DispatcherUnavailable:
			c.unavailable[event.Dispatcher] = append(c.unavailable[event.Dispatcher], unavailability{
				from: event.At, to: event.At + event.Count, partitioned: event.Detail == record.Partitioned})
		case record.TestBedDelayed:
			c.delays[event.Detail] = append(c.delays[event.Detail], unavailability{from: event.At - event.Count, to: event.At})
		case record.DispatcherKilled:
			c.gatherKill(event)
		case record.AttemptRefused:
			if _, known := c.refusedAt[event.Attempt]; !known && slices.Contains(refusals, event.Detail) {
				c.refusedAt[event.Attempt] = event.At
			}
		case record.AttemptArrived:
			if a := c.gatherAttempt(i+1, event); a != nil {
				inFlight[event.Endpoint] = append(inFlight[event.Endpoint], a)
			}
		case record.AttemptDeferred:
			c.attemptsByID[event.Attempt].acceptedAt = never
		case record.DeferredAttemptAccepted:
			c.attemptsByID[event.Attempt].acceptedAt = event.At
		case record.ConnectionLost, record.AttemptAnswered, record.AttemptFinished:
			c.attemptsByID[event.Attempt].finish(event.At)
		case record.EndpointDown:
			for _, a := range inFlight[event.Endpoint] {
				a.finish(event.At)
			}
			delete(inFlight, event.Endpoint)
		case record.AttemptRan:
			c.runLines[event.Request] = append(c.runLines[event.Request], i+1)
		}
	}
}

// gatherAttempt adds an attempt; it returns nil if one with the same id was sent before.
func (c *checker) gatherAttempt(line int, event record.Event) *attempt {
	if before := c.attemptsByID[event.Attempt]; before != nil {
		c.addViolation(ruleRepeatedEffect, line, event.Request, "attempt %s was sent twice (first on line %d)",
			event.Attempt, before.line)
		return nil
	}
	a := &attempt{line: line, event: event, acceptedAt: event.At}
	request := requestOf(event.Attempt)
	c.attemptsByID[event.Attempt] = a
	c.attempts[request] = append(c.attempts[request], a)
	return a
}

// finish sets the time at which an attempt ended, unless it has ended already.
func (a *attempt) finish(at int64) {
	if a != nil && a.end == 0 {
		a.end = at
	}
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
