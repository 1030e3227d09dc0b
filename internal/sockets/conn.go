package sockets

import (
	"errors"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"

	"plumspindle/internal/eventloop"
)

const (
	// maxDeliveryBytes is how much of one connection's data is passed to its handler at once, so that a busy connection
	// doesn't delay the others.
	maxDeliveryBytes = 32 << 10
	// defaultReadBufferLimit is how many bytes of one connection are buffered until the loop delivers them. Above it,
	// data stays in the socket's receive buffer; once that is full, TCP flow control slows the peer down.
	defaultReadBufferLimit = 128 << 10
	// readChunkBytes is the size of the buffer for one read system call.
	readChunkBytes = 16 << 10
	// maxIdleBufferBytes is the size of the largest delivery buffer that a connection keeps while it has no data.
	maxIdleBufferBytes = 4 << 10
)

// conn implements eventloop.Conn on an nbio connection. The poller's and the loop's goroutines read from the socket.
// Only the loop's goroutine writes to it, so nothing is sent between a check for unsent data and the action based on
// that check.
type conn struct {
	loop      *Loop
	handler   eventloop.Handler
	socket    *nbio.Conn // nil while the connection is being dialled
	dialTimer eventloop.Timer

	mu             sync.Mutex // guards the next four fields, which the poller and the loop share
	received       []byte     // read from the socket, but not yet delivered to the handler
	deliveryPosted bool
	readStalled    bool // received reached its limit, so the socket may still hold data
	peerClosed     bool

	// The fields below are used by the loop's goroutine only.
	unsent         []byte // written by the handler, but not yet accepted by the socket
	flushTimer     eventloop.Timer
	lingerTimer    eventloop.Timer
	deliveryBuffer []byte // reused for the data passed to the handler
	accepted       bool
	paused         bool
	closing        bool
	ended          bool  // the handler's Closed was called
	cause          error // why the connection ended; nil while it is open
}

// read reads the available data into the receive buffer, up to its limit. The poller calls it when the socket is
// readable; the loop calls it, for example, when the buffer has capacity again.
func (c *conn) read(socket *nbio.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readLocked(socket)
	if len(c.received) > 0 {
		c.postDeliveryLocked()
	}
}

func (c *conn) readLocked(socket *nbio.Conn) {
	var buffer [readChunkBytes]byte
	for {
		// Above the limit, data is left in the socket's receive buffer. If the peer has closed, everything it sent
		// before has to be read now, because nbio closes the socket as soon as it sees the close and drops unread data.
		// The amount of this data is limited by the size of the socket's receive buffer.
		if len(c.received) >= c.loop.readBufferLimit() && !isHungUp(socket.Hash()) {
			c.readStalled = true
			return
		}
		n, err := socket.Read(buffer[:])
		switch {
		case n > 0: // a short read does not mean that the socket is empty; only EAGAIN does
			c.received = append(c.received, buffer[:n]...)
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		default:
			c.readFailedLocked(socket, err)
			return
		}
	}
}

// readFailedLocked has the loop close the socket after a read returned an error or the end of the stream. nbio closes
// the socket after this call too, even if the peer has only half-closed the connection.
func (c *conn) readFailedLocked(socket *nbio.Conn, err error) {
	if !c.peerClosed {
		c.peerClosed = true
		c.loop.Post(func() { _ = socket.CloseWithError(err) })
	}
}

func (c *conn) postDeliveryLocked() {
	if !c.deliveryPosted {
		c.deliveryPosted = true
		c.loop.Post(c.deliver)
	}
}

func (l *Loop) readBufferLimit() int {
	if l.ReadBufferLimit > 0 {
		return l.ReadBufferLimit
	}
	return defaultReadBufferLimit
}

// deliver passes the next part of the received data to the handler.
func (c *conn) deliver() {
	part, proceed := c.takeDelivery()
	if !proceed {
		return
	}
	if len(part.data) > 0 && !c.closing {
		c.handler.Data(part.data)
	}
	if part.remaining == 0 && cap(c.deliveryBuffer) > maxIdleBufferBytes {
		c.deliveryBuffer = nil
	}
	if part.resumeReading {
		c.read(c.socket)
	}
	if c.cause != nil && part.remaining == 0 {
		c.end()
	}
}

// delivery is the data that is passed to the handler in one call.
type delivery struct {
	data          []byte
	remaining     int  // received bytes that later deliveries pass on
	resumeReading bool // reading was stalled, and the buffer has capacity again
}

// takeDelivery takes up to maxDeliveryBytes of the received data, and posts another delivery if some remains. It
// reports false if nothing may be delivered now.
func (c *conn) takeDelivery() (next delivery, proceed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveryPosted = false
	if c.paused && !c.closing || c.ended {
		return delivery{}, false
	}
	n := min(len(c.received), maxDeliveryBytes)
	next.data = append(c.deliveryBuffer[:0], c.received[:n]...)
	c.deliveryBuffer = next.data
	if n < len(c.received) {
		c.received = c.received[:copy(c.received, c.received[n:])]
		c.postDeliveryLocked()
	} else {
		c.received = c.received[:0]
		if cap(c.received) > maxDeliveryBytes {
			c.received = nil // don't keep a large buffer for an idle connection
		}
	}
	next.remaining = len(c.received)
	next.resumeReading = c.readStalled && next.remaining < c.loop.readBufferLimit()/2
	if next.resumeReading {
		c.readStalled = false
	}
	return next, true
}

// SetPaused implements eventloop.Conn.
func (c *conn) SetPaused(paused bool) {
	if c.paused == paused {
		return
	}
	c.paused = paused
	if paused {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.postDeliveryLocked()
}

// socketClosed records that the socket is closed and ends the connection. Received data is delivered before the end,
// unless this side is closing the connection too.
func (c *conn) socketClosed(err error) {
	if c.ended {
		return
	}
	c.stopDialTimer()
	if c.cause = err; err == nil {
		c.cause = eventloop.ErrPeerClosed
	}
	c.mu.Lock()
	remaining := len(c.received)
	c.mu.Unlock()
	if remaining == 0 || c.closing {
		c.end()
	}
}

func (c *conn) stopDialTimer() {
	if c.dialTimer != nil {
		c.dialTimer.Stop()
		c.dialTimer = nil
	}
}

// end stops the connection's timers and calls the handler's Closed. Further calls have no effect.
func (c *conn) end() {
	if c.ended {
		return
	}
	c.ended = true
	for _, t := range []eventloop.Timer{c.lingerTimer, c.flushTimer} {
		if t != nil {
			t.Stop()
		}
	}
	c.handler.Closed(c.cause)
}

// failBeforeOpen ends a connection whose socket has not been added to the poller.
func (c *conn) failBeforeOpen(cause error) {
	if c.socket == nil && !c.ended {
		c.cause = cause
		c.end()
	}
}
