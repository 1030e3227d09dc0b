// Package sockets is the seam over real sockets, which lesismal/nbio polls. Its pollers read and count; every
// call upwards is made by the one goroutine of the loop.
package sockets

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"

	"plumspindle/choice/due"
	"plumspindle/internal/eventloop"
)

const (
	readAtOnce  = 32 << 10               // bytes of one connection that are handed over in one turn, so that turns are fair
	takeInMost  = 128 << 10              // bytes of one connection that wait for the loop; past it the socket is left to fill
	stopWithin  = 150 * time.Millisecond // for the poller to end its connections
	acceptPause = 20 * time.Millisecond  // after an accept that failed for want of descriptors
	busyFor     = 3 * time.Millisecond   // for what one that is turned away has sent
	lingerFor   = eventloop.Second       // for the other side to see that a connection is shut
)

var errNoConnection = errors.New("no connection")

// Loop implements seam.Loop.
type Loop struct {
	engine *nbio.Engine
	epoch  time.Time
	rounds *rounds
	spares *spares
	// Busy is what a connection is told that is turned away because no descriptor is left; it is set before Listen.
	Busy []byte
	// Anywhere lets Listen take any address that it is told, not only loopback's; TakeIn, where it is above 0, stands for takeInMost. Both
	// are set before anything is opened.
	Anywhere bool
	TakeIn   int

	// born counts connections that were handed to the poller. What a connection is made of is written before a count and
	// read after one: nbio's own way of passing it on is not one that Go's memory model knows of.
	born   atomic.Int64
	mu     sync.Mutex
	inbox  []func()
	wake   chan struct{}
	closed bool
	done   chan struct{}

	// What follows belongs to the loop's goroutine.
	times     due.Times
	later     []func()
	listeners map[*listener]bool
}

// Start makes a loop and runs it in a goroutine of its own until Stop.
func Start() (*Loop, error) {
	logging.SetLevel(logging.LevelNone) // it would write lines of its own onto the program's output
	l := &Loop{epoch: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{}),
		listeners: map[*listener]bool{}}
	l.engine = nbio.NewEngine(nbio.Config{Name: "plumspindle", NPoller: 1, EpollMod: nbio.EPOLLET,
		ReadBufferSize: 4 << 10})
	l.engine.OnRead(func(c *nbio.Conn) {
		l.born.Load()
		switch own := c.Session().(type) {
		case *conn:
			own.takeIn(c)
		case *rounds:
			own.read()
		}
	})
	l.engine.OnClose(func(c *nbio.Conn, err error) {
		l.born.Load()
		if own, ok := c.Session().(*conn); ok {
			l.post(func() { own.closed(err) })
		}
	})
	l.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if own, ok := c.Session().(*conn); ok && own.unsent.Add(int64(-n)) == 0 && own.wantsDrained.Load() {
			l.post(own.drained)
		}
	})
	if err := l.engine.Start(); err != nil {
		return nil, fmt.Errorf("poller not started: %w", err)
	}
	if err := l.startRounds(); err != nil {
		return nil, err
	}
	l.spares = newSpares()
	go l.run()
	return l, nil
}

// Do runs f in the loop and waits for its end; it is for the outside, never for use from within.
func (l *Loop) Do(f func()) {
	ended := make(chan struct{})
	l.post(func() { f(); close(ended) })
	select {
	case <-ended:
	case <-l.done:
	}
}

// Post has f run in the loop.
func (l *Loop) Post(f func()) { l.post(f) }

// Stop ends the loop and closes all its sockets.
func (l *Loop) Stop() {
	l.Do(func() {
		for ln := range l.listeners {
			ln.Close()
		}
	})
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.nudge()
	<-l.done
	// nbio waits for the end of each connection that it ever counted, and closes those that it knows when it begins to
	// stop; one that opened just then would be waited for without end.
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	_ = l.rounds.writer.Close()
	_ = l.engine.Shutdown(ctx)
	l.spares.close()
}

func (l *Loop) post(f func()) {
	l.mu.Lock()
	l.inbox = append(l.inbox, f)
	first := len(l.inbox) == 1
	l.mu.Unlock()
	if first {
		l.nudge()
	}
}

