package sockets

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"plumspindle/internal/eventloop"
)

var errNoConnection = errors.New("no connection")

// Dial implements eventloop.Loop.
func (l *Loop) Dial(addr string, timeout eventloop.Micros, handler eventloop.Handler) eventloop.Conn {
	return l.dial(addr, timeout, handler, false)
}

// DialReserved implements eventloop.Loop.
func (l *Loop) DialReserved(addr string, timeout eventloop.Micros, handler eventloop.Handler) eventloop.Conn {
	return l.dial(addr, timeout, handler, true)
}

// dialAttempt is the opening of one connection.
type dialAttempt struct {
	loop          *Loop
	conn          *conn
	addr          string
	dialer        net.Dialer
	mayUseReserve bool
}

func (l *Loop) dial(addr string, timeout eventloop.Micros, handler eventloop.Handler, reserved bool) eventloop.Conn {
	_ = l.reserve.fill()
	a := &dialAttempt{
		loop: l,
		conn: &conn{loop: l, handler: handler},
		addr: addr,
		// Not nbio's own dialling: it takes the first four bytes of an address that has sixteen, and so connects to
		// this machine whatever the address is.
		dialer:        net.Dialer{Timeout: time.Duration(timeout) * time.Microsecond, KeepAlive: -1},
		mayUseReserve: reserved,
	}
	a.conn.dialTimer = l.AfterFunc(timeout, func() { a.conn.failBeforeOpen(eventloop.ErrConnectTimeout) })
	go a.connect(reserved)
	return a.conn
}

// connect dials, in a goroutine of its own, which ends with the dialer's timeout at the latest.
func (a *dialAttempt) connect(mayRetry bool) {
	raw, err := a.dialer.Dial("tcp", a.addr)
	a.loop.Post(func() { a.connected(raw, err, mayRetry) })
}

// connected handles the result of connect. If no descriptor was left it retries with one of the reserve.
func (a *dialAttempt) connected(raw net.Conn, err error, mayRetry bool) {
	outOfDescriptors := isOutOfDescriptors(err)
	if outOfDescriptors && mayRetry && !a.conn.ended && a.loop.reserve.release() {
		go a.connect(false)
		return
	}
	a.conn.stopDialTimer()
	switch {
	case outOfDescriptors:
		a.conn.failBeforeOpen(fmt.Errorf("%w: %w", eventloop.ErrNoDescriptors, err))
	case err != nil:
		a.conn.failBeforeOpen(fmt.Errorf("%w: %w", errNoConnection, err))
	case a.endIfUnwanted():
		_ = raw.Close()
	default:
		a.handToPoller(raw)
	}
}

// endIfUnwanted reports whether the connection was closed before it opened, and ends it in that case.
func (a *dialAttempt) endIfUnwanted() bool {
	if a.conn.ended {
		return true
	}
	if a.conn.closing {
		a.conn.cause = eventloop.ErrClosedBeforeOpen
		a.conn.end()
		return true
	}
	return false
}

func (a *dialAttempt) handToPoller(raw net.Conn) {
	socket, err := toPollerConn(raw)
	if isOutOfDescriptors(err) && a.mayUseReserve && a.loop.reserve.release() {
		socket, err = toPollerConn(raw)
	}
	if err != nil {
		_ = raw.Close()
		a.conn.failBeforeOpen(fmt.Errorf("%w: %w", eventloop.ErrNoDescriptors, err))
		return
	}
	a.loop.register(socket, a.conn)
	a.loop.configure(socket)
	a.loop.barrier.after(func() { a.open(socket) })
}

// open completes the attempt, once no event of an earlier owner of the descriptor can arrive.
func (a *dialAttempt) open(socket *nbio.Conn) {
	c := a.conn
	if a.endIfUnwanted() {
		_ = socket.Close()
		return
	}
	if _, err := a.loop.engine.AddConn(socket); err != nil {
		c.socketClosed(err)
		return
	}
	c.socket = socket
	if closed, err := socket.IsClosed(); closed {
		c.socketClosed(err)
		return
	}
	c.handler.Opened()
	c.read(socket) // an edge may have come before the session was set
}

// configure has small writes sent at once, and sets the size of the send buffer.
func (l *Loop) configure(socket *nbio.Conn) {
	_ = socket.SetNoDelay(true)
	if l.SendBufferSize > 0 {
		_ = socket.SetWriteBuffer(l.SendBufferSize)
	}
}

// toPollerConn makes one of nbio's connections of a connection, which nbio closes if it succeeds. nbio duplicates the
// descriptor without the close-on-exec flag: a child process would keep the connection open after this process has
// closed it, and its other side would wait for a response that never comes.
func toPollerConn(raw net.Conn) (*nbio.Conn, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	socket, err := nbio.NBConn(raw)
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(socket.Hash())
	return socket, nil
}
