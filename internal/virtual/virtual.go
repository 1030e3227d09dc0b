// Package virtual is the seam in virtual time: several loops, their connections and their timers in one thread, with
// no real waiting, the same from the same seed every time. What runs over sockets runs here unchanged.
package virtual

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strconv"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler/timerqueue"
)

// Network holds the time, the network and the chance of one run.
type Network struct {
	now       eventloop.Micros
	times     timerqueue.Queue
	rand      *rand.Rand
	listeners map[string]*listener
	nextPort  int
	// Latency is how long bytes and news travel one way. Segment, where it is above 0, is the most bytes that
	// arrive in one piece; they are cut at places drawn by chance.
	Latency    eventloop.Micros
	MaxSegment int
	// ReceiveWindow is how many bytes a receiver that does not read takes in before its sender has to wait.
	ReceiveWindow int
	Steps         int
	// DeliveryDelay is how long what has arrived waits until its process hears of it, as where that is busy.
	DeliveryDelay eventloop.Micros
	// AfterStep, where it is set, is called after each step.
	AfterStep func()
	// ExtraLatency, where it is set, is how much longer one piece is on its way.
	ExtraLatency func() eventloop.Micros
	blocked      map[[2]*Loop]eventloop.Micros
	steps        []stepAt
	// TraceHash hashes what happens, so that two runs can be told apart.
	TraceHash uint64
}

// NewNetwork makes a world at a time of no meaning.
func NewNetwork(seed int64) *Network {
	return &Network{now: 1_700_000_000 * eventloop.Second, rand: rand.New(rand.NewSource(seed)), listeners: map[string]*listener{},
		blocked: map[[2]*Loop]eventloop.Micros{}, nextPort: 10000, Latency: 200, ReceiveWindow: 128 << 10, TraceHash: 14695981039346656037}
}

type stepAt struct {
	at int
	do func()
}

// AtStep does something between two steps, so many from now.
func (w *Network) AtStep(n int, do func()) { w.steps = append(w.steps, stepAt{w.Steps + n, do}) }

// step is one thing that happens.
func (w *Network) step() {
	w.Steps++
	w.times.RunOne()
	for i := 0; i < len(w.steps); i++ {
		if s := w.steps[i]; s.at <= w.Steps {
			w.steps = slices.Delete(w.steps, i, i+1)
			i--
			s.do()
		}
	}
	if w.AfterStep != nil {
		w.AfterStep()
	}
}

// Block has nothing of one process reach another for a while; it arrives afterwards. The other way is open.
func (w *Network) Block(from, to *Loop, span eventloop.Micros) {
	w.blocked[[2]*Loop{from, to}] = w.now + span
}

// way is when what is sent now is there.
func (w *Network) way(from, to *Loop) eventloop.Micros {
	at := w.now + w.Latency
	if w.ExtraLatency != nil {
		at += w.ExtraLatency()
	}
	if len(w.blocked) > 0 {
		at = max(at, w.blocked[[2]*Loop{from, to}])
	}
	return at
}

// Now is the world's time.
func (w *Network) Now() eventloop.Micros { return w.now }

// Run lets time pass up to a moment.
func (w *Network) Run(span eventloop.Micros) {
	end := w.now + span
	for {
		at, some := w.times.Next()
		if !some || at > end {
			w.now = end
			return
		}
		w.now = max(w.now, at)
		w.step()
	}
}

// RunUntil runs until something holds, for a span at most, and tells whether it came to hold.
func (w *Network) RunUntil(span eventloop.Micros, holds func() bool) bool {
	for end := w.now + span; !holds(); {
		at, some := w.times.Next()
		if !some || at > end {
			w.now = end
			return holds()
		}
		w.now = max(w.now, at)
		w.step()
	}
	return true
}

func (w *Network) mark(text string) {
	for _, c := range []byte(text) {
		w.TraceHash = (w.TraceHash ^ uint64(c)) * 1099511628211
	}
	w.TraceHash = (w.TraceHash ^ uint64(w.now)) * 1099511628211
}

