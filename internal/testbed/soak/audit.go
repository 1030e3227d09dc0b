package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Tolerances of the audit. They include slack beyond the rules' own time limits, as processes share a machine that may
// be busy.
const (
	slack           = 300 * time.Millisecond
	stateLease      = 500 * time.Millisecond // time limit for using or releasing the state that a prefill left
	maxStateTime    = stateLease + 300*time.Millisecond + slack
	repeatWindow    = time.Second
	drainKnownAfter = 6 * time.Second        // after which a dispatcher must know of a drain even if it got no update
	drainGrace      = 300 * time.Millisecond // for attempts that are in transit when a drain becomes known
	disconnectGrace = 100 * time.Millisecond // for attempts that are in transit when a client disconnects
	deadlineSlack   = 150 * time.Millisecond // of the remaining time that an attempt states to its endpoint
)

// Names of the rules.
const (
	ruleOneAnswer          = "one answer"
	ruleRepeatedEffect     = "repeated effect"
	ruleClientDisconnected = "client disconnected"
	ruleDeadline           = "deadline"
	ruleState              = "reserved state"
	ruleEndpointNotReady   = "endpoint not ready"
	ruleCrash              = "crash"
)

// Finding is one violation of a rule that the events show.
type Finding struct{ Rule, Text string }

func (f Finding) String() string { return f.Rule + ": " + f.Text }

// requestHistory holds all events of one request.
type requestHistory struct {
	id                string
	sent, left, final *Event
	arrived, ran      []Event
	reserved          []Event
	// uses are the events that end or restart the time limit of a state: decodes that arrived or ran, refusals, releases.
	uses []Event
}

// Audit checks the rules against the events that all processes recorded.
type Audit struct {
	events    []Event // by time
	deadline  time.Duration
	histories map[string]*requestHistory
	order     []*requestHistory // by the times of their first events
	findings  []Finding
}

