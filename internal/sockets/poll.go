package sockets

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// withDescriptor calls f with the connection's descriptor, and reports whether it did. The connection can't be closed
// meanwhile; once it is closed, the number may be that of another connection.
func (c *conn) withDescriptor(f func(fd int)) bool {
	if c.socket == nil {
		return false
	}
	c.socket.Lock()
	defer c.socket.Unlock()
	if closed, _ := c.socket.IsClosed(); closed {
		return false
	}
	f(c.socket.Hash())
	return true
}

// Idle implements eventloop.Conn. It asks the socket, as what the poller has seen may not have reached the loop yet.
func (c *conn) Idle() bool {
	if c.socket == nil || c.ended || c.closing || c.cause != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdleLocked()
}

// isIdleLocked reports whether nothing has arrived that was not handed over, nor the other side's end. The lock keeps
// the poller from reading meanwhile.
func (c *conn) isIdleLocked() bool {
	if c.peerEnded || len(c.received) > 0 {
		return false
	}
	idle := false
	open := c.withDescriptor(func(fd int) { idle = isIdle(fd) })
	return open && idle
}

// PeerClosed implements eventloop.Conn.
func (c *conn) PeerClosed() bool {
	if c.ended || c.cause != nil {
		return true
	}
	if c.socket == nil {
		return false
	}
	hungUp := false
	open := c.withDescriptor(func(fd int) { hungUp = isHungUp(fd) })
	return hungUp || !open
}

// Undelivered implements eventloop.Conn: it asks the system for bytes that the other side has not acknowledged.
func (c *conn) Undelivered() bool {
	unacknowledged := 0
	c.withDescriptor(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			unacknowledged = n
		}
	})
	return len(c.unsent) > 0 || unacknowledged > 0
}

// isHungUp reports whether the other side of a descriptor's connection has closed it.
func isHungUp(fd int) bool { return hasEvent(fd, unix.POLLRDHUP) }

// isIdle reports whether a descriptor's connection was not closed by the other side and has nothing to read.
func isIdle(fd int) bool {
	n, err := poll(fd, unix.POLLIN|unix.POLLRDHUP)
	return err == nil && n == 0
}

// hasEvent reports whether one of the events is pending on a descriptor.
func hasEvent(fd int, events int16) bool {
	n, err := poll(fd, events)
	return err == nil && n > 0
}

// poll asks for the events of a descriptor without waiting.
func poll(fd int, events int16) (n int, err error) {
	descriptors := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err = unix.Poll(descriptors, 0)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
