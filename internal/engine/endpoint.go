package engine

import (
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// removedRetention is the minimum time for which the engine keeps a removed endpoint. An endpoint may be missing from a
// list by mistake while it runs, and the engine may still have to release KV state that the endpoint holds.
const removedRetention = 60 * eventloop.Second

// endpoint is the engine's state for one endpoint: its connections, queued attempts and pending releases.
type endpoint struct {
	addr         string
	removed      bool
	idle         []*connection    // the most recently used last
	open         int              // connections, including idle ones and those being opened
	opening      int              // connections being opened
	queued       []*queuedAttempt // attempts that wait for a connection, in FIFO order
	lastReceived eventloop.Micros // when data last arrived, on any connection; 0 if none ever did
	releases     releaseQueue
}

// SetAddress adds an endpoint, or changes its address. Connections to an earlier address are not reused.
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

// RemoveEndpoint closes the idle connections to an endpoint that is no longer listed. The engine deletes the endpoint
// once it has no connection, queued attempt or pending release, and not before removedRetention has passed.
func (e *Engine) RemoveEndpoint(id scheduler.EndpointID) {
	ep := e.endpoints[id]
	if ep == nil {
		return
	}
	ep.closeIdle()
	if !ep.removed {
		ep.removed = true
		e.scheduleDeletion(id, ep)
	}
}

// RetainEndpoints removes all endpoints except the listed ones.
func (e *Engine) RetainEndpoints(listed map[scheduler.EndpointID]bool) {
	for id := range e.endpoints {
		if !listed[id] {
			e.RemoveEndpoint(id)
		}
	}
}

// scheduleDeletion deletes a removed endpoint after removedRetention, or tries again later if it is still in use. An
// endpoint that has been added again by then is kept.
func (e *Engine) scheduleDeletion(id scheduler.EndpointID, ep *endpoint) {
	e.loop.AfterFunc(removedRetention, func() {
		switch {
		case !ep.removed || e.endpoints[id] != ep:
		case ep.open > 0 || len(ep.queued) > 0 || len(ep.releases.pending) > 0:
			e.scheduleDeletion(id, ep)
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
