package engine

import (
	"net/http"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/scheduler"
)

// Attempt is one request to an endpoint. Its end is reported by Callbacks.Ended, unless Cancel ends it.
type Attempt struct {
	engine       *Engine
	endpoint     *endpoint
	call         Call
	callbacks    Callbacks
	connection   *connection // nil while it has none
	writtenAt    eventloop.Micros
	deadline     eventloop.Micros // of the first event, or of a response that is not streamed
	sendDeadline eventloop.Micros // by which its last byte has to have left
	timer        eventloop.Timer  // for the deadlines, and once started for a stream that falls silent
	evictions    int              // idle connections that were closed for it

	ended bool
	sent  bool // once ended: its last byte had left this process

	readingPaused bool
	lastReceived  eventloop.Micros // when a started stream last brought anything

	// What of the response has come.
	head        *http1.Head
	body        []byte
	events      sse.Parser
	memoryUsage float64
}

// timeout ends an attempt whose deadline has passed. One whose last byte has not left cannot have run, and is taken
// back once the time to send is over, for want of a connection or because the endpoint does not read: whether it may
// still be sent was decided when the attempt was ordered.
func (a *Attempt) timeout() {
	now := a.engine.loop.Now()
	switch {
	case a.Unsent():
		a.abort(Result{Outcome: scheduler.Unreachable, Reason: "not sent within its time"})
	case now < a.deadline:
		a.timer = a.engine.loop.AfterFunc(a.deadline-now, a.timeout)
	default:
		a.abort(Result{Outcome: scheduler.TimedOut, Reason: "no response within its time"})
	}
}

// Unsent reports whether the attempt's last byte has not left this process, so that no endpoint can have begun it.
func (a *Attempt) Unsent() bool {
	if a.ended {
		return !a.sent
	}
	return a.connection == nil || !a.connection.written || a.connection.conn.Unsent() > 0
}

// arrivalTime is how long what was written may take to its endpoint, and what the endpoint has sent before that may
// take to this process.
const arrivalTime = 20 * eventloop.Millisecond

// SeenRunning reports whether the endpoint is known to have run since the attempt must have reached it: its process
// has answered on this connection before, which a machine may have accepted without it, and has sent something since,
// on any connection. That the network has confirmed the attempt's bytes says nothing of the kind: the machine of a
// stopped process, or a proxy, confirms them too.
func (a *Attempt) SeenRunning() bool {
	if a.connection == nil || a.connection.attempts == 0 || a.Unsent() || a.connection.conn.Undelivered() {
		return false
	}
	return a.endpoint.lastReceived > a.writtenAt+arrivalTime
}

// Cancel ends an attempt without a callback. The connection is reset, by which the endpoint learns of it.
func (a *Attempt) Cancel() {
	if !a.ended {
		a.sent = !a.Unsent()
		a.ended = true
		a.timer.Stop()
		a.dropConnection()
	}
}

// Started lifts the attempt's deadline, which counts until the first token. From now on the stream may not fall silent
// for longer than Limits.StreamIdleTimeout: a peer that is gone never closes its connection.
func (a *Attempt) Started() { a.restartSilenceTimer() }

func (a *Attempt) restartSilenceTimer() {
	a.timer.Stop()
	a.lastReceived = a.engine.loop.Now()
	a.timer = a.engine.loop.AfterFunc(a.engine.limits.StreamIdleTimeout, a.checkSilence)
}

func (a *Attempt) checkSilence() {
	silence := a.engine.loop.Now() - a.lastReceived
	limit := a.engine.limits.StreamIdleTimeout
	switch {
	case a.readingPaused:
		a.restartSilenceTimer()
	case silence < limit:
		a.timer = a.engine.loop.AfterFunc(limit-silence, a.checkSilence)
	default:
		a.abort(a.brokenResult(scheduler.ConnectionLost, "stream fell silent"))
	}
}

// SetReadingPaused stops or resumes the reading of a stream, for a client that lags.
func (a *Attempt) SetReadingPaused(on bool) {
	if a.connection != nil && !a.ended && a.readingPaused != on {
		a.readingPaused = on
		a.lastReceived = a.engine.loop.Now()
		a.connection.conn.SetPaused(on)
	}
}

func (a *Attempt) dropConnection() {
	if conn := a.connection; conn != nil {
		a.connection = nil
		conn.attempt = nil
		conn.conn.Abort()
	}
}

// finish reports the result, once.
func (a *Attempt) finish(result Result) { a.end(result, false) }

// abort reports the result, once, and resets the connection, which can carry nothing more.
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

// brokenResult returns the result of a response that ended early.
func (a *Attempt) brokenResult(outcome scheduler.Outcome, reason string) Result {
	if a.call.Stream != nil {
		return a.call.Stream.Broken(outcome, reason)
	}
	return Result{Outcome: outcome, Reason: reason}
}

// receiveEvent handles one event of a streamed response.
func (a *Attempt) receiveEvent(data []byte) error {
	if a.ended {
		return nil
	}
	a.lastReceived = a.engine.loop.Now()
	pass, err := a.call.Stream.Event(data)
	if err == nil && pass {
		a.callbacks.Event(data)
	}
	return err
}

// receiveBody handles bytes of the response's body.
func (a *Attempt) receiveBody(data []byte) error {
	if a.streamed() {
		return a.events.Feed(data, a.receiveEvent)
	}
	if a.body = append(a.body, data...); len(a.body) > a.call.MaxResponseBody {
		return errResponseTooLong
	}
	return nil
}

// streamed reports whether the response is a stream of events.
func (a *Attempt) streamed() bool {
	return a.call.Stream != nil && a.head.Status == http.StatusOK &&
		strings.HasPrefix(a.head.Get("Content-Type"), "text/event-stream")
}
