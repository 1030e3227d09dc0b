package platform

import "plumspindle/internal/eventloop"

const (
	// drainTime is how long after SIGTERM clients may still open connections and send requests on those that they have.
	drainTime = 500 * eventloop.Millisecond
	// idleCloseTime is how long after the last answer connections are closed whose clients have not closed them.
	idleCloseTime = 500 * eventloop.Millisecond
	shutdownPoll  = 25 * eventloop.Millisecond
)

// Shutdown accepts requests for a short while more, answers all that were accepted, and then calls done. A second call
// changes nothing.
func (d *Dispatcher) Shutdown(closeListener, done func()) {
	if d.shuttingDown {
		return
	}
	d.shuttingDown = true
	d.server.Drain()
	d.loop.AfterFunc(drainTime, func() {
		closeListener()
		d.server.Shutdown()
		d.lastActiveAt = d.loop.Now()
		d.awaitIdle(done)
	})
}

// awaitIdle polls until nothing is pending: no answer, no release, no byte of an answer that a slow
// client has not taken, and no connection on which a request may be on its way.
func (d *Dispatcher) awaitIdle(done func()) {
	d.loop.AfterFunc(shutdownPoll, func() {
		now := d.loop.Now()
		if len(d.requests) > 0 || d.server.Active() > 0 || d.server.Unsent() > 0 {
			d.lastActiveAt = now
		}
		quiet := now-d.lastActiveAt >= idleCloseTime
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