func (l *Loop) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Loop) run() {
	defer close(l.done)
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	var batch []func()
	for {
		l.mu.Lock()
		batch, l.inbox = l.inbox, batch[:0]
		closed := l.closed
		l.mu.Unlock()
		if closed {
			return
		}
		for i, f := range batch {
			f()
			batch[i] = nil
			l.runLater()
		}
		l.runDue()
		if len(batch) > 0 {
			continue // something may have been posted meanwhile
		}
		wait := time.Hour
		if at, some := l.times.Next(); some {
			wait = time.Duration(at-l.Now()) * time.Microsecond
		}
		if wait <= 0 {
			continue
		}
		clock.Reset(wait)
		select {
		case <-l.wake:
		case <-clock.C:
		}
	}
}

func (l *Loop) runLater() {
	for len(l.later) > 0 {
		todo := l.later
		l.later = nil
		for _, f := range todo {
			f()
		}
	}
}

func (l *Loop) runDue() {
	now := l.Now()
	for {
		at, some := l.times.Next()
		if !some || at > now {
			return
		}
		l.times.RunOne()
		l.runLater()
	}
}

// Now is the time since the epoch of 1970 as it was at the loop's start, going forward evenly from there.
func (l *Loop) Now() eventloop.Micros {
	return eventloop.Micros(l.epoch.UnixMicro()) + eventloop.Micros(time.Since(l.epoch).Microseconds())
}

type timer struct {
	l  *Loop
	it *due.Item
}

func (t timer) Stop() { t.l.times.Drop(t.it) }

func (l *Loop) After(span eventloop.Micros, f func()) eventloop.Timer {
	return timer{l, l.times.Set(l.Now()+max(span, 0), f)}
}

func (l *Loop) Later(f func()) {
	if l.later = append(l.later, f); len(l.later) == 1 {
		l.post(func() {}) // so that it runs also where nothing else comes in
	}
}

