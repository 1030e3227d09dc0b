package engine

import (
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// forgetDelay is how long a removed endpoint is remembered at least: a list of endpoints may be wrong about one that
// runs, and KV state that it holds may still have to be released.
const forgetDelay = 60 * eventloop.Second

// endpoint is what the engine knows of one endpoint.
type endpoint struct {
	addr         string
	removed      bool
	idle         []*connection // the one used last comes last
	open         int           // connections, idle and opening ones included
	opening      int
	queued       []*queuedAttempt // attempts that wait for a connection, first come first served
	lastReceived eventloop.Micros
	releases     releaseQueue
}

// SetAddress adds an endpoint, or changes its address; connections to an earlier address are not used again.
func (e *Engine) SetAddress(id scheduler.EndpointID, addr string) {
	ep := e.endpoints[id]
	if ep == nil {
		e.endpoints[id] = &endpoint{addr: addr}
		return
	}
	ep.removed = false
	if ep.addr != addr {
		ep.addr = addr
		ep.closeIdle()
	}
}

// RemoveEndpoint closes the idle connections to an endpoint that is listed no more, and forgets it once nothing of it
// is left, forgetDelay later at the earliest.
func (e *Engine) RemoveEndpoint(id scheduler.EndpointID) {
	ep := e.endpoints[id]
	if ep == nil {
		return
	}
	ep.closeIdle()
	if !ep.removed {
		ep.removed = true
		e.forgetLater(id, ep)
	}
}

// RetainEndpoints removes all endpoints but those listed.
func (e *Engine) RetainEndpoints(listed map[scheduler.EndpointID]bool) {
	for id := range e.endpoints {
		if !listed[id] {
			e.RemoveEndpoint(id)
		}
	}
}

func (e *Engine) forgetLater(id scheduler.EndpointID, ep *endpoint) {
	e.loop.AfterFunc(forgetDelay, func() {
		switch {
		case !ep.removed || e.endpoints[id] != ep:
		case ep.open > 0 || len(ep.queued) > 0 || len(ep.releases.pending) > 0:
			e.forgetLater(id, ep)
		default:
			delete(e.endpoints, id)
		}
	})
}

func (ep *endpoint) closeIdle() {
	for _, conn := range ep.idle {
		conn.conn.Close()
	}
	ep.idle = nil
}
