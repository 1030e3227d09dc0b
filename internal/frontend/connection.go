package frontend

import (
	"errors"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// connection is one connection of a client; it carries one request at a time.
type connection struct {
	server    *Server
	conn      eventloop.Conn
	parser    http1.Parser
	response  *Response // to the request that arrives or waits for its answer; nil: none
	sink      Sink
	problem   *Problem // what the request will be answered with once it has arrived
	bodyBytes int      // of its body since its time was last extended
	timeout   eventloop.Timeout
	scratch   []byte
	closing   bool // nothing more is read

	// receivedAt is when the first byte of the request came that is read or answered, pipelinedAt that of what waits
	// behind it.
	receivedAt, pipelinedAt eventloop.Micros

	order     uint64 // connections opened earlier have smaller ones
	idleSince eventloop.Micros
}

// Opened implements eventloop.Handler.
func (c *connection) Opened() {
	s := c.server
	if s.shuttingDown {
		c.closing = true
		c.conn.Close()
		return
	}
	if s.atLimit() {
		s.evictIdle()
	}
	if s.aboveOverflow() {
		c.closing = true
		c.conn.Write(OverloadedResponse())
		// What the client sends is taken in meanwhile, as a reset would overtake the response.
		c.timeout.Set(s.loop, overloadedLinger, func() { c.conn.Close() })
		return
	}
	s.opened++
	c.order, c.idleSince = s.opened, s.loop.Now()
	s.connections[c] = true
	c.timeout.Set(s.loop, s.limits.IdleTimeout, c.idleTimedOut)
}

// Data implements eventloop.Handler.
func (c *connection) Data(data []byte) {
	if c.closing {
		return
	}
	now := c.server.loop.Now()
	if c.parser.Buffered() == 0 {
		c.pipelinedAt = now
	}
	if c.response == nil && c.parser.Idle() {
		// A message has its time from its first byte on: bytes that trickle in earn no further time.
		c.receivedAt = now
		c.awaitMessage()
	}
	c.checkParsed(c.parser.Feed(data, c))
	if c.parser.Buffered() > c.server.messageLimits.HeadBytes {
		c.conn.SetPaused(true) // further pipelined requests wait in the socket
	}
}

// Drained implements eventloop.Handler.
func (c *connection) Drained() {
	if c.closing || c.response == nil {
		return
	}
	c.timeout.Clear()
	if c.response.OnDrained != nil {
		c.response.OnDrained()
	}
}

// Closed implements eventloop.Handler.
func (c *connection) Closed(error) {
	delete(c.server.connections, c)
	c.closing = true
	c.timeout.Clear()
	if c.response != nil {
		c.response.disconnect()
	}
}

// idleTimedOut closes a connection without a request, unless something has arrived that was not handed over yet: a
// request that was read must not be met with a close.
func (c *connection) idleTimedOut() {
	if !c.conn.CloseIfIdle() {
		c.timeout.Set(c.server.loop, idleRecheck, c.idleTimedOut)
	}
}

// evictable reports whether the connection has waited for a request for long enough to be evicted for another.
func (c *connection) evictable() bool {
	idle := c.response == nil && !c.closing && c.parser.Idle()
	return idle && c.server.loop.Now()-c.idleSince > minEvictionIdle
}

// awaitMessage gives the request its time to arrive.
func (c *connection) awaitMessage() {
	c.bodyBytes = 0
	c.timeout.Set(c.server.loop, c.server.limits.MessageTimeout, func() { c.refuse(requestTimeout()) })
}

func (c *connection) checkParsed(err error) {
	var protocolError *http1.ProtocolError
	if errors.As(err, &protocolError) {
		c.refuse(malformed(protocolError))
	}
}

// refuse answers a request that can't be read and closes the connection, as it can't be parsed any further.
func (c *connection) refuse(problem *Problem) {
	if c.closing {
		return
	}
	c.closing = true
	if response := c.response; response != nil {
		if response.received { // the client could not match two answers to its requests
			response.disconnect()
			c.conn.Abort()
			return
		}
		response.abandon()
	}
	c.conn.Write(http1.AppendResponse(nil, problem.Status, problem.Body(),
		"Connection", "close", "Content-Type", "application/json"))
	c.closeWithin(c.server.limits.StallTimeout)
}

// closeWithin closes the connection once all is sent, and resets it where the client does not take it in time.
func (c *connection) closeWithin(span eventloop.Micros) {
	c.conn.Close()
	c.timeout.Set(c.server.loop, span, func() { c.conn.Abort() })
}

// Head implements http1.Handler.
func (c *connection) Head(head *http1.Head) error {
	s := c.server
	c.response = &Response{
		connection: c,
		keepAlive:  head.KeepAlive() && !s.shuttingDown,
		receivedAt: c.receivedAt,
	}
	s.OpenRequests++
	c.sink, c.problem = nil, nil
	c.sink, c.problem = s.begin(head, c.response)
	if route, found := s.route(head.Target); found {
		c.response.maxBuffered = route.MaxBuffered
	}
	if strings.EqualFold(head.Get("Expect"), "100-continue") {
		c.conn.Write([]byte(continueResponse))
	}
	return nil
}

// Body implements http1.Handler.
func (c *connection) Body(data []byte) error {
	if c.bodyBytes += len(data); c.bodyBytes >= extendEveryBytes && !c.response.bodyPaused {
		c.awaitMessage()
	}
	switch {
	case c.problem != nil || c.sink == nil:
	case !isDiscarding(c.sink) && !c.response.reserve(len(data)):
		c.shedBody()
	default:
		c.problem = c.sink.Data(data)
	}
	return nil
}

// shedBody rejects a request whose body exceeds what may be buffered; the rest of it is discarded.
func (c *connection) shedBody() {
	response := c.response
	if response.OnDisconnect != nil { // the route has begun with the request
		response.OnDisconnect()
		response.OnDisconnect = nil
	}
	response.releaseBuffer()
	response.PauseBody(false)
	c.sink = &discardingSink{end: func() { response.Reject(0) }}
}

// End implements http1.Handler.
func (c *connection) End() error {
	c.parser.Pause()
	c.timeout.Clear()
	response, sink, problem := c.response, c.sink, c.problem
	c.sink, c.problem = nil, nil
	response.received = true
	if problem == nil && sink != nil {
		problem = sink.End()
	}
	if problem != nil {
		response.finishProblem(problem)
	}
	return nil
}

// next makes the connection ready for another request.
func (c *connection) next() {
	s := c.server
	c.response, c.idleSince, c.receivedAt = nil, s.loop.Now(), c.pipelinedAt
	c.timeout.Set(s.loop, s.limits.IdleTimeout, c.idleTimedOut)
	c.conn.SetPaused(false)
	c.checkParsed(c.parser.Resume(c))
}

// stalled resets a connection whose client does not take what is sent: nothing more can be said to it.
func (c *connection) stalled() {
	c.closing = true
	if c.response != nil {
		c.response.disconnect()
	}
	c.conn.Abort()
}
