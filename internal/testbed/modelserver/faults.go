package modelserver

import (
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
)

// restartDelay is the downtime of an endpoint that restarts at the end of a hang or a blackhole.
const restartDelay = 100 * eventloop.Millisecond

// faults are the faults that are active at an endpoint. A zero value, or a slowFactor of 1, means that there is no such
// fault.
type faults struct {
	slowFactor      float64          // the factor by which all work is slower
	failShare       float64          // probability that an attempt fails
	hung            bool             // the endpoint accepts work and does none
	frozen          bool             // the endpoint does nothing at all
	partitionedZone string           // zone that is partitioned from all others; empty: none
	rejectedProduct string           // product whose attempts are refused; empty: none
	connectDelay    eventloop.Micros // delay before a new connection is served
	reportAge       eventloop.Micros // minimum time between two updates of the load report
}

// Crash stops the endpoint at once. The endpoint restarts after the downtime and warms up. If the downtime is 0, it
// never restarts. A crash cancels a restart that is already scheduled, because otherwise two overlapping faults could
// start an endpoint that already runs.
func (e *Endpoint) Crash(downtime eventloop.Micros) {
	e.stop()
	e.fleet.announce(e, endpoints.Gone)
	if e.restartTimer != nil {
		e.restartTimer.Stop()
		e.restartTimer = nil
	}
	if downtime == 0 {
		return
	}
	e.restartTimer = e.fleet.loop.AfterFunc(downtime, func() {
		e.restartTimer = nil
		if err := e.start(e.fleet.loop.Now()); err == nil {
			e.fleet.announce(e, endpoints.Ready)
		}
	})
}

// Blackhole makes the endpoint silent for the duration, without a connection reset. Then it restarts.
func (e *Endpoint) Blackhole(duration eventloop.Micros) {
	e.frozen = true
	e.fleet.loop.AfterFunc(duration, func() { e.Crash(restartDelay) })
}

// Hang makes the endpoint accept work and do none for the duration. Then it restarts.
func (e *Endpoint) Hang(duration eventloop.Micros) {
	e.hung = true
	e.fleet.loop.AfterFunc(duration, func() { e.Crash(restartDelay) })
}

// Pause freezes the endpoint for the duration. Then it continues from the same state.
func (e *Endpoint) Pause(duration eventloop.Micros) {
	e.frozen = true
	e.fleet.loop.AfterFunc(duration, func() {
		e.frozen = false
		e.resume()
	})
}

// SlowDown makes all work of the endpoint slower by the factor for the duration.
func (e *Endpoint) SlowDown(factor float64, duration eventloop.Micros) {
	e.slowFactor = factor
	e.fleet.loop.AfterFunc(duration, func() { e.slowFactor = 1 })
}

// FailAttempts makes a share of the attempts fail at once for the duration.
func (e *Endpoint) FailAttempts(share float64, duration eventloop.Micros) {
	e.failShare = share
	e.fleet.loop.AfterFunc(duration, func() { e.failShare = 0 })
}

// RejectProduct makes the endpoint refuse the attempts of one product as if its queue were full.
func (e *Endpoint) RejectProduct(product string, duration eventloop.Micros) {
	e.rejectedProduct = product
	e.fleet.loop.AfterFunc(duration, func() { e.rejectedProduct = "" })
}

// DelayConnections delays the service of each new connection.
func (e *Endpoint) DelayConnections(delay, duration eventloop.Micros) {
	e.connectDelay = delay
	e.fleet.loop.AfterFunc(duration, func() { e.connectDelay = 0 })
}

// DelayLoadReports makes the endpoint repeat each load report until it has the given age.
func (e *Endpoint) DelayLoadReports(age, duration eventloop.Micros) {
	e.reportAge = age
	e.fleet.loop.AfterFunc(duration, func() { e.reportAge = 0 })
}

// ClearPrefixCache empties the prefix cache.
func (e *Endpoint) ClearPrefixCache() { clear(e.cachedPrefixes) }

// Drain makes the endpoint refuse new attempts and announces it as draining. After the duration it stops, and restarts
// after the downtime, or never if the downtime is 0.
func (e *Endpoint) Drain(duration, downtime eventloop.Micros) {
	e.draining = true
	e.fleet.announce(e, endpoints.Draining)
	e.fleet.loop.AfterFunc(duration, func() { e.Crash(downtime) })
}

// resume resumes all connections and the batch after a freeze or a partition.
func (e *Endpoint) resume() {
	if !e.alive || e.frozen {
		return
	}
	for _, conn := range e.connsInOrder() {
		conn.resume()
	}
	e.startStep()
}
