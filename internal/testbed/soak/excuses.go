package soak

import (
	"slices"
	"time"
)

// dispatcherKilled reports whether a dispatcher was killed in a span. An exit after SIGTERM alone doesn't count.
func (a *Audit) dispatcherKilled(address string, from, to int64) bool {
	return slices.ContainsFunc(a.events, func(event Event) bool {
		return event.Kind == Killed && event.Dispatcher == address && event.At >= from-slack.Microseconds() && event.At <= to
	})
}

// lateAtKill returns the time from SIGTERM until a request was sent, if the request was unanswered at SIGKILL and that
// time is longer than stopGrace. In this case the dispatcher should have answered the request or closed the connection
// earlier. Otherwise lateAtKill returns 0.
func (a *Audit) lateAtKill(h *requestHistory) time.Duration {
	for _, event := range a.events {
		endedIt := event.Kind == Killed && event.Dispatcher == h.sent.Dispatcher && event.Value > 0 &&
			event.At >= h.sent.At && event.At <= h.final.At && event.At+slack.Microseconds() > h.final.At
		if endedIt && h.sent.Value > event.Value+stopGrace.Microseconds() {
			return time.Duration(h.sent.Value-event.Value) * time.Microsecond
		}
	}
	return 0
}

// endpointKilled reports whether an endpoint was killed in a span. A killed endpoint loses its reserved states.
func (a *Audit) endpointKilled(endpoint string, from, to int64) bool {
	return slices.ContainsFunc(a.events, func(event Event) bool {
		return event.Kind == Killed && event.Endpoint == endpoint && event.At >= from && event.At <= to
	})
}

// wasPartitioned reports whether a dispatcher was partitioned from all endpoints for at least a part of a span. A
// dispatcher can't release states while it is partitioned.
func (a *Audit) wasPartitioned(dispatcher string, from, to int64) bool {
	return slices.ContainsFunc(a.events, func(event Event) bool {
		return event.Kind == FaultBegan && event.Text == partitionedText && event.Dispatcher == dispatcher &&
			event.At <= to && event.At+event.Value+slack.Microseconds() >= from
	})
}

// earliestWrite returns the earliest time at which a dispatcher may have written a request that an endpoint recorded at
// a given time. Between the two times the endpoint's process may have been stopped, once or several times in a row, and
// the proxy may have delayed the connection.
func (a *Audit) earliestWrite(recorded Event, at int64) int64 {
	earliest := at
	for _, event := range slices.Backward(a.events) { // sorted by time, so that earlier spans are added to later ones
		if event.Kind == FaultBegan && event.Text == notRunningText && event.Endpoint == recorded.Endpoint &&
			event.At <= earliest && event.At+event.Value+slack.Microseconds() >= earliest {
			earliest = event.At
		}
	}
	return earliest - a.proxyDelay(recorded.Dispatcher, earliest)
}

// proxyDelay returns how long a proxy may have delayed a request after the dispatcher had written it. Such a delay is
// possible because a proxy accepts a connection at once even if it delays the connection to the endpoint.
func (a *Audit) proxyDelay(dispatcher string, at int64) int64 {
	delayed := slices.ContainsFunc(a.events, func(event Event) bool {
		return event.Kind == FaultBegan && event.Text == delayedText && event.Dispatcher == dispatcher &&
			event.At <= at && event.At+event.Value+2*connectionDelay.Microseconds() >= at
	})
	if delayed {
		return connectionDelay.Microseconds()
	}
	return 0
}

// discoverySilence looks at the silences of discovery that began at most drainKnownAfter after a given time. It returns
// how long after the given time the last of these silences ended, or 0 if all of them had ended by the given time.
func (a *Audit) discoverySilence(at int64) (longest int64) {
	for _, event := range a.events {
		if event.Kind == FaultBegan && event.Text == discoverySilentText &&
			event.At <= at+drainKnownAfter.Microseconds() && event.At+event.Value > at {
			longest = max(longest, event.At+event.Value-at)
		}
	}
	return longest
}
