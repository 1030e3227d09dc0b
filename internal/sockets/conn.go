package sockets

import (
	"errors"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"

	"plumspindle/internal/eventloop"
)

const (
	// maxTurnBytes of one connection are handed over in one turn, so that connections take turns.
	maxTurnBytes = 32 << 10
	// defaultReadBufferLimit is how many bytes of one connection are read ahead of the loop; beyond it they are left in
	// the socket, whose other side is slowed down once it is full.
	defaultReadBufferLimit = 128 << 10
	// readChunkBytes are read with one system call.
	readChunkBytes = 16 << 10
	// maxIdleBufferBytes is how large a buffer a connection keeps that has nothing to hand over.
	maxIdleBufferBytes = 4 << 10
)

// conn implements eventloop.Conn over one of nbio's connections. The poller reads; only the loop writes, so that what
// was sent does not change between a check of it and the action that follows from it.
type conn struct {
	loop      *Loop
	handler   eventloop.Handler
	socket    *nbio.Conn // nil until it is handed to the poller
	dialTimer eventloop.Timer

	mu             sync.Mutex // guards what the poller and the loop share
	received       []byte     // read, and not handed over
	handOverPosted bool
	readStalled    bool // the limit of received was reached, and the socket was not read until it was empty
	peerEnded      bool

	// What follows is used by the loop's goroutine only.
	unsent      []byte // written, and not taken by the socket
	flushTimer  eventloop.Timer
	lingerTimer eventloop.Timer
	turnBuffer  []byte // reused for what is handed over
	accepted    bool
	paused      bool
	closing     bool
	ended       bool // Closed was called
	cause       error
}

// read reads what has arrived, up to the limit. It is called by the poller, and by the loop once there is capacity.
func (c *conn) read(socket *nbio.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readLocked(socket)
	if len(c.received) > 0 {
		c.postHandOverLocked()
	}
}

func (c *conn) readLocked(socket *nbio.Conn) {
	var buffer [readChunkBytes]byte
	for {
		// Beyond the limit the socket is left to fill. But what the other side sent before it closed has to be read now,
		// as nbio closes with the rest unread as soon as it sees the close. That is at most what the socket holds.
		if len(c.received) >= c.loop.readBufferLimit() && !isHungUp(socket.Hash()) {
			c.readStalled = true
			return
		}
		n, err := socket.Read(buffer[:])
		switch {
		case n > 0: // a short read does not mean that nothing is left; only EAGAIN does
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

// readFailedLocked closes a connection whose other side has closed it. nbio closes on a half-close too, after this.
func (c *conn) readFailedLocked(socket *nbio.Conn, err error) {
	if !c.peerEnded {
		c.peerEnded = true
		c.loop.Post(func() { _ = socket.CloseWithError(err) })
	}
}

func (c *conn) postHandOverLocked() {
	if !c.handOverPosted {
		c.handOverPosted = true
		c.loop.Post(c.handOver)
	}
}

func (l *Loop) readBufferLimit() int {
	if l.ReadBufferLimit > 0 {
		return l.ReadBufferLimit
	}
	return defaultReadBufferLimit
}

// handOver gives the handler one turn's worth of what was read.
func (c *conn) handOver() {
	turn, proceed := c.takeTurn()
	if !proceed {
		return
	}
	if len(turn.data) > 0 && !c.closing {
		c.handler.Data(turn.data)
	}
	if turn.left == 0 && cap(c.turnBuffer) > maxIdleBufferBytes {
		c.turnBuffer = nil
	}
	if turn.readOn {
		c.read(c.socket)
	}
	if c.cause != nil && turn.left == 0 {
		c.end()
	}
}

// turn is what is handed over at once.
type turn struct {
	data   []byte
	left   int  // bytes that are left for later turns
	readOn bool // reading was stalled, and there is capacity again
}

// takeTurn takes one turn's worth of what was read, and has the rest follow later.
func (c *conn) takeTurn() (current turn, proceed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handOverPosted = false
	if c.paused && !c.closing || c.ended {
		return turn{}, false
	}
	n := min(len(c.received), maxTurnBytes)
	current.data = append(c.turnBuffer[:0], c.received[:n]...)
	c.turnBuffer = current.data
	if n < len(c.received) {
		c.received = c.received[:copy(c.received, c.received[n:])]
		c.postHandOverLocked()
	} else {
		c.received = c.received[:0]
		if cap(c.received) > maxTurnBytes {
			c.received = nil // an idle connection must not keep the buffer of a burst
		}
	}
	current.left = len(c.received)
	current.readOn = c.readStalled && current.left < c.loop.readBufferLimit()/2
	if current.readOn {
		c.readStalled = false
	}
	return current, true
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
	c.postHandOverLocked()
}

// socketClosed records that the socket is closed. What was read before is handed over first, unless this
// side is closing too.
func (c *conn) socketClosed(err error) {
	if c.ended {
		return
	}
	c.stopDialTimer()
	if c.cause = err; err == nil {
		c.cause = eventloop.ErrPeerClosed
	}
	c.mu.Lock()
	left := len(c.received)
	c.mu.Unlock()
	if left == 0 || c.closing {
		c.end()
	}
}

func (c *conn) stopDialTimer() {
	if c.dialTimer != nil {
		c.dialTimer.Stop()
		c.dialTimer = nil
	}
}

// end stops the connection's timers and reports its end, once.
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

// failBeforeOpen ends a connection that has not been handed to the poller.
func (c *conn) failBeforeOpen(cause error) {
	if c.socket == nil && !c.ended {
		c.cause = cause
		c.end()
	}
}
