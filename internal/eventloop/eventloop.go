// Package eventloop defines the interface between the program and time, timers and the network. The code above it is
// written for a single-threaded loop: it is called with events and asks for things, and never blocks, starts a
// goroutine or reads a clock. Package sockets implements the interface with real sockets, package virtual with a
// simulated network in virtual time.
//
// Whoever asks a Loop for a connection, a listener or a timer owns it and ends it. An implementation relies on its
// callers to use it only from within its own calls, and never reports an outcome within the call that asked for it.
package eventloop

import (
	"errors"

	"plumspindle/scheduler/timerqueue"
)

// Micros is a point in time since 1970, or a duration, in whole microseconds.
type Micros = timerqueue.Micros

// Common durations.
const (
	Millisecond Micros = 1000
	Second             = 1000 * Millisecond
)

// The causes of failed and closed connections that callers distinguish.
var (
	// ErrNoDescriptors means that this process has no file descriptor left; the other side is not to blame.
	ErrNoDescriptors    = errors.New("too many open files")
	ErrConnectTimeout   = errors.New("no connection in time")
	ErrClosedBeforeOpen = errors.New("closed before it opened")
	ErrPeerClosed       = errors.New("closed by the other side")
)

// Loop runs all code of one dispatcher, or of one simulated process, one call at a time. Its methods may be called only
// from within those calls.
type Loop interface {
	Now() Micros
	// AfterFunc calls f once the duration has passed, unless the timer is stopped before.
	AfterFunc(duration Micros, f func()) Timer
	// Defer calls f after the current call has returned, before anything that comes from outside.
	Defer(f func())
	// Dial opens a connection. The handler's Opened is called once it is open, or Closed with the cause if it can't be
	// opened within the timeout.
	Dial(addr string, timeout Micros, handler Handler) Conn
	// DialReserved is Dial for connections that must not wait for others: it may use one of a few descriptors that are
	// reserved for them.
	DialReserved(addr string, timeout Micros, handler Handler) Conn
	// Listen accepts connections until the listener is closed. Only loopback addresses are allowed unless the
	// implementation is configured otherwise.
	Listen(addr string, accept func(Conn) Handler) (Listener, error)
}

// Timer is a call that is due at some time. Stop prevents it if it has not been made yet.
type Timer interface{ Stop() }

// Listener accepts connections.
type Listener interface {
	Addr() string
	Close()
	// Drain accepts the connections that wait in the backlog, as their clients may have sent requests, and then closes.
	Drain()
}

// Handler receives the events of one connection. Closed is the last of them.
type Handler interface {
	Opened()
	// Data hands over bytes that are valid only until it returns.
	Data(b []byte)
	// Drained is called once everything that was written has been taken by the network.
	Drained()
	Closed(cause error)
}

// Conn is one connection. Its methods don't block; what the network doesn't take is buffered.
type Conn interface {
	Write(b []byte)
	// Unsent returns how many written bytes the network has not taken yet.
	Unsent() int
	// Undelivered reports whether some written bytes are known not to have reached the other side's machine yet. Where
	// none are, no process on the other side need have taken them.
	Undelivered() bool
	// Idle reports whether the connection is open on both sides and the other side has sent nothing that is not handed
	// over yet. It asks the network, as what has arrived may still be on its way to the loop.
	Idle() bool
	// PeerClosed reports whether the other side has closed the connection, even if that is not handed over yet. It asks
	// the network.
	PeerClosed() bool
	// SetPaused stops or resumes the handing over of data. While paused, little more than the socket's own buffer is read,
	// so that the other side is slowed down.
	SetPaused(paused bool)
	// Close closes the connection once everything is sent. An accepted connection is closed by halves: what the other
	// side sends until it has seen the close is dropped, as a close over unread bytes would reset the connection and
	// lose what is still on its way.
	Close()
	// Abort closes the connection at once, with a reset.
	Abort()
	// CloseIfIdle is Close for a connection that carries no request, unless something has arrived that was not handed
	// over yet, as its sender would wait for an answer. It reports whether the connection is being closed; if not, Data
	// or Closed follows.
	CloseIfIdle() bool
}
