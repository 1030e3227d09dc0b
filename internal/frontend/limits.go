package frontend

import "plumspindle/internal/eventloop"

// ClientLimits bound how long the server waits for a client and how much data it buffers for one.
type ClientLimits struct {
	MessageTimeout eventloop.Micros // for a request from its first byte on; restarted as a long body arrives
	IdleTimeout    eventloop.Micros // for the next request on an idle connection
	StallTimeout   eventloop.Micros // for a client that reads none of the data sent to it
	MaxUnsentBytes int              // of one answer, not yet read by the client; above this, the source is slowed down
}

// DefaultClientLimits suit clients with a short network delay.
var DefaultClientLimits = ClientLimits{
	MessageTimeout: 10 * eventloop.Second,
	IdleTimeout:    75 * eventloop.Second,
	StallTimeout:   10 * eventloop.Second,
	MaxUnsentBytes: 64 << 10,
}

const (
	// minIdleBeforeEviction is how long a connection must have waited for a request before it may be evicted.
	minIdleBeforeEviction = eventloop.Second
	// idleRecheckDelay is the delay before another attempt to close an idle connection on which data has just arrived.
	idleRecheckDelay = 50 * eventloop.Millisecond
	// overloadedCloseDelay is how long a client may take to read the overload response before its connection is closed.
	overloadedCloseDelay = 200 * eventloop.Millisecond
	// overflowDivisor sets the number of connections beyond MaxConnections on which requests are read and rejected:
	// MaxConnections/overflowDivisor + 1.
	overflowDivisor = 8
	// bytesPerTimeoutExtension is the amount of body data after which MessageTimeout is restarted.
	bytesPerTimeoutExtension = 1 << 20
	// defaultRetryAfter is the delay that a rejected client is told to wait if no better value is known.
	defaultRetryAfter = 200 * eventloop.Millisecond
	// maxEchoedNameBytes bounds the bytes of a name from a request that an error message repeats.
	maxEchoedNameBytes = 60
)
