package frontend

import (
	"errors"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// connection is one client connection. It serves one request at a time.
type connection struct {
	server    *Server
	conn      eventloop.Conn
	parser    http1.Parser
	response  *Response // for the request that is being received or answered; nil: no request
	sink      Sink      // receives the current request's body
	problem   *Problem  // the answer to the current request, sent once the request has been received
	bodyBytes int       // bytes of the body received since MessageTimeout was last restarted
	timeout   eventloop.Timeout
	scratch   []byte // buffer that is reused for chunks
	closing   bool   // further data is ignored

	// receivedAt is when the first byte of the current request arrived. pipelinedAt is when the first byte of the data
	// that waits behind that request arrived.
	receivedAt, pipelinedAt eventloop.Micros

	order     uint64 // lower for a connection that was opened earlier
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
	if s.aboveOverflowLimit() {
		c.closing = true
		c.conn.Write(OverloadedResponse())
		// Until the connection is closed, data from the client is read and ignored: closing a socket with unread data
		// would reset the connection, and the reset would overtake the response.
		c.timeout.Set(s.loop, overloadedCloseDelay, func() { c.conn.Close() })
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
		// MessageTimeout starts with the first byte of a message. It is restarted only after bytesPerTimeoutExtension of
		// body data or at the end of a pause, because a client that sends a few bytes at a time must not hold the connection.
		c.receivedAt = now
		c.restartMessageTimeout()
	}
	c.checkParsed(c.parser.Feed(data, c))
	if c.parser.Buffered() > c.server.messageLimits.HeadBytes {
		c.conn.SetPaused(true) // leave further pipelined requests in the socket
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

// idleTimedOut closes a connection that has no request. If data has arrived that the event loop has not delivered yet,
// idleTimedOut tries again later, because the data may be a request, which must be answered.
func (c *connection) idleTimedOut() {
	if !c.conn.CloseIfIdle() {
		c.timeout.Set(c.server.loop, idleRecheckDelay, c.idleTimedOut)
	}
}

// evictable reports whether the connection has been idle for long enough to be closed in favour of a new one.
func (c *connection) evictable() bool {
	idle := c.response == nil && !c.closing && c.parser.Idle()
	return idle && c.server.loop.Now()-c.idleSince > minIdleBeforeEviction
}

// restartMessageTimeout allows the client another MessageTimeout to send the rest of its request.
func (c *connection) restartMessageTimeout() {
	c.bodyBytes = 0
	c.timeout.Set(c.server.loop, c.server.limits.MessageTimeout, func() { c.rejectUnreadable(requestTimeout()) })
}

// checkParsed rejects the request if parsing it failed.
func (c *connection) checkParsed(err error) {
	var protocolError *http1.ProtocolError
	if errors.As(err, &protocolError) {
		c.rejectUnreadable(malformed(protocolError))
	}
}

// rejectUnreadable answers a request that is malformed or did not arrive in time. It then closes the connection, whose
// further data can't be parsed.
func (c *connection) rejectUnreadable(problem *Problem) {
	if c.closing {
		return
	}
	c.closing = true
	if response := c.response; response != nil {
		if response.received { // a second answer now could be taken for the answer to the earlier request
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

// closeWithin closes the connection after all data has been sent, or resets it if that takes longer than the timeout.
func (c *connection) closeWithin(timeout eventloop.Micros) {
	c.conn.Close()
	c.timeout.Set(c.server.loop, timeout, func() { c.conn.Abort() })
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
	if c.bodyBytes += len(data); c.bodyBytes >= bytesPerTimeoutExtension && !c.response.bodyPaused {
		c.restartMessageTimeout()
	}
	switch {
	case c.problem != nil || c.sink == nil:
	case !isDiscarding(c.sink) && !c.response.reserve(len(data)):
		c.rejectBody()
	default:
		c.problem = c.sink.Data(data)
	}
	return nil
}

// rejectBody rejects a request whose body would exceed MaxBufferedBytes, and discards the rest of the body.
func (c *connection) rejectBody() {
	response := c.response
	if response.OnDisconnect != nil { // the route has started on the request: tell it to stop
		response.OnDisconnect()
		response.OnDisconnect = nil
	}
	response.releaseBuffer()
	response.SetBodyPaused(false)
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

// startNextRequest makes the connection ready for another request and parses pipelined data.
func (c *connection) startNextRequest() {
	s := c.server
	c.response, c.idleSince, c.receivedAt = nil, s.loop.Now(), c.pipelinedAt
	c.timeout.Set(s.loop, s.limits.IdleTimeout, c.idleTimedOut)
	c.conn.SetPaused(false)
	c.checkParsed(c.parser.Resume(c))
}

// stalled resets a connection whose client does not read. An error answer would not reach the client either.
func (c *connection) stalled() {
	c.closing = true
	if c.response != nil {
		c.response.disconnect()
	}
	c.conn.Abort()
}
