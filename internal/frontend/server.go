// Package frontend is what the client APIs share: connections of clients, API keys, request bodies within their
// limits, error objects, and exactly one final answer to each request.
//
// It owns the connections of clients and the count of their requests and buffered bodies. An API is a Route, which
// reads its requests and answers them on a Response; whose key a request carries is found by a Service. It relies on
// package eventloop for time and sockets and on package http1 for the messages, and runs on a single loop: none of its
// methods may be called from elsewhere. It never decides where a request runs, nor whether a tenant's limits admit it.
package frontend

import (
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// Service finds out who makes a request.
type Service interface {
	// Identify returns whom an API key belongs to.
	Identify(key string) (identity Identity, known bool)
}

// Identity is whom an API key belongs to.
type Identity struct {
	Tenant string
	Key    string // the key's id, never the key
	Space  string // keeps names of prompts and sessions apart; no two tenants share one
	Active bool   // false: the tenant is known and not served now
}

// Server takes connections of clients.
type Server struct {
	loop          eventloop.Loop
	service       Service
	routes        map[string]Route
	messageLimits http1.Limits
	limits        ClientLimits
	connections   map[*connection]bool
	shuttingDown  bool
	opened        uint64 // connections so far

	// OpenRequests is how many requests wait for their final answer.
	OpenRequests int
	// BufferedBytes is how many bytes of bodies are buffered, of requests that arrive or wait for their answer.
	BufferedBytes int
	// MaxConnections, where it is above 0, is how many connections clients may have. Requests on more are rejected and
	// their connections closed; connections beyond a further eighth are not served at all. Descriptors for endpoints
	// and for the administration must not run out because clients hold all there are.
	MaxConnections int
	// MaxBufferedBytes, where it is above 0, bounds BufferedBytes; a request that would exceed it is rejected, and
	// nothing more of it is buffered.
	MaxBufferedBytes int
}

// New returns a server whose Accept is for a listener. Routes are given by path; one that ends in a slash takes all
// paths below it.
func New(
	loop eventloop.Loop, service Service, routes map[string]Route, messages http1.Limits, limits ClientLimits,
) *Server {
	s := &Server{
		loop:          loop,
		service:       service,
		routes:        routes,
		messageLimits: messages,
		limits:        limits,
		connections:   map[*connection]bool{},
	}
	s.messageLimits.BodyBytesFor = func(target string) int {
		if route, found := s.route(target); found && route.MaxBody > 0 {
			return route.MaxBody
		}
		return messages.BodyBytes
	}
	return s
}

// Accept returns the handler of a client's connection.
func (s *Server) Accept(conn eventloop.Conn) eventloop.Handler {
	return &connection{server: s, conn: conn, parser: http1.Parser{Limits: s.messageLimits}}
}

// Shutdown takes no further request; open ones go on, and a connection is closed after its answer.
func (s *Server) Shutdown() {
	s.shuttingDown = true
	for c := range s.connections {
		if c.response == nil {
			c.idleTimedOut()
		}
	}
}

// route returns the route of a request target.
func (s *Server) route(target string) (route Route, found bool) {
	path := pathOf(target)
	route, found = s.routes[path]
	if slash := strings.LastIndexByte(path, '/'); !found && slash > 0 {
		route, found = s.routes[path[:slash+1]]
	}
	return route, found
}

// pathOf returns a request target without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// aboveLimit reports whether clients have more connections than they may.
func (s *Server) aboveLimit() bool {
	return s.MaxConnections > 0 && len(s.connections) > s.MaxConnections
}

// atLimit reports whether clients have all connections that they may.
func (s *Server) atLimit() bool {
	return s.MaxConnections > 0 && len(s.connections) >= s.MaxConnections
}

// aboveOverflow reports whether there are so many connections that a further one is closed without being read.
func (s *Server) aboveOverflow() bool {
	return s.MaxConnections > 0 && len(s.connections) >= s.MaxConnections+s.MaxConnections/overflowShare+1
}

// evictIdle closes the oldest connection that has been idle for minEvictionIdle at least. A connection whose data has
// arrived and is not read yet does not count as idle; the next one is tried then.
func (s *Server) evictIdle() {
	for {
		oldest := s.oldestIdle()
		if oldest == nil {
			return
		}
		if oldest.conn.CloseIfIdle() {
			oldest.closing = true
			delete(s.connections, oldest)
			return
		}
		oldest.idleSince = s.loop.Now()
	}
}

// oldestIdle returns the connection opened first of those that may be evicted, or nil.
func (s *Server) oldestIdle() (oldest *connection) {
	for c := range s.connections {
		if c.evictable() && (oldest == nil || c.order < oldest.order) {
			oldest = c
		}
	}
	return oldest
}
