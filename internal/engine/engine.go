// Package engine sends attempts to endpoints over HTTP/1.1 and reports the result of each.
//
// It owns the connections to all endpoints: it opens, reuses and closes them within Limits, and retries releases of
// KV state until an endpoint has confirmed them or releaseRetryPeriod has passed. It alone decides what an endpoint's
// response, a closed connection or a timeout proves about an attempt (result.go, openai.go). For a protocol other than
// the public chat completions API, the caller supplies a Call.
//
// It uses package eventloop for time and sockets and runs on a single event loop: its methods may be called on that
// loop only, and no callback runs before the method that started the attempt has returned. It never chooses an endpoint
// and never retries an attempt, because the scheduler does both.
package engine

import (
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// Limits bound the connections to endpoints.
type Limits struct {
	// ConnectTimeout bounds the time until a connection is open and the request has been sent completely. An attempt that
	// takes longer ends as Unreachable.
	ConnectTimeout eventloop.Micros
	// IdleTimeout is the time after which an unused connection is closed. Endpoints must keep unused connections open for
	// longer.
	IdleTimeout eventloop.Micros
	// StreamIdleTimeout is the time after which a started stream without an event is treated as broken.
	StreamIdleTimeout eventloop.Micros
	MaxPerEndpoint    int // maximum number of connections to one endpoint
	// MaxOpening bounds the connections to one endpoint that are being opened. Further attempts queue, for
	// ConnectTimeout at most.
	MaxOpening int
	// MaxTotal bounds the connections to all endpoints, unless it is 0. While that many are open, the engine closes the
	// connection that has been idle for longest before it opens another one. If none is idle, it exceeds MaxTotal.
	MaxTotal int
}

// Engine holds the connections to all endpoints.
type Engine struct {
	loop         eventloop.Loop
	name         string // name of this dispatcher, sent with each request
	zone         string // zone of this dispatcher, sent with each request
	limits       Limits
	endpoints    map[scheduler.EndpointID]*endpoint
	open         int    // number of connections to all endpoints
	idleSequence uint64 // number of times that any connection has become idle; the source of connection.idleOrder
}

// New returns an engine without endpoints.
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

// EndpointCount returns the number of endpoints that the engine keeps, including removed ones that are not deleted yet.
func (e *Engine) EndpointCount() int { return len(e.endpoints) }

// InFlight returns the number of connections to an endpoint that are not idle: those used by an attempt, those being
// opened, and those that wait for reuseDelay after a response.
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

// IdleConnections returns the number of connections to an endpoint that an attempt can use immediately.
func (e *Engine) IdleConnections(id scheduler.EndpointID) int {
	if ep := e.endpoints[id]; ep != nil && !ep.removed {
		return len(ep.idle)
	}
	return 0
}

// LastReceived returns when data last arrived from an endpoint, or 0 if no data has arrived.
func (e *Engine) LastReceived(id scheduler.EndpointID) eventloop.Micros {
	if ep := e.endpoints[id]; ep != nil {
		return ep.lastReceived
	}
	return 0
}
