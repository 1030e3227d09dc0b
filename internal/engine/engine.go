package engine

import (
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/scheduler"
)

// Limits are the terms on which connections to hosts are kept.
type Limits struct {
	ConnectTimeout    eventloop.Micros // a connection not made by then counts as unreachable
	IdleTimeout       eventloop.Micros // an unused connection is closed after it; hosts must keep them for longer
	StreamIdleTimeout eventloop.Micros // a stream that has begun and brings nothing for so long counts as broken
	MaxPerEndpoint    int              // connections to one host
	MaxOpening        int              // of these, those that may be opening at once; attempts beyond them wait, Connect at most
	MaxTotal          int              // connections to all hosts, where it is above 0; before more are opened the one idle for longest is closed
}

const (
	maxResponseBody = 1 << 20                     // bytes of a host's answer to a read, or of a refusal
	eventMost       = 256 << 10                   // bytes of one streamed event
	releaseTimeout  = 200 * eventloop.Millisecond // for the answer to one release
	releasePause    = 60 * eventloop.Millisecond  // before it is tried again, doubled each time
	releaseFor      = 10 * eventloop.Second
	maxReleaseBatch = 256 // attempts in one release

	maxReleasePause  = 240 * eventloop.Millisecond
	spareConnections = 4 // connections to one host beyond the most, for letting go
	forgetAfter      = 60 * eventloop.Second
	roomTries        = 3 // connections that are closed so that one attempt may have one
	roomPause        = eventloop.Millisecond

	// Before a connection that brought an answer is used again: a host may send a second one some milliseconds late, which on a
	// connection in use would be taken for the next attempt's.
	restFor = 15 * eventloop.Millisecond
)

// Engine holds the connections to all hosts.
type Engine struct {
	loop   eventloop.Loop
	name   string // names this dispatcher on each attempt
	zone   string
	limits Limits
	hosts  map[scheduler.EndpointID]*host
	lastNo uint64
	open   int
}

// New makes an engine without any host yet.
func New(loop eventloop.Loop, name, zone string, limits Limits) *Engine {
	return &Engine{loop: loop, name: name, zone: zone, limits: limits, hosts: map[scheduler.EndpointID]*host{}}
}

type host struct {
	addr    string
	gone    bool
	idle    []*connection // the one used last comes last
	open    int
	opening int
	waiting []*waitingAttempt // attempts that wait for a connection, first come first
	owed    []owed
	owing   bool // they are told again soon
	pause   eventloop.Micros
	heard   eventloop.Micros // when it last said anything
}

// waitingAttempt is an attempt that waits for a connection. After a restart all that was held asks at once; a host whose backlog
// overflows would refuse many that it could serve a moment later.
type waitingAttempt struct {
	attempt *Attempt
	timer   eventloop.Timer
}

// SetAddress tells where a host is reached. Connections to where it was before are not used again.
func (e *Engine) SetAddress(id scheduler.EndpointID, addr string) {
	h := e.hosts[id]
	if h == nil {
		e.hosts[id] = &host{addr: addr}
		return
	}
	h.gone = false
	if h.addr != addr {
		h.addr = addr
		h.closeIdle()
	}
}

func (h *host) closeIdle() {
	for _, t := range h.idle {
		t.conn.Close()
	}
	h.idle = nil
}

// RemoveEndpoint closes what is idle to a host that is gone. It is dropped after a while: what it holds may still have to be let go of,
// as a list may be wrong about a host that runs.
func (e *Engine) RemoveEndpoint(id scheduler.EndpointID) {
	h := e.hosts[id]
	if h == nil {
		return
	}
	h.closeIdle()
	if !h.gone {
		h.gone = true
		e.drop(id, h)
	}
}

func (e *Engine) drop(id scheduler.EndpointID, h *host) {
	e.loop.AfterFunc(forgetAfter, func() {
		switch {
		case !h.gone || e.hosts[id] != h:
		case h.open > 0 || len(h.waiting) > 0 || len(h.owed) > 0:
			e.drop(id, h)
		default:
			delete(e.hosts, id)
		}
	})
}

// EndpointCount is how many hosts it has anything of.
func (e *Engine) EndpointCount() int { return len(e.hosts) }

// Call sends one. It does not call back before it has returned. An attempt to a host without an address ends soon.
func (e *Engine) Call(id scheduler.EndpointID, c Call, allow eventloop.Micros, hear Callbacks) *Attempt {
	return e.call(e.hosts[id], c, allow, hear)
}

