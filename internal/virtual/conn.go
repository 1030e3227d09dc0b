package virtual

import (
	"errors"
	"slices"

	"plumspindle/internal/eventloop"
)

// maxSegmentGap is the longest pause between two pieces that a write is cut into, in microseconds, excluded.
const maxSegmentGap = 40

var (
	errClosed = errors.New("closed")
	errReset  = errors.New("connection reset")
)

// conn is one side of a connection. It implements eventloop.Conn.
type conn struct {
	loop    *Loop
	handler eventloop.Handler
	peer    *conn // the other side; nil until the dial has arrived there

	received    []byte           // arrived and not handed over
	unsent      []byte           // written, while the other side has no capacity for it
	inFlight    int              // bytes sent that have not arrived
	lastArrival eventloop.Micros // when the last bytes sent arrive
	paused      bool
	open        bool
	closing     bool
	ended       bool
	endSent     bool
	peerEnd     error // the cause of the other side's end, once it has arrived
	drainDue    bool  // Drained has to be called once everything is sent
}

// Idle implements eventloop.Conn.
func (c *conn) Idle() bool {
	return c.open && !c.ended && !c.closing && c.peerEnd == nil && len(c.received) == 0
}

// Unsent implements eventloop.Conn.
func (c *conn) Unsent() int { return len(c.unsent) }

// PeerClosed implements eventloop.Conn.
func (c *conn) PeerClosed() bool { return c.ended || c.peerEnd != nil }

// Undelivered implements eventloop.Conn.
func (c *conn) Undelivered() bool { return !c.ended && len(c.unsent)+c.inFlight > 0 }

// Write implements eventloop.Conn.
func (c *conn) Write(b []byte) {
	if c.ended || c.closing || !c.open || len(b) == 0 {
		return
	}
	c.unsent = append(c.unsent, b...)
	c.send()
}

// send sends as much as the other side has capacity for.
func (c *conn) send() {
	if len(c.unsent) == 0 {
		return
	}
	capacity := c.loop.network.ReceiveWindow - len(c.peer.received) - c.inFlight
	if capacity <= 0 {
		c.drainDue = true
		return
	}
	n := min(capacity, len(c.unsent))
	c.drainDue = c.drainDue || n < len(c.unsent)
	sent := slices.Clone(c.unsent[:n])
	c.unsent = c.unsent[:copy(c.unsent, c.unsent[n:])]
	c.sendSegments(sent)
	if len(c.unsent) > 0 {
		return
	}
	switch {
	case c.closing:
		c.sendEnd(nil)
	case c.drainDue:
		c.drainDue = false
		c.loop.schedule(0, c.drained)
	}
}

// sendSegments sends bytes in one piece, or cut at random places.
func (c *conn) sendSegments(b []byte) {
	n := c.loop.network
	c.inFlight += len(b)
	for len(b) > 0 {
		size := len(b)
		if n.MaxSegment > 0 {
			size = min(size, 1+n.random.Intn(n.MaxSegment))
		}
		segment := b[:size]
		b = b[size:]
		c.lastArrival = max(c.lastArrival, n.arrivalTime(c.loop, c.peer.loop))
		n.timers.Set(c.lastArrival, func() { c.segmentArrived(segment) })
		if n.MaxSegment > 0 {
			c.lastArrival += eventloop.Micros(n.random.Intn(maxSegmentGap))
		}
	}
}

func (c *conn) drained() {
	if !c.ended && !c.closing && len(c.unsent) == 0 {
		c.handler.Drained()
	}
}

// segmentArrived runs at the other side's network interface: its process need not run.
func (c *conn) segmentArrived(segment []byte) {
	c.inFlight -= len(segment)
	far := c.peer
	if far.ended || far.loop.dead {
		return
	}
	c.loop.network.trace(far.loop.name)
	far.received = append(far.received, segment...)
	if !far.paused {
		far.notify()
	}
}

// notify lets the process take what has arrived.
func (c *conn) notify() {
	delay := c.loop.network.DeliveryDelay
	if delay == 0 {
		c.loop.call(c.handOver)
		return
	}
	c.loop.schedule(delay, c.handOver)
}

func (c *conn) handOver() {
	if c.paused || c.ended {
		return
	}
	if len(c.received) > 0 {
		received := c.received
		c.received = nil
		if !c.closing {
			c.handler.Data(received)
		}
		if c.peer != nil && !c.peer.ended {
			c.peer.send()
		}
	}
	if c.peerEnd != nil && len(c.received) == 0 {
		c.end(c.peerEnd)
	}
}

// SetPaused implements eventloop.Conn.
func (c *conn) SetPaused(paused bool) {
	if c.paused == paused {
		return
	}
	c.paused = paused
	if !paused {
		c.loop.schedule(0, c.handOver)
	}
}

// Close implements eventloop.Conn.
func (c *conn) Close() {
	if c.closing || c.ended {
		return
	}
	c.closing = true
	if c.open && len(c.unsent) == 0 {
		c.sendEnd(nil)
	}
}

// CloseIfIdle implements eventloop.Conn.
func (c *conn) CloseIfIdle() bool {
	if !c.closing && !c.ended && (c.peerEnd != nil || len(c.received) > 0) {
		return false
	}
	c.Close()
	return true
}

// Abort implements eventloop.Conn.
func (c *conn) Abort() {
	if c.ended {
		return
	}
	c.closing = true
	c.unsent = nil
	if c.open {
		c.sendEnd(errReset)
	}
}

// sendEnd sends the end of the connection, behind the bytes that are in flight. A reset does not overtake them either,
// but what is unsent is lost.
func (c *conn) sendEnd(cause error) {
	if c.endSent {
		return
	}
	c.endSent = true
	n := c.loop.network
	if far := c.peer; far != nil {
		if cause == nil {
			cause = eventloop.ErrPeerClosed
		}
		n.timers.Set(max(c.lastArrival, n.arrivalTime(c.loop, far.loop)), func() { far.peerEnded(cause) })
	}
	c.endAfter(0, errClosed)
}

// peerEnded runs when the other side's end has arrived.
func (c *conn) peerEnded(cause error) {
	c.peerEnd = cause
	switch {
	case !c.paused:
		c.notify()
	case c.closing:
		c.loop.call(func() { c.end(cause) })
	}
}

// reset ends a connection whose process was killed.
func (c *conn) reset() {
	c.ended = true
	delete(c.loop.conns, c)
	far := c.peer
	if far == nil || c.endSent {
		return
	}
	n := c.loop.network
	n.timers.Set(max(c.lastArrival, n.arrivalTime(c.loop, far.loop)), func() {
		far.peerEnd = errReset
		far.loop.call(func() { far.end(errReset) })
	})
}

func (c *conn) end(cause error) {
	if c.ended {
		return
	}
	c.ended = true
	delete(c.loop.conns, c)
	if c.handler != nil {
		c.handler.Closed(cause)
	}
}
