package engine

import (
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

const (
	// spareReleaseConnections is how many connections beyond MaxPerEndpoint releases may use at one endpoint.
	spareReleaseConnections = 4
	// maxEvictions is how many idle connections are closed at most so that one attempt finds a free descriptor.
	maxEvictions = 3
	// evictionDelay is the time after which the descriptor of a closed connection is free.
	evictionDelay = eventloop.Millisecond
)

// dialFunc opens a connection; it is one of the loop's Dial and DialReserved.
type dialFunc func(addr string, within eventloop.Micros, handler eventloop.Handler) eventloop.Conn

// queuedAttempt is an attempt that waits for a connection. After a restart all waiting requests arrive at once, and an
// endpoint whose accept backlog overflows would refuse many that it could serve a moment later.
type queuedAttempt struct {
	attempt *Attempt
	timer   eventloop.Timer
}

// start puts an attempt onto an idle connection or a new one, or queues it until one may be opened.
func (e *Engine) start(attempt *Attempt) {
	if e.startOnIdle(attempt) {
		return
	}
	ep := attempt.endpoint
	maxOpen, dial := e.limits.MaxPerEndpoint, e.loop.Dial
	if attempt.call.IsRelease {
		maxOpen, dial = maxOpen+spareReleaseConnections, e.loop.DialReserved
	}
	if e.limits.MaxTotal > 0 && e.open >= e.limits.MaxTotal {
		e.evictOldestIdle()
	}
	switch {
	case ep.open >= maxOpen:
		e.failLater(attempt, "all connections to the endpoint are in use")
	case ep.opening >= e.limits.MaxOpening && !attempt.call.IsRelease:
		e.queue(attempt)
	default:
		e.connect(attempt, dial)
	}
}

// startOnIdle puts an attempt onto the idle connection used last and reports whether there was one. A connection that
// its endpoint has closed or sent anything on is not used: the request would be lost, or take another's response.
func (e *Engine) startOnIdle(attempt *Attempt) bool {
	ep := attempt.endpoint
	for count := len(ep.idle); count > 0; count = len(ep.idle) {
		conn := ep.idle[count-1]
		conn.leaveIdle()
		if conn.conn.Idle() {
			conn.carry(attempt)
			return true
		}
		conn.conn.Close()
	}
	return false
}

// queue has an attempt wait until a connection may be opened.
func (e *Engine) queue(attempt *Attempt) {
	ep := attempt.endpoint
	entry := &queuedAttempt{attempt: attempt}
	entry.timer = e.loop.AfterFunc(max(attempt.sendDeadline-e.loop.Now(), 0), func() {
		ep.queued = slices.DeleteFunc(ep.queued, func(other *queuedAttempt) bool { return other == entry })
		attempt.finish(Result{
			Outcome: scheduler.Unreachable,
			Reason:  "too many connections to the endpoint are opening",
		})
	})
	ep.queued = append(ep.queued, entry)
}

// connect opens a connection for an attempt.
func (e *Engine) connect(attempt *Attempt, dial dialFunc) {
	ep := attempt.endpoint
	ep.open++
	ep.opening++
	e.open++
	conn := &connection{
		engine:   e,
		endpoint: ep,
		addr:     ep.addr,
		parser:   http1.Parser{Response: true, Limits: http1.DefaultLimits},
		attempt:  attempt,
	}
	attempt.connection = conn
	conn.conn = dial(ep.addr, max(attempt.sendDeadline-e.loop.Now(), 1), conn)
}

// startQueued starts queued attempts as far as connections allow now.
func (e *Engine) startQueued(ep *endpoint) {
	for len(ep.queued) > 0 && e.mayStart(ep) {
		entry := ep.queued[0]
		ep.queued = ep.queued[1:]
		entry.timer.Stop()
		if !entry.attempt.ended {
			e.start(entry.attempt)
		}
	}
}

// mayStart reports whether an attempt would find a connection to an endpoint without queueing.
func (e *Engine) mayStart(ep *endpoint) bool {
	return len(ep.idle) > 0 || ep.opening < e.limits.MaxOpening && ep.open < e.limits.MaxPerEndpoint
}

// evictOldestIdle closes the connection, to any endpoint, that has been idle for longest, and reports whether there was
// one.
func (e *Engine) evictOldestIdle() bool {
	var oldest *connection
	for _, ep := range e.endpoints {
		if len(ep.idle) > 0 && (oldest == nil || ep.idle[0].idleOrder < oldest.idleOrder) {
			oldest = ep.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.leaveIdle()
	oldest.conn.Close()
	return true
}

// startAfterEviction starts an attempt again that found no free descriptor, once an idle connection has been closed for
// it. It reports false where there is none, or where too many have been closed for this attempt.
func (e *Engine) startAfterEviction(attempt *Attempt) bool {
	if attempt.evictions >= maxEvictions || !e.evictOldestIdle() {
		return false
	}
	attempt.evictions++
	e.loop.AfterFunc(evictionDelay, func() {
		if !attempt.ended {
			e.start(attempt)
		}
	})
	return true
}
