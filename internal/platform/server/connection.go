package server

import (
	"container/list"
	"errors"
	"net/http"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// connectionState is what a connection is doing.
type connectionState uint8

const (
	idle              connectionState = iota // waits for a request's first byte
	reading                                  // a request is coming in
	answering                                // its answer is owed
	throttled                                // the client sent what can't be used, and is not served for a while
	rejectingOverflow                        // requests that were sent ahead and not kept are answered
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

	parser      http1.Parser
	head        *http1.Head
	request     *Request
	rejection   *Rejection
	body        []byte
	receivedAt  eventloop.Micros // the first byte of the request
	keepAlive   bool             // the request lets others follow it
	pipelined   []byte           // what came behind the request that is being answered
	pipelinedAt eventloop.Micros // when that began to come
	overflow    *overflow        // what came ahead and was not kept; nil: all was

	overflowTimed bool // for the rest of a request that is not kept

	response *Response
	buffer   []byte // scratch
	event    []byte // scratch
}

// --- Time spent idle ---

// becomeIdle waits for a request's first byte.
func (c *connection) becomeIdle(within eventloop.Micros) {
	c.state = idle
	if c.idleElement == nil {
		c.idleElement = c.server.idleConnections.PushBack(c)
	}
	c.wait.Set(c.server.loop, within, c.idleTimedOut)
}

// leaveIdle takes the connection out of the server's order.
func (c *connection) leaveIdle() {
	if c.idleElement != nil {
		c.server.idleConnections.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// closeIdle closes a connection without a request, unless something has come that was not handed over yet: a request that was read
// must not meet a close.
func (c *connection) closeIdle(why CloseReason) bool {
	if !c.conn.CloseIfIdle() {
		return false
	}
	c.becomeClosing(why)
	return true
}

func (c *connection) idleTimedOut() {
	if !c.closeIdle(IdleTimeout) {
		c.wait.Set(c.server.loop, busyIdleRetry, c.idleTimedOut)
	}
}

// --- Closing ---

// becomeClosing reads nothing more. What is written still goes out, for as long as the client takes any of it.
func (c *connection) becomeClosing(why CloseReason) {
	c.leaveIdle()
	if c.state != closing {
		c.server.Closed[why]++
		if why != ClosedByClient {
			c.reportUnanswered(why)
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
func (c *connection) close(why CloseReason) {
	c.becomeClosing(why)
	c.conn.Close()
}

// abort resets the connection. A request that is being answered is left, as by its client.
func (c *connection) abort(why CloseReason) {
	c.becomeClosing(why)
	if c.response != nil {
		c.response.abandon()
	}
	c.conn.Abort()
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

// --- Input ---

// Opened implements eventloop.Handler.
func (c *connection) Opened() {
	s := c.server
	c.becomeIdle(s.limits.RequestTimeout)
	if s.openCount <= s.limits.Connections {
		return
	}
	s.Evicted++
	if !s.evict(c) {
		c.reject(&Rejection{http.StatusServiceUnavailable, "no connection is left for it"}, Evicted)
	}
}

// Data implements eventloop.Handler.
func (c *connection) Data(b []byte) {
	switch c.state {
	case closing:
	case answering, throttled:
		c.readPipelined(b)
	case rejectingOverflow:
		c.readOverflow(b)
	case idle:
		c.beginRequest(c.server.loop.Now())
		c.feed(b)
	case reading:
		c.feed(b)
	}
}

// beginRequest waits for a whole request from its first byte; bytes that trickle in buy no further time.
func (c *connection) beginRequest(at eventloop.Micros) {
	c.leaveIdle()
	c.state, c.hadRequest = reading, true
	c.receivedAt = at
	c.wait.Set(c.server.loop, c.server.limits.RequestTimeout, c.requestTimedOut)
}

func (c *connection) requestTimedOut() {
	c.server.TimedOut++
	c.reject(&Rejection{http.StatusRequestTimeout, "the request did not come in time"}, BadInput)
}

// feed reads on in the request that is coming in.
func (c *connection) feed(b []byte) {
	if err := c.parser.Feed(b, c); err != nil {
		c.malformed(err)
		return
	}
	rest := c.parser.TakeBuffered()
	switch {
	case len(rest) == 0 || c.state == closing:
	case c.overflow != nil: // it was kept before
		c.bufferPipelined(rest)
	default:
		c.readPipelined(rest)
	}
}

func (c *connection) malformed(err error) {
	status := http.StatusBadRequest
	var fault *http1.ProtocolError
	if errors.As(err, &fault) {
		status = fault.Status
	}
	c.reject(&Rejection{status, err.Error()}, BadInput)
}

// readPipelined keeps what comes while a request is being answered.
func (c *connection) readPipelined(b []byte) {
	s := c.server
	if len(c.pipelined) == 0 {
		c.pipelinedAt = s.loop.Now()
	}
	n := len(c.pipelined) + len(b)
	switch {
	case c.overflow != nil:
		c.overflow.feed(b)
	case n > maxPipelinedBodies*s.limits.BodyBytes || n > minPipelinedBytes && s.bufferedBytes+len(b) > s.limits.BufferedBytes/2:
		c.startOverflow(b)
	default:
		c.bufferPipelined(b)
	}
	if c.overflow != nil && c.overflow.bytesRead > maxOverflowBytes {
		s.Rejected++
		c.abort(PipelineOverflow)
	}
}

func (c *connection) bufferPipelined(b []byte) {
	c.pipelined = append(c.pipelined, b...)
	c.server.bufferedBytes += len(b)
}

func (c *connection) dropPipelined() {
	c.server.bufferedBytes -= len(c.pipelined)
	c.pipelined = nil
}

// next makes the connection ready for another request.
func (c *connection) next() {
	if c.state == closing {
		return
	}
	c.response = nil
	_ = c.parser.Resume(c) // nothing waits in it
	if len(c.pipelined) > 0 {
		b := c.pipelined
		c.dropPipelined()
		c.beginRequest(c.pipelinedAt)
		c.feed(b)
		return
	}
	if c.overflow != nil {
		c.state = rejectingOverflow
		c.rejectOverflow()
		return
	}
	c.awaitNextRequest()
}

// --- A request ---

// Head implements http1.Handler.
func (c *connection) Head(h *http1.Head) error {
	c.head = h
	c.request, c.rejection = parseRequest(h)
	if c.request != nil {
		c.request.ReceivedAt = c.receivedAt
	}
	if c.rejection == nil && strings.EqualFold(h.Get("Expect"), "100-continue") {
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if c.rejection == nil && h.ContentLength > 0 && c.request != nil {
		c.reserveBody(int(h.ContentLength))
	}
	return nil
}

// reserveBody makes room for a body; without any, nothing of it is kept and the request is rejected.
func (c *connection) reserveBody(n int) {
	s := c.server
	if n <= cap(c.body) {
		return
	}
	if s.bufferedBytes+n-cap(c.body) > s.limits.BufferedBytes {
		s.bufferedBytes -= cap(c.body)
		c.body, c.rejection = nil, &Rejection{http.StatusServiceUnavailable, "no room is left for the request"}
		return
	}
	grown := make([]byte, len(c.body), n)
	copy(grown, c.body)
	s.bufferedBytes += cap(grown) - cap(c.body)
	c.body = grown
}

// Body implements http1.Handler.
func (c *connection) Body(b []byte) error {
	if c.rejection != nil || c.request == nil {
		return nil
	}
	if n := len(c.body) + len(b); n > cap(c.body) {
		c.reserveBody(max(2*cap(c.body), n, 4<<10))
	}
	if c.rejection == nil {
		c.body = append(c.body, b...)
	}
	return nil
}

// End implements http1.Handler.
func (c *connection) End() error {
	c.parser.Pause()
	c.wait.Clear()
	c.keepAlive = c.head.KeepAlive()
	if c.request == nil && c.rejection == nil {
		c.answerReadiness()
		return nil
	}
	if c.rejection == nil {
		c.rejection = checkBody(c.body)
	}
	if c.rejection == nil && c.server.stopped {
		c.rejection = &Rejection{http.StatusServiceUnavailable, "the dispatcher is shutting down"}
	}
	if c.rejection == nil {
		c.rejection = c.handle()
	}
	if c.rejection != nil {
		c.rejectAndKeep(c.rejection)
	}
	return nil
}

// staysOpen tells whether another request may follow the answer that is written now. While the server drains only what has been sent
// ahead may.
func (c *connection) staysOpen() bool {
	return c.keepAlive && (!c.server.draining || len(c.pipelined) > 0 || c.overflow != nil || c.parser.Pipelined() > 0)
}

// answerReadiness answers whether there is anything to serve with.
func (c *connection) answerReadiness() {
	status, text := http.StatusOK, "ready"
	if c.server.stopped || !c.server.handler.Ready() {
		status, text = http.StatusServiceUnavailable, "no model host is known yet"
	}
	c.dropRequest()
	if c.writeResponse(status, text, c.staysOpen(), AfterResponse) {
		c.state = answering
		c.server.loop.Defer(c.next)
	}
}

// handle passes the request on.
func (c *connection) handle() *Rejection {
	response := &Response{connection: c, id: c.request.ID, bodyBytes: cap(c.body)}
	request := c.request
	request.Body = c.body
	c.head, c.request, c.body = nil, nil, nil
	c.state, c.response = answering, response
	rejection := c.server.handler.Handle(request, response)
	if rejection != nil {
		response.finish()
		c.response = nil
	}
	return rejection
}

// dropRequest gives back what is kept of a request.
func (c *connection) dropRequest() {
	c.server.bufferedBytes -= cap(c.body)
	c.head, c.request, c.body, c.rejection = nil, nil, nil, nil
}

// rejectAndKeep answers a request that can't be used but whose end is known, so that others may follow it.
func (c *connection) rejectAndKeep(r *Rejection) {
	c.dropRequest()
	c.server.Rejected++
	if c.writeResponse(r.Status, r.Reason, c.staysOpen(), AfterResponse) {
		c.state = throttled
		c.wait.Set(c.server.loop, throttleTime, c.next)
	}
}

// reject answers what can't be read and closes, as what follows can't be told apart any more.
func (c *connection) reject(r *Rejection, why CloseReason) {
	if c.state == closing {
		return
	}
	c.server.Rejected++
	c.dropRequest()
	c.writeResponse(r.Status, r.Reason, false, why)
}

// writeResponse writes a whole answer, and closes the connection unless it stays open; it tells whether it does.
func (c *connection) writeResponse(status int, text string, staysOpen bool, why CloseReason, fields ...string) bool {
	fields = append(fields, "Content-Type", "text/plain")
	if !staysOpen {
		fields = append(fields, "Connection", "close")
	}
	c.conn.Write(http1.AppendResponse(nil, status, []byte(text+"\n"), fields...))
	if !staysOpen {
		c.close(why)
	}
	return staysOpen
}
