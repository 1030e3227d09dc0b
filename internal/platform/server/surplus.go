package server

import (
	"net/http"

	"plumspindle/internal/http1"
)

// maxSurplus is how many bytes of one connection are read that are not kept; a client that sends more is cut off.
const maxSurplus = 16 << 20

// surplus follows what a client sends ahead beyond what is kept: it finds where each request ends, and keeps nothing else. Each of these
// requests is rejected in its turn, so that all that were read are answered.
type surplus struct {
	parser   http1.Parser
	requests int  // that have come whole and are not answered
	whole    int  // bytes up to the end of the last of them
	read     int  // bytes
	closes   bool // the last one asked for the connection's end: nothing counts behind it
	fault    error
}

func newSurplus(bounds http1.Limits) *surplus { return &surplus{parser: http1.Parser{Limits: bounds}} }

// feed follows the next bytes.
func (s *surplus) feed(b []byte) {
	s.read += len(b)
	if s.fault == nil && !s.closes {
		s.fault = s.parser.Feed(b, s)
	}
}

// Head, Body and End implement http1.Handler.
func (s *surplus) Head(h *http1.Head) error {
	s.closes = !h.KeepAlive()
	return nil
}

func (s *surplus) Body([]byte) error { return nil }

func (s *surplus) End() error {
	s.requests++
	s.whole = s.read - s.parser.Pipelined()
	if s.closes {
		s.parser.Pause()
	}
	return nil
}

// middle tells that a request has begun and not come whole.
func (s *surplus) middle() bool { return !s.parser.Idle() }

// overflow stops keeping what is sent ahead: what has come whole stays, and what follows is only followed.
func (c *connection) overflow(b []byte) {
	c.surplus = newSurplus(c.parser.Limits)
	c.surplus.feed(c.ahead)
	c.server.buffered -= len(c.ahead) - c.surplus.whole
	c.ahead = c.ahead[:c.surplus.whole]
	c.surplus.requests = 0 // they are kept, and have their turn
	c.surplus.feed(b)
}

// rejectSurplus answers, in their turn, the requests that were not kept, as far as the client reads the answers.
func (c *connection) rejectSurplus() {
	s := c.server
	for c.surplus.requests > 0 {
		if c.wait.LimitUnsent(s.loop, c.conn, s.limits.Unsent, s.limits.Stall, func() { c.abort(ClientStalled) }) {
			return
		}
		c.surplus.requests--
		s.Rejected++
		last := c.surplus.closes && c.surplus.requests == 0
		if !c.writeWhole(http.StatusServiceUnavailable, "too much was sent ahead", !last, AfterAnswer) {
			return
		}
	}
	switch {
	case c.surplus.fault != nil:
		c.malformed(c.surplus.fault)
	case c.surplus.middle():
		if c.conn.Unsent() == 0 && !c.surplusWaits {
			c.surplusWaits = true
			c.wait.Set(s.loop, s.limits.Message, c.requestTimedOut)
		}
	default:
		c.surplus, c.surplusWaits = nil, false
		c.wait.Clear()
		c.rest()
	}
}

// more takes what comes while surplus requests have their turn.
func (c *connection) more(b []byte) {
	before := c.surplus.requests
	c.surplus.feed(b)
	if c.surplus.requests > before { // the one that was waited for has come
		c.surplusWaits = false
		c.wait.Clear()
	}
	if c.surplus.read > maxSurplus {
		c.abort(TooMuchAhead)
		return
	}
	c.rejectSurplus()
}

// rest waits for the next request.
func (c *connection) rest() {
	c.becomeIdle(c.server.limits.Idle)
	if c.server.shutDown {
		c.idleTimedOut()
	}
}
