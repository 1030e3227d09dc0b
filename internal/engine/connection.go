package engine

import (
	"errors"
	"fmt"
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

// connection is one connection to a host; it carries one attempt at a time.
type connection struct {
	engine    *Engine
	host      *host
	addr      string
	conn      eventloop.Conn
	parser    http1.Parser
	attempt   *Attempt
	sent      bool // the attempt was handed to the network
	up        bool
	down      bool
	last      bool // the host closes after this answer
	ended     bool // an answer without any other end may be complete with the connection's
	idleTimer eventloop.Timer
	idleNo    uint64 // in the order in which connections fell idle
	carried   int    // attempts before this one
	idleAt    eventloop.Micros
	idled     eventloop.Micros // for how long it was idle before this attempt
}

func (t *connection) take(l *Attempt) {
	t.attempt, l.connection = l, t
	t.idled = t.engine.loop.Now() - t.idleAt
	t.write()
}

// write hands the attempt to the network. What it says of its time is as it is now, not as it was before a connection was there.
func (t *connection) write() {
	t.sent = true
	t.conn.Write(t.attempt.asks(t.addr, max(t.attempt.due-t.engine.loop.Now(), 0)))
}

func (t *connection) Opened() {
	t.up = true
	t.host.opening--
	defer t.engine.next(t.host)
	if t.attempt != nil {
		t.write()
		return
	}
	t.conn.Close()
}

func (t *connection) Drained() {}

func (t *connection) Data(b []byte) {
	t.host.heard = t.engine.loop.Now()
	if t.attempt == nil {
		t.retire() // a host that speaks unasked can't be trusted with the next answer
		t.conn.Abort()
		return
	}
	if t.attempt.Unsent() { // whatever it is, it is no answer to what has not left
		t.attempt.end(Result{Outcome: scheduler.Unreachable, Reason: "the host spoke before the request had left"}, true)
		return
	}
	if err := t.parser.Feed(b, t); err != nil && t.attempt != nil {
		t.attempt.end(t.attempt.broke(scheduler.Errored, err.Error()), true)
	}
}

// retire takes an idle connection out of use.
func (t *connection) retire() {
	if at := slices.Index(t.host.idle, t); at >= 0 {
		t.host.idle = slices.Delete(t.host.idle, at, at+1)
		t.idleTimer.Stop()
	}
}

func (t *connection) Closed(cause error) {
	t.down = true
	t.host.open--
	t.engine.open--
	if !t.up {
		t.host.opening--
	}
	t.retire()
	defer t.engine.next(t.host)
	l := t.attempt
	if l == nil {
		return
	}
	if !t.sent || t.conn.Unsent() > 0 {
		t.attempt, l.connection = nil, nil
		if e := t.engine; errors.Is(cause, eventloop.ErrNoDescriptors) && l.room < roomTries && e.makeRoom() {
			l.room++
			e.loop.AfterFunc(roomPause, func() { // the descriptor is free by then
				if !l.ended {
					e.carry(l)
				}
			})
			return
		}
		l.end(Result{Outcome: scheduler.Unreachable, Reason: cause.Error()}, false)
		return
	}
	l.left, t.ended = true, true
	err := t.parser.Close(t)
	if t.attempt == nil {
		return
	}
	t.attempt, l.connection = nil, nil
	why := "the connection broke"
	if err != nil && t.parser.Idle() {
		why = "no answer came"
	}
	l.end(l.broke(scheduler.ConnectionLost, fmt.Sprintf("%s: %v; leg %d on it, after %d ms idle", why, cause, t.carried+1, t.idled/eventloop.Millisecond)), false)
}

var errUnasked = errors.New("an answer that nobody asked for")

// Head, Body and End are the parser's events.
func (t *connection) Head(h *http1.Head) error {
	l := t.attempt
	if l == nil {
		return errUnasked
	}
	l.head, t.last = h, !h.KeepAlive()
	l.memory = memory(h)
	return nil
}

func (t *connection) Body(b []byte) error {
	l := t.attempt
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

func (t *connection) End() error {
	l := t.attempt
	if l == nil {
		return errUnasked
	}
	var o Result
	switch {
	case l.stream == nil || !l.streams():
		o = l.answer(l.head, l.body)
	case t.ended && !l.stream.Complete():
		o = l.stream.Broken(scheduler.ConnectionLost, "the connection ended before the stream's last event")
	default:
		o = l.stream.Ended()
	}
	t.attempt, l.connection, l.left = nil, nil, true
	t.conn.Pause(false)
	switch {
	case t.parser.Pipelined() > 0: // what is behind an answer must not be taken for the next one
		t.conn.Abort()
	case t.last || t.down || t.addr != t.host.addr || t.host.gone:
		t.conn.Close()
	default:
		t.carried++
		t.idleAt = t.engine.loop.Now()
		t.engine.loop.AfterFunc(restFor, t.wait)
	}
	t.engine.next(t.host)
	l.end(o, false)
	return nil
}

// wait makes a connection usable for another attempt.
func (t *connection) wait() {
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
	t.idleTimer = e.loop.AfterFunc(e.limits.IdleTimeout, func() {
		t.retire()
		t.conn.Close()
	})
	e.next(h)
}
