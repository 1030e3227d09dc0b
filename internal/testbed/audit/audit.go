// Package audit judges a scenario by the record of what clients and stand-in endpoints saw on their sockets.
//
// It owns the five rules and the excuses from them: a dispatcher that was killed, frozen or cut off is judged by what
// it could do. It relies on the record and on the deployment's rules, and on nothing of the dispatcher: it never asks
// one, and shares no code with it.
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

// Violation is one violation of a rule.
type Violation struct {
	Line    int    // of the record, from 1
	Request string // the client's id; empty where it is no single request's
	Text    string
}

// Rule is the verdict on one rule.
type Rule struct {
	Name       string
	Checked    int
	Violations []Violation
}

// Row is the service of one product, of one tenant or of all.
type Row struct {
	Name       string
	Asked      int
	Completed  int
	InSLO      int
	Rejected   int
	Failed     int
	Lost       int
	Attempts   int                     // at endpoints
	FirstToken *hdrhistogram.Histogram // µs
}

// Verdict is all that is said of a scenario.
type Verdict struct {
	Rules            [5]Rule
	Rows             []*Row
	PeakSlowStartUse float64 // the largest share of its budget that an endpoint used during slow start
	Service          float64 // revenue in the SLO time, and late by its share, over revenue asked for
	Evidence         string  // the events of requests by which rules were broken; empty: none was
}

// Rules, by their index in a verdict.
const (
	ruleFinalAnswer = iota
	ruleNoSecondRun
	ruleDrains
	ruleSlowStart
	rulePinnedState
)

// ruleNames are part of what is printed.
var ruleNames = [5]string{"one final answer", "no effect twice", "drains kept", "no cold host pushed over",
	"nothing left pinned"}

// Passed reports whether no rule was broken.
func (v *Verdict) Passed() bool {
	for _, rule := range v.Rules {
		if len(rule.Violations) > 0 {
			return false
		}
	}
	return true
}

// Times of a record are in µs.
const (
	millisecond = 1000
	second      = 1000 * millisecond
)

const (
	// socketSlack is how far apart two sockets' events may be in one process's record.
	socketSlack = 50 * millisecond
	// virtualSlack is that in virtual time, beyond the network's latency on virtualHops hops.
	virtualSlack = 2 * millisecond
	virtualHops  = 4
)

// attempt is a dispatcher's attempt at an endpoint.
type attempt struct {
	line    int
	event   record.Event // its arrival
	takenAt int64        // when an endpoint that runs had it; never where none had
	end     int64        // 0: it is in flight
}

// never is a time that does not come.
const never = math.MaxInt64

// judge is the state of judging one record. Times are in µs.
type judge struct {
	deployment deployment.Deployment
	verdict    *Verdict
	products   map[string]*pb.Product
	// slack is socketSlack; in virtual time, where all events have one clock, they are apart by the network's latency
	// only.
	slack          int64
	unavailable    map[string][]unavailability // by dispatcher
	holdUps        map[string][]unavailability // by the test bed's loop
	killed         map[string][]int64          // times, by a dispatcher's name with and without its incarnation
	refused        map[string]int64            // when an endpoint said that it had not run an attempt
	clientAttempts map[clientAttemptKey]*clientAttempt
	clientOrder    []clientAttemptKey
	attempts       map[string][]*attempt // by the dispatcher's request
	attemptsByID   map[string]*attempt
	ran            map[string][]int // lines, by the client's request
}

