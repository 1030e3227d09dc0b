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

// dialAttempt holds the state of one outgoing connection until it is open.
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
		// nbio's own dialling is not used, because it takes the first four bytes of a 16-byte IP address for the IPv4
		// address. In a 16-byte IPv4 address these bytes are 0, so nbio always connects to this machine.
		dialer:        net.Dialer{Timeout: time.Duration(timeout) * time.Microsecond, KeepAlive: -1},
		mayUseReserve: reserved,
	}
	a.conn.dialTimer = l.AfterFunc(timeout, func() { a.conn.failBeforeOpen(eventloop.ErrConnectTimeout) })
	go a.connect(reserved)
	return a.conn
}

// connect dials and posts the result to the loop. It runs in its own goroutine, which ends no later than the dialer's
// timeout.
func (a *dialAttempt) connect(mayRetry bool) {
	raw, err := a.dialer.Dial("tcp", a.addr)
	a.loop.Post(func() { a.connected(raw, err, mayRetry) })
}

// connected handles the result of connect. If no descriptor was left, it releases one from the reserve and retries.
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
	case a.endIfClosed():
		_ = raw.Close()
	default:
		a.addToPoller(raw)
	}
}

// endIfClosed ends the connection if Close or Abort was called before it opened, and reports whether it has ended.
func (a *dialAttempt) endIfClosed() bool {
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

func (a *dialAttempt) addToPoller(raw net.Conn) {
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
	a.loop.barrier.afterStaleEvents(func() { a.open(socket) })
}

// open adds the socket to the poller and reports the connection as open. It must run after the poll barrier.
func (a *dialAttempt) open(socket *nbio.Conn) {
	c := a.conn
	if a.endIfClosed() {
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
	c.read(socket) // data may already have arrived
}

// configure disables Nagle's algorithm, so that small writes are sent at once, and sets the send buffer size.
func (l *Loop) configure(socket *nbio.Conn) {
	_ = socket.SetNoDelay(true)
	if l.SendBufferSize > 0 {
		_ = socket.SetWriteBuffer(l.SendBufferSize)
	}
}

// toPollerConn converts a connection to an nbio connection. If it succeeds, nbio has closed the original. nbio
// duplicates the descriptor without the close-on-exec flag, so this function sets the flag. Without the flag, a child
// process would keep the connection open after this process has closed it, and the peer would wait for a response that
// never comes.
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
