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

// restTime is how long a connection is not used after a response: an endpoint may send a second one some milliseconds
// late, which would be taken for that of the next attempt.
const restTime = 15 * eventloop.Millisecond

var (
	errUnrequested     = errors.New("response to no request")
	errResponseTooLong = errors.New("response is too long")
	errEarlyResponse   = errors.New("response before the request had left")
)

// earlyResult is the result of an attempt that was answered before its last byte had left, unless the response rejects
// it: whatever it says, an incomplete request has not run.
var earlyResult = Result{Outcome: scheduler.Unreachable, Reason: errEarlyResponse.Error()}

// connection is one connection to an endpoint; it carries one attempt at a time.
type connection struct {
	engine   *Engine
	endpoint *endpoint
	addr     string
	conn     eventloop.Conn
	parser   http1.Parser
	attempt  *Attempt // nil: none
	written  bool     // the attempt's bytes were handed to conn

	opened      bool
	closed      bool
	closesAfter bool // the endpoint closes it after this response
	bodyCut     bool // the response's body ended with the connection

	idleTimer    eventloop.Timer
	idleOrder    uint64 // connections idle for longer have smaller ones
	idleSince    eventloop.Micros
	idleDuration eventloop.Micros // before this attempt
	attempts     int              // carried before this one
}

// carry sends an attempt.
func (c *connection) carry(attempt *Attempt) {
	c.attempt, attempt.connection = attempt, c
	c.idleDuration = c.engine.loop.Now() - c.idleSince
	c.write()
}

// write hands the attempt's bytes to the network. They are built only now, as they may state the time that is left.
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
		c.leaveIdle() // what comes unrequested must not be taken for the next attempt's response
		c.conn.Abort()
		return
	}
	err := c.parser.Feed(data, c)
	switch {
	case err == nil || c.attempt == nil:
	case c.attempt.Unsent():
		c.attempt.abort(earlyResult)
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
	c.leaveIdle()
	defer c.engine.startQueued(c.endpoint)
	switch {
	case c.attempt == nil:
	case !c.written || c.conn.Unsent() > 0:
		c.closedBeforeSent(cause)
	default:
		c.closedAfterSent(cause)
	}
}

func (c *connection) closedBeforeSent(cause error) {
	c.bodyCut = true
	_ = c.parser.Close(c)
	if c.attempt == nil { // it was rejected before it had left, and the response's body ended with the connection
		return
	}
	attempt := c.release()
	if errors.Is(cause, eventloop.ErrNoDescriptors) && c.engine.startAfterEviction(attempt) {
		return
	}
	attempt.finish(Result{Outcome: scheduler.Unreachable, Reason: cause.Error()})
}

func (c *connection) closedAfterSent(cause error) {
	c.attempt.sent, c.bodyCut = true, true
	err := c.parser.Close(c)
	if c.attempt == nil { // its response was complete with the connection's end
		return
	}
	attempt := c.release()
	reason := "connection broke"
	if err != nil && c.parser.Idle() {
		reason = "no response came"
	}
	reason = fmt.Sprintf("%s: %v (attempt %d on the connection, %d ms idle before)",
		reason, cause, c.attempts+1, c.idleDuration/eventloop.Millisecond)
	attempt.finish(attempt.brokenResult(scheduler.ConnectionLost, reason))
}

// release parts the connection and its attempt.
func (c *connection) release() *Attempt {
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
	c.attempt.head, c.closesAfter = head, !head.KeepAlive()
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
		result = earlyResult
	}
	attempt := c.release()
	attempt.sent = !unsent
	c.conn.SetPaused(false)
	switch {
	case unsent, c.parser.Pipelined() > 0: // what follows a response must not be taken for the next one
		c.conn.Abort()
	case c.closesAfter || c.closed || c.outdated():
		c.conn.Close()
	default:
		c.attempts++
		c.idleSince = c.engine.loop.Now()
		c.engine.loop.AfterFunc(restTime, c.becomeIdle)
	}
	c.engine.startQueued(c.endpoint)
	attempt.finish(result)
	return nil
}

// readResult returns the result of a response that has come to its end.
func (c *connection) readResult() Result {
	attempt := c.attempt
	stream := attempt.call.Stream
	switch {
	case !attempt.streamed():
		return attempt.call.ReadResponse(attempt.head, attempt.body)
	case c.bodyCut && !stream.Complete():
		return stream.Broken(scheduler.ConnectionLost, "connection ended before the stream's last event")
	default:
		return stream.Ended()
	}
}

// outdated reports whether the endpoint is reached elsewhere now, or is gone.
func (c *connection) outdated() bool { return c.addr != c.endpoint.addr || c.endpoint.removed }

// becomeIdle makes a connection usable for another attempt.
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
	engine.idleCount++
	c.idleOrder = engine.idleCount
	c.idleTimer = engine.loop.AfterFunc(engine.limits.IdleTimeout, func() {
		c.leaveIdle()
		c.conn.Close()
	})
	engine.startQueued(c.endpoint)
}

// leaveIdle takes a connection from the idle ones, where it is one.
func (c *connection) leaveIdle() {
	if at := slices.Index(c.endpoint.idle, c); at >= 0 {
		c.endpoint.idle = slices.Delete(c.endpoint.idle, at, at+1)
		c.idleTimer.Stop()
	}
}