// NewAudit returns an audit of events, which it sorts by time and groups by request. The deadline is the one that each
// request states.
func NewAudit(events []Event, deadline time.Duration) *Audit {
	a := &Audit{events: events, deadline: deadline, histories: map[string]*requestHistory{}}
	slices.SortStableFunc(a.events, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	for i := range a.events {
		if event := &a.events[i]; event.ID != "" {
			a.addToHistory(event)
		}
	}
	return a
}

func (a *Audit) addToHistory(event *Event) {
	t := a.histories[event.ID]
	if t == nil {
		t = &requestHistory{id: event.ID}
		a.histories[event.ID] = t
		a.order = append(a.order, t)
	}
	switch event.Kind {
	case Sent:
		t.sent = event
	case Disconnected:
		t.left = event
	case Answered, Broken, Lost:
		if t.final != nil {
			a.addFinding(ruleOneAnswer, "%s got two final answers", event.ID)
		}
		t.final = event
	case Arrived:
		t.arrived = append(t.arrived, *event)
		if event.Text != prefillKind {
			t.uses = append(t.uses, *event)
		}
	case Ran:
		t.ran = append(t.ran, *event)
		t.uses = append(t.uses, *event)
	case Reserved:
		t.reserved = append(t.reserved, *event)
	case Released, Refused:
		t.uses = append(t.uses, *event)
	}
}

func (a *Audit) addFinding(rule, format string, arguments ...any) {
	a.findings = append(a.findings, Finding{Rule: rule, Text: fmt.Sprintf(format, arguments...)})
}

// sentRequests returns the number of requests that were sent completely.
func (a *Audit) sentRequests() (count int) {
	for _, t := range a.order {
		if t.sent != nil {
			count++
		}
	}
	return count
}

// Check checks all rules and returns the findings.
func (a *Audit) Check() []Finding {
	for _, t := range a.order {
		if t.sent == nil {
			continue // the request was not sent completely
		}
		a.checkAnswer(t)
		a.checkEffects(t)
		a.checkAttempts(t)
		a.checkReservedState(t)
	}
	a.checkDrains()
	return a.findings
}

// checkAnswer checks that a request got one final answer in time, unless its dispatcher was killed. A kill that follows
// SIGTERM is no excuse for requests that arrived more than stopGrace after SIGTERM.
func (a *Audit) checkAnswer(t *requestHistory) {
	if t.left != nil {
		return
	}
	if t.final == nil {
		a.addFinding(ruleOneAnswer, "%s got no final answer", t.id)
		return
	}
	if late := a.lateAtKill(t); late > 0 && t.final.Kind != Answered {
		a.addFinding(ruleOneAnswer, "%s (%s) reached %s %d ms after SIGTERM and was unanswered at SIGKILL: %s",
			t.id, t.sent.Class, t.sent.Dispatcher, late.Milliseconds(), t.final.Text)
		return
	}
	took := time.Duration(t.final.At-t.sent.Value) * time.Microsecond
	switch {
	case t.final.Kind == Lost && a.dispatcherKilled(t.sent.Dispatcher, t.sent.At, t.final.At):
	case t.racedWithClose():
	case t.final.Kind == Lost:
		a.addFinding(ruleOneAnswer, "%s (%s) to %s was lost after %d ms: %s; %d attempts arrived", t.id, t.sent.Class,
			t.sent.Dispatcher, took.Milliseconds(), t.final.Text, len(t.arrived))
	case t.final.Kind == Answered && t.final.Status != 200 && took > a.deadline+answerGrace+slack:
		a.addFinding(ruleOneAnswer, "%s was answered with status %d after %d ms", t.id, t.final.Status, took.Milliseconds())
	}
}

// racedWithClose reports whether a request on a reused connection was sent while the dispatcher closed that connection.
func (t *requestHistory) racedWithClose() bool {
	return t.final.Kind == Lost && t.final.Text == closedConnection && t.sent.Text == reusedConnection &&
		len(t.arrived) == 0
}

// checkEffects checks that only requests that may run twice do so, and that no request was rejected with status 503, as
// safe to retry, after it ran.
func (a *Audit) checkEffects(t *requestHistory) {
	if t.sent.Class == idempotentClass || len(t.ran) == 0 {
		return
	}
	first := t.ran[0]
	for _, again := range t.ran[1:] {
		after := time.Duration(a.earliestWrite(again, again.Value)-first.Value) * time.Microsecond
		if t.sent.Class == nonIdempotentClass || after > repeatWindow {
			a.addFinding(ruleRepeatedEffect, "%s (%s) ran at %s, and %d ms later at %s",
				t.id, t.sent.Class, first.Endpoint, after.Milliseconds(), again.Endpoint)
		}
	}
	if t.final != nil && t.final.Kind == Answered && t.final.Status == 503 {
		a.addFinding(ruleRepeatedEffect, "%s (%s) was rejected as safe to retry although it had run at %s",
			t.id, t.sent.Class, first.Endpoint)
	}
}

// checkAttempts checks that no attempt begins after the client has disconnected, and that no attempt states more time
// to its endpoint than is left until the deadline.
func (a *Audit) checkAttempts(t *requestHistory) {
	for _, arrived := range t.arrived {
		earliestWrite := a.earliestWrite(arrived, arrived.At)
		if t.left != nil && earliestWrite > t.left.At+(disconnectGrace+slack).Microseconds() {
			a.addFinding(ruleClientDisconnected, "%s arrived at %s %d ms after its client disconnected",
				t.id, arrived.Endpoint, (earliestWrite-t.left.At)/1000)
		}
		left := t.sent.Value + a.deadline.Microseconds() - earliestWrite
		allowed := left + (deadlineSlack + slack).Microseconds()
		if arrived.Value > allowed {
			a.addFinding(ruleDeadline, "%s gave %s %d ms, but only %d ms were left",
				t.id, arrived.Endpoint, arrived.Value/1000, left/1000)
		}
	}
}

// checkReservedState checks that the state that a prefill left is used or released in time.
func (a *Audit) checkReservedState(t *requestHistory) {
	for _, reserved := range t.reserved {
		idleFrom, inFlight := reserved.At, false
		for _, use := range t.uses {
			if use.At < reserved.At {
				continue
			}
			if !inFlight {
				a.checkIdleState(t, reserved, idleFrom, use.At)
			}
			if use.Kind == Released || use.Kind == Ran {
				idleFrom = 0
				break
			}
			idleFrom, inFlight = use.At, use.Kind == Arrived
		}
		if idleFrom > 0 && !inFlight {
			a.checkIdleState(t, reserved, idleFrom, 0)
		}
	}
}

// checkIdleState checks the length of a span in which a state was reserved while no decode of its request was at an
// endpoint; to is 0 if nothing ended the span. A long span is excused if the dispatcher was killed or partitioned from
// its endpoints, or if the endpoint that holds the state was killed.
func (a *Audit) checkIdleState(t *requestHistory, reserved Event, from, to int64) {
	latest := from + maxStateTime.Microseconds()
	switch {
	case to > 0 && to <= latest:
	case a.endpointKilled(reserved.Endpoint, reserved.At, latest):
	case a.dispatcherKilled(t.sent.Dispatcher, reserved.At-a.deadline.Microseconds(), latest):
	case a.wasPartitioned(reserved.Dispatcher, from, latest):
	case to == 0:
		a.addFinding(ruleState, "%s (%s): the state at %s was never used or released",
			t.id, t.sent.Class, reserved.Endpoint)
	default:
		a.addFinding(ruleState, "%s (%s): the state at %s was used or released only after %d ms",
			t.id, t.sent.Class, reserved.Endpoint, (to-from)/1000)
	}
}

// checkDrains checks that a dispatcher sends nothing new to a draining endpoint once it must know of the drain.
func (a *Audit) checkDrains() {
	type watch struct{ endpoint, dispatcher string }
	drainedAt := map[string]int64{}
	notifiedAt := map[watch]int64{}
	for _, event := range a.events {
		key := watch{endpoint: event.Endpoint, dispatcher: event.Dispatcher}
		switch event.Kind {
		case Drained:
			drainedAt[event.Endpoint] = event.At
		case Notified:
			if notifiedAt[key] == 0 {
				notifiedAt[key] = event.At
			}
		case Arrived:
			drained := drainedAt[event.Endpoint]
			if drained == 0 {
				continue
			}
			knownAt := drained + drainKnownAfter.Microseconds() + a.discoverySilence(drained)
			if notified := notifiedAt[key]; notified > 0 {
				knownAt = min(knownAt, notified)
			}
			after := a.earliestWrite(event, event.At) - knownAt
			if after > (drainGrace + slack).Microseconds() {
				a.addFinding(ruleEndpointNotReady, "%s arrived at %s %d ms after dispatcher %s had to know of its drain",
					event.ID, event.Endpoint, after/1000, event.Dispatcher)
			}
		}
	}
}
