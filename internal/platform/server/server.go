// Package server takes the platform's clients over HTTP/1.1: it reads requests, rejects what can't be read or could do harm, and
// gives each request that it passes on exactly one final answer. It relies on package http1 for parsing and on an event loop for
// connections. It never decides what becomes of a request; its Handler does.
package server

import (
	"container/list"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// Limits are what clients may take.
type Limits struct {
	HeadBytes      int              // bytes of a request's head
	BodyBytes      int              // bytes of a request's body
	Connections    int              // that are not being closed
	BufferedBytes  int              // bytes of request bodies, and of what is sent ahead, over all connections
	UnsentBytes    int              // bytes of a stream that are kept for a slow client; past it its model host is slowed
	RequestTimeout eventloop.Micros // for a request, from the connection's beginning or the request's first byte to its last
	IdleTimeout    eventloop.Micros // for the next request on a connection
	StallTimeout   eventloop.Micros // for a client that reads nothing of what it is sent
}

// DefaultLimits are those that do not depend on the dispatcher's size. A connection that brings nothing readable is owed an end
// within 3 s.
var DefaultLimits = Limits{HeadBytes: 16 << 10, BodyBytes: 256 << 10, RequestTimeout: 2 * eventloop.Second, IdleTimeout: 10 * eventloop.Second, StallTimeout: 20 * eventloop.Second}

const (
	// A client that sent what can't be used is not served again for so long: one that repeats it at once would take the time of all.
	throttleTime = 100 * eventloop.Millisecond
	// An idle connection on which something has just come is not closed; it is looked at again after this.
	busyIdleRetry = 50 * eventloop.Millisecond
	maxFields     = 100
	// What is kept of what one connection sends ahead while its request is being answered, in bodies; requests past it are rejected in
	// their turn. Reading on, rather than leaving it in the socket, is what lets the client's end be heard.
	maxPipelinedBodies = 4
	// So much of it is taken also where half of Limits.Buffered is used up; the other half is for requests.
	minPipelinedBytes = 16 << 10
)

// Handler is what stands behind the server.
type Handler interface {
	// Ready tells whether there is anything to serve with.
	Ready() bool
	// Handle takes a request, or says why not.
	Handle(*Request, *Response) *Rejection
}

// Rejection is the answer to a request that is not passed on.
type Rejection struct {
	Status int
	Reason string
}

// Counts are what the server has seen: requests rejected, connections that made way for others, and those that brought no request in time.
type Counts struct {
	Rejected, Evicted, TimedOut uint64
	Closed                      Closed
}

// Server takes connections.
type Server struct {
	loop            eventloop.Loop
	handler         Handler
	limits          Limits
	connections     map[*connection]bool // until they are closed
	openCount       int                  // of these, those that are not being closed
	idleConnections list.List            // of *connection without a request, the one that has waited longest first
	bufferedBytes   int
	draining        bool // connections end with their next answer
	stopped         bool // nothing more is passed on
	// OnUnansweredClose, where it is set, is told of each connection that is closed from here over a request that was read.
	OnUnansweredClose func(id, why string)
	Counts
}

// New makes a server; its Accept goes to Listen.
func New(loop eventloop.Loop, limits Limits, handler Handler) *Server {
	return &Server{loop: loop, limits: limits, handler: handler, connections: map[*connection]bool{}}
}

// Accept is for the listener.
func (s *Server) Accept(conn eventloop.Conn) eventloop.Handler {
	c := &connection{server: s, conn: conn}
	c.parser.Limits = http1.Limits{HeadBytes: s.limits.HeadBytes, FieldCount: maxFields, BodyBytes: s.limits.BodyBytes}
	s.connections[c] = true // from now on, so that the process does not end before it is heard
	s.openCount++
	return c
}

// Drain has connections end with their next answer; requests are still passed on.
func (s *Server) Drain() { s.draining = true }

// Shutdown passes no request on from now on: one whose last byte has not been read yet is rejected, as a try elsewhere is harmless.
// Connections that wait for a request are closed, but for new ones, whose first request is on its way; those with one after it.
func (s *Server) Shutdown() {
	s.draining, s.stopped = true, true
	for e := s.idleConnections.Front(); e != nil; {
		c := e.Value.(*connection)
		e = e.Next()
		if c.hadRequest {
			c.idleTimedOut()
		}
	}
}

// CloseIdle closes all connections without a request, unless something has just come on one.
func (s *Server) CloseIdle() {
	for e := s.idleConnections.Front(); e != nil; {
		c := e.Value.(*connection)
		e = e.Next()
		c.idleTimedOut()
	}
}

// Connections is how many there are, with those that are being closed.
func (s *Server) Connections() int { return len(s.connections) }

// Open is how many of them are not being closed.
func (s *Server) Open() int { return s.openCount }

// Active is how many connections bring a request or wait for an answer's end.
func (s *Server) Active() int {
	return s.inState(reading) + s.inState(answering) + s.inState(rejectingOverflow)
}

// Answering is how many connections wait for an answer's end.
func (s *Server) Answering() int { return s.inState(answering) }

func (s *Server) inState(state connectionState) (n int) {
	for c := range s.connections {
		if c.state == state {
			n++
		}
	}
	return n
}

// Buffered is how many bytes are held of requests that come or wait.
func (s *Server) Buffered() int { return s.bufferedBytes }

// Unsent is how many bytes are kept for the client that lags most.
func (s *Server) Unsent() (most int) {
	for c := range s.connections {
		most = max(most, c.conn.Unsent())
	}
	return most
}

// evict closes the connection that has waited longest for a request, so that another may be taken. A client that has something to say
// says it at once.
func (s *Server) evict(newest *connection) bool {
	for e := s.idleConnections.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*connection); c != newest && c.closeIdle(Evicted) {
			return true
		}
	}
	return false
}