// --- Connections ---

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
	holds    bool // the other side's end is heard though it is paused
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
	if rest == 0 || c.closing || c.paused && c.holds {
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

// Quiet asks the socket: what the poller has seen may not have reached the loop yet.
func (c *conn) Quiet() bool {
	if c.nb == nil || c.ended || c.closing || c.cause != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
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

func (c *conn) Unsent() int { return int(c.unsent.Load()) }

func (c *conn) Hold(on bool) {
	c.holds = on
	c.Pause(on)
	if on && c.cause != nil {
		c.l.Later(c.end)
	}
}

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

// shut closes what is sent: by halves where the other side may still be sending.
func (c *conn) shut() {
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
	c.mu.Lock()
	if !c.posted { // what has come is dropped, and room is made for what still comes
		c.posted = true
		c.l.post(c.handOver)
	}
	c.mu.Unlock()
}

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

// Dial opens a connection; its outcome is heard by the handler, never within this call.
func (l *Loop) Dial(addr string, within eventloop.Micros, h eventloop.Handler) eventloop.Conn {
	return l.dial(addr, within, h, false)
}

// DialSpare is Dial that may use one of the descriptors that are kept back.
func (l *Loop) DialSpare(addr string, within eventloop.Micros, h eventloop.Handler) eventloop.Conn {
	return l.dial(addr, within, h, true)
}

func (l *Loop) dial(addr string, within eventloop.Micros, h eventloop.Handler, spare bool) eventloop.Conn {
	l.spares.fill()
	c := &conn{l: l, h: h}
	fail := func(err error) {
		if c.nb == nil && !c.ended {
			c.cause = err
			c.end()
		}
	}
	c.dialing = l.After(within, func() { fail(errors.New("no connection in time")) })
	// Not by nbio's own dialling: it takes the first four bytes of an address that has sixteen, and so reaches only this machine's own.
	dialer := net.Dialer{Timeout: time.Duration(within) * time.Microsecond, KeepAlive: -1}
	var dial func(again bool)
	dial = func(again bool) {
		raw, err := dialer.Dial("tcp", addr)
		l.post(func() {
			switch {
			case noDescriptors(err) && again && !c.ended && l.spares.take():
				go dial(false)
			case noDescriptors(err):
				l.dialed(c, nil, fmt.Errorf("%w: %w", eventloop.ErrNoDescriptors, err), fail)
			case err != nil:
				l.dialed(c, nil, fmt.Errorf("%w: %w", errNoConnection, err), fail)
			default:
				l.dialed(c, raw, nil, fail)
			}
		})
	}
	go dial(spare)
	return c
}

func (l *Loop) dialed(c *conn, raw net.Conn, err error, fail func(error)) {
	if c.dialing != nil {
		c.dialing.Stop()
		c.dialing = nil
	}
	if err != nil {
		fail(err)
		return
	}
	unwanted := func() bool {
		if !c.ended && !c.closing {
			return false
		}
		if !c.ended {
			c.cause = errors.New("closed before it opened")
			c.end()
		}
		return true
	}
	if unwanted() {
		_ = raw.Close()
		return
	}
	nb, err := ownOnly(raw)
	if err != nil {
		_ = raw.Close()
		fail(fmt.Errorf("%w: %w", eventloop.ErrNoDescriptors, err))
		return
	}
	l.born.Add(1)
	nb.SetSession(c)
	_ = nb.SetNoDelay(true)
	l.rounds.after(func() { // as for those that are accepted
		if unwanted() {
			_ = nb.Close()
			return
		}
		if _, err := l.engine.AddConn(nb); err != nil {
			c.closed(err)
			return
		}
		c.nb = nb
		if gone, err := nb.IsClosed(); gone {
			c.closed(err)
			return
		}
		c.h.Opened()
		c.takeIn(nb) // an edge may have come before the session was set
	})
}

// --- Listeners ---

type listener struct {
	l  *Loop
	ln net.Listener
}

// Listen takes connections on a loopback address.
func (l *Loop) Listen(addr string, accept func(eventloop.Conn) eventloop.Handler) (eventloop.Listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", addr, err)
	}
	if ip := net.ParseIP(host); !l.Anywhere && host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return nil, fmt.Errorf("listen on %q: only loopback addresses are served", addr)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", addr, err)
	}
	own := &listener{l, ln}
	l.listeners[own] = true
	go own.acceptAll(accept)
	return own, nil
}

func (own *listener) acceptAll(accept func(eventloop.Conn) eventloop.Handler) {
	for {
		raw, err := own.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Descriptors are used up: with one that is kept back each that comes is told so, in turn. Where there is none left
			// the rest waits in the backlog until some are given back.
			var done bool
			if noDescriptors(err) {
				raw, done = own.turnAway()
			}
			if !done {
				time.Sleep(acceptPause)
			}
			if raw == nil {
				continue
			}
		}
		own.l.post(func() {
			c := &conn{l: own.l, accepted: true}
			c.h = accept(c)
			nb, err := ownOnly(raw)
			if err != nil {
				go own.l.refuse(raw) // it is not taken over, and would be held until it is collected
				c.cause = err
				c.end()
				return
			}
			c.nb = nb
			own.l.born.Add(1)
			nb.SetSession(c)
			_ = nb.SetNoDelay(true)
			own.l.rounds.after(func() {
				if c.ended || c.closing {
					return
				}
				if _, err := own.l.engine.AddConn(nb); err != nil {
					c.closed(err)
					return
				}
				c.h.Opened() // only now: nbio can't write before it knows the connection
				c.takeIn(nb)
			})
		})
	}
}

// ownOnly hands a connection to nbio, which duplicates its descriptor without marking it: a process started from here would
// keep the connection open after this one has closed it, and its other side would wait for an answer that nobody gives.
func ownOnly(raw net.Conn) (*nbio.Conn, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	nb, err := nbio.NBConn(raw)
	if err == nil {
		syscall.CloseOnExec(nb.Hash())
	}
	return nb, err
}

func (own *listener) Addr() string { return own.ln.Addr().String() }

func (own *listener) Close() {
	delete(own.l.listeners, own)
	_ = own.ln.Close()
}
