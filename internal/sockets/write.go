package sockets

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"

	"plumspindle/internal/eventloop"
)

// Bytes that the socket did not accept are written again after a delay, which doubles while the socket accepts nothing.
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

// send writes to the socket and returns the bytes that the socket did not accept. It doesn't use nbio's own Write,
// which takes a short write as the sign of a full socket and then waits for an edge-triggered event. Only EAGAIN means
// that the socket is full. After a short write to a socket that is not full, the event would never come.
func (c *conn) send(b []byte) (rest []byte) {
	var failure error
	c.withDescriptor(func(fd int) { b, failure = writeAll(fd, b) })
	if failure != nil {
		c.read(c.socket)                     // data that the peer sent before it closed has already arrived
		_ = c.socket.CloseWithError(failure) // nbio calls socketClosed
	}
	return b
}

// writeAll writes until all bytes are written, the socket accepts no more, or a write fails.
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

// isTemporary reports whether a failed write may succeed later.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

func (c *conn) flushAfter(delay eventloop.Micros) {
	c.flushTimer = c.loop.AfterFunc(delay, func() { c.flush(delay) })
}

// flush writes the unsent bytes again, and schedules the next attempt if some are left.
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
