package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Time limits and tolerances of the audit. The slack is allowed beyond the rules' own time limits, as the processes
// share a machine that may be busy.
const (
	slack           = 300 * time.Millisecond
	stateLease      = 500 * time.Millisecond // time limit for using or releasing the state that a prefill left
	maxStateTime    = stateLease + 300*time.Millisecond + slack
	repeatWindow    = time.Second            // how long after its first run a deduplicated request may run again
	drainKnownAfter = 6 * time.Second        // after which a dispatcher must know of a drain even if it got no update
	drainGrace      = 300 * time.Millisecond // for attempts that are in transit when a drain becomes known
	disconnectGrace = 100 * time.Millisecond // for attempts that are in transit when a client disconnects
	deadlineSlack   = 150 * time.Millisecond // by which the time stated to an endpoint may exceed the remaining time
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
	id                        string
	sent, disconnected, final *Event
	arrived, ran              []Event
	reserved                  []Event
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
	h := a.histories[event.ID]
	if h == nil {
		h = &requestHistory{id: event.ID}
		a.histories[event.ID] = h
		a.order = append(a.order, h)
	}
	switch event.Kind {
	case Sent:
		h.sent = event
	case Disconnected:
		h.disconnected = event
	case Answered, Broken, Lost:
		if h.final != nil {
			a.addFinding(ruleOneAnswer, "%s got two final answers", event.ID)
		}
		h.final = event
	case Arrived:
		h.arrived = append(h.arrived, *event)
		if event.Text != prefillKind {
			h.uses = append(h.uses, *event)
		}
	case Ran:
		h.ran = append(h.ran, *event)
		h.uses = append(h.uses, *event)
	case Reserved:
		h.reserved = append(h.reserved, *event)
	case Released, Refused:
		h.uses = append(h.uses, *event)
	}
}

func (a *Audit) addFinding(rule, format string, arguments ...any) {
	a.findings = append(a.findings, Finding{Rule: rule, Text: fmt.Sprintf(format, arguments...)})
}

// sentRequests returns the number of requests that were sent completely.
func (a *Audit) sentRequests() (count int) {
	for _, h := range a.order {
		if h.sent != nil {
			count++
		}
	}
	return count
}

// Check checks all rules and returns the findings.
func (a *Audit) Check() []Finding {
	for _, h := range a.order {
		if h.sent == nil {
			continue // the request was not sent completely
		}
		a.checkAnswer(h)
		a.checkEffects(h)
		a.checkAttempts(h)
		a.checkReservedState(h)
	}
	a.checkDrains()
	return a.findings
}

// checkAnswer checks that a request got one final answer in time, unless its dispatcher was killed. A kill that follows
// SIGTERM is no excuse for requests that arrived more than stopGrace after SIGTERM.
func (a *Audit) checkAnswer(h *requestHistory) {
	if h.disconnected != nil {
		return
	}
	if h.final == nil {
		a.addFinding(ruleOneAnswer, "%s got no final answer", h.id)
		return
	}
	if late := a.lateAtKill(h); late > 0 && h.final.Kind != Answered {
		a.addFinding(ruleOneAnswer, "%s (%s) reached %s %d ms after SIGTERM and was unanswered at SIGKILL: %s",
			h.id, h.sent.Class, h.sent.Dispatcher, late.Milliseconds(), h.final.Text)
		return
	}
	took := time.Duration(h.final.At-h.sent.Value) * time.Microsecond
	switch {
	case h.final.Kind == Lost && a.dispatcherKilled(h.sent.Dispatcher, h.sent.At, h.final.At):
	case h.racedWithClose():
	case h.final.Kind == Lost:
		a.addFinding(ruleOneAnswer, "%s (%s) to %s was lost after %d ms: %s; %d attempts arrived", h.id, h.sent.Class,
			h.sent.Dispatcher, took.Milliseconds(), h.final.Text, len(h.arrived))
	case h.final.Kind == Answered && h.final.Status != 200 && took > a.deadline+answerGrace+slack:
		a.addFinding(ruleOneAnswer, "%s was answered with status %d after %d ms", h.id, h.final.Status, took.Milliseconds())
	}
}

// racedWithClose reports whether a request on a reused connection was sent while the dispatcher closed that connection.
func (h *requestHistory) racedWithClose() bool {
	return h.final.Kind == Lost && h.final.Text == closedConnection && h.sent.Text == reusedConnection &&
		len(h.arrived) == 0
}

