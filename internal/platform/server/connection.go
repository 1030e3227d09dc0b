package server

import (
	"container/list"
	"net/http"
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// connectionState is the state of a connection.
type connectionState uint8

const (
	idle              connectionState = iota // waiting for the first byte of a request
	reading                                  // part of a request has arrived
	answering                                // a request was read, and its response is not complete
	throttled                                // a request was rejected, and none is served for throttleDelay
	lagging                                  // requests were answered, and none is served until the answers were sent
	rejectingOverflow                        // pipelined requests that were not buffered are being rejected
	closing                                  // the connection is being closed, and what arrives is ignored
)

// connection is one client connection. It serves one request at a time.
type connection struct {
	server      *Server
	conn        eventloop.Conn
	state       connectionState
	timer       eventloop.Timeout // the timeout of the current state
	idleElement *list.Element     // the connection's element in Server.idleConnections; nil if it is not idle
	hadRequest  bool              // a request has begun on the connection

	parser   http1.Parser
	incoming incoming
	pipeline pipeline
	response *Response

	buffer []byte // reused for the bytes to write
	event  []byte // reused for an encoded event
}

// incoming is the request that is being read.
type incoming struct {
	head       *http1.Head
	isProbe    bool       // the request is a readiness probe
	request    *Request   // nil if the request is rejected or a readiness probe
	rejection  *Rejection // nil if no error has been found so far
	body       []byte
	receivedAt eventloop.Micros // when the first byte arrived
	keepAlive  bool             // the connection may stay open after the response
}

// --- Idle time ---

// enterIdle makes the connection wait for the first byte of a request until the timeout.
func (c *connection) enterIdle(timeout eventloop.Micros) {
	c.state = idle
	if c.idleElement == nil {
		c.idleElement = c.server.idleConnections.PushBack(c)
	}
	c.timer.Set(c.server.loop, timeout, c.idleTimedOut)
}

// leaveIdle removes the connection from the server's list of idle connections.
func (c *connection) leaveIdle() {
	if c.idleElement != nil {
		c.server.idleConnections.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// awaitNextRequest makes the connection idle after a request, or closes it after a shutdown.
func (c *connection) awaitNextRequest() {
	c.enterIdle(c.server.limits.IdleTimeout)
	if c.server.stopped {
		c.idleTimedOut()
	}
}

// closeIdle closes an idle connection, unless bytes have arrived that the loop has not passed to the connection yet.
// These bytes may be a request, which must be answered. It reports whether the connection is being closed.
func (c *connection) closeIdle(reason CloseReason) bool {
	if !c.conn.CloseIfIdle() {
		return false
	}
	c.enterClosing(reason)
	return true
}

// idleTimedOut closes the connection, or tries again later if something has just arrived on it.
func (c *connection) idleTimedOut() {
	if !c.closeIdle(IdleTimeout) {
		c.timer.Set(c.server.loop, idleCloseRetryDelay, c.idleTimedOut)
	}
}

// --- Closing ---

// enterClosing makes the connection ignore what arrives from now on. What has been written is still sent. If sending
// takes longer than the stall timeout, the connection is reset.
func (c *connection) enterClosing(reason CloseReason) {
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
	c.timer.Set(c.server.loop, c.server.limits.StallTimeout, c.conn.Abort)
}

// close closes the connection once everything written has been sent.
func (c *connection) close(reason CloseReason) {
	c.enterClosing(reason)
	c.conn.Close()
}

// abort resets the connection. A request that is being answered is handled as if its client had disconnected.
func (c *connection) abort(reason CloseReason) {
	c.enterClosing(reason)
	if c.response != nil {
		c.response.abandon()
	}
	c.conn.Abort()
}

// abortStalled resets the connection because its client has read nothing for too long.
func (c *connection) abortStalled() { c.abort(ClientStalled) }

// reportUnanswered reports a request that was read and will get no response because the server closes the connection.
func (c *connection) reportUnanswered(reason CloseReason) {
	report := c.server.OnUnansweredClose
	if report == nil {
		return
	}
	if c.response != nil && !c.response.started {
		report(c.response.id, reason.String())
	}
	// Pipelined requests are reported only if their overflow is the reason for the close. After other reasons, such as a
	// broken stream, they can't be answered.
	if c.pipeline.buffer.size() > 0 && reason == PipelineOverflow {
		report("", reason.String()+", with pipelined requests")
	}
}

// --- Connection events ---

// Opened implements eventloop.Handler.
func (c *connection) Opened() {
	s := c.server
	c.enterIdle(s.limits.RequestTimeout)
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
	case answering, throttled, lagging:
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
		c.timer.Clear()
		c.pipeline.overflowTimerSet = false
		c.rejectOverflow()
		return
	}
	if c.state == lagging {
		c.serveNext()
		return
	}
	if c.response == nil || c.state != answering {
		return
	}
	c.timer.Clear()
	if c.response.OnWritable != nil {
		c.response.OnWritable()
	}
}

// Closed implements eventloop.Handler.
func (c *connection) Closed(error) {
	c.enterClosing(ClosedByClient)
	c.timer.Clear()
	delete(c.server.connections, c)
	c.dropRequest()
	if c.response != nil {
		c.response.abandon()
	}
}

// --- Responses that are not streamed ---

// rejectAndKeep rejects a request whose end is known, so the connection can serve further requests.
func (c *connection) rejectAndKeep(r *Rejection) {
	c.dropRequest()
	c.server.Rejected++
	if c.writeResponse(textResponse{status: r.Status, text: r.Reason}, c.staysOpen()) {
		c.state = throttled
		c.timer.Set(c.server.loop, throttleDelay, c.serveNext)
	}
}

// reject writes a rejection and closes the connection. It is used if it is unknown where the next request begins, or if
// there are too many connections.
func (c *connection) reject(r *Rejection, reason CloseReason) {
	if c.state == closing {
		return
	}
	c.server.Rejected++
	c.dropRequest()
	c.writeLastResponse(textResponse{status: r.Status, text: r.Reason}, reason)
}

// answerProbe answers a readiness probe.
func (c *connection) answerProbe() {
	response := textResponse{status: http.StatusOK, text: "ready"}
	if c.server.stopped || !c.server.handler.Ready() {
		response = textResponse{status: http.StatusServiceUnavailable, text: "no model host is known yet"}
	}
	c.dropRequest()
	if c.writeResponse(response, c.staysOpen()) {
		c.state = answering
		c.server.loop.Defer(c.serveNext)
	}
}

// staysOpen reports whether the connection stays open after the response that is written now. While the server drains,
// the connection stays open only for requests that are already pipelined.
func (c *connection) staysOpen() bool {
	return c.incoming.keepAlive && (!c.server.draining || c.pipeline.pending() || c.parser.Pipelined() > 0)
}

// textResponse is a plain-text response that is not streamed.
type textResponse struct {
	status int
	text   string
	fields []string // alternating names and values
}

// encode returns the encoded response with additional header fields.
func (r textResponse) encode(fields ...string) []byte {
	fields = slices.Concat(r.fields, []string{"Content-Type", "text/plain"}, fields)
	return http1.AppendResponse(nil, r.status, []byte(r.text+"\n"), fields...)
}

// writeResponse writes a response, and closes the connection unless staysOpen is set. It returns staysOpen.
func (c *connection) writeResponse(r textResponse, staysOpen bool) bool {
	if !staysOpen {
		c.writeLastResponse(r, AfterResponse)
		return false
	}
	c.conn.Write(r.encode())
	return true
}

// writeLastResponse writes a response and closes the connection.
func (c *connection) writeLastResponse(r textResponse, reason CloseReason) {
	c.conn.Write(r.encode("Connection", "close"))
	c.close(reason)
}
