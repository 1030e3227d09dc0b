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

// Callbacks report the progress of an attempt. Event is called for each event that Call.Stream passes on. Ended is
// called once, after the last event, with the result.
type Callbacks struct {
	Event func(data []byte)
	Ended func(Result)
}

// Call describes a request in any protocol over HTTP/1.1: how it is built and how its response is read.
type Call struct {
	// BuildRequest returns the request's bytes. It is called when a connection is ready, with the time remaining until
	// the timeout.
	BuildRequest func(addr string, remaining eventloop.Micros) []byte
	// ReadResponse reads a response that is not streamed.
	ReadResponse func(head *http1.Head, body []byte) Result
	// MaxResponseBody bounds the body of a response that is not streamed, in bytes. A longer body ends the attempt.
	MaxResponseBody int
	Stream          Stream // nil: the response is never streamed
	// IsRelease marks a call that releases KV state. Such a call may use the spare connections and is never queued.
	IsRelease bool
	// SendTimeout bounds the time until the request has been sent completely. Limits.ConnectTimeout applies if it is
	// shorter or if SendTimeout is 0.
	SendTimeout eventloop.Micros
}

// Stream reads the events of one streamed response.
type Stream interface {
	// Event reads one event and returns whether to pass it on to Callbacks.Event. An error ends the attempt.
	Event(data []byte) (pass bool, err error)
	// Ended returns the result after the end of the response's body.
	Ended() Result
	// Complete reports whether the protocol's last event has been read. For a body that is delimited by the end of the
	// connection, nothing else tells a complete stream from a truncated one.
	Complete() bool
	// Broken returns the result of a stream that ended early. The caller passes the outcome and the reason that it would
	// report without knowing the protocol.
	Broken(outcome scheduler.Outcome, reason string) Result
}

// Call starts an attempt. No callback runs before Call has returned. An attempt to an unknown endpoint ends as
// Unreachable.
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
		e.deferFailure(attempt, "endpoint has no address")
		return attempt
	}
	e.start(attempt)
	return attempt
}

// deferFailure ends an attempt as Unreachable once the current call on the event loop has returned.
func (e *Engine) deferFailure(attempt *Attempt, reason string) {
	e.loop.Defer(func() { attempt.finish(Result{Outcome: scheduler.Unreachable, Reason: reason}) })
}
