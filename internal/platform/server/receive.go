package server

import (
	"errors"
	"net/http"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// minBodyBytes is the minimum size of the memory that is reserved for a chunked body.
const minBodyBytes = 4 << 10

// beginRequest starts reading a request whose first byte arrived at the given time. The complete request has to arrive
// within the request timeout, which further bytes do not extend.
func (c *connection) beginRequest(at eventloop.Micros) {
	c.leaveIdle()
	c.state, c.hadRequest = reading, true
	c.incoming.receivedAt = at
	c.timer.Set(c.server.loop, c.server.limits.RequestTimeout, c.requestTimedOut)
}

func (c *connection) requestTimedOut() {
	c.server.TimedOut++
	c.reject(&Rejection{Status: http.StatusRequestTimeout, Reason: "the request did not come in time"}, BadInput)
}

// feed parses the next bytes of the request that is being read.
func (c *connection) feed(data []byte) {
	rest, err := c.parser.Parse(data, c)
	switch {
	case err != nil:
		c.malformed(err)
	case c.state != closing && len(rest) > 0:
		c.readPipelined(rest)
	}
}

func (c *connection) malformed(err error) {
	status := http.StatusBadRequest
	var protocolError *http1.ProtocolError
	if errors.As(err, &protocolError) {
		status = protocolError.Status
	}
	c.reject(&Rejection{Status: status, Reason: err.Error()}, BadInput)
}

// Head implements http1.Handler.
func (c *connection) Head(head *http1.Head) error {
	in := &c.incoming
	in.head = head
	if in.isProbe = isReadinessProbe(head); !in.isProbe {
		in.request, in.rejection = parseRequest(head)
	}
	if in.rejection != nil {
		return nil
	}
	if strings.EqualFold(head.Get("Expect"), "100-continue") {
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if in.request == nil {
		return nil
	}
	in.request.ReceivedAt = in.receivedAt
	if head.ContentLength > 0 {
		c.reserveBody(int(head.ContentLength))
	}
	return nil
}

// reserveBody reserves memory for a body. If too little is left, it drops the body and rejects the request.
func (c *connection) reserveBody(size int) {
	s, in := c.server, &c.incoming
	if size <= cap(in.body) {
		return
	}
	if s.bufferedBytes+size-cap(in.body) > s.limits.BufferedBytes {
		s.bufferedBytes -= cap(in.body)
		in.body, in.rejection = nil, unavailable("no room is left for the request")
		return
	}
	grown := make([]byte, len(in.body), size)
	copy(grown, in.body)
	s.bufferedBytes += cap(grown) - cap(in.body)
	in.body = grown
}

// Body implements http1.Handler.
func (c *connection) Body(data []byte) error {
	in := &c.incoming
	if in.rejection != nil || in.request == nil {
		return nil
	}
	if size := len(in.body) + len(data); size > cap(in.body) {
		c.reserveBody(max(2*cap(in.body), size, minBodyBytes))
	}
	if in.rejection == nil {
		in.body = append(in.body, data...)
	}
	return nil
}

// End implements http1.Handler.
func (c *connection) End() error {
	in := &c.incoming
	c.parser.Pause()
	c.timer.Clear()
	in.keepAlive = in.head.KeepAlive()
	if in.isProbe {
		c.answerProbe()
		return nil
	}
	if rejection := c.accept(); rejection != nil {
		c.rejectAndKeep(rejection)
	}
	return nil
}

// accept checks a complete request and passes it to the handler, or returns why the request is rejected.
func (c *connection) accept() *Rejection {
	if c.incoming.rejection != nil {
		return c.incoming.rejection
	}
	if rejection := checkBody(c.incoming.body); rejection != nil {
		return rejection
	}
	if c.server.stopped {
		return unavailable("the dispatcher is shutting down")
	}
	return c.handle()
}

// handle passes the request to the handler, and returns the handler's rejection, if any.
func (c *connection) handle() *Rejection {
	in := &c.incoming
	request, response := in.request, &Response{connection: c, id: in.request.ID, bodyBytes: cap(in.body)}
	request.Body = in.body
	in.head, in.request, in.body = nil, nil, nil
	c.state, c.response = answering, response
	rejection := c.server.handler.Handle(request, response)
	if rejection != nil {
		response.finish()
		c.response = nil
	}
	return rejection
}

// dropRequest drops the request that is being read and releases its buffered body.
func (c *connection) dropRequest() {
	in := &c.incoming
	c.server.bufferedBytes -= cap(in.body)
	in.head, in.request, in.body, in.rejection = nil, nil, nil, nil
}

// serveNext continues after a response. It serves the buffered pipelined requests first, then rejects the overflow, and
// then makes the connection idle. It waits while the client is slow to read the responses. Between two pipelined
// requests it lets the loop handle the events of other connections.
func (c *connection) serveNext() {
	if c.state == closing {
		return
	}
	c.response = nil
	c.timer.Clear()
	limits := &c.server.limits
	if c.timer.LimitUnsent(c.server.loop, c.conn, limits.UnsentBytes, limits.StallTimeout, c.abortStalled) {
		c.state = lagging
		return
	}
	_ = c.parser.Resume(c) // returns no error, because nothing is buffered in the parser
	if c.pipeline.buffer.size() > 0 {
		c.state = answering
		c.timer.Set(c.server.loop, 0, c.servePipelined)
		return
	}
	if c.pipeline.overflow != nil {
		c.state = rejectingOverflow
		c.rejectOverflow()
		return
	}
	c.awaitNextRequest()
}