// Loop is one process of the world.
type Loop struct {
	w      *Network
	name   string
	dead   bool
	frozen bool
	parked []func() // what came in while it was frozen
	conns  map[*conn]bool
	order  []*conn
	later  []func()
	active bool
	own    []*listener
	skew   eventloop.Micros
	// DescriptorLimit, where it is above 0, is how many connections it may have, the last two by DialSpare only.
	DescriptorLimit int
}

// NewLoop makes a process.
func (w *Network) NewLoop(name string) *Loop {
	return &Loop{w: w, name: name, conns: map[*conn]bool{}}
}

// Kill ends the process outright: its timers never run, its connections are reset.
func (l *Loop) Kill() {
	l.dead = true
	for _, ln := range slices.Clone(l.own) {
		ln.Close()
	}
	for _, c := range slices.Clone(l.order) {
		if l.conns[c] {
			c.reset()
		}
	}
}

// Freeze stops the process for a while; then it goes on as if nothing had been, with all that came meanwhile.
func (l *Loop) Freeze(span eventloop.Micros) {
	l.frozen = true
	l.w.times.Set(l.w.now+span, func() {
		l.frozen = false
		parked := l.parked
		l.parked = nil
		for _, f := range parked {
			l.call(f)
		}
	})
}

// call runs something as the process, and what it left for later.
func (l *Loop) call(f func()) {
	switch {
	case l.dead:
		return
	case l.frozen:
		l.parked = append(l.parked, f)
		return
	case l.active:
		f()
		return
	}
	l.active = true
	f()
	for len(l.later) > 0 && !l.dead {
		todo := l.later
		l.later = nil
		for _, g := range todo {
			g()
		}
	}
	l.active = false
}

// Do runs f as the process, from the outside.
func (l *Loop) Do(f func()) { l.call(f) }

// Post is Do, for what is written for either seam.
func (l *Loop) Post(f func()) { l.call(f) }

// StepClock sets the process's clock forward, or back; its timers run on.
func (l *Loop) StepClock(by eventloop.Micros) { l.skew += by }

func (l *Loop) Now() eventloop.Micros { return l.w.now + l.skew }

type timer struct {
	w  *Network
	it *timerqueue.Item
}

func (t timer) Stop() { t.w.times.Drop(t.it) }

func (l *Loop) AfterFunc(span eventloop.Micros, f func()) eventloop.Timer {
	return timer{l.w, l.w.times.Set(l.w.now+max(span, 0), func() { l.call(f) })}
}

func (l *Loop) Defer(f func()) {
	if !l.active {
		l.w.times.Set(l.w.now, func() { l.call(f) })
		return
	}
	l.later = append(l.later, f)
}

// --- Connections ---

type listener struct {
	l      *Loop
	addr   string
	accept func(eventloop.Conn) eventloop.Handler
}

func (ln *listener) Addr() string { return ln.addr }

func (ln *listener) Close() {
	delete(ln.l.w.listeners, ln.addr)
	if at := slices.Index(ln.l.own, ln); at >= 0 {
		ln.l.own = slices.Delete(ln.l.own, at, at+1)
	}
}

// Drain implements eventloop.Listener: here nothing waits to be accepted.
func (ln *listener) Drain() { ln.Close() }

// Listen implements eventloop.Loop.
func (l *Loop) Listen(addr string, accept func(eventloop.Conn) eventloop.Handler) (eventloop.Listener, error) {
	if len(addr) > 2 && addr[len(addr)-2:] == ":0" {
		l.w.nextPort++
		addr = addr[:len(addr)-1] + strconv.Itoa(l.w.nextPort)
	}
	if l.w.listeners[addr] != nil {
		return nil, fmt.Errorf("listen on %q: address already in use", addr)
	}
	ln := &listener{l, addr, accept}
	l.w.listeners[addr] = ln
	l.own = append(l.own, ln)
	return ln, nil
}

