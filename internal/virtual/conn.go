package virtual

import (
	"errors"
	"slices"

	"plumspindle/internal/eventloop"
)

// maxSegmentGap is the exclusive upper bound of the random pause between the arrivals of two segments of one write, in
// microseconds.
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

	received       []byte           // arrived bytes that the handler has not got yet
	unsent         []byte           // written bytes for which the other side has no capacity yet
	inFlight       int              // number of bytes that are sent and have not arrived
	lastArrival    eventloop.Micros // time at which the last bytes sent arrive
	paused         bool             // the handler gets no data for now
	open           bool
	closing        bool  // this side has called Close or Abort
	closed         bool  // the handler's Closed has been called, or the process was killed
	closeSent      bool  // the close of this side is on its way or has arrived
	peerCloseCause error // cause that the other side's close has here; nil until that close has arrived
	drainDue       bool  // the handler's Drained must be called once everything is sent
}

// Idle implements eventloop.Conn.
func (c *conn) Idle() bool {
	return c.open && !c.closed && !c.closing && c.peerCloseCause == nil && len(c.received) == 0
}

// Unsent implements eventloop.Conn.
func (c *conn) Unsent() int { return len(c.unsent) }

// PeerClosed implements eventloop.Conn.
func (c *conn) PeerClosed() bool { return c.closed || c.peerCloseCause != nil }

// Undelivered implements eventloop.Conn.
func (c *conn) Undelivered() bool { return !c.closed && len(c.unsent)+c.inFlight > 0 }

// Write implements eventloop.Conn.
func (c *conn) Write(b []byte) {
	if c.closed || c.closing || !c.open || len(b) == 0 {
		return
	}
	c.unsent = append(c.unsent, b...)
	c.send()
}

// send sends as many of the unsent bytes as the other side has capacity for.
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
		c.sendClose(nil)
	case c.drainDue:
		c.drainDue = false
		c.loop.schedule(0, c.drained)
	}
}

// sendSegments sends bytes in one segment, or split at random places if the network limits the size of segments.
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

// drained calls the handler's Drained unless, since this call was scheduled, more has been written or the connection
// was closed.
func (c *conn) drained() {
	if !c.closed && !c.closing && len(c.unsent) == 0 {
		c.handler.Drained()
	}
}

// segmentArrived adds a segment to what the other side has received. The network calls it even while the process on the
// other side is frozen, because that process's kernel receives data without the process.
func (c *conn) segmentArrived(segment []byte) {
	c.inFlight -= len(segment)
	peer := c.peer
	if peer.closed || peer.loop.dead {
		return
	}
	c.loop.network.trace(peer.loop.name)
	peer.received = append(peer.received, segment...)
	if !peer.paused {
		peer.scheduleDelivery()
	}
}

// scheduleDelivery has the process receive what has arrived, after the network's delivery delay.
func (c *conn) scheduleDelivery() {
	delay := c.loop.network.DeliveryDelay
	if delay == 0 {
		c.loop.call(c.deliver)
		return
	}
	c.loop.schedule(delay, c.deliver)
}

// deliver passes the received bytes to the handler, lets the other side send more, and then passes on the other side's
// close if that close has arrived. It does nothing while the connection is paused.
func (c *conn) deliver() {
	if c.paused || c.closed {
		return
	}
	if len(c.received) > 0 {
		received := c.received
		c.received = nil
		if !c.closing {
			c.handler.Data(received)
		}
		if c.peer != nil && !c.peer.closed {
			c.peer.send()
		}
	}
	if c.peerCloseCause != nil && len(c.received) == 0 {
		c.finish(c.peerCloseCause)
	}
}

// SetPaused implements eventloop.Conn.
func (c *conn) SetPaused(paused bool) {
	if c.paused == paused {
		return
	}
	c.paused = paused
	if !paused {
		c.loop.schedule(0, c.deliver)
	}
}

// Close implements eventloop.Conn.
func (c *conn) Close() {
	if c.closing || c.closed {
		return
	}
	c.closing = true
	if c.open && len(c.unsent) == 0 {
		c.sendClose(nil)
	}
}

// CloseIfIdle implements eventloop.Conn.
func (c *conn) CloseIfIdle() bool {
	if !c.closing && !c.closed && (c.peerCloseCause != nil || len(c.received) > 0) {
		return false
	}
	c.Close()
	return true
}

// Abort implements eventloop.Conn.
func (c *conn) Abort() {
	if c.closed {
		return
	}
	c.closing = true
	c.unsent = nil
	if c.open {
		c.sendClose(errReset)
	}
}

// sendClose closes this side, and sends the close to the other side so that it arrives after the bytes in flight. A
// reset doesn't overtake those bytes either, but Abort has dropped the unsent ones.
func (c *conn) sendClose(cause error) {
	if c.closeSent {
		return
	}
	c.closeSent = true
	n := c.loop.network
	if peer := c.peer; peer != nil {
		if cause == nil {
			cause = eventloop.ErrPeerClosed
		}
		n.timers.Set(max(c.lastArrival, n.arrivalTime(c.loop, peer.loop)), func() { peer.peerCloseArrived(cause) })
	}
	c.finishAfter(0, errClosed)
}

// peerCloseArrived handles the arrival of the other side's close. While the connection is paused, an open connection
// stays open until it is resumed, and a closing one closes at once.
func (c *conn) peerCloseArrived(cause error) {
	c.peerCloseCause = cause
	switch {
	case !c.paused:
		c.scheduleDelivery()
	case c.closing:
		c.loop.call(func() { c.finish(cause) })
	}
}

// reset closes the connection of a killed process without a call of its handler. The other side gets a reset, even
// while the connection is paused there, unless this side has already sent its close.
func (c *conn) reset() {
	c.closed = true
	delete(c.loop.conns, c)
	peer := c.peer
	if peer == nil || c.closeSent {
		return
	}
	n := c.loop.network
	n.timers.Set(max(c.lastArrival, n.arrivalTime(c.loop, peer.loop)), func() {
		peer.peerCloseCause = errReset
		peer.loop.call(func() { peer.finish(errReset) })
	})
}

// finish marks the connection as closed and calls the handler's Closed with the cause.
func (c *conn) finish(cause error) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.loop.conns, c)
	if c.handler != nil {
		c.handler.Closed(cause)
	}
}
