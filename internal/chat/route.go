// Package chat is the chat completions API of the public OpenAI specification: it reads a client's body into a Request
// and presents what a decode endpoint streams as the client's Answer.
//
// It owns nothing beyond a Request and its Answer, and does no I/O. It relies on package frontend for the connections
// of clients and for their error objects, and on the body being complete. It never decides whether or where a request
// runs.
package chat

import (
	"net/http"
	"plumspindle/internal/frontend"
	"plumspindle/internal/http1"
)

// Path is the API's one URL, both of clients and of endpoints.
const Path = "/v1/chat/completions"

// IsPublic reports whether the operator lets all tenants share a prompt, given by the SHA-256 digest of its text in
// hex.
type IsPublic func(digest string) bool

// Handler takes a request that was read; exactly one final answer is due on the response unless it returns a problem.
type Handler func(
	request *Request, identity frontend.Identity, head *http1.Head, response *frontend.Response,
) *frontend.Problem

// Route returns the API's route.
func Route(isPublic IsPublic, handle Handler) frontend.Route {
	begin := func(
		head *http1.Head, identity frontend.Identity, response *frontend.Response,
	) (frontend.Sink, *frontend.Problem) {
		if problem := frontend.RequireJSON(head); problem != nil {
			return nil, problem
		}
		return &frontend.BufferedBody{Handle: func(body []byte) *frontend.Problem {
			request, problem := ParseRequest(body, identity.Space, isPublic)
			if problem != nil {
				return problem
			}
			return handle(request, identity, head, response)
		}}, nil
	}
	return frontend.Route{Method: http.MethodPost, Begin: begin}
}
