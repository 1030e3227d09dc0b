package frontend

import (
	"strings"

	"plumspindle/internal/http1"
)

const (
	apiPrefix    = "/v1/"
	bearerPrefix = "Bearer "
)

// Route is one URL of an API.
type Route struct {
	Method      string
	MaxBody     int // bytes; 0: the server's message limits apply
	MaxBuffered int // bytes of one body that are buffered at a time, whatever its length; 0: the whole body
	// Begin starts a request whose head has arrived. It returns the Sink for the body, or a problem that rejects the
	// request. Once the Sink's End has returned no problem, the route must give exactly one final answer on the response.
	Begin func(head *http1.Head, identity Identity, response *Response) (Sink, *Problem)
}

// begin authenticates a request and passes it to its route. It returns the Sink for the body, or the problem that
// rejects the request.
func (s *Server) begin(head *http1.Head, response *Response) (Sink, *Problem) {
	if s.shuttingDown || s.aboveLimit() { // the request has not run, so the client can retry at another dispatcher
		response.keepAlive = false
		return &discardingSink{end: func() { response.Reject(0) }}, nil
	}
	path := pathOf(head.Target)
	if !strings.HasPrefix(path, apiPrefix) {
		return nil, unknownURL(head.Method, path)
	}
	identity, problem := s.authenticate(head)
	if problem != nil {
		return nil, problem
	}
	route, found := s.route(head.Target)
	switch {
	case !found:
		return nil, unknownURL(head.Method, path)
	case head.Method != route.Method:
		return nil, methodNotAllowed(head.Method)
	}
	return route.Begin(head, identity, response)
}

// authenticate returns the owner of the API key in a request's head.
func (s *Server) authenticate(head *http1.Head) (Identity, *Problem) {
	key, bearer := strings.CutPrefix(head.Get("Authorization"), bearerPrefix)
	if !bearer || key == "" {
		return Identity{}, missingKey()
	}
	identity, known := s.authenticator.Identify(key)
	if !known {
		return Identity{}, unknownKey()
	}
	return identity, nil
}
