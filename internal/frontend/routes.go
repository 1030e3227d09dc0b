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
	MaxBody     int // bytes; 0: as the server's message limits say
	MaxBuffered int // bytes of a body that are buffered at once, however long it is; 0: all
	// Begin takes a request whose head has arrived: it returns what takes the body, or why the request is refused. Once
	// the Sink's End has returned without a problem, exactly one final answer is due on the response.
	Begin func(head *http1.Head, identity Identity, response *Response) (Sink, *Problem)
}

// begin finds the route of a request and who makes it.
func (s *Server) begin(head *http1.Head, response *Response) (Sink, *Problem) {
	if s.shuttingDown || s.aboveLimit() { // nothing ran: another dispatcher takes it
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

func (s *Server) authenticate(head *http1.Head) (Identity, *Problem) {
	key, bearer := strings.CutPrefix(head.Get("Authorization"), bearerPrefix)
	if !bearer || key == "" {
		return Identity{}, missingKey()
	}
	identity, known := s.service.Identify(key)
	if !known {
		return Identity{}, unknownKey()
	}
	return identity, nil
}
