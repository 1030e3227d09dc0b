// Package upstream carries attempts to the platform's endpoints. Its job is the platform's protocol: it writes
// requests, interprets what each response means for the scheduler, and releases the KV state that endpoints reserve
// for a request. It owns the releases under way. It relies on package engine for connections and on http1 for messages.
// It never decides which endpoint an attempt goes to.
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

// maxResponse is how many bytes a response may have that is not streamed.
const maxResponse = 64 << 10

// Request is what an endpoint receives of a client's request.
type Request struct {
	ID     string
	Target string
	Fields []string // header fields, names and values in turn; they are forwarded unchanged
	Body   []byte
	// SendTimeout is how long the request may take until it has been sent; 0: the connect timeout.
	SendTimeout eventloop.Micros
	// OnSend is called as the request is written, with the time remaining that the endpoint is given.
	OnSend func(remaining eventloop.Micros)
}

// Options say how releases are made.
type Options struct {
	// StateTimeout is how long an endpoint keeps the KV state of a request that nothing uses.
	StateTimeout eventloop.Micros
	// ReadyEndpoints returns the endpoints that accept new requests. Releases are sent to these first.
	ReadyEndpoints func() []scheduler.EndpointID
	// ListedEndpoints returns all endpoints.
	ListedEndpoints func() []scheduler.EndpointID
	// Log receives a warning of each release that failed.
	Log zerolog.Logger
}

// Counts are of releases since the start.
type Counts struct {
	Releases        uint64
	ReleaseAttempts uint64
	LateReleases    uint64 // failed, or confirmed only after the state timeout
}

// Client makes the attempts and releases of one dispatcher.
type Client struct {
	Counts

	loop        eventloop.Loop
	connections *engine.Engine
	options     Options
}

// New makes a client that sends over an engine's connections. The caller gives the engine the endpoints' addresses, and
// closes it.
func New(loop eventloop.Loop, connections *engine.Engine, options Options) *Client {
	return &Client{loop: loop, connections: connections, options: options}
}

// Prefill sends a prompt to be processed. The timeout is that of its response. No callback runs before it has returned.
func (c *Client) Prefill(
	id scheduler.EndpointID, request Request, timeout eventloop.Micros, callbacks engine.Callbacks,
) *engine.Attempt {
	call := engine.Call{
		BuildRequest:    request.write,
		ReadResponse:    prefillResult,
		MaxResponseBody: maxResponse,
		SendTimeout:     request.SendTimeout,
	}
	return c.connections.Call(id, call, timeout, callbacks)
}

// Decode sends a request whose response is streamed. The timeout is that of the first event. No callback runs before it
// has returned.
func (c *Client) Decode(
	id scheduler.EndpointID, request Request, timeout eventloop.Micros, callbacks engine.Callbacks,
) *engine.Attempt {
	call := engine.Call{
		BuildRequest:    request.write,
		ReadResponse:    rejectionResult,
		Stream:          &responseStream{},
		MaxResponseBody: maxResponse,
		SendTimeout:     request.SendTimeout,
	}
	return c.connections.Call(id, call, timeout, callbacks)
}

// write encodes the request for an endpoint, with the time that remains for it.
func (r Request) write(address string, remaining eventloop.Micros) []byte {
	if r.OnSend != nil {
		r.OnSend(remaining)
	}
	fields := slices.Concat(r.Fields, []string{"Req-Deadline", strconv.FormatInt(int64(remaining), 10) + "u"})
	return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: r.Target, Host: address, Body: r.Body},
		fields...)
}
