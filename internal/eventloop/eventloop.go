// Package eventloop is the one place where the program meets time and the network. What stands above it is written
// for a single loop: it is called with events and asks for things, and never waits, starts a goroutine or
// reads a clock. Package sockets is it over real sockets, package virtual in virtual time.
package eventloop

import (
	"errors"

	"plumspindle/scheduler/timerqueue"
)

// Micros is a time or a span in whole microseconds.
type Micros = timerqueue.Micros

const (
	Millisecond Micros = 1000
	Second             = 1000 * Millisecond
)

// ErrNoDescriptors is why a connection could not be made where this process has no descriptor left; its other side is not to blame.
var ErrNoDescriptors = errors.New("too many open files")

// Loop runs everything of one dispatcher, or of one stand-in, one call at a time. Its methods may be called
// only from within those calls.
type Loop interface {
	Now() Micros
	// AfterFunc runs f once, after the span; the timer can be stopped.
	AfterFunc(span Micros, f func()) Timer
	// Defer runs f after the call that is under way, before anything that comes in from outside.
	Defer(f func())
	// Dial opens a connection. The handler hears Opened, or Closed with the cause where none could be made.
	Dial(addr string, within Micros, h Handler) Conn
	// DialReserved is Dial for what must not wait for others: it may use one of a few descriptors that are kept back for it.
	DialReserved(addr string, within Micros, h Handler) Conn
	// Listen takes connections until the listener is closed. Only loopback addresses are accepted, where nothing else was asked for.
	Listen(addr string, accept func(Conn) Handler) (Listener, error)
}

// Timer is a due time that may be taken back.
type Timer interface{ Stop() }

// Listener takes connections.
type Listener interface {
	Addr() string
	Close()
	// Drain takes the connections that this machine has accepted already, as their clients may have sent requests, and then closes.
	Drain()
}

// Handler hears what happens to one connection. Closed is the last that it hears.
type Handler interface {
	Opened()
	// Data hands over bytes that are the handler's only until it returns.
	Data(b []byte)
	// Drained tells that all that was written has been taken by the network.
	Drained()
	Closed(cause error)
}

// Conn is one connection. Nothing blocks; what the network does not take is kept until it does.
type Conn interface {
	Write(b []byte)
	// Unsent is how many written bytes the network has not taken yet.
	Unsent() int
	// Undelivered tells whether written bytes are known not to have reached the other side's machine yet, or not to have been confirmed.
	Undelivered() bool
	// Idle tells whether the other side is still there and has sent nothing that is not handed over yet. It asks the network, as that
	// news may still be on its way up.
	Idle() bool
	// PeerClosed tells whether the other side has ended, also where that is not handed over yet. It asks the network.
	PeerClosed() bool
	// Pause stops or resumes the handing over of data; while paused, little more than the socket's own
	// buffer is taken in, so that the other side is slowed.
	Pause(on bool)
	// Close closes once all is sent; Abort at once, with a reset. One that was accepted is closed by halves: what the other side sends
	// until it has seen that is dropped, as a close over unread bytes would reset the connection, and with it what is still on its way.
	Close()
	Abort()
	// CloseIfIdle is Close for a connection on which nothing is owed, unless something has come that was not handed over yet: who has sent
	// it would wait for an answer. It tells whether the connection is being closed; where it is not, Data or Closed follows.
	CloseIfIdle() bool
}
