package sockets

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"plumspindle/internal/eventloop"
)

const (
	acceptPause = 20 * time.Millisecond // after an accept that failed for want of descriptors
	busyFor     = 3 * time.Millisecond  // for what one that is turned away has sent
	backlogTime = 10 * time.Millisecond // for connections that wait to be accepted when the listener is closed
	drainTries  = 100                   // in a row, while some wait all the same, as when the process is held up or has no descriptor
)

// listener implements eventloop.Listener.
type listener struct {
	l       *Loop
	ln      net.Listener
	closing atomic.Bool // it accepts what waits, and no more
	drains  int         // of the goroutine that accepts: how often it has drained
}

// Listen takes connections on a loopback address.
func (l *Loop) Listen(addr string, accept func(eventloop.Conn) eventloop.Handler) (eventloop.Listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", addr, err)
	}
	if ip := net.ParseIP(host); !l.AllowAnyAddress && host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return nil, fmt.Errorf("listen on %q: only loopback addresses are served", addr)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", addr, err)
	}
	own := &listener{l: l, ln: ln}
	l.listeners[own] = true
	go own.acceptAll(accept)
	return own, nil
}

// acceptAll takes connections until the listener is closed; it runs in a goroutine of its own.
func (own *listener) acceptAll(accept func(eventloop.Conn) eventloop.Handler) {
	for {
		if own.l.beforeAccept != nil {
			own.l.beforeAccept()
		}
		raw, err := own.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case own.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			if own.backlogWaits() && own.drainAgain() { // the deadline was over before anything was accepted
				continue
			}
			_ = own.ln.Close()
			return
		case err != nil:
			raw = own.afterFailure(err)
		}
		switch {
		case raw == nil:
		case !own.l.spares.complete(): // a descriptor that was let go of for something else must not go to a client
			own.l.refuse(raw)
		default:
			own.l.post(func() { own.take(raw, accept) })
		}
	}
}

// afterFailure goes on after an accept that failed. Where descriptors are used up each connection that comes is told so, in turn, with one
// that is kept back; where there is none left the rest waits in the backlog until some are given back. It returns a connection that can be
// served after all.
func (own *listener) afterFailure(err error) net.Conn {
	if noDescriptors(err) {
		if raw, done := own.turnAway(); done {
			return raw
		}
	}
	time.Sleep(acceptPause)
	return nil
}

// take hands a connection to the poller, and opens it once no event of an earlier holder of its descriptor can come any more.
func (own *listener) take(raw net.Conn, accept func(eventloop.Conn) eventloop.Handler) {
	c := &conn{l: own.l, accepted: true}
	c.h = accept(c)
	nb, err := ownOnly(raw)
	if err != nil {
		go own.l.refuse(raw) // it is not taken over, and would be held until it is collected
		c.cause = err
		c.end()
		return
	}
	c.nb = nb
	own.l.born.Add(1)
	nb.SetSession(c)
	own.l.tune(nb)
	own.l.rounds.after(func() { own.open(c) })
}

// open tells the handler that its connection is open, unless that was closed meanwhile.
func (own *listener) open(c *conn) {
	if c.ended {
		return
	}
	if c.closing {
		_ = c.nb.Close()
		c.closed(errClosedEarly)
		return
	}
	if _, err := own.l.engine.AddConn(c.nb); err != nil {
		c.closed(err)
		return
	}
	c.h.Opened() // only now: nbio can't write before it knows the connection
	c.takeIn(c.nb)
}

// Addr implements eventloop.Listener.
func (own *listener) Addr() string { return own.ln.Addr().String() }

// Close implements eventloop.Listener.
func (own *listener) Close() {
	delete(own.l.listeners, own)
	_ = own.ln.Close()
}

// Drain implements eventloop.Listener: the listener accepts for a moment more.
func (own *listener) Drain() {
	own.closing.Store(true)
	if ln, ok := own.ln.(*net.TCPListener); !ok || own.resetDeadline(ln) != nil {
		own.Close()
	}
}

// backlogWaits tells whether a connection waits to be accepted.
func (own *listener) backlogWaits() (waits bool) {
	ln, ok := own.ln.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := ln.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		n, err := poll(int(fd), unix.POLLIN)
		waits = err == nil && n > 0
	})
	return waits
}

// drainAgain has the listener accept for a moment more, unless it has done so for too long.
func (own *listener) drainAgain() bool {
	own.drains++
	return own.drains < drainTries && own.resetDeadline(own.ln.(*net.TCPListener)) == nil
}

// resetDeadline takes a deadline away, but for the one that closing sets.
func (own *listener) resetDeadline(ln *net.TCPListener) error {
	if !own.closing.Load() {
		err := ln.SetDeadline(time.Time{})
		if !own.closing.Load() { // nor since
			return err
		}
	}
	return ln.SetDeadline(time.Now().Add(backlogTime))
}
