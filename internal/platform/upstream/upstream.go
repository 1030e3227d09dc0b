// Package upstream sends attempts to the platform's endpoints. It implements the platform's protocol: it writes
// requests, interprets what each response means for the scheduler, and releases the KV state that endpoints reserve
// for a request. It owns the releases in progress. It relies on package engine for connections and on package http1 for
// messages. It never decides which endpoint an attempt goes to.
package upstream

import (
	"slices"
	"strconv"

	"github.com/rs/zerolog"

	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

// maxResponse is the maximum size of a response that is not streamed, in bytes.
const maxResponse = 64 << 10

// Request is a client's request as an endpoint receives it.
type Request struct {
	ID     string
	Target string
	Fields []string // header fields to forward unchanged, as alternating names and values
	Body   []byte
	// SendTimeout is the time within which the request has to be sent; 0 stands for the connect timeout.
	SendTimeout eventloop.Micros
	// OnSend is called when the request is written, with the remaining time that it states to the endpoint.
	OnSend func(remaining eventloop.Micros)
}

// Options configure the releases of a Client.
type Options struct {
	// StateTimeout is how long an endpoint keeps the KV state of a request while no attempt uses the state.
	StateTimeout eventloop.Micros
	// ReadyEndpoints returns the endpoints that accept new requests. Releases are sent to these first.
	ReadyEndpoints func() []scheduler.EndpointID
	// ListedEndpoints returns all endpoints, including those that accept no new requests.
	ListedEndpoints func() []scheduler.EndpointID
	// Log receives a warning for each release that failed.
	Log zerolog.Logger
}

// Counts are the numbers of releases since the start.
type Counts struct {
	Releases        uint64
	ReleaseAttempts uint64
	LateReleases    uint64 // releases that failed, or were confirmed only after the state timeout
}

// Client sends the attempts and releases of one dispatcher.
type Client struct {
	Counts

	loop        eventloop.Loop
	connections *engine.Engine
	options     Options
}

// New returns a client that sends over an engine's connections. The caller sets the endpoints' addresses in the engine,
// and closes the engine.
func New(loop eventloop.Loop, connections *engine.Engine, options Options) *Client {
	return &Client{loop: loop, connections: connections, options: options}
}

// Prefill sends a prompt to an endpoint that processes the prompt and reserves its KV state. The timeout is for the
// response. No callback runs before Prefill has returned.
func (c *Client) Prefill(
	id scheduler.EndpointID, request Request, timeout eventloop.Micros, callbacks engine.Callbacks,
) *engine.Attempt {
	call := engine.Call{
		BuildRequest:    request.buildRequest,
		ReadResponse:    prefillResult,
		MaxResponseBody: maxResponse,
		SendTimeout:     request.SendTimeout,
	}
	return c.connections.Call(id, call, timeout, callbacks)
}

// Decode sends a request whose response is streamed. The timeout is for the first event. No callback runs before Decode
// has returned.
func (c *Client) Decode(
	id scheduler.EndpointID, request Request, timeout eventloop.Micros, callbacks engine.Callbacks,
) *engine.Attempt {
	call := engine.Call{
		BuildRequest:    request.buildRequest,
		ReadResponse:    rejectionResult,
		Stream:          &responseStream{},
		MaxResponseBody: maxResponse,
		SendTimeout:     request.SendTimeout,
	}
	return c.connections.Call(id, call, timeout, callbacks)
}

// buildRequest encodes the request for an endpoint, with the time that remains until the client's deadline.
func (r Request) buildRequest(address string, remaining eventloop.Micros) []byte {
	if r.OnSend != nil {
		r.OnSend(remaining)
	}
	fields := slices.Concat(r.Fields, []string{"Req-Deadline", strconv.FormatInt(int64(remaining), 10) + "u"})
	return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: r.Target, Host: address, Body: r.Body},
		fields...)
}