// Judge judges a record.
func Judge(dep deployment.Deployment, events []record.Event) *Verdict {
	judging := &judge{
		deployment:     dep,
		verdict:        &Verdict{},
		products:       map[string]*pb.Product{},
		slack:          socketSlack,
		unavailable:    map[string][]unavailability{},
		holdUps:        map[string][]unavailability{},
		killed:         map[string][]int64{},
		refused:        map[string]int64{},
		clientAttempts: map[clientAttemptKey]*clientAttempt{},
		attempts:       map[string][]*attempt{},
		attemptsByID:   map[string]*attempt{},
		ran:            map[string][]int{},
	}
	for i, name := range ruleNames {
		judging.verdict.Rules[i].Name = name
	}
	for _, product := range dep.Products {
		judging.products[product.Name] = product
	}
	judging.gather(events)
	judging.checkFinalAnswers(events)
	judging.checkSecondRuns(events)
	judging.checkDrains(events)
	judging.checkSlowStart(events)
	judging.checkPinnedState(events)
	judging.summariseService(events)
	judging.gatherEvidence(events)
	return judging.verdict
}

// checked counts a case of a rule.
func (j *judge) checked(rule int) { j.verdict.Rules[rule].Checked++ }

// violation adds a violation of a rule.
func (j *judge) violation(rule, line int, request, format string, args ...any) {
	r := &j.verdict.Rules[rule]
	r.Violations = append(r.Violations, Violation{Line: line, Request: request, Text: fmt.Sprintf(format, args...)})
}

// requestOf returns the dispatcher's request that an attempt's id belongs to.
func requestOf(attemptID string) string {
	if at := strings.LastIndexByte(attemptID, '-'); at >= 0 {
		return attemptID[:at]
	}
	return attemptID
}

// refusals are the errors by which an endpoint says that it has not run an attempt.
var refusals = []string{"full", "draining", "state_lost", "invalid_input"}

// gather collects attempts with their ends, and when dispatchers could not act.
func (j *judge) gather(events []record.Event) {
	inFlight := map[uint32][]*attempt{} // by endpoint
	for i, event := range events {
		switch event.Type {
		case record.NetworkLatency:
			j.slack = virtualHops*event.Count + virtualSlack
		case record.DispatcherUnavailable:
			j.unavailable[event.Dispatcher] = append(j.unavailable[event.Dispatcher], unavailability{
				from: event.At, to: event.At + event.Count, partitioned: event.Detail == record.Partitioned})
		case record.TestBedDelayed:
			j.holdUps[event.Detail] = append(j.holdUps[event.Detail], unavailability{from: event.At - event.Count, to: event.At})
		case record.DispatcherKilled:
			j.gatherKill(event)
		case record.AttemptRefused:
			if _, known := j.refused[event.Attempt]; !known && slices.Contains(refusals, event.Detail) {
				j.refused[event.Attempt] = event.At
			}
		case record.AttemptArrived:
			if a := j.gatherAttempt(i+1, event); a != nil {
				inFlight[event.Endpoint] = append(inFlight[event.Endpoint], a)
			}
		case record.AttemptDeferred:
			j.attemptsByID[event.Attempt].takenAt = never
		case record.AttemptTaken:
			j.attemptsByID[event.Attempt].takenAt = event.At
		case record.ConnectionLost, record.AttemptAnswered, record.AttemptLeft:
			j.attemptsByID[event.Attempt].finish(event.At)
		case record.EndpointDown:
			for _, a := range inFlight[event.Endpoint] {
				a.finish(event.At)
			}
			delete(inFlight, event.Endpoint)
		case record.AttemptRan:
			j.ran[event.Request] = append(j.ran[event.Request], i+1)
		}
	}
}

// gatherAttempt adds an attempt; it returns nil for one that was sent before.
func (j *judge) gatherAttempt(line int, event record.Event) *attempt {
	if before := j.attemptsByID[event.Attempt]; before != nil {
		j.violation(ruleNoSecondRun, line, event.Request, "leg %s was sent twice (first on line %d)",
			event.Attempt, before.line)
		return nil
	}
	a := &attempt{line: line, event: event, takenAt: event.At}
	request := requestOf(event.Attempt)
	j.attemptsByID[event.Attempt] = a
	j.attempts[request] = append(j.attempts[request], a)
	return a
}

// finish ends an attempt that has not ended.
func (a *attempt) finish(at int64) {
	if a != nil && a.end == 0 {
		a.end = at
	}
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
