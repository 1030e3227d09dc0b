package sockets

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// withDescriptor calls f with the connection's descriptor if the connection is open, and reports whether it called f.
// It keeps the connection from being closed during the call, because another connection may get the descriptor after a
// close.
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

// Idle implements eventloop.Conn. It polls the socket to include data or a close that the poller has not reported to
// the loop yet.
func (c *conn) Idle() bool {
	if c.socket == nil || c.ended || c.closing || c.cause != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdleLocked()
}

// isIdleLocked reports whether the connection is open, has no undelivered data, and was not closed by the peer. The
// lock keeps the poller from reading during the check.
func (c *conn) isIdleLocked() bool {
	if c.peerClosed || len(c.received) > 0 {
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

// Undelivered implements eventloop.Conn. It asks the kernel how many sent bytes the peer has not acknowledged.
func (c *conn) Undelivered() bool {
	unacknowledged := 0
	c.withDescriptor(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			unacknowledged = n
		}
	})
	return len(c.unsent) > 0 || unacknowledged > 0
}

// isHungUp reports whether the peer has closed a descriptor's connection, or shut down its sending side.
func isHungUp(fd int) bool { return hasEvent(fd, unix.POLLRDHUP) }

// isIdle reports whether a descriptor's connection has no data to read and was not closed by the peer.
func isIdle(fd int) bool {
	n, err := poll(fd, unix.POLLIN|unix.POLLRDHUP)
	return err == nil && n == 0
}

// hasEvent reports whether any of the poll events is pending on a descriptor.
func hasEvent(fd int, events int16) bool {
	n, err := poll(fd, events)
	return err == nil && n > 0
}

// poll polls a descriptor for events without waiting. n is 0 if none is pending.
func poll(fd int, events int16) (n int, err error) {
	descriptors := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err = unix.Poll(descriptors, 0)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
