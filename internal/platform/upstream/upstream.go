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

// maxAnswer is how many bytes an answer may have that is not streamed.
const maxAnswer = 64 << 10

// Request is what of a client's request goes to a model host.
type Request struct {
	ID, Target string
	Fields     []string // name and value in turn; they pass on unchanged
	Body       []byte
	// SendTimeout is how long the request may take to leave; 0: the time for a connection.
	SendTimeout eventloop.Micros
	// OnSend is called as the request is written, with the time that its host is told.
	OnSend func(told eventloop.Micros)
}

// Client makes the attempts and releases of one dispatcher.
type Client struct {
	*engine.Engine
	loop   eventloop.Loop
	within eventloop.Micros
	hosts  EndpointLister
	Log    func(line string)
	Counts
}

// Counts are of releases.
type Counts struct{ Releases, ReleaseAttempts, LateReleases uint64 }

// EndpointLister are those that a release may be sent to: those that want new requests, or all that are listed.
type EndpointLister func(all bool) []scheduler.EndpointID

// New makes a client; within is the time that a state may wait.
func New(loop eventloop.Loop, e *engine.Engine, within eventloop.Micros, hosts EndpointLister) *Client {
	return &Client{Engine: e, loop: loop, within: within, hosts: hosts, Log: func(string) {}}
}

// Prefill sends a prompt to be read. It does not call back before it has returned.
func (l *Client) Prefill(id scheduler.EndpointID, r Request, allow eventloop.Micros, hear engine.Callbacks) *engine.Attempt {
	return l.Call(id, engine.Call{BuildRequest: r.to, ReadResponse: prefillOutcome, MaxResponseBody: maxAnswer, SendWithin: r.SendTimeout}, allow, hear)
}

// Decode sends what is answered with a stream. It does not call back before it has returned.
func (l *Client) Decode(id scheduler.EndpointID, r Request, allow eventloop.Micros, hear engine.Callbacks) *engine.Attempt {
	return l.Call(id, engine.Call{BuildRequest: r.to, ReadResponse: outcome, Stream: &events{}, MaxResponseBody: maxAnswer, SendWithin: r.SendTimeout}, allow, hear)
}

func (r Request) to(addr string, left eventloop.Micros) []byte {
	if r.OnSend != nil {
		r.OnSend(left)
	}
	fields := slices.Concat(r.Fields, []string{"Req-Deadline", strconv.FormatInt(int64(left), 10) + "u"})
	return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: r.Target, Host: addr, Body: r.Body}, fields...)
}

// declined are the answers by which a host states that it has not run the attempt; only these, with the field that says so, prove it.
var declined = map[int]engine.Result{
	503: {Outcome: scheduler.NoCapacity, Reason: "turned away"},
	504: {Outcome: scheduler.NoCapacity, Reason: "turned away, as its time is over"},
	410: {Outcome: scheduler.NoCapacity, StateMissing: true, Reason: "the read state is gone"},
}

// prefillOutcome is what an answer to a read means.
func prefillOutcome(h *http1.Head, body []byte) engine.Result {
	if h.Status == 202 {
		kept := 0
		if gjson.ValidBytes(body) {
			kept = int(max(gjson.GetBytes(body, "cached_tokens").Int(), 0))
		}
		return engine.Result{Outcome: scheduler.PrefillDone, CachedTokens: kept, Reason: "read"}
	}
	return outcome(h, body)
}

// outcome is what an answer means that is no stream.
func outcome(h *http1.Head, _ []byte) engine.Result {
	if o, some := declined[h.Status]; some && h.Get("Srv-Declined") == "1" {
		return o
	}
	return engine.Result{Outcome: scheduler.Errored, Reason: "status " + strconv.Itoa(h.Status)}
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

func (e *events) Ended() engine.Result {
	if !e.some {
		return engine.Result{Outcome: scheduler.Errored, Reason: "a stream without an event"}
	}
	return engine.Result{Outcome: scheduler.Completed, CachedTokens: e.kept, Reason: "streamed"}
}

func (e *events) Complete() bool { return e.done }

// Broken: what has no last chunk is not whole, whatever its events say, as the client must not be told that it is.
func (e *events) Broken(how scheduler.Outcome, why string) engine.Result {
	return engine.Result{Outcome: how, Reason: why}
}
