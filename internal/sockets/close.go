package sockets

import (
	"golang.org/x/sys/unix"

	"plumspindle/internal/eventloop"
)

// lingerTimeout is how long the other side has to close a connection that was shut down here.
const lingerTimeout = eventloop.Second

// Close implements eventloop.Conn.
func (c *conn) Close() {
	if c.closing || c.ended {
		return
	}
	c.closing = true
	if c.cause != nil {
		c.loop.Defer(c.end)
		return
	}
	if c.socket != nil && len(c.unsent) == 0 {
		c.shutDown()
	}
}

// CloseIfIdle implements eventloop.Conn. The poller reads nothing between the check and the shutdown: what it reads
// after that is dropped, as it came too late.
func (c *conn) CloseIfIdle() bool {
	if c.socket == nil || c.closing || c.ended || len(c.unsent) > 0 {
		c.Close()
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil || !c.isIdleLocked() {
		return false
	}
	c.closing = true
	c.shutDownLocked()
	return true
}

// shutDown closes a connection on which everything is sent: by halves if it was accepted, as the other side may still
// be sending.
func (c *conn) shutDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shutDownLocked()
}

func (c *conn) shutDownLocked() {
	if !c.accepted {
		_ = c.socket.Close()
		return
	}
	if c.lingerTimer != nil {
		return
	}
	var err error
	if !c.withDescriptor(func(fd int) { err = unix.Shutdown(fd, unix.SHUT_WR) }) || err != nil {
		_ = c.socket.Close()
		return
	}
	c.lingerTimer = c.loop.AfterFunc(lingerTimeout, func() { _ = c.socket.Close() })
	c.postHandOverLocked() // drops what has arrived, and makes capacity for what still arrives
}

// Abort implements eventloop.Conn.
func (c *conn) Abort() {
	c.closing = true
	if c.cause != nil {
		c.loop.Defer(c.end)
		return
	}
	if c.socket == nil || c.ended {
		return
	}
	c.withDescriptor(func(fd int) {
		// Closing with a linger time of 0 resets the connection.
		_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	_ = c.socket.Close()
}
