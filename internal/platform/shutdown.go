package platform

import "plumspindle/internal/eventloop"

const (
	// drainDuration is how long after SIGTERM clients may still open connections and send new requests.
	drainDuration = 500 * eventloop.Millisecond
	// idleCloseDelay is how long after something was last pending (see awaitIdle) the dispatcher closes connections that
	// their clients have not closed.
	idleCloseDelay       = 500 * eventloop.Millisecond
	shutdownPollInterval = 25 * eventloop.Millisecond
)

// Shutdown accepts new requests for drainDuration, then calls closeListener. It calls done once all accepted requests
// are answered and nothing else is pending. A second call has no effect.
func (d *Dispatcher) Shutdown(closeListener, done func()) {
	if d.shuttingDown {
		return
	}
	d.shuttingDown = true
	d.server.Drain()
	d.loop.AfterFunc(drainDuration, func() {
		closeListener()
		d.server.Shutdown()
		d.lastActiveAt = d.loop.Now()
		d.awaitIdle(done)
	})
}

// awaitIdle polls until nothing is pending, then closes the connections to discovery and to endpoints, and calls done.
// These count as pending: unanswered requests, releases, bytes of a response that a slow client has not read yet, and
// open connections on which a request may be on its way.
func (d *Dispatcher) awaitIdle(done func()) {
	d.loop.AfterFunc(shutdownPollInterval, func() {
		now := d.loop.Now()
		if len(d.requests) > 0 || d.server.Active() > 0 || d.server.Unsent() > 0 {
			d.lastActiveAt = now
		}
		quiet := now-d.lastActiveAt >= idleCloseDelay
		if quiet && d.server.Open() > 0 {
			d.server.CloseIdle()
			d.lastActiveAt = now
		}
		if d.lastActiveAt == now || d.server.Connections() > 0 && !quiet {
			d.awaitIdle(done)
			return
		}
		d.discovery.Close()
		d.engine.Close()
		done()
	})
}
