// Package frontend is the HTTP server that all client APIs share. It handles client connections, API keys, limits of
// request bodies and error objects, and ensures that each request gets exactly one final answer.
//
// It owns the client connections and counts their open requests and buffered bytes. Each URL of an API is a Route,
// which reads requests and answers them through a Response. An Authenticator looks up the owner of an API key. The
// package uses package eventloop for time and sockets and package http1 to parse and write messages. It runs on a
// single event loop: its methods may be called on that loop only. It never decides where a request runs or whether a
// tenant's limits admit it.
package frontend

import (
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// Authenticator finds out who makes a request.
type Authenticator interface {
	// Identify returns the owner of an API key.
	Identify(key string) (identity Identity, known bool)
}

// Identity is the owner of an API key.
type Identity struct {
	Tenant    string
	Key       string // the key's id, never the key itself
	Namespace string // namespace for identifiers of prompts and sessions; unique to the tenant
	Active    bool   // false: the tenant is known but not served at present
}

// Server accepts client connections and serves their requests.
type Server struct {
	loop          eventloop.Loop
	authenticator Authenticator
	routes        map[string]Route
	messageLimits http1.Limits
	limits        ClientLimits
	connections   map[*connection]bool
	shuttingDown  bool
	opened        uint64 // connections opened so far; gives connection.order

	// OpenRequests is the number of requests that have not got their final answer.
	OpenRequests int
	// BufferedBytes is the number of bytes that are buffered of the bodies of all requests that are being received or
	// wait for their answer.
	BufferedBytes int
	// MaxConnections, if it is above 0, limits the client connections, so that they do not use up the file descriptors
	// that connections to endpoints and to the administration need. While there are more connections, every new request
	// is rejected and its connection closed. Beyond a further MaxConnections/8 + 1 connections, a new connection gets an
	// overload response and is closed without being read.
	MaxConnections int
	// MaxBufferedBytes, if it is above 0, bounds BufferedBytes. A request that would exceed this limit is rejected and the
	// rest of its body is discarded.
	MaxBufferedBytes int
}

// New returns a server, whose Accept the caller passes to a listener. The keys of routes are paths. A route whose path
// ends in a slash serves the paths that add one segment to that path.
func New(
	loop eventloop.Loop, authenticator Authenticator, routes map[string]Route, messages http1.Limits, limits ClientLimits,
) *Server {
	s := &Server{
		loop:          loop,
		authenticator: authenticator,
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

// Accept returns the handler for a new client connection.
func (s *Server) Accept(conn eventloop.Conn) eventloop.Handler {
	return &connection{server: s, conn: conn, parser: http1.Parser{Limits: s.messageLimits}}
}

// Shutdown makes the server reject new requests. Open requests continue; each connection is closed after its answer.
// Connections without a request are closed at once.
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

// aboveLimit reports whether there are more than MaxConnections client connections.
func (s *Server) aboveLimit() bool {
	return s.MaxConnections > 0 && len(s.connections) > s.MaxConnections
}

// atLimit reports whether there are at least MaxConnections client connections.
func (s *Server) atLimit() bool {
	return s.MaxConnections > 0 && len(s.connections) >= s.MaxConnections
}

// aboveOverflowLimit reports whether there are so many connections that a new one gets an overload response and is
// closed without being read.
func (s *Server) aboveOverflowLimit() bool {
	return s.MaxConnections > 0 && len(s.connections) >= s.MaxConnections+s.MaxConnections/overflowDivisor+1
}

// evictIdle closes the oldest connection that has been idle for more than minIdleBeforeEviction. A connection with data
// that has arrived but has not been read yet is not idle; evictIdle then tries the next one.
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

// oldestIdle returns the evictable connection that was opened first, or nil if there is none.
func (s *Server) oldestIdle() (oldest *connection) {
	for c := range s.connections {
		if c.evictable() && (oldest == nil || c.order < oldest.order) {
			oldest = c
		}
	}
	return oldest
}
