package sockets

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"

	"plumspindle/internal/eventloop"
)

// What the socket did not take is offered to it again after a delay, which doubles while it takes nothing.
const (
	minFlushDelay = eventloop.Millisecond
	maxFlushDelay = 32 * eventloop.Millisecond
)

// Write implements eventloop.Conn.
func (c *conn) Write(b []byte) {
	if c.ended || c.socket == nil || len(b) == 0 {
		return
	}
	if len(c.unsent) > 0 {
		c.unsent = append(c.unsent, b...)
		return
	}
	if rest := c.send(b); len(rest) > 0 {
		c.unsent = append(c.unsent, rest...)
		c.flushAfter(minFlushDelay)
	}
}

// Unsent implements eventloop.Conn.
func (c *conn) Unsent() int { return len(c.unsent) }

// send writes to the socket and returns the rest that it did not take. Only EAGAIN means that the socket is full: a
// write may be short, after which nbio's own writing would wait for an edge that does not come.
func (c *conn) send(b []byte) (rest []byte) {
	var failure error
	c.withDescriptor(func(fd int) { b, failure = writeAll(fd, b) })
	if failure != nil {
		c.read(c.socket)                     // what the other side sent before it closed has arrived
		_ = c.socket.CloseWithError(failure) // socketClosed follows
	}
	return b
}

// writeAll writes until the descriptor takes no more, or fails.
func writeAll(fd int, b []byte) (rest []byte, failure error) {
	for len(b) > 0 {
		n, err := unix.Write(fd, b)
		switch {
		case n > 0:
			b = b[n:]
		case errors.Is(err, syscall.EINTR):
		case err == nil, isTemporary(err):
			return b, nil
		default:
			return b, err
		}
	}
	return nil, nil
}

// isTemporary reports whether a write that failed may succeed later.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

func (c *conn) flushAfter(delay eventloop.Micros) {
	c.flushTimer = c.loop.AfterFunc(delay, func() { c.flush(delay) })
}

// flush offers to the socket again what it did not take.
func (c *conn) flush(delay eventloop.Micros) {
	if c.ended {
		return
	}
	before := len(c.unsent)
	c.unsent = c.unsent[:copy(c.unsent, c.send(c.unsent))]
	switch len(c.unsent) {
	case 0:
		c.unsent = nil
		c.drained()
	case before:
		c.flushAfter(min(2*delay, maxFlushDelay))
	default:
		c.flushAfter(minFlushDelay)
	}
}

func (c *conn) drained() {
	if c.closing {
		c.shutDown()
		return
	}
	c.handler.Drained()
}
