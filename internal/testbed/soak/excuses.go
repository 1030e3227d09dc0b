package soak

import (
	"slices"
	"time"
)

// dispatcherKilled is true if a dispatcher was killed while a request was open there; what it ends with after a stop is
// its own.
func (a *Audit) dispatcherKilled(address string, from, to int64) bool {
	return slices.ContainsFunc(a.events, func(event Event) bool {
		return event.Kind == Killed && event.Dispatcher == address && event.At >= from-slack.Microseconds() && event.At <= to
	})
}

// lateAtKill is how long after SIGTERM a request came that SIGKILL found unanswered, where that was so late that the
// dispatcher had to answer it or to close its connection before; otherwise 0.
func (a *Audit) lateAtKill(t *requestTrail) time.Duration {
	for _, event := range a.events {
		endedIt := event.Kind == Killed && event.Dispatcher == t.sent.Dispatcher && event.Value > 0 &&
			event.At >= t.sent.At && event.At <= t.final.At && event.At+slack.Microseconds() > t.final.At
		if endedIt && t.sent.Value > event.Value+answeredAfterStop.Microseconds() {
			return time.Duration(t.sent.Value-event.Value) * time.Microsecond
		}
	}
	return 0
}

// endpointKilled is true if an endpoint was killed in a span; what it reserved is gone with it.
func (a *Audit) endpointKilled(endpoint string, from, to int64) bool {
	return slices.ContainsFunc(a.events, func(event Event) bool {
		return event.Kind == Killed && event.Endpoint == endpoint && event.At >= from && event.At <= to
	})
}

// wasCutOff is true if a dispatcher could reach no endpoint in a part of a span: nothing can be released then.
func (a *Audit) wasCutOff(dispatcher string, from, to int64) bool {
	return slices.ContainsFunc(a.events, func(event Event) bool {
		return event.Kind == FaultBegan && event.Text == cutOffText && event.Dispatcher == dispatcher &&
			event.At <= to && event.At+event.Value+slack.Microseconds() >= from
	})
}

// writtenBy is the earliest time at which a request may have been written that an endpoint took at some time, by what
// the endpoint recorded of it: a process that did not run, or did not run again and again, took it later, and a proxy
// may have passed it on late.
func (a *Audit) writtenBy(taken Event, at int64) int64 {
	earliest := at
	for _, event := range slices.Backward(a.events) { // in the order of their times, so that the earlier ones come last
		if event.Kind == FaultBegan && event.Text == notRunningText && event.Endpoint == taken.Endpoint &&
			event.At <= earliest && event.At+event.Value+slack.Microseconds() >= earliest {
			earliest = event.At
		}
	}
	return earliest - a.proxyDelay(taken.Dispatcher, earliest)
}

// proxyDelay is for how long a proxy may have delayed what had left a dispatcher: it accepts a connection at once that
// it passes on late.
func (a *Audit) proxyDelay(dispatcher string, at int64) int64 {
	delayed := slices.ContainsFunc(a.events, func(event Event) bool {
		return event.Kind == FaultBegan && event.Text == lateText && event.Dispatcher == dispatcher &&
			event.At <= at && event.At+event.Value+2*lateBy.Microseconds() >= at
	})
	if delayed {
		return lateBy.Microseconds()
	}
	return 0
}

// discoverySilence is for how long discovery published nothing from a time on.
func (a *Audit) discoverySilence(at int64) (longest int64) {
	for _, event := range a.events {
		if event.Kind == FaultBegan && event.Text == discoverySilentText &&
			event.At <= at+drainKnownAfter.Microseconds() && event.At+event.Value > at {
			longest = max(longest, event.At+event.Value-at)
		}
	}
	return longest
}
