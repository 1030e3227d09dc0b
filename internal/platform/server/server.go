// Package server serves the platform's clients over HTTP/1.1. It reads requests, rejects malformed and unsafe ones, and
// sends exactly one final response to each request that it passes to its Handler.
//
// It owns the clients' connections, the bytes buffered for them and their timeouts. It relies on package http1 for
// parsing and on an event loop for connections. It never decides how a request is handled; the Handler does.
package server

import (
	"container/list"
	"net/http"
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// Limits bound the resources and time that clients may use.
type Limits struct {
	HeadBytes     int // size of a request's head
	BodyBytes     int // size of a request's body
	Connections   int // open connections, without those that are being closed
	BufferedBytes int // total size of the buffered bodies and pipelined requests of all connections
	UnsentBytes   int // unsent bytes of a client's stream; if there are more, the endpoint's stream is paused

	RequestTimeout eventloop.Micros // from the opening to the first byte; also from a request's first to its last byte
	IdleTimeout    eventloop.Micros // from a response to the first byte of the next request on the connection
	StallTimeout   eventloop.Micros // how long a client may read nothing although bytes wait to be sent to it
}

// DefaultLimits are the limits that do not depend on the dispatcher's size. The platform requires that a connection on
// which no readable request arrives is closed within 3 s.
var DefaultLimits = Limits{
	HeadBytes:      16 << 10,
	BodyBytes:      256 << 10,
	RequestTimeout: 2 * eventloop.Second,
	IdleTimeout:    10 * eventloop.Second,
	StallTimeout:   20 * eventloop.Second,
}

const (
	// throttleDelay is how long a connection is not served after a rejected request. Otherwise a client that repeats such
	// a request in a loop would use up the time of all others.
	throttleDelay = 100 * eventloop.Millisecond
	// idleCloseRetryDelay is the time after which the server tries again to close an idle connection on which something
	// had just arrived.
	idleCloseRetryDelay = 50 * eventloop.Millisecond
	// maxFields is the maximum number of fields in a request's head.
	maxFields = 100
)

// Handler handles the requests that the server has accepted.
type Handler interface {
	// Ready reports whether the server may answer readiness probes with status 200. The result may be true although the
	// handler can only reject requests.
	Ready() bool
	// Handle accepts a request and answers it through the response, now or later, or returns why it rejects the request.
	Handle(*Request, *Response) *Rejection
}

// Rejection is the response to a request that is rejected.
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

// Counts are the numbers of events since the server's start.
type Counts struct {
	Rejected uint64 // rejected requests
	Evicted  uint64 // connections that were closed or rejected because there were too many
	TimedOut uint64 // requests that began and did not arrive completely in time
	Closed   CloseCounts
}

// Server accepts and serves connections.
type Server struct {
	loop            eventloop.Loop
	handler         Handler
	limits          Limits
	connections     map[*connection]bool // all that are not closed yet
	openCount       int                  // number of connections that are not being closed
	idleConnections list.List            // elements are *connection, the one that has been idle longest first
	bufferedBytes   int
	draining        bool // connections are closed after their next response
	stopped         bool // no request is passed to the handler any more
	// OnUnansweredClose, if set, is called for each connection that this server closes although a request that was read
	// from it has no response.
	OnUnansweredClose func(requestID, reason string)
	Counts
}

// New returns a server. The caller passes its Accept method to the loop's Listen.
func New(loop eventloop.Loop, limits Limits, handler Handler) *Server {
	return &Server{loop: loop, limits: limits, handler: handler, connections: map[*connection]bool{}}
}

// Accept returns the event handler of a new connection.
func (s *Server) Accept(conn eventloop.Conn) eventloop.Handler {
	c := &connection{server: s, conn: conn}
	c.parser.Limits = http1.Limits{HeadBytes: s.limits.HeadBytes, FieldCount: maxFields, BodyBytes: s.limits.BodyBytes}
	s.connections[c] = true // before Opened is called, because a shutdown must wait for the connection
	s.openCount++
	return c
}

// Drain makes the server close each connection after its next response. Requests are still passed to the handler.
func (s *Server) Drain() { s.draining = true }

// Shutdown stops the server from passing requests to the handler. A request whose last byte has not been read yet is
// rejected, because a retry on another dispatcher is safe. Shutdown closes idle connections. An idle connection that
// has had no request yet stays open, because its first request may be on its way, and is closed after this request.
func (s *Server) Shutdown() {
	s.draining, s.stopped = true, true
	s.closeIdle(func(c *connection) bool { return c.hadRequest })
}

// CloseIdle closes all idle connections, except those on which something has just arrived.
func (s *Server) CloseIdle() {
	s.closeIdle(func(*connection) bool { return true })
}

// closeIdle closes the idle connections for which selected returns true.
func (s *Server) closeIdle(selected func(*connection) bool) {
	for e := s.idleConnections.Front(); e != nil; {
		c := e.Value.(*connection)
		e = e.Next() // read before idleTimedOut removes c from the list
		if selected(c) {
			c.idleTimedOut()
		}
	}
}

// evict closes the connection that has been idle longest, except the newest connection, and reports whether it closed
// one. Clients send a request soon after they connect, so the connection that has been idle longest is the least likely
// to carry a request soon.
func (s *Server) evict(newest *connection) bool {
	for e := s.idleConnections.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*connection); c != newest && c.closeIdle(Evicted) {
			return true
		}
	}
	return false
}

// Connections returns the number of connections, including those that are being closed.
func (s *Server) Connections() int { return len(s.connections) }

// Open returns the number of connections that are not being closed.
func (s *Server) Open() int { return s.openCount }

// Active returns the number of connections on which a request is being read or answered.
func (s *Server) Active() int { return s.countInState(reading, answering, lagging, rejectingOverflow) }

// Answering returns the number of connections on which a request is being answered.
func (s *Server) Answering() int { return s.countInState(answering) }

func (s *Server) countInState(states ...connectionState) (n int) {
	for c := range s.connections {
		if slices.Contains(states, c.state) {
			n++
		}
	}
	return n
}

// Buffered returns the number of bytes of requests that are buffered.
func (s *Server) Buffered() int { return s.bufferedBytes }

// Unsent returns the largest number of bytes that are buffered for one client.
func (s *Server) Unsent() (most int) {
	for c := range s.connections {
		most = max(most, c.conn.Unsent())
	}
	return most
}