// checkEffects checks that only requests that may run twice do so, and that no request was rejected with status 503, as
// safe to retry, after it ran.
func (a *Audit) checkEffects(h *requestHistory) {
	if h.sent.Class == idempotentClass || len(h.ran) == 0 {
		return
	}
	first := h.ran[0]
	for _, again := range h.ran[1:] {
		after := time.Duration(a.earliestWrite(again, again.Value)-first.Value) * time.Microsecond
		if h.sent.Class == nonIdempotentClass || after > repeatWindow {
			a.addFinding(ruleRepeatedEffect, "%s (%s) ran at %s, and %d ms later at %s",
				h.id, h.sent.Class, first.Endpoint, after.Milliseconds(), again.Endpoint)
		}
	}
	if h.final != nil && h.final.Kind == Answered && h.final.Status == 503 {
		a.addFinding(ruleRepeatedEffect, "%s (%s) was rejected as safe to retry although it had run at %s",
			h.id, h.sent.Class, first.Endpoint)
	}
}

// checkAttempts checks that no attempt begins after the client has disconnected, and that no attempt states more time
// to its endpoint than is left until the deadline.
func (a *Audit) checkAttempts(h *requestHistory) {
	for _, arrived := range h.arrived {
		earliestWrite := a.earliestWrite(arrived, arrived.At)
		if h.disconnected != nil && earliestWrite > h.disconnected.At+(disconnectGrace+slack).Microseconds() {
			a.addFinding(ruleClientDisconnected, "%s arrived at %s %d ms after its client disconnected",
				h.id, arrived.Endpoint, (earliestWrite-h.disconnected.At)/1000)
		}
		remaining := h.sent.Value + a.deadline.Microseconds() - earliestWrite
		allowed := remaining + (deadlineSlack + slack).Microseconds()
		if arrived.Value > allowed {
			a.addFinding(ruleDeadline, "%s gave %s %d ms, but only %d ms were left",
				h.id, arrived.Endpoint, arrived.Value/1000, remaining/1000)
		}
	}
}

// checkReservedState checks that the state that a prefill left is used or released in time.
func (a *Audit) checkReservedState(h *requestHistory) {
	for _, reserved := range h.reserved {
		idleFrom, inFlight := reserved.At, false
		for _, use := range h.uses {
			if use.At < reserved.At {
				continue
			}
			if !inFlight {
				a.checkIdleState(h, reserved, idleFrom, use.At)
			}
			if use.Kind == Released || use.Kind == Ran {
				idleFrom = 0
				break
			}
			idleFrom, inFlight = use.At, use.Kind == Arrived
		}
		if idleFrom > 0 && !inFlight {
			a.checkIdleState(h, reserved, idleFrom, 0)
		}
	}
}

// checkIdleState checks the length of a span in which a state was reserved while no decode of its request was at an
// endpoint. A span that nothing ended is passed with 0 as its end. A long span is excused if the dispatcher was killed
// or partitioned from its endpoints, or if the endpoint that holds the state was killed.
func (a *Audit) checkIdleState(h *requestHistory, reserved Event, from, to int64) {
	latest := from + maxStateTime.Microseconds()
	switch {
	case to > 0 && to <= latest:
	case a.endpointKilled(reserved.Endpoint, reserved.At, latest):
	case a.dispatcherKilled(h.sent.Dispatcher, reserved.At-a.deadline.Microseconds(), latest):
	case a.wasPartitioned(reserved.Dispatcher, from, latest):
	case to == 0:
		a.addFinding(ruleState, "%s (%s): the state at %s was never used or released",
			h.id, h.sent.Class, reserved.Endpoint)
	default:
		a.addFinding(ruleState, "%s (%s): the state at %s was used or released only after %d ms",
			h.id, h.sent.Class, reserved.Endpoint, (to-from)/1000)
	}
}

// checkDrains checks that a dispatcher sends nothing new to a draining endpoint once it must know of the drain.
func (a *Audit) checkDrains() {
	type pair struct{ endpoint, dispatcher string }
	drainedAt := map[string]int64{}
	notifiedAt := map[pair]int64{}
	for _, event := range a.events {
		key := pair{endpoint: event.Endpoint, dispatcher: event.Dispatcher}
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
