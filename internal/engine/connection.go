package engine

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

// reuseDelay is the time after a response for which a connection is not reused. An endpoint may send a second response
// some milliseconds later, which would be taken for the response to the next attempt.
const reuseDelay = 15 * eventloop.Millisecond

var (
	errUnrequested     = errors.New("response without a request")
	errResponseTooLong = errors.New("response body is too long")
	errEarlyResponse   = errors.New("response before the request was sent completely")
)

// earlyResponseResult is the result of an attempt that was answered before its request was sent completely, unless the
// response is a rejection. Whatever the response says, an incomplete request has not run.
var earlyResponseResult = Result{Outcome: scheduler.Unreachable, Reason: errEarlyResponse.Error()}

// connection is one connection to an endpoint. It is used by one attempt at a time.
type connection struct {
	engine   *Engine
	endpoint *endpoint
	addr     string
	conn     eventloop.Conn
	parser   http1.Parser
	attempt  *Attempt // nil: no attempt uses the connection
	written  bool     // the attempt's request was written to conn

	opened             bool
	closed             bool
	closeAfterResponse bool // the endpoint will close the connection after this response
	bodyEndedByClose   bool // the response's body ended with the connection

	idleTimer    eventloop.Timer
	idleOrder    uint64 // lower for a connection that has been idle for longer
	idleSince    eventloop.Micros
	idleDuration eventloop.Micros // how long the connection was idle before the current attempt
	attempts     int              // number of attempts completed on this connection before the current one
}

// send sends an attempt on an idle connection.
func (c *connection) send(attempt *Attempt) {
	c.attempt, attempt.connection = attempt, c
	c.idleDuration = c.engine.loop.Now() - c.idleSince
	c.write()
}

// write writes the attempt's request to the network. The request is built only now, because it may state the remaining
// time.
func (c *connection) write() {
	c.written = true
	c.attempt.writtenAt = c.engine.loop.Now()
	remaining := max(c.attempt.deadline-c.attempt.writtenAt, 0)
	c.conn.Write(c.attempt.call.BuildRequest(c.addr, remaining))
}

// Opened implements eventloop.Handler.
func (c *connection) Opened() {
	c.opened = true
	c.endpoint.opening--
	defer c.engine.startQueued(c.endpoint)
	if c.attempt != nil {
		c.write()
		return
	}
	c.conn.Close()
}

// Drained implements eventloop.Handler.
func (c *connection) Drained() {}

// Data implements eventloop.Handler.
func (c *connection) Data(data []byte) {
	c.endpoint.lastReceived = c.engine.loop.Now()
	if c.attempt == nil {
		c.removeFromIdle() // unrequested data must not be taken for the next attempt's response
		c.conn.Abort()
		return
	}
	err := c.parser.Feed(data, c)
	switch {
	case err == nil || c.attempt == nil:
	case c.attempt.Unsent():
		c.attempt.abort(earlyResponseResult)
	default:
		c.attempt.abort(c.attempt.brokenResult(scheduler.Errored, err.Error()))
	}
}

// Closed implements eventloop.Handler.
func (c *connection) Closed(cause error) {
	c.closed = true
	c.endpoint.open--
	c.engine.open--
	if !c.opened {
		c.endpoint.opening--
	}
	c.removeFromIdle()
	defer c.engine.startQueued(c.endpoint)
	switch {
	case c.attempt == nil:
	case !c.written || c.conn.Unsent() > 0:
		c.closedBeforeSent(cause)
	default:
		c.closedAfterSent(cause)
	}
}

// closedBeforeSent ends an attempt whose connection failed before the request was sent completely. If no file
// descriptor was free, it restarts the attempt instead after closing an idle connection, as far as startAfterEviction
// allows.
func (c *connection) closedBeforeSent(cause error) {
	c.bodyEndedByClose = true
	_ = c.parser.Close(c)
	if c.attempt == nil { // an early rejection, whose body is delimited by the connection's end, ended the attempt
		return
	}
	attempt := c.detachAttempt()
	if errors.Is(cause, eventloop.ErrNoDescriptors) && c.engine.startAfterEviction(attempt) {
		return
	}
	attempt.finish(Result{Outcome: scheduler.Unreachable, Reason: cause.Error()})
}

