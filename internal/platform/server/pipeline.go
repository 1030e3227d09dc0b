package server

import (
	"net/http"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

const (
	// maxPipelinedBodies bodies of the maximum size are buffered of one connection's pipelined requests while a request
	// is being answered; further ones are rejected in their turn. They are read rather than left in the socket so that
	// the client's disconnect is noticed.
	maxPipelinedBodies = 4
	// minPipelinedBytes are buffered even if half of Limits.BufferedBytes is used up; the other half is for requests.
	minPipelinedBytes = 16 << 10
	// maxOverflowBytes of one connection are read that are not buffered; a client that sends more is disconnected.
	maxOverflowBytes = 16 << 20
)

// pipeline is what a client has sent behind the request that is being answered.
type pipeline struct {
	buffered      []byte
	receivedAt    eventloop.Micros // when it began to come
	overflow      *overflow        // what was not buffered; nil: all was
	overflowTimed bool             // the rest of a request that is not buffered has a time-out
}

// pending reports whether pipelined requests may wait for their turn.
func (p *pipeline) pending() bool { return len(p.buffered) > 0 || p.overflow != nil }

// readPipelined handles what arrives while a request is being answered.
func (c *connection) readPipelined(data []byte) {
	s, p := c.server, &c.pipeline
	if len(p.buffered) == 0 {
		p.receivedAt = s.loop.Now()
	}
	size := len(p.buffered) + len(data)
	tooMuchHere := size > maxPipelinedBodies*s.limits.BodyBytes
	tooMuchInAll := size > minPipelinedBytes && s.bufferedBytes+len(data) > s.limits.BufferedBytes/2
	switch {
	case p.overflow != nil:
		p.overflow.feed(data)
	case tooMuchHere || tooMuchInAll:
		c.startOverflow(data)
	default:
		c.bufferPipelined(data)
	}
	if p.overflow != nil && p.overflow.bytesRead > maxOverflowBytes {
		s.Rejected++
		c.abort(PipelineOverflow)
	}
}

func (c *connection) bufferPipelined(data []byte) {
	c.pipeline.buffered = append(c.pipeline.buffered, data...)
	c.server.bufferedBytes += len(data)
}

func (c *connection) dropPipelined() {
	c.server.bufferedBytes -= len(c.pipeline.buffered)
	c.pipeline.buffered = nil
}

// startOverflow stops buffering: the requests that are complete stay, and what follows is only parsed.
func (c *connection) startOverflow(data []byte) {
	p := &c.pipeline
	p.overflow = newOverflow(c.parser.Limits)
	p.overflow.feed(p.buffered)
	c.server.bufferedBytes -= len(p.buffered) - p.overflow.completeBytes
	p.buffered = p.buffered[:p.overflow.completeBytes]
	p.overflow.pending = 0 // they are buffered, and have their turn
	p.overflow.feed(data)
}

// readOverflow handles what arrives while the requests that were not buffered have their turn.
func (c *connection) readOverflow(data []byte) {
	p := &c.pipeline
	before := p.overflow.pending
	p.overflow.feed(data)
	if p.overflow.pending > before { // the one that was waited for has come
		p.overflowTimed = false
		c.wait.Clear()
	}
	if p.overflow.bytesRead > maxOverflowBytes {
		c.abort(PipelineOverflow)
		return
	}
	c.rejectOverflow()
}

// rejectOverflow answers, in their turn, the requests that were not buffered, as far as the client reads the responses.
func (c *connection) rejectOverflow() {
	s, p := c.server, &c.pipeline
	for p.overflow.pending > 0 {
		if c.wait.LimitUnsent(s.loop, c.conn, s.limits.UnsentBytes, s.limits.StallTimeout, c.abortStalled) {
			return
		}
		p.overflow.pending--
		s.Rejected++
		last := p.overflow.lastRequest && p.overflow.pending == 0
		response := shortResponse{status: http.StatusServiceUnavailable, text: "too much was sent ahead"}
		if !c.writeResponse(response, !last) {
			return
		}
	}
	switch {
	case p.overflow.err != nil:
		c.malformed(p.overflow.err)
	case p.overflow.partial():
		if c.conn.Unsent() == 0 && !p.overflowTimed {
			p.overflowTimed = true
			c.wait.Set(s.loop, s.limits.RequestTimeout, c.requestTimedOut)
		}
	default:
		p.overflow, p.overflowTimed = nil, false
		c.wait.Clear()
		c.awaitNextRequest()
	}
}

// overflow follows pipelined requests beyond what is buffered: it finds where each ends, and keeps nothing else. Each
// of these requests is rejected in its turn, so that all that were read are answered.
type overflow struct {
	parser        http1.Parser
	pending       int  // requests that are complete and not answered
	completeBytes int  // up to the end of the last of them
	bytesRead     int  // in all
	lastRequest   bool // the last one asked for the connection's end: nothing counts behind it
	err           error
}

func newOverflow(limits http1.Limits) *overflow {
	return &overflow{parser: http1.Parser{Limits: limits}}
}

// feed follows the next bytes.
func (o *overflow) feed(data []byte) {
	o.bytesRead += len(data)
	if o.err == nil && !o.lastRequest {
		o.err = o.parser.Feed(data, o)
	}
}

// Head implements http1.Handler.
func (o *overflow) Head(head *http1.Head) error {
	o.lastRequest = !head.KeepAlive()
	return nil
}

// Body implements http1.Handler.
func (o *overflow) Body([]byte) error { return nil }

// End implements http1.Handler.
func (o *overflow) End() error {
	o.pending++
	o.completeBytes = o.bytesRead - o.parser.Pipelined()
	if o.lastRequest {
		o.parser.Pause()
	}
	return nil
}

// partial reports whether a request has begun and is not complete.
func (o *overflow) partial() bool { return !o.parser.Idle() }
