package sockets

import (
	"errors"
	"sync"
	"sync/atomic"
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

// conn implements eventloop.Conn over one of nbio's connections.
type conn struct {
	l            *Loop
	h            eventloop.Handler
	nb           *nbio.Conn
	dialing      eventloop.Timer
	unsent       atomic.Int64
	wantsDrained atomic.Bool

	mu      sync.Mutex // guards what the poller and the loop both touch
	in      []byte
	posted  bool
	stalled bool // the socket was left unread
	gone    bool

	// The loop's own.
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
		if n > 0 {
			c.in = append(c.in, buf[:n]...)
		}
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) || err == nil && n <= 0 {
			// The other side has ended. nbio closes on a half-close too, after this.
			if !c.gone {
				c.gone = true
				c.l.post(func() { _ = nb.CloseWithError(err) })
			}
			break
		}
		if err != nil || n < len(buf) {
			break // a short read has emptied the socket; what comes later is a new edge
		}
	}
	if len(c.in) > 0 && !c.posted {
		c.posted = true
		c.l.post(c.handOver)
	}
}

func (l *Loop) takeIn() int {
	if l.TakeIn > 0 {
		return l.TakeIn
	}
	return takeInMost
}

// hungUp tells that the other side of a descriptor's connection has ended.
func hungUp(fd int) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0
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
		if c.lingers != nil {
			c.lingers.Stop()
		}
		c.h.Closed(c.cause)
	}
}

func (c *conn) drained() {
	if c.ended || c.unsent.Load() > 0 {
		return
	}
	if c.closing {
		c.shut()
		return
	}
	c.h.Drained()
}

// Write implements eventloop.Conn.
func (c *conn) Write(b []byte) {
	if c.ended || c.nb == nil || len(b) == 0 {
		return
	}
	c.wantsDrained.Store(false)
	c.unsent.Add(int64(len(b)))
	if n, err := c.nb.Write(b); err != nil || n < 0 {
		return // its closing is heard
	}
	if c.unsent.Load() > 0 {
		c.wantsDrained.Store(true)
		if c.unsent.Load() == 0 {
			c.l.post(c.drained) // it drained between the two
		}
	}
}

// Quiet implements eventloop.Conn. It asks the socket: what the poller has seen may not have reached the loop yet.
func (c *conn) Quiet() bool {
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
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n == 0
}

// Unsent implements eventloop.Conn.
func (c *conn) Unsent() int { return int(c.unsent.Load()) }

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
		c.l.Later(c.end)
		return
	}
	if c.nb != nil && c.unsent.Load() == 0 {
		c.shut()
	} else {
		c.wantsDrained.Store(true)
		if c.nb != nil && c.unsent.Load() == 0 {
			c.shut()
		}
	}
}

// CloseIfQuiet implements eventloop.Conn. The poller reads nothing between the look and the shutdown: what it reads after that is
// dropped, and came too late.
func (c *conn) CloseIfQuiet() bool {
	if c.nb == nil || c.closing || c.ended || c.unsent.Load() > 0 {
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
	c.lingers = c.l.After(lingerFor, func() { _ = c.nb.Close() })
	if !c.posted { // what has come is dropped, and room is made for what still comes
		c.posted = true
		c.l.post(c.handOver)
	}
}

// Abort implements eventloop.Conn.
func (c *conn) Abort() {
	c.closing = true
	if c.cause != nil {
		c.l.Later(c.end)
		return
	}
	if c.nb != nil && !c.ended {
		c.socket(func(fd int) { _ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}) })
		_ = c.nb.Close()
	}
}
