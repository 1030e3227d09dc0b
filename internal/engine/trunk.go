package engine

import (
	"errors"
	"fmt"
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

// trunk is one connection to a host; it carries one leg at a time.
type trunk struct {
	engine    *Engine
	host      *host
	addr      string
	conn      eventloop.Conn
	parser    http1.Parser
	leg       *Leg
	sent      bool // the leg was handed to the network
	up        bool
	down      bool
	last      bool // the host closes after this answer
	idleTimer eventloop.Timer
	idleNo    uint64 // in the order in which connections fell idle
	carried   int    // legs before this one
	idleAt    eventloop.Micros
	idled     eventloop.Micros // for how long it was idle before this leg
}

func (t *trunk) take(l *Leg) {
	t.leg, l.trunk = l, t
	t.idled = t.engine.loop.Now() - t.idleAt
	t.write()
}

// write hands the leg to the network. What it says of its time is as it is now, not as it was before a connection was there.
func (t *trunk) write() {
	t.sent = true
	t.conn.Write(t.leg.asks(t.addr, max(t.leg.due-t.engine.loop.Now(), 0)))
}

func (t *trunk) Opened() {
	t.up = true
	t.host.opening--
	defer t.engine.next(t.host)
	if t.leg != nil {
		t.write()
		return
	}
	t.conn.Close()
}

func (t *trunk) Drained() {}

func (t *trunk) Data(b []byte) {
	t.host.heard = t.engine.loop.Now()
	if t.leg == nil {
		t.retire() // a host that speaks unasked can't be trusted with the next answer
		t.conn.Abort()
		return
	}
	if t.leg.Unsent() { // whatever it is, it is no answer to what has not left
		t.leg.end(Outcome{How: scheduler.Unreachable, Why: "the host spoke before the request had left"}, true)
		return
	}
	if err := t.parser.Feed(b, t); err != nil && t.leg != nil {
		t.leg.end(t.leg.broke(scheduler.Errored, err.Error()), true)
	}
}

// retire takes an idle connection out of use.
func (t *trunk) retire() {
	if at := slices.Index(t.host.idle, t); at >= 0 {
		t.host.idle = slices.Delete(t.host.idle, at, at+1)
		t.idleTimer.Stop()
	}
}

func (t *trunk) Closed(cause error) {
	t.down = true
	t.host.open--
	t.engine.open--
	if !t.up {
		t.host.opening--
	}
	t.retire()
	defer t.engine.next(t.host)
	l := t.leg
	if l == nil {
		return
	}
	if !t.sent || t.conn.Unsent() > 0 {
		t.leg, l.trunk = nil, nil
		if e := t.engine; errors.Is(cause, eventloop.ErrNoDescriptors) && l.room < roomTries && e.makeRoom() {
			l.room++
			e.loop.After(roomPause, func() { // the descriptor is free by then
				if !l.ended {
					e.carry(l)
				}
			})
			return
		}
		l.end(Outcome{How: scheduler.Unreachable, Why: cause.Error()}, false)
		return
	}
	l.left = true
	err := t.parser.Close(t) // an answer that goes on until the close may be complete with it
	if t.leg == nil {
		return
	}
	t.leg, l.trunk = nil, nil
	why := "the connection broke"
	if err != nil && t.parser.Idle() {
		why = "no answer came"
	}
	l.end(l.broke(scheduler.Dropped, fmt.Sprintf("%s: %v; leg %d on it, after %d ms idle", why, cause, t.carried+1, t.idled/eventloop.Millisecond)), false)
}

var errUnasked = errors.New("an answer that nobody asked for")

// Head, Body and End are the parser's events.
func (t *trunk) Head(h *http1.Head) error {
	l := t.leg
	if l == nil {
		return errUnasked
	}
	l.head, t.last = h, !h.KeepAlive()
	l.memory = memory(h)
	return nil
}

func (t *trunk) Body(b []byte) error {
	l := t.leg
	if l == nil {
		return errUnasked
	}
	if l.stream == nil || !l.streams() {
		if l.body = append(l.body, b...); len(l.body) > l.most {
			return errors.New("the answer is too long")
		}
		return nil
	}
	return l.events.Feed(b, l.event)
}

func (t *trunk) End() error {
	l := t.leg
	if l == nil {
		return errUnasked
	}
	var o Outcome
	if l.stream != nil && l.streams() {
		o = l.stream.Ended()
	} else {
		o = l.answer(l.head, l.body)
	}
	t.leg, l.trunk, l.left = nil, nil, true
	t.conn.Pause(false)
	switch {
	case t.parser.More() > 0: // what is behind an answer must not be taken for the next one
		t.conn.Abort()
	case t.last || t.down || t.addr != t.host.addr || t.host.gone:
		t.conn.Close()
	default:
		t.carried++
		t.idleAt = t.engine.loop.Now()
		t.engine.loop.After(restFor, t.wait)
	}
	t.engine.next(t.host)
	l.end(o, false)
	return nil
}

// wait makes a connection usable for another leg.
func (t *trunk) wait() {
	h, e := t.host, t.engine
	if t.down {
		return
	}
	if t.addr != h.addr || h.gone {
		t.conn.Close()
		return
	}
	h.idle = append(h.idle, t)
	e.lastNo++
	t.idleNo = e.lastNo
	t.idleTimer = e.loop.After(e.trunks.Idle, func() {
		t.retire()
		t.conn.Close()
	})
	e.next(h)
}
