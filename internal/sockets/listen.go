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
	if ip := net.ParseIP(host); !l.Anywhere && host != "localhost" && (ip == nil || !ip.IsLoopback()) {
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

func (own *listener) acceptAll(accept func(eventloop.Conn) eventloop.Handler) {
	for {
		if own.l.beforeAccept != nil {
			own.l.beforeAccept()
		}
		raw, err := own.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if own.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			if own.backlogWaits() && own.drainAgain() { // the deadline was over before anything was accepted
				continue
			}
			_ = own.ln.Close()
			return
		}
		if err != nil {
			// Descriptors are used up: with one that is kept back each that comes is told so, in turn. Where there is none left
			// the rest waits in the backlog until some are given back.
			var done bool
			if noDescriptors(err) {
				raw, done = own.turnAway()
			}
			if !done {
				time.Sleep(acceptPause)
			}
			if raw == nil {
				continue
			}
		}
		if !own.l.spares.complete() { // one that was let go of for something else must not go to a client
			own.l.refuse(raw)
			continue
		}
		own.l.post(func() {
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
			own.l.rounds.after(func() {
				if c.ended {
					return
				}
				if c.closing {
					_ = nb.Close()
					c.closed(errClosedEarly)
					return
				}
				if _, err := own.l.engine.AddConn(nb); err != nil {
					c.closed(err)
					return
				}
				c.h.Opened() // only now: nbio can't write before it knows the connection
				c.takeIn(nb)
			})
		})
	}
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
