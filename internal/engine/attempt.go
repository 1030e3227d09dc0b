package engine

import (
	"net/http"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/scheduler"
)

// Attempt is one request to an endpoint. Callbacks.Ended reports the attempt's result, unless Cancel ends the attempt.
type Attempt struct {
	engine       *Engine
	endpoint     *endpoint
	call         Call
	callbacks    Callbacks
	connection   *connection      // nil: the attempt has no connection
	writtenAt    eventloop.Micros // when the request was written to the connection
	deadline     eventloop.Micros // for the first event, or for the end of a response that is not streamed
	sendDeadline eventloop.Micros // time by which the network must have taken the request's last byte
	timer        eventloop.Timer  // for the deadlines and, after MarkStarted, for the stream's idle timeout
	evictions    int              // idle connections closed because no file descriptor was free for this attempt

	ended bool
	sent  bool // the network had taken the request's last byte when the attempt ended; valid once ended is set

	readingPaused   bool
	streamIdleSince eventloop.Micros // start of the current idle period of a started stream

	// The response as far as it has been received.
	head        *http1.Head
	body        []byte
	events      sse.Parser
	memoryUsage float64
}

// timeout ends an attempt whose deadline has passed. If the request has not been sent completely by its send deadline,
// because there was no free connection or the endpoint does not read, the attempt cannot have run and ends as
// Unreachable. The request is not sent later, because the decision to send it assumed that it is sent by the send
// deadline.
func (a *Attempt) timeout() {
	now := a.engine.loop.Now()
	switch {
	case a.Unsent():
		a.abort(Result{Outcome: scheduler.Unreachable, Reason: "request was not sent before the send deadline"})
	case now < a.deadline:
		a.timer = a.engine.loop.AfterFunc(a.deadline-now, a.timeout)
	default:
		a.abort(Result{Outcome: scheduler.TimedOut, Reason: "no response before the deadline"})
	}
}

// Unsent reports whether the network has not taken the request's last byte yet. No endpoint can have run an unsent
// attempt.
func (a *Attempt) Unsent() bool {
	if a.ended {
		return !a.sent
	}
	return a.connection == nil || !a.connection.written || a.connection.conn.Unsent() > 0
}

// maxRoundTrip bounds the network delay to an endpoint and back. If data arrives more than maxRoundTrip after a write,
// the endpoint sent that data after the written bytes had reached its machine.
const maxRoundTrip = 20 * eventloop.Millisecond

// EndpointSeenRunning reports whether the endpoint's process is known to have been running after the request reached
// it. Two facts together prove that the process was running. The process has answered an earlier attempt on this
// connection, and it has sent data, on any connection, after the time by which the request must have arrived. An open
// connection alone is no proof, because a kernel accepts connections for a stopped process. TCP acknowledgements are no
// proof either, because a kernel or a proxy sends them without the process.
func (a *Attempt) EndpointSeenRunning() bool {
	if a.connection == nil || a.connection.attempts == 0 || a.Unsent() || a.connection.conn.Undelivered() {
		return false
	}
	return a.endpoint.lastReceived > a.writtenAt+maxRoundTrip
}

// Cancel ends an attempt without a callback. It resets the connection, which tells the endpoint to stop.
func (a *Attempt) Cancel() {
	if !a.ended {
		a.sent = !a.Unsent()
		a.ended = true
		a.timer.Stop()
		a.dropConnection()
	}
}

// MarkStarted tells the attempt that the first token has arrived. From then on, an idle timeout replaces the deadline.
// The attempt ends if the stream delivers no event for Limits.StreamIdleTimeout. Without the idle timeout, an attempt
// to an endpoint that vanished without closing its connection would never end.
func (a *Attempt) MarkStarted() { a.restartStreamIdleTimer() }

func (a *Attempt) restartStreamIdleTimer() {
	a.timer.Stop()
	a.streamIdleSince = a.engine.loop.Now()
	a.timer = a.engine.loop.AfterFunc(a.engine.limits.StreamIdleTimeout, a.checkStreamIdle)
}

// checkStreamIdle ends the attempt if its stream has been idle for too long. Time during which reading is paused does
// not count.
func (a *Attempt) checkStreamIdle() {
	idle := a.engine.loop.Now() - a.streamIdleSince
	limit := a.engine.limits.StreamIdleTimeout
	switch {
	case a.readingPaused:
		a.restartStreamIdleTimer()
	case idle < limit:
		a.timer = a.engine.loop.AfterFunc(limit-idle, a.checkStreamIdle)
	default:
		a.abort(a.brokenResult(scheduler.ConnectionLost, "stream idle timeout"))
	}
}

// SetReadingPaused pauses or resumes reading from the endpoint, to keep a stream from outrunning a slow client.
func (a *Attempt) SetReadingPaused(on bool) {
	if a.connection != nil && !a.ended && a.readingPaused != on {
		a.readingPaused = on
		a.streamIdleSince = a.engine.loop.Now()
		a.connection.conn.SetPaused(on)
	}
}

// dropConnection detaches the attempt from its connection and resets the connection.
func (a *Attempt) dropConnection() {
	if conn := a.connection; conn != nil {
		a.connection = nil
		conn.attempt = nil
		conn.conn.Abort()
	}
}

// finish ends the attempt and reports its result, unless it has ended already.
func (a *Attempt) finish(result Result) { a.end(result, false) }

// abort ends the attempt as finish does, and resets its connection, which can't be used any more.
func (a *Attempt) abort(result Result) { a.end(result, true) }

func (a *Attempt) end(result Result, reset bool) {
	if a.ended {
		return
	}
	a.sent = a.sent || !a.Unsent()
	a.ended = true
	a.timer.Stop()
	if reset {
		result.ClosedLocally = true
		a.dropConnection()
	}
	if result.MemoryUsage == 0 {
		result.MemoryUsage = a.memoryUsage
	}
	a.callbacks.Ended(result)
}

// brokenResult returns the result of an attempt whose response is incomplete.
func (a *Attempt) brokenResult(outcome scheduler.Outcome, reason string) Result {
	if a.call.Stream != nil {
		return a.call.Stream.Broken(outcome, reason)
	}
	return Result{Outcome: outcome, Reason: reason}
}

// receiveEvent handles one event of a streamed response. An error ends the attempt.
func (a *Attempt) receiveEvent(data []byte) error {
	if a.ended {
		return nil
	}
	a.streamIdleSince = a.engine.loop.Now()
	pass, err := a.call.Stream.Event(data)
	if err == nil && pass {
		a.callbacks.Event(data)
	}
	return err
}

// receiveBody handles bytes of the response's body. An error ends the attempt.
func (a *Attempt) receiveBody(data []byte) error {
	if a.streamed() {
		return a.events.Feed(data, a.receiveEvent)
	}
	if a.body = append(a.body, data...); len(a.body) > a.call.MaxResponseBody {
		return errResponseTooLong
	}
	return nil
}

// streamed reports whether the response is an event stream. The response's head must have arrived.
func (a *Attempt) streamed() bool {
	return a.call.Stream != nil && a.head.Status == http.StatusOK &&
		strings.HasPrefix(a.head.Get("Content-Type"), "text/event-stream")
}