// conn is one side of a connection.
type conn struct {
	l       *Loop
	h       eventloop.Handler
	peer    *conn
	in      []byte // arrived and not handed over
	flying  int    // bytes on their way
	arrives eventloop.Micros
	paused  bool
	closing bool
	ended   bool
	fin     error // the other side's end, once it has arrived
	open    bool
	lagged  bool // the handler is owed a Drained
	waiting []byte
	finSent bool
}

func (l *Loop) track(c *conn) {
	l.conns[c] = true
	if len(l.order) > 64 && len(l.order) > 2*len(l.conns) {
		l.order = slices.DeleteFunc(l.order, func(o *conn) bool { return !l.conns[o] })
	}
	l.order = append(l.order, c)
}

// OpenConnections is how many connections the process has.
func (l *Loop) OpenConnections() int { return len(l.conns) }

// spares are descriptors that only DialSpare may use.
const spares = 2

func (l *Loop) full() bool { return l.DescriptorLimit > 0 && len(l.conns) >= l.DescriptorLimit-spares }

func (l *Loop) Dial(addr string, within eventloop.Micros, h eventloop.Handler) eventloop.Conn {
	return l.dial(addr, within, h, l.full())
}

func (l *Loop) DialReserved(addr string, within eventloop.Micros, h eventloop.Handler) eventloop.Conn {
	return l.dial(addr, within, h, l.DescriptorLimit > 0 && len(l.conns) >= l.DescriptorLimit)
}

func (l *Loop) dial(addr string, within eventloop.Micros, h eventloop.Handler, full bool) eventloop.Conn {
	c := &conn{l: l, h: h}
	w := l.w
	fail := func(wait eventloop.Micros, err error) eventloop.Conn {
		w.times.Set(w.now+wait, func() { l.call(func() { c.end(err) }) })
		return c
	}
	if full {
		return fail(0, eventloop.ErrNoDescriptors)
	}
	l.track(c)
	w.times.Set(w.now+w.Latency, func() {
		ln := w.listeners[addr]
		if ln == nil || ln.l.dead {
			fail(w.Latency, errors.New("connection refused"))
			return
		}
		if wait := max(w.blocked[[2]*Loop{l, ln.l}], w.blocked[[2]*Loop{ln.l, l}]) - w.now; wait > 0 {
			fail(min(wait, max(within-w.Latency, 0)), errors.New("no connection in time"))
			return
		}
		if ln.l.full() { // the rest waits in the backlog, which here is as long as the caller's patience
			fail(max(within-w.Latency, 0), errors.New("no connection in time"))
			return
		}
		far := &conn{l: ln.l, peer: c, open: true}
		c.peer = far
		ln.l.track(far)
		ln.l.call(func() {
			far.h = ln.accept(far)
			far.h.Opened()
		})
		w.times.Set(w.now+w.Latency, func() {
			l.call(func() {
				if c.ended {
					return
				}
				c.open = true
				if c.closing {
					c.sendEnd(nil)
					c.end(errors.New("closed before it opened"))
					return
				}
				c.h.Opened()
			})
		})
	})
	return c
}

func (c *conn) Idle() bool {
	return c.open && !c.ended && !c.closing && c.fin == nil && len(c.in) == 0
}

func (c *conn) Unsent() int { return len(c.waiting) }

func (c *conn) PeerClosed() bool { return c.ended || c.fin != nil }

func (c *conn) Undelivered() bool { return !c.ended && len(c.waiting)+c.flying > 0 }

func (c *conn) Write(b []byte) {
	if c.ended || c.closing || !c.open || len(b) == 0 {
		return
	}
	c.waiting = append(c.waiting, b...)
	c.push()
}

