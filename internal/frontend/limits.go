package frontend

import "plumspindle/internal/eventloop"

// ClientLimits are how long the server waits for a client, and how much it buffers for one.
type ClientLimits struct {
	MessageTimeout eventloop.Micros // for a request, from its first byte to its last
	IdleTimeout    eventloop.Micros // for the next request
	StallTimeout   eventloop.Micros // for a client that takes nothing of what is sent
	MaxUnsentBytes int              // of an answer that its client does not take; past it the answer's source is slowed
}

// DefaultClientLimits suit clients near by.
var DefaultClientLimits = ClientLimits{
	MessageTimeout: 10 * eventloop.Second,
	IdleTimeout:    75 * eventloop.Second,
	StallTimeout:   10 * eventloop.Second,
	MaxUnsentBytes: 64 << 10,
}

const (
	// minEvictionIdle is how long a connection has waited for a request before it may be evicted.
	minEvictionIdle = eventloop.Second
	// idleRecheck is when the closing of an idle connection is tried again on which something has just arrived.
	idleRecheck = 50 * eventloop.Millisecond
	// overloadedLinger is how long a connection that is not served may take to read the answer that says so.
	overloadedLinger = 200 * eventloop.Millisecond
	// overflowShare: for MaxConnections/overflowShare connections beyond MaxConnections requests are read, and rejected.
	overflowShare = 8
	// extendEveryBytes is how much of a long body grants it MessageTimeout anew.
	extendEveryBytes = 1 << 20
	// defaultRetryAfter is when a rejected client may come again if nothing else is known.
	defaultRetryAfter = 200 * eventloop.Millisecond
	// maxNameInError is how many bytes of a name that a client sent are repeated to it.
	maxNameInError = 60
)
