package modelserver

import (
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
)

// restartDelay is how long an endpoint is down that restarts after it hung or was silent.
const restartDelay = 100 * eventloop.Millisecond

// faults are what is wrong with an endpoint.
type faults struct {
	slowFactor      float64          // how many times as long everything takes
	failShare       float64          // of the attempts
	hung            bool             // it accepts work and does none
	frozen          bool             // it does nothing at all
	partitionedZone string           // that is cut off from all others
	rejectedProduct string           // whose attempts are refused
	connectDelay    eventloop.Micros // before a new connection is served
	reportAge       eventloop.Micros // load reports are refreshed only this often
}

// Crash kills the endpoint; it comes back after a while and warms up, or never if that is 0. Of several faults that end
// with a restart the last one decides: a restart that is still to come would start an endpoint that runs by then.
func (e *Endpoint) Crash(back eventloop.Micros) {
	e.stop()
	e.fleet.announce(e, endpoints.Gone)
	if e.restart != nil {
		e.restart.Stop()
		e.restart = nil
	}
	if back == 0 {
		return
	}
	e.restart = e.fleet.loop.AfterFunc(back, func() {
		e.restart = nil
		if err := e.start(e.fleet.loop.Now()); err == nil {
			e.fleet.announce(e, endpoints.Ready)
		}
	})
}

// Blackhole makes the endpoint silent, without a reset; then it restarts.
func (e *Endpoint) Blackhole(duration eventloop.Micros) {
	e.frozen = true
	e.fleet.loop.AfterFunc(duration, func() { e.Crash(restartDelay) })
}

// Hang has the endpoint accept work and do none; then it restarts.
func (e *Endpoint) Hang(duration eventloop.Micros) {
	e.hung = true
	e.fleet.loop.AfterFunc(duration, func() { e.Crash(restartDelay) })
}

// Pause freezes the endpoint; then it goes on where it was.
func (e *Endpoint) Pause(duration eventloop.Micros) {
	e.frozen = true
	e.fleet.loop.AfterFunc(duration, func() {
		e.frozen = false
		e.resume()
	})
}

// SlowDown makes everything take so many times as long.
func (e *Endpoint) SlowDown(factor float64, duration eventloop.Micros) {
	e.slowFactor = factor
	e.fleet.loop.AfterFunc(duration, func() { e.slowFactor = 1 })
}

// FailAttempts has a share of the attempts fail at once.
func (e *Endpoint) FailAttempts(share float64, duration eventloop.Micros) {
	e.failShare = share
	e.fleet.loop.AfterFunc(duration, func() { e.failShare = 0 })
}

// RejectProduct has the endpoint refuse one product's attempts as if it were full.
func (e *Endpoint) RejectProduct(product string, duration eventloop.Micros) {
	e.rejectedProduct = product
	e.fleet.loop.AfterFunc(duration, func() { e.rejectedProduct = "" })
}

// DelayConnections has new connections wait before they are served.
func (e *Endpoint) DelayConnections(delay, duration eventloop.Micros) {
	e.connectDelay = delay
	e.fleet.loop.AfterFunc(duration, func() { e.connectDelay = 0 })
}

// DelayLoadReports has the endpoint repeat old load reports.
func (e *Endpoint) DelayLoadReports(age, duration eventloop.Micros) {
	e.reportAge = age
	e.fleet.loop.AfterFunc(duration, func() { e.reportAge = 0 })
}

// ClearPrefixCache makes the endpoint forget cached prefixes.
func (e *Endpoint) ClearPrefixCache() { clear(e.prefixes) }

// Drain has the endpoint announced as draining, then replaced after a while.
func (e *Endpoint) Drain(duration, back eventloop.Micros) {
	e.draining = true
	e.fleet.announce(e, endpoints.Draining)
	e.fleet.loop.AfterFunc(duration, func() { e.Crash(back) })
}

// resume does what was deferred while the endpoint was frozen or partitioned.
func (e *Endpoint) resume() {
	if !e.alive || e.frozen {
		return
	}
	for _, conn := range e.connsInOrder() {
		conn.resume()
	}
	e.wake()
}
