package server

import (
	"container/list"
	"net/http"
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// connectionState is what a connection is doing.
type connectionState uint8

const (
	idle              connectionState = iota // waits for a request's first byte
	reading                                  // a request is coming in
	answering                                // its response is pending
	penalised                                // the client sent what can't be used, and is not served for a while
	rejectingOverflow                        // pipelined requests that were not buffered are answered
	closing                                  // nothing more is read
)

// connection is one client connection, with one request at a time.
type connection struct {
	server      *Server
	conn        eventloop.Conn
	state       connectionState
	wait        eventloop.Timeout // the one time-out that counts in this state
	idleElement *list.Element     // its place among the server's idle connections
	hadRequest  bool              // a request has begun on it

	parser   http1.Parser
	incoming incoming
	pipeline pipeline
	response *Response

	buffer []byte // scratch
	event  []byte // scratch
}

// incoming is the request that is coming in.
type incoming struct {
	head       *http1.Head
	readiness  bool       // it asks whether the server is ready
	request    *Request   // nil: it is rejected, or asks for readiness
	rejection  *Rejection // nil: no fault has been found so far
	body       []byte
	receivedAt eventloop.Micros // its first byte
	keepAlive  bool             // it lets others follow it
}

// --- Idle time ---

// becomeIdle waits for a request's first byte.
func (c *connection) becomeIdle(timeout eventloop.Micros) {
	c.state = idle
	if c.idleElement == nil {
		c.idleElement = c.server.idleConnections.PushBack(c)
	}
	c.wait.Set(c.server.loop, timeout, c.idleTimedOut)
}

// leaveIdle takes the connection out of the server's list of idle ones.
func (c *connection) leaveIdle() {
	if c.idleElement != nil {
		c.server.idleConnections.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// awaitNextRequest becomes idle behind a request.
func (c *connection) awaitNextRequest() {
	c.becomeIdle(c.server.limits.IdleTimeout)
	if c.server.stopped {
		c.idleTimedOut()
	}
}

// closeIdle closes a connection without a request, unless something has come that was not handed over yet: a request
// that was read must not meet a close. It reports whether the connection is being closed.
func (c *connection) closeIdle(reason CloseReason) bool {
	if !c.conn.CloseIfIdle() {
		return false
	}
	c.becomeClosing(reason)
	return true
}

func (c *connection) idleTimedOut() {
	if !c.closeIdle(IdleTimeout) {
		c.wait.Set(c.server.loop, busyIdleRetry, c.idleTimedOut)
	}
}

// --- Closing ---

// becomeClosing reads nothing more. What is written still goes out, for as long as the client takes any of it.
func (c *connection) becomeClosing(reason CloseReason) {
	c.leaveIdle()
	if c.state != closing {
		c.server.Closed[reason]++
		if reason != ClosedByClient {
			c.reportUnanswered(reason)
		}
	}
	c.dropPipelined()
	if c.state != closing {
		c.state = closing
		c.server.openCount--
	}
	c.wait.Set(c.server.loop, c.server.limits.StallTimeout, c.conn.Abort)
}

// close closes once all is sent.
func (c *connection) close(reason CloseReason) {
	c.becomeClosing(reason)
	c.conn.Close()
}

// abort resets the connection. A request that is being answered is abandoned, as by its client.
func (c *connection) abort(reason CloseReason) {
	c.becomeClosing(reason)
	if c.response != nil {
		c.response.abandon()
	}
	c.conn.Abort()
}

// abortStalled resets the connection of a client that reads nothing.
func (c *connection) abortStalled() { c.abort(ClientStalled) }

// reportUnanswered reports a request that was read and will not be answered, as its connection is closed from here.
func (c *connection) reportUnanswered(reason CloseReason) {
	report := c.server.OnUnansweredClose
	if report == nil {
		return
	}
	if c.response != nil && !c.response.started {
		report(c.response.id, reason.String())
	}
	// Behind a stream that broke nothing can be answered.
	if len(c.pipeline.buffered) > 0 && reason == PipelineOverflow {
		report("", reason.String()+", with pipelined requests")
	}
}

// --- Events of the connection ---

// Opened implements eventloop.Handler.
func (c *connection) Opened() {
	s := c.server
	c.becomeIdle(s.limits.RequestTimeout)
	if s.openCount <= s.limits.Connections {
		return
	}
	s.Evicted++
	if !s.evict(c) {
		c.reject(unavailable("no connection is left for it"), Evicted)
	}
}

// Data implements eventloop.Handler.
func (c *connection) Data(data []byte) {
	switch c.state {
	case closing:
	case answering, penalised:
		c.readPipelined(data)
	case rejectingOverflow:
		c.readOverflow(data)
	case idle:
		c.beginRequest(c.server.loop.Now())
		c.feed(data)
	case reading:
		c.feed(data)
	}
}

// Drained implements eventloop.Handler.
func (c *connection) Drained() {
	if c.state == rejectingOverflow {
		c.wait.Clear()
		c.pipeline.overflowTimed = false
		c.rejectOverflow()
		return
	}
	if c.response == nil || c.state != answering {
		return
	}
	c.wait.Clear()
	if c.response.OnWritable != nil {
		c.response.OnWritable()
	}
}

// Closed implements eventloop.Handler.
func (c *connection) Closed(error) {
	c.becomeClosing(ClosedByClient)
	c.wait.Clear()
	delete(c.server.connections, c)
	c.dropRequest()
	if c.response != nil {
		c.response.abandon()
	}
}

// --- Responses without a stream ---

// rejectAndKeep answers a request that can't be used but whose end is known, so that others may follow it.
func (c *connection) rejectAndKeep(r *Rejection) {
	c.dropRequest()
	c.server.Rejected++
	if c.writeResponse(shortResponse{status: r.Status, text: r.Reason}, c.staysOpen()) {
		c.state = penalised
		c.wait.Set(c.server.loop, penaltyTime, c.next)
	}
}

// reject answers what can't be parsed and closes the connection, as it is unknown where the next request begins.
func (c *connection) reject(r *Rejection, reason CloseReason) {
	if c.state == closing {
		return
	}
	c.server.Rejected++
	c.dropRequest()
	c.writeLastResponse(shortResponse{status: r.Status, text: r.Reason}, reason)
}

// answerReadiness answers whether there is anything to serve with.
func (c *connection) answerReadiness() {
	response := shortResponse{status: http.StatusOK, text: "ready"}
	if c.server.stopped || !c.server.handler.Ready() {
		response = shortResponse{status: http.StatusServiceUnavailable, text: "no model host is known yet"}
	}
	c.dropRequest()
	if c.writeResponse(response, c.staysOpen()) {
		c.state = answering
		c.server.loop.Defer(c.next)
	}
}

// staysOpen reports whether another request may follow the response that is written now. While the server drains only
// what is pipelined may.
func (c *connection) staysOpen() bool {
	return c.incoming.keepAlive && (!c.server.draining || c.pipeline.pending() || c.parser.Pipelined() > 0)
}

// shortResponse is a response that is written as one piece.
type shortResponse struct {
	status int
	text   string
	fields []string // name and value in turn
}

// encode returns the response's bytes, with further header fields.
func (r shortResponse) encode(fields ...string) []byte {
	fields = slices.Concat(r.fields, []string{"Content-Type", "text/plain"}, fields)
	return http1.AppendResponse(nil, r.status, []byte(r.text+"\n"), fields...)
}

// writeResponse writes a response, and closes the connection unless it stays open; it returns whether it does.
func (c *connection) writeResponse(r shortResponse, staysOpen bool) bool {
	if !staysOpen {
		c.writeLastResponse(r, AfterResponse)
		return false
	}
	c.conn.Write(r.encode())
	return true
}

// writeLastResponse writes a response and closes the connection.
func (c *connection) writeLastResponse(r shortResponse, reason CloseReason) {
	c.conn.Write(r.encode("Connection", "close"))
	c.close(reason)
}