func (e *Engine) call(h *host, c Call, allow eventloop.Micros, hear Callbacks) *Attempt {
	within := e.limits.ConnectTimeout
	if c.SendWithin > 0 {
		within = min(within, c.SendWithin)
	}
	l := &Attempt{engine: e, host: h, hear: hear, memory: scheduler.NoLoadReport, answer: c.ReadResponse, stream: c.Stream, most: c.MaxResponseBody,
		isRelease: c.IsRelease, events: sse.Parser{MaxEventBytes: eventMost}, asks: c.BuildRequest, due: e.loop.Now() + allow, leave: e.loop.Now() + within}
	l.allow = e.loop.AfterFunc(min(allow, within), l.late)
	if l.host == nil || l.host.addr == "" {
		e.loop.Defer(func() { l.end(Result{Outcome: scheduler.Unreachable, Reason: "the host has no address"}, false) })
		return l
	}
	e.carry(l)
	return l
}

// carry puts an attempt onto an idle connection, or a new one.
func (e *Engine) carry(l *Attempt) {
	h, now := l.host, e.loop.Now()
	for n := len(h.idle); n > 0; n = len(h.idle) {
		t := h.idle[n-1]
		t.retire()
		if t.conn.Idle() { // else what is written to it would be lost, or be answered by what was meant for another
			t.take(l)
			return
		}
		t.conn.Close()
	}
	most, dial := e.limits.MaxPerEndpoint, e.loop.Dial
	if l.isRelease {
		most, dial = most+spareConnections, e.loop.DialReserved
	}
	if e.limits.MaxTotal > 0 && e.open >= e.limits.MaxTotal {
		e.makeRoom()
	}
	if h.open >= most {
		e.loop.Defer(func() {
			l.end(Result{Outcome: scheduler.Unreachable, Reason: "the host's connections are all in use"}, false)
		})
		return
	}
	if h.opening >= e.limits.MaxOpening && !l.isRelease {
		w := &waitingAttempt{attempt: l}
		w.timer = e.loop.AfterFunc(max(l.leave-now, 0), func() {
			h.waiting = slices.DeleteFunc(h.waiting, func(o *waitingAttempt) bool { return o == w })
			l.end(Result{Outcome: scheduler.Unreachable, Reason: "too many connections to the host are opening"}, false)
		})
		h.waiting = append(h.waiting, w)
		return
	}
	h.open++
	e.open++
	h.opening++
	t := &connection{engine: e, host: h, addr: h.addr, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}}
	t.attempt = l
	l.connection = t
	t.conn = dial(h.addr, max(l.leave-now, 1), t)
}

// makeRoom closes the connection to any host that has been idle for longest, so that its descriptor can be used.
func (e *Engine) makeRoom() bool {
	var oldest *connection
	for _, h := range e.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleNo < oldest.idleNo) {
			oldest = h.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.retire()
	oldest.conn.Close()
	return true
}

// next serves attempts that wait, as far as connections allow now.
func (e *Engine) next(h *host) {
	for len(h.waiting) > 0 && (len(h.idle) > 0 || h.opening < e.limits.MaxOpening && h.open < e.limits.MaxPerEndpoint) {
		w := h.waiting[0]
		h.waiting = h.waiting[1:]
		w.timer.Stop()
		if !w.attempt.ended { // not taken back meanwhile
			e.carry(w.attempt)
		}
	}
}

// Close drops all connections.
func (e *Engine) Close() {
	for _, h := range e.hosts {
		h.closeIdle()
	}
}

// InFlight is how many attempts are out at a host.
func (e *Engine) InFlight(id scheduler.EndpointID) int {
	h := e.hosts[id]
	if h == nil {
		return 0
	}
	return h.open - len(h.idle)
}

// OpeningConnections is how many connections to a host are being opened.
func (e *Engine) OpeningConnections(id scheduler.EndpointID) int {
	if h := e.hosts[id]; h != nil {
		return h.opening
	}
	return 0
}

// IdleConnections is how many connections to a host wait for an attempt.
func (e *Engine) IdleConnections(id scheduler.EndpointID) int {
	if h := e.hosts[id]; h != nil && !h.gone {
		return len(h.idle)
	}
	return 0
}

// LastReceived is when a host last said anything.
func (e *Engine) LastReceived(id scheduler.EndpointID) eventloop.Micros {
	if h := e.hosts[id]; h != nil {
		return h.heard
	}
	return 0
}

// Connections is how many there are to all hosts.
func (e *Engine) Connections() int { return e.open }

// RetainEndpoints forgets all hosts but those that a whole list names.
func (e *Engine) RetainEndpoints(listed map[scheduler.EndpointID]bool) {
	for id := range e.hosts {
		if !listed[id] {
			e.RemoveEndpoint(id)
		}
	}
}
