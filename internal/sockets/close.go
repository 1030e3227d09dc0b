package sockets

import (
	"golang.org/x/sys/unix"

	"plumspindle/internal/eventloop"
)

// lingerTimeout is how long the peer of an accepted connection has to close it after this side has shut down writing.
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

// CloseIfIdle implements eventloop.Conn. It holds the lock from the check to the shutdown, so that the poller reads
// nothing in between. Data that the poller reads after the shutdown is dropped.
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

// shutDown closes a connection that has no unsent data. An accepted connection is half-closed first, because its peer
// may still be sending.
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
	c.postDeliveryLocked() // discards the received data, so that the buffer has capacity for what still arrives
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
