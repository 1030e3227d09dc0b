package engine

import (
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/scheduler"
)

const (
	maxResponseBody = 1 << 20   // bytes of a response that is not streamed
	maxEvent        = 256 << 10 // bytes of one streamed event
)

// Callbacks report what becomes of an attempt: Event for each event that its Stream passed on, then Ended once.
type Callbacks struct {
	Event func(data []byte)
	Ended func(Result)
}

// Call is an attempt in any protocol over HTTP/1.1: what is sent, and how the response is read.
type Call struct {
	// BuildRequest returns the request's bytes. It runs when the request leaves, with the time that is left until the
	// timeout.
	BuildRequest func(addr string, remaining eventloop.Micros) []byte
	// ReadResponse reads a response that is not streamed and has MaxResponseBody bytes at most.
	ReadResponse    func(head *http1.Head, body []byte) Result
	MaxResponseBody int
	Stream          Stream // nil: the response is never streamed
	// IsRelease marks a call that releases KV state: it may use the spare connections and does not queue.
	IsRelease bool
	// SendTimeout, where it is above 0 and below Limits.ConnectTimeout, bounds the time until the request has left.
	SendTimeout eventloop.Micros
}

// Stream reads the events of one streamed response.
type Stream interface {
	// Event reads one event and returns whether it is passed on. An error ends the attempt.
	Event(data []byte) (pass bool, err error)
	// Ended returns the result once the response's body has come to its end.
	Ended() Result
	// Complete reports whether the last event has come. A body that goes on until its connection is closed has no other
	// end.
	Complete() bool
	// Broken returns the result of a stream that ended early, given the outcome and reason that its end suggests.
	Broken(outcome scheduler.Outcome, reason string) Result
}

// Call starts an attempt. No callback runs before it has returned; an attempt to an unknown endpoint ends as
// unreachable.
func (e *Engine) Call(id scheduler.EndpointID, call Call, timeout eventloop.Micros, callbacks Callbacks) *Attempt {
	return e.call(e.endpoints[id], call, timeout, callbacks)
}

func (e *Engine) call(ep *endpoint, call Call, timeout eventloop.Micros, callbacks Callbacks) *Attempt {
	sendTimeout := e.limits.ConnectTimeout
	if call.SendTimeout > 0 {
		sendTimeout = min(sendTimeout, call.SendTimeout)
	}
	attempt := &Attempt{
		engine:       e,
		endpoint:     ep,
		call:         call,
		callbacks:    callbacks,
		memoryUsage:  scheduler.NoLoadReport,
		events:       sse.Parser{MaxEventBytes: maxEvent},
		deadline:     e.loop.Now() + timeout,
		sendDeadline: e.loop.Now() + sendTimeout,
	}
	attempt.timer = e.loop.AfterFunc(min(timeout, sendTimeout), attempt.timeout)
	if ep == nil || ep.addr == "" {
		e.failLater(attempt, "endpoint has no address")
		return attempt
	}
	e.start(attempt)
	return attempt
}

// failLater ends an attempt as unreachable, after the call that is under way.
func (e *Engine) failLater(attempt *Attempt, reason string) {
	e.loop.Defer(func() { attempt.finish(Result{Outcome: scheduler.Unreachable, Reason: reason}) })
}
