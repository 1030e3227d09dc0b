package engine

import (
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

const (
	// spareReleaseConnections is the number of connections to one endpoint beyond MaxPerEndpoint that releases may use.
	spareReleaseConnections = 4
	// maxEvictions bounds the idle connections that are closed to free a file descriptor for one attempt.
	maxEvictions = 3
	// evictionDelay is the time until the file descriptor of a closed connection is free.
	evictionDelay = eventloop.Millisecond
)

// dialFunc opens a connection. It is either Dial or DialReserved of the event loop.
type dialFunc func(addr string, timeout eventloop.Micros, handler eventloop.Handler) eventloop.Conn

// queuedAttempt is an attempt that waits until a connection may be opened. The queue protects the accept backlogs of
// endpoints. After a restart all waiting requests arrive at once, and an endpoint whose backlog overflows would refuse
// many connections that it could serve a moment later.
type queuedAttempt struct {
	attempt *Attempt
	timer   eventloop.Timer
}

// start sends an attempt on an idle connection or a new one, or queues it until a connection may be opened.
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
		e.deferFailure(attempt, "all connections to the endpoint are in use")
	case ep.opening >= e.limits.MaxOpening && !attempt.call.IsRelease:
		e.queue(attempt)
	default:
		e.connect(attempt, dial)
	}
}

// startOnIdle sends an attempt on the most recently used idle connection and reports whether there was one. It discards
// connections that the endpoint has closed, because the request would be lost. It also discards connections on which
// the endpoint has sent data, because that data would be taken for the response.
func (e *Engine) startOnIdle(attempt *Attempt) bool {
	ep := attempt.endpoint
	for count := len(ep.idle); count > 0; count = len(ep.idle) {
		conn := ep.idle[count-1]
		conn.removeFromIdle()
		if conn.conn.Idle() {
			conn.send(attempt)
			return true
		}
		conn.conn.Close()
	}
	return false
}

// queue adds an attempt to its endpoint's queue. The attempt ends as Unreachable if its send deadline passes first.
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

// startQueued starts queued attempts in order, for as long as canStartNow allows.
func (e *Engine) startQueued(ep *endpoint) {
	for len(ep.queued) > 0 && e.canStartNow(ep) {
		entry := ep.queued[0]
		ep.queued = ep.queued[1:]
		entry.timer.Stop()
		if !entry.attempt.ended {
			e.start(entry.attempt)
		}
	}
}

// canStartNow reports whether an attempt to the endpoint has an idle connection or may open a new one.
func (e *Engine) canStartNow(ep *endpoint) bool {
	return len(ep.idle) > 0 || ep.opening < e.limits.MaxOpening && ep.open < e.limits.MaxPerEndpoint
}

// evictOldestIdle closes the connection that has been idle for longest, across all endpoints. It reports whether there
// was an idle connection.
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
	oldest.removeFromIdle()
	oldest.conn.Close()
	return true
}

// startAfterEviction closes an idle connection and then restarts an attempt that found no free file descriptor. It
// returns false if no connection is idle, or if maxEvictions connections have been closed for this attempt already.
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
