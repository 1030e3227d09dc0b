package server

import (
	"net/http"

	"plumspindle/internal/http1"
)

// maxOverflowBytes is how many bytes of one connection are read that are not kept; a client that sends more is cut off.
const maxOverflowBytes = 16 << 20

// overflow follows what a client sends ahead beyond what is kept: it finds where each request ends, and keeps nothing else. Each of these
// requests is rejected in its turn, so that all that were read are answered.
type overflow struct {
	parser        http1.Parser
	pending       int  // that have come whole and are not answered
	completeBytes int  // bytes up to the end of the last of them
	bytesRead     int  // bytes
	lastRequest   bool // the last one asked for the connection's end: nothing counts behind it
	fault         error
}

func newOverflow(bounds http1.Limits) *overflow {
	return &overflow{parser: http1.Parser{Limits: bounds}}
}

// feed follows the next bytes.
func (s *overflow) feed(b []byte) {
	s.bytesRead += len(b)
	if s.fault == nil && !s.lastRequest {
		s.fault = s.parser.Feed(b, s)
	}
}

// Head, Body and End implement http1.Handler.
func (s *overflow) Head(h *http1.Head) error {
	s.lastRequest = !h.KeepAlive()
	return nil
}

func (s *overflow) Body([]byte) error { return nil }

func (s *overflow) End() error {
	s.pending++
	s.completeBytes = s.bytesRead - s.parser.Pipelined()
	if s.lastRequest {
		s.parser.Pause()
	}
	return nil
}

// partial tells that a request has begun and not come whole.
func (s *overflow) partial() bool { return !s.parser.Idle() }

// startOverflow stops keeping what is sent ahead: what has come whole stays, and what follows is only followed.
func (c *connection) startOverflow(b []byte) {
	c.overflow = newOverflow(c.parser.Limits)
	c.overflow.feed(c.pipelined)
	c.server.bufferedBytes -= len(c.pipelined) - c.overflow.completeBytes
	c.pipelined = c.pipelined[:c.overflow.completeBytes]
	c.overflow.pending = 0 // they are kept, and have their turn
	c.overflow.feed(b)
}

// rejectOverflow answers, in their turn, the requests that were not kept, as far as the client reads the answers.
func (c *connection) rejectOverflow() {
	s := c.server
	for c.overflow.pending > 0 {
		if c.wait.LimitUnsent(s.loop, c.conn, s.limits.UnsentBytes, s.limits.StallTimeout, func() { c.abort(ClientStalled) }) {
			return
		}
		c.overflow.pending--
		s.Rejected++
		last := c.overflow.lastRequest && c.overflow.pending == 0
		if !c.writeResponse(http.StatusServiceUnavailable, "too much was sent ahead", !last, AfterResponse) {
			return
		}
	}
	switch {
	case c.overflow.fault != nil:
		c.malformed(c.overflow.fault)
	case c.overflow.partial():
		if c.conn.Unsent() == 0 && !c.overflowTimed {
			c.overflowTimed = true
			c.wait.Set(s.loop, s.limits.RequestTimeout, c.requestTimedOut)
		}
	default:
		c.overflow, c.overflowTimed = nil, false
		c.wait.Clear()
		c.awaitNextRequest()
	}
}

// readOverflow takes what comes while surplus requests have their turn.
func (c *connection) readOverflow(b []byte) {
	before := c.overflow.pending
	c.overflow.feed(b)
	if c.overflow.pending > before { // the one that was waited for has come
		c.overflowTimed = false
		c.wait.Clear()
	}
	if c.overflow.bytesRead > maxOverflowBytes {
		c.abort(PipelineOverflow)
		return
	}
	c.rejectOverflow()
}

// awaitNextRequest waits for the next request.
func (c *connection) awaitNextRequest() {
	c.becomeIdle(c.server.limits.IdleTimeout)
	if c.server.stopped {
		c.idleTimedOut()
	}
}
