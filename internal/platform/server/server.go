// Package server serves the platform's clients over HTTP/1.1: it reads requests, rejects what can't be read or could do
// harm, and gives each request that it passes on exactly one final response.
//
// It owns the clients' connections, the bytes buffered for them and their time-outs. It relies on package http1 for
// parsing and on an event loop for connections. It never decides what becomes of a request; its Handler does.
package server

import (
	"container/list"
	"net/http"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// Limits are what clients may take.
type Limits struct {
	HeadBytes     int // of a request's head
	BodyBytes     int // of a request's body
	Connections   int // that are not being closed
	BufferedBytes int // request bodies and pipelined requests, over all connections
	UnsentBytes   int // of a stream that are buffered for a slow client; past it its endpoint is slowed

	RequestTimeout eventloop.Micros // from the connection's opening or the request's first byte to its last
	IdleTimeout    eventloop.Micros // for the next request on a connection
	StallTimeout   eventloop.Micros // for a client that reads nothing of what it is sent
}

// DefaultLimits are those that do not depend on the dispatcher's size. The platform asks that a connection that brings
// nothing readable is ended within 3 s.
var DefaultLimits = Limits{
	HeadBytes:      16 << 10,
	BodyBytes:      256 << 10,
	RequestTimeout: 2 * eventloop.Second,
	IdleTimeout:    10 * eventloop.Second,
	StallTimeout:   20 * eventloop.Second,
}

const (
	// penaltyTime is how long a client is not served after an unusable request: a client that repeats it at once would
	// take up the time of all others.
	penaltyTime = 100 * eventloop.Millisecond
	// busyIdleRetry is the pause before another attempt to close an idle connection on which something had just arrived.
	busyIdleRetry = 50 * eventloop.Millisecond
	// maxFields bounds the fields of a request's head.
	maxFields = 100
)

// Handler decides what becomes of requests.
type Handler interface {
	// Ready reports whether there is anything to serve with.
	Ready() bool
	// Handle accepts a request, to be answered through the response, or returns why it is rejected.
	Handle(*Request, *Response) *Rejection
}

// Rejection is the response to a request that is not passed on.
type Rejection struct {
	Status int
	Reason string // the response's body
}

func badRequest(reason string) *Rejection {
	return &Rejection{Status: http.StatusBadRequest, Reason: reason}
}

func unavailable(reason string) *Rejection {
	return &Rejection{Status: http.StatusServiceUnavailable, Reason: reason}
}

// Counts are what the server has done since its start.
type Counts struct {
	Rejected uint64 // requests
	Evicted  uint64 // connections closed or rejected as there were too many
	TimedOut uint64 // connections that brought no request in time
	Closed   CloseCounts
}

// Server accepts and serves connections.
type Server struct {
	loop            eventloop.Loop
	handler         Handler
	limits          Limits
	connections     map[*connection]bool // until they are closed
	openCount       int                  // of these, those that are not being closed
	idleConnections list.List            // of *connection, the one that has waited longest first
	bufferedBytes   int
	draining        bool // connections end with their next response
	stopped         bool // nothing more is passed on
	// OnUnansweredClose, where it is set, is called for each connection that is closed from here over a request that
	// was read.
	OnUnansweredClose func(requestID, reason string)
	Counts
}

// New makes a server; its Accept goes to the loop's Listen.
func New(loop eventloop.Loop, limits Limits, handler Handler) *Server {
	return &Server{loop: loop, limits: limits, handler: handler, connections: map[*connection]bool{}}
}

// Accept makes the handler of a connection that was accepted.
func (s *Server) Accept(conn eventloop.Conn) eventloop.Handler {
	c := &connection{server: s, conn: conn}
	c.parser.Limits = http1.Limits{HeadBytes: s.limits.HeadBytes, FieldCount: maxFields, BodyBytes: s.limits.BodyBytes}
	s.connections[c] = true // even before it is opened, so that a shutdown waits for it
	s.openCount++
	return c
}

// Drain has connections end with their next response; requests are still passed on.
func (s *Server) Drain() { s.draining = true }

// Shutdown passes no request on from now on: one whose last byte has not been read yet is rejected, as a retry
// elsewhere is safe. Idle connections are closed, new ones only after their first request, which may be on its way.
func (s *Server) Shutdown() {
	s.draining, s.stopped = true, true
	s.closeIdle(func(c *connection) bool { return c.hadRequest })
}

// CloseIdle closes all connections without a request, unless something has just come on one.
func (s *Server) CloseIdle() {
	s.closeIdle(func(*connection) bool { return true })
}

// closeIdle closes the idle connections that are chosen.
func (s *Server) closeIdle(chosen func(*connection) bool) {
	for e := s.idleConnections.Front(); e != nil; {
		c := e.Value.(*connection)
		e = e.Next() // before c leaves the list
		if chosen(c) {
			c.idleTimedOut()
		}
	}
}

// evict closes the connection that has been idle for longest, the newest excepted, and reports whether there was one.
// Clients send a request soon after they connect: the longest idle connection is the least likely to bring one.
func (s *Server) evict(newest *connection) bool {
	for e := s.idleConnections.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*connection); c != newest && c.closeIdle(Evicted) {
			return true
		}
	}
	return false
}

// Connections is how many there are, with those that are being closed.
func (s *Server) Connections() int { return len(s.connections) }

// Open is how many of them are not being closed.
func (s *Server) Open() int { return s.openCount }

// Active is how many connections bring a request or wait for a response's end.
func (s *Server) Active() int {
	return s.inState(reading) + s.inState(answering) + s.inState(rejectingOverflow)
}

// Answering is how many connections wait for a response's end.
func (s *Server) Answering() int { return s.inState(answering) }

func (s *Server) inState(state connectionState) (n int) {
	for c := range s.connections {
		if c.state == state {
			n++
		}
	}
	return n
}

// Buffered is how many bytes are buffered of requests.
func (s *Server) Buffered() int { return s.bufferedBytes }

// Unsent is how many bytes are buffered for the client that lags most.
func (s *Server) Unsent() (most int) {
	for c := range s.connections {
		most = max(most, c.conn.Unsent())
	}
	return most
}
