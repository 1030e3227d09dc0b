package sockets

import (
	"errors"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"plumspindle/internal/eventloop"
)

const (
	readAtOnce = 32 << 10         // bytes of one connection that are handed over in one turn, so that turns are fair
	takeInMost = 128 << 10        // bytes of one connection that wait for the loop; past it the socket is left to fill
	lingerFor  = eventloop.Second // for the other side to see that a connection is shut
)

// What the socket did not take is offered to it again after a pause, which doubles while it takes nothing.
const (
	minWritePause = eventloop.Millisecond
	maxWritePause = 32 * eventloop.Millisecond
)

// conn implements eventloop.Conn over one of nbio's connections. The poller reads; only the loop writes, so that what has left does not
// change between a look at it and what is done about it.
type conn struct {
	l       *Loop
	h       eventloop.Handler
	nb      *nbio.Conn
	dialing eventloop.Timer

	mu      sync.Mutex // guards what the poller and the loop both touch
	in      []byte
	posted  bool
	stalled bool // the socket was left unread
	gone    bool

	// The loop's own.
	out      []byte // written, and not taken by the socket yet
	rewrite  eventloop.Timer
	accepted bool
	paused   bool
	closing  bool
	lingers  eventloop.Timer
	ended    bool
	cause    error
	spare    []byte
}

// socket runs f with the descriptor unless the connection is closed, which waits meanwhile: once it is, the number may be another's.
func (c *conn) socket(f func(fd int)) bool {
	if c.nb == nil {
		return false
	}
	c.nb.Lock()
	defer c.nb.Unlock()
	if gone, _ := c.nb.IsClosed(); gone {
		return false
	}
	f(c.nb.Hash())
	return true
}

// takeIn reads what has come, up to the bound; it is called by the poller, and by the loop once there is room.
func (c *conn) takeIn(nb *nbio.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var buf [16 << 10]byte
	for {
		// Past the bound the socket is left to fill; but what the other side sent before it ended has to be taken now,
		// as nbio closes with the rest unread as soon as it sees that end. That is at most what the socket holds.
		if len(c.in) >= c.l.takeIn() && !hungUp(nb.Hash()) {
			c.stalled = true
			break
		}
		n, err := nb.Read(buf[:])
		if n > 0 { // a read that brings less than it could says nothing of what is left; only EAGAIN does
			c.in = append(c.in, buf[:n]...)
			continue
		}
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) {
			break
		}
		// The other side has ended. nbio closes on a half-close too, after this.
		if !c.gone {
			c.gone = true
			c.l.post(func() { _ = nb.CloseWithError(err) })
		}
		break
	}
	if len(c.in) > 0 && !c.posted {
		c.posted = true
		c.l.post(c.handOver)
	}
}

func (l *Loop) takeIn() int {
	if l.ReadBufferLimit > 0 {
		return l.ReadBufferLimit
	}
	return takeInMost
}

// hungUp tells that the other side of a descriptor's connection has ended.
func hungUp(fd int) bool {
	n, err := poll(fd, unix.POLLRDHUP)
	return err == nil && n > 0
}

