// Package engine carries attempts to endpoints over HTTP/1.1 and reports how each of them came out.
//
// It owns the connections to all endpoints: it opens, reuses and closes them within Limits, and repeats releases of
// KV state until an endpoint has confirmed them. What an endpoint's response, a closed connection or a timeout proves
// about an attempt is decided here (result.go, openai.go) and nowhere else; a protocol other than that of the public
// chat completions API brings its own Call.
//
// It relies on package eventloop for time and sockets and runs on a single loop: none of its methods may be called from
// elsewhere, and no callback runs before the method that started the attempt has returned. It never chooses an
// endpoint and never retries an attempt: both are the scheduler's.
package engine

import (
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// Limits bound the connections to endpoints.
type Limits struct {
	ConnectTimeout    eventloop.Micros // a connection not made by then counts as unreachable
	IdleTimeout       eventloop.Micros // an unused connection is closed after it; endpoints must keep theirs for longer
	StreamIdleTimeout eventloop.Micros // a started stream without data for so long counts as broken
	MaxPerEndpoint    int              // connections to one endpoint
	// MaxOpening is how many connections to one endpoint may be opening at once; further attempts queue, for
	// ConnectTimeout at most.
	MaxOpening int
	// MaxTotal is how many connections to all endpoints there may be, where it is above 0; before more are opened, the
	// one idle for longest is closed.
	MaxTotal int
}

// Engine holds the connections to all endpoints.
type Engine struct {
	loop      eventloop.Loop
	name      string // of this dispatcher, sent with each attempt
	zone      string // of this dispatcher, sent with each attempt
	limits    Limits
	endpoints map[scheduler.EndpointID]*endpoint
	open      int    // connections to all endpoints
	idleCount uint64 // connections that have fallen idle so far
}

// New returns an engine that knows no endpoint yet.
func New(loop eventloop.Loop, name, zone string, limits Limits) *Engine {
	return &Engine{
		loop:      loop,
		name:      name,
		zone:      zone,
		limits:    limits,
		endpoints: map[scheduler.EndpointID]*endpoint{},
	}
}

// Close closes all idle connections.
func (e *Engine) Close() {
	for _, ep := range e.endpoints {
		ep.closeIdle()
	}
}

// Connections returns the number of connections to all endpoints.
func (e *Engine) Connections() int { return e.open }

// EndpointCount returns the number of endpoints that the engine knows, removed ones included until they are forgotten.
func (e *Engine) EndpointCount() int { return len(e.endpoints) }

// InFlight returns the number of connections to an endpoint that are in use.
func (e *Engine) InFlight(id scheduler.EndpointID) int {
	ep := e.endpoints[id]
	if ep == nil {
		return 0
	}
	return ep.open - len(ep.idle)
}

// OpeningConnections returns the number of connections to an endpoint that are being opened.
func (e *Engine) OpeningConnections(id scheduler.EndpointID) int {
	if ep := e.endpoints[id]; ep != nil {
		return ep.opening
	}
	return 0
}

// IdleConnections returns the number of connections to an endpoint that an attempt could use at once.
func (e *Engine) IdleConnections(id scheduler.EndpointID) int {
	if ep := e.endpoints[id]; ep != nil && !ep.removed {
		return len(ep.idle)
	}
	return 0
}

// LastReceived returns when an endpoint last sent anything; 0: never.
func (e *Engine) LastReceived(id scheduler.EndpointID) eventloop.Micros {
	if ep := e.endpoints[id]; ep != nil {
		return ep.lastReceived
	}
	return 0
}
