// Package upstream carries attempts to the platform's model hosts, tells what each way in which one ends means, and sees that what hosts
// hold for a request is released in time. The connections are package engine's; it never decides where an attempt goes.
package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

const (
	answerMost = 64 << 10
	// tries of one release are spread over the time that it has, so that a host that can't be reached leaves time for others.
	triesInTime = 6
	// A state that could not be let go of in time is still worth freeing for a while.
	longAfter = 10
	// Before all hosts are asked in turn again, at the least.
	leastRingPause = eventloop.Millisecond
)

// Request is what of a client's request goes to a model host.
type Request struct {
	ID, Target string
	Fields     []string // name and value in turn; they pass on unchanged
	Body       []byte
}

// Legs are those of one dispatcher.
type Legs struct {
	*engine.Engine
	loop   eventloop.Loop
	within eventloop.Micros
	hosts  func() []scheduler.HostID
	Log    func(line string)
	Counts
}

// Counts are of releases.
type Counts struct{ Releases, Tries, Late uint64 }

// New makes them; within is the time that a state may wait, and hosts are those that a release may be sent to.
func New(loop eventloop.Loop, e *engine.Engine, within eventloop.Micros, hosts func() []scheduler.HostID) *Legs {
	return &Legs{Engine: e, loop: loop, within: within, hosts: hosts, Log: func(string) {}}
}

// Read sends a read, Write what is answered with a stream. Neither calls back before it has returned.
func (l *Legs) Read(id scheduler.HostID, r Request, allow eventloop.Micros, hear engine.Hearer) *engine.Leg {
	return l.Call(id, engine.Call{Request: r.to, Answer: Read, Most: answerMost}, allow, hear)
}

func (l *Legs) Write(id scheduler.HostID, r Request, allow eventloop.Micros, hear engine.Hearer) *engine.Leg {
	return l.Call(id, engine.Call{Request: r.to, Answer: Unstreamed, Stream: &events{}, Most: answerMost}, allow, hear)
}

func (r Request) to(addr string, left eventloop.Micros) []byte {
	fields := slices.Concat(r.Fields, []string{"Req-Deadline", strconv.FormatInt(int64(left), 10) + "u"})
	return http1.AppendRequest(nil, "POST", r.Target, addr, r.Body, fields...)
}

// declined are the answers by which a host states that it has not run the leg; only these, with the field that says so, prove it.
var declined = map[int]engine.Outcome{
	503: {How: scheduler.Full, Why: "turned away"},
	504: {How: scheduler.Full, Why: "turned away, as its time is over"},
	410: {How: scheduler.Full, Note: 1, Why: "the read state is gone"},
}

// Read is what an answer to a read means.
func Read(h *http1.Head, body []byte) engine.Outcome {
	if h.Status == 202 {
		kept := 0
		if gjson.ValidBytes(body) {
			kept = int(max(gjson.GetBytes(body, "cached_tokens").Int(), 0))
		}
		return engine.Outcome{How: scheduler.ReadDone, Note: kept, Why: "read"}
	}
	return Unstreamed(h, body)
}

// Unstreamed is what an answer means that is no stream.
func Unstreamed(h *http1.Head, _ []byte) engine.Outcome {
	if o, some := declined[h.Status]; some && h.Get("Srv-Declined") == "1" {
		return o
	}
	return engine.Outcome{How: scheduler.Errored, Why: "status " + strconv.Itoa(h.Status)}
}

// events judges those of one stream.
type events struct {
	some bool
	done bool // [DONE] was seen
	kept int
}

var (
	errAfterLast = errors.New("an event after the last")
	lastEvent    = "[DONE]"
	usageMark    = []byte(`"usage"`)
)

func (e *events) Event(data []byte) (pass bool, err error) {
	switch {
	case e.done:
		return false, errAfterLast
	case string(data) == lastEvent:
		e.done = true
	case !gjson.ValidBytes(data):
		return false, fmt.Errorf("an event that can't be read: %.40q", data)
	}
	if bytes.Contains(data, usageMark) {
		e.kept = int(max(gjson.GetBytes(data, "usage.prompt_tokens_details.cached_tokens").Int(), 0))
	}
	e.some = true
	return true, nil
}

func (e *events) Ended() engine.Outcome {
	if !e.some {
		return engine.Outcome{How: scheduler.Errored, Why: "a stream without an event"}
	}
	return engine.Outcome{How: scheduler.Streamed, Note: e.kept, Why: "streamed"}
}

// Broke: what has no last chunk is not whole, whatever its events say, as the client must not be told that it is.
func (e *events) Broke(how scheduler.Ending, why string) engine.Outcome {
	return engine.Outcome{How: how, Why: why}
}

// --- Letting go ---

// Release has all that is held for a request let go of. Any host takes it, so one that can't be reached is no reason to wait: one
// is asked that spoke lately and has a connection that waits, then the others in turn. done is called once, with whether a host has
// confirmed it.
func (l *Legs) Release(id string, at scheduler.HostID, done func(bool)) {
	l.Releases++
	r := &release{legs: l, id: id, done: done, began: l.loop.Now(), tried: map[scheduler.HostID]bool{}}
	if now := l.loop.Now(); l.Idle(at) == 0 || now-l.Heard(at) > l.within {
		at = l.other(r, at)
	}
	r.try(at)
}

type release struct {
	legs  *Legs
	id    string
	began eventloop.Micros
	tried map[scheduler.HostID]bool
	done  func(bool)
}

// other is a host not tried yet, one with a connection that waits before all others, and of those the one that spoke last: where many
// have fallen silent together their connections wait all the same, and a state has no time for one after the other.
func (l *Legs) other(r *release, usual scheduler.HostID) scheduler.HostID {
	best, rank, spoke := usual, -1, eventloop.Micros(0)
	for _, h := range l.hosts() {
		at := 0
		if !r.tried[h] {
			at += 2
		}
		if l.Idle(h) > 0 {
			at++
		}
		if heard := l.Heard(h); at > rank || at == rank && heard > spoke {
			best, rank, spoke = h, at, heard
		}
	}
	return best
}

func (r *release) try(at scheduler.HostID) {
	l := r.legs
	l.Tries++
	r.tried[at] = true
	call := engine.Call{Spare: true, Most: answerMost, Request: func(addr string, _ eventloop.Micros) []byte {
		return http1.AppendRequest(nil, "DELETE", "/v1/holds/"+r.id, addr, nil)
	}, Answer: func(h *http1.Head, _ []byte) engine.Outcome {
		if h.Status == 204 || h.Status == 200 {
			return engine.Outcome{How: scheduler.ReadDone}
		}
		return engine.Outcome{How: scheduler.Errored, Why: "status " + strconv.Itoa(h.Status)}
	}}
	span := l.within / triesInTime
	began := l.loop.Now()
	l.Call(at, call, span, engine.Hearer{Ended: func(o engine.Outcome) {
		now := l.loop.Now()
		switch {
		case o.How == scheduler.ReadDone:
			if now-r.began > l.within {
				l.Late++
			}
			r.done(true)
		case now-r.began > longAfter*l.within:
			l.Late++
			l.Log(fmt.Sprintf("what is held for request %s could not be let go of: %s", r.id, o.Why))
			r.done(false)
		default:
			if len(r.tried) > len(l.hosts()) {
				clear(r.tried)
			}
			// One that refuses at once must not be asked in a ring without a pause.
			pause := eventloop.Micros(0)
			if len(r.tried) == 0 {
				pause = max(span-(now-began), leastRingPause)
			}
			l.loop.After(pause, func() { r.try(l.other(r, at)) })
		}
	}})
}