// closedAfterSent ends an attempt whose connection ended after the request was sent completely.
func (c *connection) closedAfterSent(cause error) {
	c.attempt.sent, c.bodyEndedByClose = true, true
	err := c.parser.Close(c)
	if c.attempt == nil { // the connection's end completed the response, which ended the attempt
		return
	}
	attempt := c.detachAttempt()
	reason := "connection ended before the response was complete"
	if err != nil && c.parser.Idle() {
		reason = "connection ended before any response"
	}
	reason = fmt.Sprintf("%s: %v (attempt %d on the connection, idle for %d ms before it)",
		reason, cause, c.attempts+1, c.idleDuration/eventloop.Millisecond)
	attempt.finish(attempt.brokenResult(scheduler.ConnectionLost, reason))
}

// detachAttempt removes the attempt from the connection and returns it.
func (c *connection) detachAttempt() *Attempt {
	attempt := c.attempt
	c.attempt, attempt.connection = nil, nil
	return attempt
}

// Head implements http1.Handler.
func (c *connection) Head(head *http1.Head) error {
	if c.attempt == nil {
		return errUnrequested
	}
	if c.attempt.Unsent() && head.Status < http.StatusMultipleChoices {
		return errEarlyResponse
	}
	c.attempt.head, c.closeAfterResponse = head, !head.KeepAlive()
	c.attempt.memoryUsage = memoryUsage(head)
	return nil
}

// Body implements http1.Handler.
func (c *connection) Body(data []byte) error {
	if c.attempt == nil {
		return errUnrequested
	}
	return c.attempt.receiveBody(data)
}

// End implements http1.Handler.
func (c *connection) End() error {
	if c.attempt == nil {
		return errUnrequested
	}
	result, unsent := c.readResult(), c.attempt.Unsent()
	if unsent && !result.Outcome.KnownNotRun() {
		result = earlyResponseResult
	}
	attempt := c.detachAttempt()
	attempt.sent = !unsent
	c.conn.SetPaused(false)
	switch {
	case unsent, c.parser.Pipelined() > 0: // data after the response must not be taken for the next response
		c.conn.Abort()
	case c.closeAfterResponse || c.closed || c.outdated():
		c.conn.Close()
	default:
		c.attempts++
		c.idleSince = c.engine.loop.Now()
		c.engine.loop.AfterFunc(reuseDelay, c.becomeIdle)
	}
	c.engine.startQueued(c.endpoint)
	attempt.finish(result)
	return nil
}

// readResult returns the result of a response whose end has been received.
func (c *connection) readResult() Result {
	attempt := c.attempt
	stream := attempt.call.Stream
	switch {
	case !attempt.streamed():
		return attempt.call.ReadResponse(attempt.head, attempt.body)
	case c.bodyEndedByClose && !stream.Complete():
		return stream.Broken(scheduler.ConnectionLost, "connection ended before the stream's last event")
	default:
		return stream.Ended()
	}
}

// outdated reports whether the endpoint has another address by now or has been removed.
func (c *connection) outdated() bool { return c.addr != c.endpoint.addr || c.endpoint.removed }

// becomeIdle adds the connection to the endpoint's idle ones, for use by another attempt. If the connection is
// outdated, becomeIdle closes it instead.
func (c *connection) becomeIdle() {
	engine := c.engine
	if c.closed {
		return
	}
	if c.outdated() {
		c.conn.Close()
		return
	}
	c.endpoint.idle = append(c.endpoint.idle, c)
	engine.idleSequence++
	c.idleOrder = engine.idleSequence
	c.idleTimer = engine.loop.AfterFunc(engine.limits.IdleTimeout, func() {
		c.removeFromIdle()
		c.conn.Close()
	})
	engine.startQueued(c.endpoint)
}

// removeFromIdle removes the connection from the endpoint's idle ones, if it is among them.
func (c *connection) removeFromIdle() {
	if at := slices.Index(c.endpoint.idle, c); at >= 0 {
		c.endpoint.idle = slices.Delete(c.endpoint.idle, at, at+1)
		c.idleTimer.Stop()
	}
}
