// Package chat implements the chat completions API of the public OpenAI specification. It parses a client's body into a
// Request and converts the events that a decode endpoint streams into the client's Answer.
//
// It keeps no state beyond a Request and its Answer, and does no I/O. Package frontend handles the client connections
// and error objects and passes on complete bodies. Package chat never decides whether or where a request runs.
package chat

import (
	"net/http"
	"plumspindle/internal/frontend"
	"plumspindle/internal/http1"
)

// Path is the API's only URL path. Clients and endpoints use the same path.
const Path = "/v1/chat/completions"

// IsPublic reports whether the operator allows all tenants to share a prompt, given the SHA-256 digest of its text in
// hex.
type IsPublic func(digest string) bool

// Handler takes over a parsed request. Unless it returns a problem, it must give exactly one final answer on the
// response.
type Handler func(
	request *Request, identity frontend.Identity, head *http1.Head, response *frontend.Response,
) *frontend.Problem

// Route returns the API's route, which parses each request and passes it to the Handler.
func Route(isPublic IsPublic, handle Handler) frontend.Route {
	begin := func(
		head *http1.Head, identity frontend.Identity, response *frontend.Response,
	) (frontend.Sink, *frontend.Problem) {
		if problem := frontend.RequireJSON(head); problem != nil {
			return nil, problem
		}
		return &frontend.BufferedBody{Handle: func(body []byte) *frontend.Problem {
			request, problem := ParseRequest(body, identity.Namespace, isPublic)
			if problem != nil {
				return problem
			}
			return handle(request, identity, head, response)
		}}, nil
	}
	return frontend.Route{Method: http.MethodPost, Begin: begin}
}
