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
	acceptRetryDelay = 20 * time.Millisecond // after an accept that failed, as when no descriptor is left
	drainTimeout     = 10 * time.Millisecond // for connections in the backlog when the listener is closed
	maxDrainRetries  = 100                   // while connections still wait, as when the process is suspended
)

var (
	errNotLoopback = errors.New("only loopback addresses are served")
	errNotTCP      = errors.New("not a TCP listener")
)

// acceptFunc makes the handler of an accepted connection.
type acceptFunc = func(eventloop.Conn) eventloop.Handler

// listener implements eventloop.Listener. Its goroutine ends with Close, or at the end of Drain.
type listener struct {
	loop     *Loop
	tcp      *net.TCPListener
	accept   acceptFunc
	draining atomic.Bool
	drains   int // used by the accepting goroutine only: how often it has drained
}

// Listen implements eventloop.Loop.
func (l *Loop) Listen(addr string, accept func(eventloop.Conn) eventloop.Handler) (eventloop.Listener, error) {
	ln, err := l.listen(addr, accept)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", addr, err)
	}
	l.listeners[ln] = true
	go ln.acceptAll()
	return ln, nil
}

func (l *Loop) listen(addr string, accept acceptFunc) (*listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	if !l.AllowAnyAddress && !isLoopback(host) {
		return nil, errNotLoopback
	}
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		_ = inner.Close()
		return nil, errNotTCP
	}
	return &listener{loop: l, tcp: tcp, accept: accept}, nil
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// acceptAll accepts connections until the listener is closed.
func (ln *listener) acceptAll() {
	for {
		if ln.loop.beforeAccept != nil {
			ln.loop.beforeAccept()
		}
		raw, err := ln.tcp.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case ln.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			if ln.hasBacklog() && ln.drainAgain() { // the deadline was over before anything was accepted
				continue
			}
			_ = ln.tcp.Close()
			return
		case err != nil:
			raw = ln.recoverAccept(err)
		}
		if raw != nil {
			ln.serveOrReject(raw)
		}
	}
}

// serveOrReject passes a connection on to the loop. A descriptor that was released from the reserve must not go to a
// client: while one is missing, the connection is rejected.
func (ln *listener) serveOrReject(raw net.Conn) {
	if !ln.loop.reserve.isComplete() {
		ln.loop.rejections.waitForCapacity()
		ln.loop.rejections.start(raw)
		return
	}
	ln.loop.Post(func() { ln.handToPoller(raw) })
}

// handToPoller hands a connection to the poller, and opens it once no event of an earlier owner of its descriptor can
// arrive.
func (ln *listener) handToPoller(raw net.Conn) {
	c := &conn{loop: ln.loop, accepted: true}
	c.handler = ln.accept(c)
	socket, err := toPollerConn(raw)
	if err != nil {
		ln.loop.rejections.start(raw)
		c.cause = err
		c.end()
		return
	}
	c.socket = socket
	ln.loop.register(socket, c)
	ln.loop.configure(socket)
	ln.loop.barrier.after(func() { ln.open(c) })
}

// open reports that a connection is open, unless it was closed meanwhile.
func (ln *listener) open(c *conn) {
	if c.ended {
		return
	}
	if c.closing {
		_ = c.socket.Close()
		c.socketClosed(eventloop.ErrClosedBeforeOpen)
		return
	}
	if _, err := ln.loop.engine.AddConn(c.socket); err != nil {
		c.socketClosed(err)
		return
	}
	c.handler.Opened() // only now: nbio can't write before it knows the connection
	c.read(c.socket)
}

// Addr implements eventloop.Listener.
func (ln *listener) Addr() string { return ln.tcp.Addr().String() }

// Close implements eventloop.Listener.
func (ln *listener) Close() {
	delete(ln.loop.listeners, ln)
	_ = ln.tcp.Close()
}

// Drain implements eventloop.Listener: the listener accepts for a moment more.
func (ln *listener) Drain() {
	ln.draining.Store(true)
	if err := ln.resetDeadline(); err != nil {
		ln.Close()
	}
}

// hasBacklog reports whether a connection waits to be accepted.
func (ln *listener) hasBacklog() (waits bool) {
	raw, err := ln.tcp.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { waits = hasEvent(int(fd), unix.POLLIN) })
	return waits
}

// drainAgain has the listener accept for a moment more, unless it has done so too often.
func (ln *listener) drainAgain() bool {
	ln.drains++
	return ln.drains < maxDrainRetries && ln.resetDeadline() == nil
}

// resetDeadline removes the deadline of accepting, or sets that of draining.
func (ln *listener) resetDeadline() error {
	if !ln.draining.Load() {
		err := ln.tcp.SetDeadline(time.Time{})
		if !ln.draining.Load() { // else Drain may have set its deadline before it was removed
			return err
		}
	}
	return ln.tcp.SetDeadline(time.Now().Add(drainTimeout))
}