// push hands on what the other side has room for.
func (c *conn) push() {
	room := c.l.w.ReceiveWindow - len(c.peer.in) - c.flying
	if len(c.waiting) == 0 {
		return
	}
	if room <= 0 {
		c.lagged = true
		return
	}
	n := min(room, len(c.waiting))
	c.lagged = c.lagged || n < len(c.waiting)
	piece := slices.Clone(c.waiting[:n])
	c.waiting = c.waiting[:copy(c.waiting, c.waiting[n:])]
	c.flying += n
	w := c.l.w
	for len(piece) > 0 {
		m := len(piece)
		if w.MaxSegment > 0 {
			m = min(m, 1+w.rand.Intn(w.MaxSegment))
		}
		part := piece[:m]
		piece = piece[m:]
		c.arrives = max(c.arrives, w.way(c.l, c.peer.l))
		w.times.Set(c.arrives, func() { c.arrive(part) })
		if w.MaxSegment > 0 {
			c.arrives += eventloop.Micros(w.rand.Intn(40))
		}
	}
	if len(c.waiting) > 0 {
		return
	}
	if c.closing {
		c.sendEnd(nil)
	} else if c.lagged {
		c.lagged = false
		w.times.Set(w.now, func() {
			c.l.call(func() {
				if !c.ended && !c.closing && len(c.waiting) == 0 {
					c.h.Drained()
				}
			})
		})
	}
}

func (c *conn) arrive(part []byte) {
	c.flying -= len(part)
	far := c.peer
	if far.ended || far.l.dead {
		return
	}
	c.l.w.mark(far.l.name)
	far.in = append(far.in, part...)
	if !far.paused {
		far.hear()
	}
}

// hear has the process take what has arrived.
func (c *conn) hear() {
	if c.l.w.DeliveryDelay == 0 {
		c.l.call(c.handOver)
		return
	}
	c.l.w.times.Set(c.l.w.now+c.l.w.DeliveryDelay, func() { c.l.call(c.handOver) })
}

func (c *conn) handOver() {
	if c.paused || c.ended {
		return
	}
	if len(c.in) > 0 {
		b := c.in
		c.in = nil
		if !c.closing {
			c.h.Data(b)
		}
		if p := c.peer; p != nil && !p.ended {
			p.push()
		}
	}
	if c.fin != nil && len(c.in) == 0 {
		c.end(c.fin)
	}
}

func (c *conn) Pause(on bool) {
	if c.paused == on {
		return
	}
	c.paused = on
	if !on {
		c.l.w.times.Set(c.l.w.now, func() { c.l.call(c.handOver) })
	}
}

func (c *conn) Close() {
	if c.closing || c.ended {
		return
	}
	c.closing = true
	if c.open && len(c.waiting) == 0 {
		c.sendEnd(nil)
	}
}

// CloseIfIdle implements eventloop.Conn.
func (c *conn) CloseIfIdle() bool {
	if !c.closing && !c.ended && (c.fin != nil || len(c.in) > 0) {
		return false
	}
	c.Close()
	return true
}

// sendEnd tells the other side; a reset overtakes nothing, but what is still unsent is lost with it.
func (c *conn) sendEnd(err error) {
	if c.finSent {
		return
	}
	c.finSent = true
	w := c.l.w
	if far := c.peer; far != nil {
		if err == nil {
			err = errors.New("closed by the other side")
		}
		w.times.Set(max(c.arrives, w.way(c.l, far.l)), func() {
			far.fin = err
			if !far.paused {
				far.hear()
			} else if far.closing {
				far.l.call(func() { far.end(err) })
			}
		})
	}
	w.times.Set(w.now, func() { c.l.call(func() { c.end(errors.New("closed")) }) })
}

func (c *conn) Abort() {
	if c.ended {
		return
	}
	c.closing = true
	c.waiting = nil
	if c.open {
		c.sendEnd(errors.New("connection reset"))
	}
}

// reset is the end of a connection whose process was killed.
func (c *conn) reset() {
	c.ended = true
	delete(c.l.conns, c)
	if far := c.peer; far != nil && !c.finSent {
		w := c.l.w
		w.times.Set(max(c.arrives, w.way(c.l, far.l)), func() {
			far.fin = errors.New("connection reset")
			far.l.call(func() { far.end(far.fin) })
		})
	}
}

func (c *conn) end(cause error) {
	if c.ended {
		return
	}
	c.ended = true
	delete(c.l.conns, c)
	if c.h != nil {
		c.h.Closed(cause)
	}
}
