package guard

import (
	"fmt"

	"plumspindle/internal/eventloop"
)

// Repeats is what a request's class lets be done again.
type Repeats uint8

const (
	Always       Repeats = iota // the class is idempotent
	WithinWindow                // its hosts drop repeats in their group for a while
	Never
)

// Host is a model host as an attempt meets it.
type Host struct {
	Name    string
	Group   string // hosts of one group drop each other's repeats; "" where a class has no groups
	Wanted  bool   // it is listed, and wants new requests
	Effects bool   // an attempt there has the effects of the request; one that only reads the prompt has none
}

// Terms are what a request is bound by.
type Terms struct {
	ID       string
	Repeats  Repeats
	Window   eventloop.Micros
	Deadline eventloop.Micros
}

// Request is the ledger of one request.
type Request struct {
	guard    *Guard
	terms    Terms
	out      *Host // of the attempt that is out
	outSince eventloop.Micros
	ran      *Host // of the first attempt that may have had effects
	ranSince eventloop.Micros
	answered bool
	goneAt   eventloop.Micros // when its client closed; 0: it has not
	heldAt   eventloop.Micros // since when something may be held, or waits on; 0: nothing is
}

// Begin opens a request's ledger.
func (g *Guard) Begin(terms Terms) *Request { return &Request{guard: g, terms: terms} }

func (r *Request) violated(rule Rule, host *Host, prevented bool, format string, args ...any) *Violation {
	v := Violation{Rule: rule, Request: r.terms.ID, Detail: fmt.Sprintf(format, args...), Prevented: prevented}
	if host != nil {
		v.Host = host.Name
	}
	r.guard.Violated(v)
	return &v
}

// Send is asked before an attempt is handed to the network; one that it objects to must not be made.
func (r *Request) Send(now eventloop.Micros, host Host) *Violation {
	if r.out != nil {
		return r.violated(TwoAttempts, &host, true, "the attempt to %s is out since %d us", r.out.Name, now-r.outSince)
	}
	if v := r.mayLeave(now, host, true); v != nil {
		return v
	}
	r.out, r.outSince = &host, now
	return nil
}

// Leaves checks an attempt again in the moment in which it is written, and what it tells its host of the time.
func (r *Request) Leaves(now eventloop.Micros, host Host, told eventloop.Micros) {
	r.mayLeave(now, host, false)
	if left := r.terms.Deadline - now; told > max(left, 0)+r.guard.limits.ToldSlack {
		r.violated(TimeTold, &host, false, "told %d us, %d us are left", told, left)
	}
}

func (r *Request) mayLeave(now eventloop.Micros, host Host, prevents bool) *Violation {
	switch {
	case r.answered:
		return r.violated(OneAnswer, &host, prevents, "an attempt after the final answer")
	case r.goneAt > 0 && now-r.goneAt > r.guard.limits.GoneSlack:
		return r.violated(ClientGone, &host, prevents, "an attempt %d us after its client closed", now-r.goneAt)
	case !host.Wanted:
		return r.violated(UnwantedSend, &host, prevents, "the host drains or is gone")
	case r.ran == nil || !host.Effects || r.terms.Repeats == Always:
		return nil
	case r.terms.Repeats == Never:
		return r.violated(RepeatedEffect, &host, prevents, "the attempt to %s may have run", r.ran.Name)
	case now-r.ranSince > r.terms.Window:
		return r.violated(RepeatedEffect, &host, prevents, "%d us after the attempt to %s, the window is %d us", now-r.ranSince, r.ran.Name, r.terms.Window)
	case r.ran.Group != host.Group:
		return r.violated(RepeatedEffect, &host, prevents, "the attempt to %s may have run in group %q, this is %q", r.ran.Name, r.ran.Group, host.Group)
	}
	return nil
}

// Ended notes that the attempt that was out is over, and whether it may have run.
func (r *Request) Ended(mayHaveRun bool) {
	if r.out != nil && r.out.Effects && mayHaveRun && r.ran == nil {
		r.ran, r.ranSince = r.out, r.outSince
	}
	r.out = nil
}

// Answer is a final answer.
type Answer uint8

const (
	Completed Answer = iota // a stream, whole
	Rejected                // with the promise that a repeat is harmless
	Failed
	Broken // a stream that had begun in time
)

// Answered checks a final answer as it is given.
func (r *Request) Answered(now eventloop.Micros, answer Answer) {
	switch {
	case r.answered:
		r.violated(OneAnswer, nil, false, "a second final answer")
	case answer != Completed && answer != Broken && now > r.terms.Deadline+r.guard.limits.AnswerSlack:
		r.violated(OneAnswer, nil, false, "answered %d us after its deadline", now-r.terms.Deadline)
	case answer == Rejected && r.terms.Repeats != Always && r.ran != nil:
		r.violated(RepeatedEffect, r.ran, false, "rejected as safe to repeat, and the attempt to %s may have run", r.ran.Name)
	case answer == Rejected && r.terms.Repeats != Always && r.out != nil:
		r.violated(RepeatedEffect, r.out, false, "rejected as safe to repeat, and the attempt to %s is out", r.out.Name)
	}
	r.answered = true
}

// ClientClosed notes that nobody waits for the answer any more.
func (r *Request) ClientClosed(now eventloop.Micros) {
	if r.goneAt == 0 {
		r.goneAt = now
	}
}

// Held notes that a host may hold something for the request, from now on.
func (r *Request) Held(now eventloop.Micros) { r.heldAt = now }

// Used notes that what was held has been taken.
func (r *Request) Used() { r.heldAt = 0 }

// Released checks that what was held was let go of in time, or taken.
func (r *Request) Released(now eventloop.Micros) {
	if held := now - r.heldAt; r.heldAt > 0 && held > r.guard.limits.HeldFor {
		r.violated(HeldState, nil, false, "released after %d us", held)
	}
	r.heldAt = 0
}

// Closed is told when nothing is kept of the request any more.
func (r *Request) Closed() {
	if !r.answered && r.goneAt == 0 {
		r.violated(OneAnswer, nil, false, "no final answer was given")
	}
	if r.out != nil {
		r.violated(TwoAttempts, r.out, false, "its attempt is still out")
	}
}
