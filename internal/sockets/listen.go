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
	acceptRetryDelay = 20 * time.Millisecond // after a failed accept, for example if no descriptor is left
	drainTimeout     = 10 * time.Millisecond // how long a draining listener accepts before it checks its backlog
	// maxDrainExtensions limits how often a draining listener waits for another drainTimeout because connections are
	// still in its backlog, for example after the process was suspended.
	maxDrainExtensions = 100
)

var (
	errNotLoopback = errors.New("only loopback addresses are served")
	errNotTCP      = errors.New("not a TCP listener")
)

// acceptFunc returns the handler of an accepted connection.
type acceptFunc = func(eventloop.Conn) eventloop.Handler

// listener implements eventloop.Listener. Its accepting goroutine ends after Close, or when Drain has emptied the
// backlog.
type listener struct {
	loop     *Loop
	tcp      *net.TCPListener
	accept   acceptFunc
	draining atomic.Bool
	// drainExtensions counts how often the drain deadline was extended. Only the accepting goroutine uses it.
	drainExtensions int
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
			if ln.hasBacklog() && ln.extendDrain() { // the deadline passed before the backlog was accepted
				continue
			}
			_ = ln.tcp.Close()
			return
		case err != nil:
			raw = ln.handleAcceptError(err)
		}
		if raw != nil {
			ln.serveOrReject(raw)
		}
	}
}

// serveOrReject passes an accepted connection to the loop. Reserved descriptors must not be used up by clients, so it
// rejects the connection while the reserve is incomplete.
func (ln *listener) serveOrReject(raw net.Conn) {
	if !ln.loop.reserve.isComplete() {
		ln.loop.rejections.waitForCapacity()
		ln.loop.rejections.start(raw)
		return
	}
	ln.loop.Post(func() { ln.addToPoller(raw) })
}

// addToPoller converts an accepted connection for the poller, and opens it after the poll barrier, when no stale event
// of an earlier connection with the same descriptor can arrive.
func (ln *listener) addToPoller(raw net.Conn) {
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
	ln.loop.barrier.afterStaleEvents(func() { ln.open(c) })
}

// open adds a connection to the poller and reports the connection as open, unless it was closed while it waited for the
// barrier.
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
	c.handler.Opened() // after AddConn, because nbio can't write to a connection that was not added
	c.read(c.socket)
}

// Addr implements eventloop.Listener.
func (ln *listener) Addr() string { return ln.tcp.Addr().String() }

// Close implements eventloop.Listener.
func (ln *listener) Close() {
	delete(ln.loop.listeners, ln)
	_ = ln.tcp.Close()
}

// Drain implements eventloop.Listener: the listener goes on accepting until the drain timeout, and longer while
// connections are in its backlog.
func (ln *listener) Drain() {
	ln.draining.Store(true)
	if err := ln.resetDeadline(); err != nil {
		ln.Close()
	}
}

// hasBacklog reports whether a connection is waiting to be accepted.
func (ln *listener) hasBacklog() (waiting bool) {
	raw, err := ln.tcp.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { waiting = hasEvent(int(fd), unix.POLLIN) })
	return waiting
}

// extendDrain extends the drain deadline, and reports false if it has been extended too often or can't be set.
func (ln *listener) extendDrain() bool {
	ln.drainExtensions++
	return ln.drainExtensions < maxDrainExtensions && ln.resetDeadline() == nil
}

// resetDeadline sets the accept deadline of a draining listener, or removes the deadline of a listener that is not
// draining.
func (ln *listener) resetDeadline() error {
	if !ln.draining.Load() {
		err := ln.tcp.SetDeadline(time.Time{})
		if !ln.draining.Load() { // otherwise the call above may have removed the deadline that Drain has just set
			return err
		}
	}
	return ln.tcp.SetDeadline(time.Now().Add(drainTimeout))
}
