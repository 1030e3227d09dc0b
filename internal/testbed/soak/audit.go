package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// What the audit allows beyond the rules' own times, as processes share a machine that may be busy.
const (
	slack        = 300 * time.Millisecond
	letGoBy      = 500 * time.Millisecond
	heldSlack    = 300 * time.Millisecond
	repeatWindow = time.Second
	drainTold    = 6 * time.Second        // after which a change counts as told, whether or not it arrived
	drainGrace   = 300 * time.Millisecond // for what is on its way when a drain is told
	goneFor      = 100 * time.Millisecond
	toldSlack    = 150 * time.Millisecond
)

// Finding is a rule that the events show to be broken.
type Finding struct{ Rule, Text string }

func (f Finding) String() string { return f.Rule + ": " + f.Text }

// trail is all that was seen of one request.
type trail struct {
	sent, left, final *Event
	arrived, ran      []Event
	held, released    []Event
}

// Audit is what all processes saw.
type Audit struct {
	events   []Event
	trails   map[string]*trail
	order    []string
	findings []Finding
}

// NewAudit puts the events in order.
func NewAudit(events []Event) *Audit {
	a := &Audit{events: events, trails: map[string]*trail{}}
	slices.SortStableFunc(a.events, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	for i := range a.events {
		a.follow(&a.events[i])
	}
	return a
}

func (a *Audit) follow(e *Event) {
	if e.ID == "" {
		return
	}
	t := a.trails[e.ID]
	if t == nil {
		t = &trail{}
		a.trails[e.ID] = t
		a.order = append(a.order, e.ID)
	}
	switch e.Kind {
	case Sent:
		t.sent = e
	case Left:
		t.left = e
	case Answered, Broken, Lost:
		if t.final != nil {
			a.found("one answer", "%s was ended twice", e.ID)
		}
		t.final = e
	case Arrived:
		t.arrived = append(t.arrived, *e)
	case Ran:
		t.ran = append(t.ran, *e)
	case Reserved:
		t.held = append(t.held, *e)
	case Released:
		t.released = append(t.released, *e)
	}
}

func (a *Audit) found(rule, format string, arguments ...any) {
	a.findings = append(a.findings, Finding{rule, fmt.Sprintf(format, arguments...)})
}

// Judge holds the rules against the events.
func (a *Audit) Judge() []Finding {
	for _, id := range a.order {
		t := a.trails[id]
		if t.sent == nil {
			continue // half a request, or one that was cut off as it was written
		}
		a.judgeAnswer(id, t)
		a.judgeEffects(id, t)
		a.judgeClient(id, t)
		a.judgeHeld(id, t)
	}
	a.judgeDrains()
	return a.findings
}

// judgeAnswer: one final answer in time, but where the dispatcher was killed.
func (a *Audit) judgeAnswer(id string, t *trail) {
	if t.left != nil {
		return
	}
	if t.final == nil {
		a.found("one answer", "%s has no end", id)
		return
	}
	took := time.Duration(t.final.At-t.sent.Value) * time.Microsecond
	switch {
	case t.final.Kind == Lost && a.killed(t.sent.Dispatcher, t.sent.At, t.final.At):
	case t.final.Kind == Lost && t.final.Text == "closed" && t.sent.Text == restingConnection && len(t.arrived) == 0: // it crossed the close of a resting connection
	case t.final.Kind == Lost:
		a.found("one answer", "%s (%s) to %s was lost after %d ms: %s; %d attempts arrived", id, t.sent.Class, t.sent.Dispatcher, took.Milliseconds(), t.final.Text, len(t.arrived))
	case t.final.Kind == Answered && t.final.Status != 200 && took > deadline+500*time.Millisecond+slack:
		a.found("one answer", "%s was answered %d after %d ms", id, t.final.Status, took.Milliseconds())
	}
}

// killed tells whether a dispatcher was killed while a request was open there; what it ends with after a stop is its own.
func (a *Audit) killed(dispatcher string, from, to int64) bool {
	return slices.ContainsFunc(a.events, func(e Event) bool {
		return e.Kind == Killed && e.Dispatcher == dispatcher && e.At >= from-int64(slack.Microseconds()) && e.At <= to
	})
}

// judgeEffects: nothing runs twice that may not, and a rejection means that nothing has run.
func (a *Audit) judgeEffects(id string, t *trail) {
	if t.sent.Class == "chat" {
		return
	}
	for i, e := range t.ran {
		if i == 0 {
			continue
		}
		if after := time.Duration(e.Value-t.ran[0].Value) * time.Microsecond; t.sent.Class == "post" || after > repeatWindow {
			a.found("repeated effect", "%s (%s) ran at %s, and %d ms later at %s", id, t.sent.Class, t.ran[0].Endpoint, after.Milliseconds(), e.Endpoint)
		}
	}
	if f := t.final; f != nil && f.Kind == Answered && f.Status == 503 && len(t.ran) > 0 {
		a.found("repeated effect", "%s (%s) was rejected as safe to repeat and had run at %s", id, t.sent.Class, t.ran[0].Endpoint)
	}
}

// judgeClient: nothing begins after a client's close, and no host is told more time than is left.
func (a *Audit) judgeClient(id string, t *trail) {
	for _, e := range t.arrived {
		if t.left != nil && e.At > t.left.At+(goneFor+slack).Microseconds() {
			a.found("client gone", "%s arrived at %s %d ms after its client closed", id, e.Endpoint, (e.At-t.left.At)/1000)
		}
		if left := t.sent.Value + deadline.Microseconds() - e.At; e.Value > left+(toldSlack+slack).Microseconds()+a.heldBack(e.Dispatcher, e.At) {
			a.found("time told", "%s told %s %d ms, %d ms are left", id, e.Endpoint, e.Value/1000, left/1000)
		}
	}
}

// heldBack is for how long a proxy may have kept what had left a dispatcher: it takes a connection at once that it carries on late.
func (a *Audit) heldBack(dispatcher string, at int64) int64 {
	held := slices.ContainsFunc(a.events, func(e Event) bool {
		return e.Kind == FaultBegan && e.Text == lateText && e.Dispatcher == dispatcher && e.At <= at && e.At+e.Value+2*lateBy.Microseconds() >= at
	})
	if held {
		return lateBy.Microseconds()
	}
	return 0
}

// judgeHeld: what a prefill leaves is used or released in time, but where the dispatcher was killed or nothing could be heard.
func (a *Audit) judgeHeld(id string, t *trail) {
	for _, h := range t.held {
		end := int64(0)
		for _, list := range [][]Event{t.arrived, t.released} {
			for _, e := range list {
				if e.At >= h.At && e.Text != "prefill" && (end == 0 || e.At < end) {
					end = e.At
				}
			}
		}
		latest := h.At + (letGoBy + heldSlack + slack).Microseconds()
		if end > 0 && end <= latest || a.hostKilled(h.Endpoint, h.At, latest) || a.killed(t.sent.Dispatcher, h.At-deadline.Microseconds(), latest) || a.cutOff(h.Dispatcher, h.At, latest) {
			continue
		}
		if end == 0 {
			a.found("held state", "%s (%s): what %s held was never used or released", id, t.sent.Class, h.Endpoint)
		} else {
			a.found("held state", "%s (%s): what %s held was used or released after %d ms", id, t.sent.Class, h.Endpoint, (end-h.At)/1000)
		}
	}
}

// hostKilled tells whether a host was killed in a span; what it held is gone with it.
func (a *Audit) hostKilled(host string, from, to int64) bool {
	return slices.ContainsFunc(a.events, func(e Event) bool { return e.Kind == Killed && e.Endpoint == host && e.At >= from && e.At <= to })
}

// cutOff tells whether a dispatcher could reach no host in a part of a span: what is held can't be released then.
func (a *Audit) cutOff(dispatcher string, from, to int64) bool {
	return slices.ContainsFunc(a.events, func(e Event) bool {
		return e.Kind == FaultBegan && e.Text == cutOffText && e.Dispatcher == dispatcher && e.At <= to && e.At+e.Value+slack.Microseconds() >= from
	})
}

// judgeDrains: nothing new goes to a host that drains once that counts as told.
func (a *Audit) judgeDrains() {
	drained := map[string]int64{}
	told := map[[2]string]int64{}
	for _, e := range a.events {
		switch e.Kind {
		case Drained:
			drained[e.Endpoint] = e.At
		case Notified:
			if at := [2]string{e.Endpoint, e.Dispatcher}; told[at] == 0 {
				told[at] = e.At
			}
		case Arrived:
			at := drained[e.Endpoint]
			if at == 0 {
				continue
			}
			known := at + drainTold.Microseconds() + a.away(at)
			if heard := told[[2]string{e.Endpoint, e.Dispatcher}]; heard > 0 {
				known = min(known, heard)
			}
			if after := e.At - known; after > (drainGrace + slack).Microseconds() {
				a.found("unwanted send", "%s arrived at %s %d ms after dispatcher %s was told of its drain", e.ID, e.Endpoint, after/1000, e.Dispatcher)
			}
		}
	}
}

// away is for how long discovery told nothing from a moment on.
func (a *Audit) away(at int64) (longest int64) {
	for _, e := range a.events {
		if e.Kind == FaultBegan && e.Text == discoverySilentText && e.At <= at+drainTold.Microseconds() && e.At+e.Value > at {
			longest = max(longest, e.At+e.Value-at)
		}
	}
	return longest
}