// poll looks at a descriptor without waiting.
func poll(fd int, events int16) (n int, err error) {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		if n, err = unix.Poll(p, 0); !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// handOver gives the handler one turn's worth of what came in.
func (c *conn) handOver() {
	c.mu.Lock()
	c.posted = false
	if c.paused && !c.closing || c.ended {
		c.mu.Unlock()
		return
	}
	n := min(len(c.in), readAtOnce)
	turn := append(c.spare[:0], c.in[:n]...)
	c.spare = turn
	if n == len(c.in) {
		c.in = c.in[:0]
		if cap(c.in) > readAtOnce {
			c.in = nil // an idle stream must not keep a burst's buffer
		}
	} else {
		c.in = c.in[:copy(c.in, c.in[n:])]
		c.posted = true
		c.l.post(c.handOver)
	}
	stalled := c.stalled && len(c.in) < c.l.takeIn()/2
	if stalled {
		c.stalled = false
	}
	rest := len(c.in)
	c.mu.Unlock()
	if n > 0 && !c.closing {
		c.h.Data(turn)
	}
	if cap(c.spare) > 4<<10 && rest == 0 {
		c.spare = nil
	}
	if stalled {
		c.takeIn(c.nb)
	}
	if c.cause != nil && rest == 0 {
		c.end()
	}
}

func (c *conn) closed(err error) {
	if c.ended {
		return
	}
	if c.dialing != nil {
		c.dialing.Stop()
		c.dialing = nil
	}
	if c.cause = err; err == nil {
		c.cause = errors.New("closed by the other side")
	}
	c.mu.Lock()
	rest := len(c.in)
	c.mu.Unlock()
	if rest == 0 || c.closing {
		c.end() // data that came before the close is handed over first, unless nobody reads it any more
	}
}

func (c *conn) end() {
	if !c.ended {
		c.ended = true
		for _, t := range []eventloop.Timer{c.lingers, c.rewrite} {
			if t != nil {
				t.Stop()
			}
		}
		c.h.Closed(c.cause)
	}
}

// Write implements eventloop.Conn.
func (c *conn) Write(b []byte) {
	if c.ended || c.nb == nil || len(b) == 0 {
		return
	}
	if len(c.out) > 0 {
		c.out = append(c.out, b...)
		return
	}
	if rest := c.send(b); len(rest) > 0 {
		c.out = append(c.out, rest...)
		c.writeLater(minWritePause)
	}
}

// send hands to the socket what it takes, and returns the rest. Only EAGAIN tells that the socket is full: a write may take less than it
// could, and nbio's own waits for an edge that does not come then.
func (c *conn) send(b []byte) (rest []byte) {
	var broken error
	c.socket(func(fd int) {
		for len(b) > 0 {
			n, err := unix.Write(fd, b)
			switch {
			case n > 0:
				b = b[n:]
			case errors.Is(err, syscall.EINTR):
			case err == nil, noRoom(err):
				return
			default:
				broken = err
				return
			}
		}
	})
	if broken != nil {
		_ = c.nb.CloseWithError(broken) // its closing is heard
	}
	return b
}

// noRoom tells that a write may succeed later.
func noRoom(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

func (c *conn) writeLater(pause eventloop.Micros) {
	c.rewrite = c.l.AfterFunc(pause, func() { c.flush(pause) })
}

// flush offers to the socket again what it did not take.
func (c *conn) flush(pause eventloop.Micros) {
	if c.ended {
		return
	}
	had := len(c.out)
	c.out = c.out[:copy(c.out, c.send(c.out))]
	switch len(c.out) {
	case 0:
		c.out = nil
		c.drained()
	case had:
		c.writeLater(min(2*pause, maxWritePause))
	default:
		c.writeLater(minWritePause)
	}
}

func (c *conn) drained() {
	if c.closing {
		c.shut()
		return
	}
	c.h.Drained()
}

// Idle implements eventloop.Conn. It asks the socket: what the poller has seen may not have reached the loop yet.
func (c *conn) Idle() bool {
	if c.nb == nil || c.ended || c.closing || c.cause != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nothingRead()
}

// nothingRead tells that nothing has come that was not handed over, nor the other side's end. It is called with mu held, which keeps the
// poller from reading.
func (c *conn) nothingRead() bool {
	quiet := false
	if c.gone || len(c.in) > 0 || !c.socket(func(fd int) { quiet = nothingIn(fd) }) {
		return false
	}
	return quiet
}

// nothingIn tells that a descriptor's connection has neither ended nor anything to be read.
func nothingIn(fd int) bool {
	n, err := poll(fd, unix.POLLIN|unix.POLLRDHUP)
	return err == nil && n == 0
}

// Unsent implements eventloop.Conn.
func (c *conn) Unsent() int { return len(c.out) }

// PeerClosed implements eventloop.Conn.
func (c *conn) PeerClosed() bool {
	if c.ended || c.cause != nil {
		return true
	}
	gone := false
	open := c.socket(func(fd int) { gone = hungUp(fd) })
	return c.nb != nil && (gone || !open)
}

// Undelivered implements eventloop.Conn: it asks the system for bytes that the other side has not acknowledged.
func (c *conn) Undelivered() bool {
	waits := 0
	c.socket(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			waits = n
		}
	})
	return len(c.out) > 0 || waits > 0
}

// Pause implements eventloop.Conn.
func (c *conn) Pause(on bool) {
	if c.paused == on {
		return
	}
	c.paused = on
	if on {
		return
	}
	c.mu.Lock()
	if !c.posted {
		c.posted = true
		c.l.post(c.handOver)
	}
	c.mu.Unlock()
}

// Close implements eventloop.Conn.
func (c *conn) Close() {
	if c.closing || c.ended {
		return
	}
	c.closing = true
	if c.cause != nil {
		c.l.Defer(c.end)
		return
	}
	if c.nb != nil && len(c.out) == 0 {
		c.shut()
	}
}

// CloseIfIdle implements eventloop.Conn. The poller reads nothing between the look and the shutdown: what it reads after that is
// dropped, and came too late.
func (c *conn) CloseIfIdle() bool {
	if c.nb == nil || c.closing || c.ended || len(c.out) > 0 {
		c.Close()
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil || !c.nothingRead() {
		return false
	}
	c.closing = true
	c.shutLocked()
	return true
}

// shut closes what is sent: by halves where the other side may still be sending.
func (c *conn) shut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shutLocked()
}

func (c *conn) shutLocked() {
	if !c.accepted {
		_ = c.nb.Close()
		return
	}
	if c.lingers != nil {
		return
	}
	var err error
	if !c.socket(func(fd int) { err = unix.Shutdown(fd, unix.SHUT_WR) }) || err != nil {
		_ = c.nb.Close()
		return
	}
	c.lingers = c.l.AfterFunc(lingerFor, func() { _ = c.nb.Close() })
	if !c.posted { // what has come is dropped, and room is made for what still comes
		c.posted = true
		c.l.post(c.handOver)
	}
}

// Abort implements eventloop.Conn.
func (c *conn) Abort() {
	c.closing = true
	if c.cause != nil {
		c.l.Defer(c.end)
		return
	}
	if c.nb != nil && !c.ended {
		c.socket(func(fd int) { _ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}) })
		_ = c.nb.Close()
	}
}
