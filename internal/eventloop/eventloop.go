// Package eventloop defines the interface through which the program uses the clock, timers and the network. Code that
// uses it runs on a single-threaded event loop: it handles events in callbacks, and never blocks, starts a goroutine or
// reads a clock itself. Package sockets implements the interface with real sockets, package virtual with a simulated
// network in virtual time.
//
// The caller that gets a connection, a listener or a timer from a Loop owns it and has to end it. The methods may be
// called only from callbacks of the same Loop. An implementation never reports the outcome of an operation within the
// call that started the operation, but in a later callback.
package eventloop

import (
	"errors"

	"plumspindle/scheduler/timerqueue"
)

// Micros is a number of whole microseconds: a point in time since 1970, or a duration.
type Micros = timerqueue.Micros

// Common durations.
const (
	Millisecond Micros = 1000
	Second             = 1000 * Millisecond
)

// The causes of failed and closed connections that are passed to Handler.Closed and that callers may distinguish.
var (
	// ErrNoDescriptors means that this process has no file descriptor left. The peer did not cause the failure.
	ErrNoDescriptors    = errors.New("too many open files")
	ErrConnectTimeout   = errors.New("no connection in time")
	ErrClosedBeforeOpen = errors.New("closed before it opened")
	ErrPeerClosed       = errors.New("closed by the other side")
)

// Loop runs all code of one dispatcher, or of one simulated process, as callbacks that run one at a time. Its methods
// may be called only from those callbacks.
type Loop interface {
	// Now returns the current time.
	Now() Micros
	// AfterFunc calls f after the duration, unless the timer is stopped before that.
	AfterFunc(duration Micros, f func()) Timer
	// Defer calls f after the current callback has returned, before the next event is handled.
	Defer(f func())
	// Dial opens a connection. It calls the handler's Opened once the connection is open, or Closed with the cause if the
	// connection can't be opened within the timeout.
	Dial(addr string, timeout Micros, handler Handler) Conn
	// DialReserved is Dial for connections that must not wait until other connections free a descriptor. It may use one of
	// a few descriptors that are reserved for such connections.
	DialReserved(addr string, timeout Micros, handler Handler) Conn
	// Listen accepts connections until the listener is closed, and calls accept to get the handler of each connection.
	// Only loopback addresses are allowed unless the implementation is configured otherwise.
	Listen(addr string, accept func(Conn) Handler) (Listener, error)
}

// Timer is a scheduled function call. Stop cancels the call if it has not been made yet.
type Timer interface{ Stop() }

// Listener accepts connections.
type Listener interface {
	Addr() string
	Close()
	// Drain accepts the connections in the backlog, as their clients may already have sent requests, and then closes the
	// listener.
	Drain()
}

// Handler receives the events of one connection. Closed is the last event.
type Handler interface {
	Opened()
	// Data passes received bytes to the handler. The slice is valid only until Data returns.
	Data(b []byte)
	// Drained is called once the network has accepted all bytes that were buffered in the connection.
	Drained()
	Closed(cause error)
}

// Conn is one connection. Its methods don't block.
type Conn interface {
	// Write sends b. Bytes that the network does not accept at once are buffered.
	Write(b []byte)
	// Unsent returns how many written bytes the network has not accepted yet.
	Unsent() int
	// Undelivered reports whether some written bytes are known not to have reached the peer's machine yet. If it reports
	// false, the peer's process may still not have read the bytes.
	Undelivered() bool
	// Idle reports whether both sides of the connection are open and all data that has arrived from the peer has been
	// passed to the handler. It asks the network, because data that has arrived may not have reached the loop yet.
	Idle() bool
	// PeerClosed reports whether the peer has closed the connection, even if the handler's Closed was not called yet. It
	// asks the network.
	PeerClosed() bool
	// SetPaused pauses or resumes the calls of the handler's Data. While a connection is paused, only a limited amount of
	// data is buffered in addition to the socket's own buffer, so that flow control slows the peer down.
	SetPaused(paused bool)
	// Close closes the connection once all written bytes are sent. An accepted connection is half-closed first, and data
	// that the peer sends until it has seen the close is read and dropped. Closing a socket with unread data would reset
	// the connection and lose bytes that are still in transit to the peer.
	Close()
	// Abort closes the connection immediately with a reset.
	Abort()
	// CloseIfIdle closes a connection that carries no request, in the same way as Close. It leaves the connection open
	// if data has arrived that was not passed to the handler yet, because the peer would wait for an answer to this data.
	// CloseIfIdle reports whether the connection is being closed. If it reports false, a call of the handler's Data or
	// Closed follows.
	CloseIfIdle() bool
}
