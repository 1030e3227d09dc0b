package engine

import (
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/scheduler"
)

// Callbacks is told what becomes of an attempt: Event for each usable event of a write, then Ended once.
type Callbacks struct {
	Event func(data []byte)
	Ended func(Result)
}

// Call is an attempt in whatever protocol over HTTP/1.1: what goes out, and how what comes back is read.
type Call struct {
	BuildRequest    func(addr string, left eventloop.Micros) []byte // as it is when it leaves, with what is left of the time allowed
	ReadResponse    func(head *http1.Head, body []byte) Result      // what an answer means that is not streamed
	Stream          Stream                                          // nil: none is expected
	MaxResponseBody int                                             // bytes of an answer that is not streamed
	IsRelease       bool                                            // it lets go of something, and must not wait for attempts
	// SendWithin, where it is above 0, is how long the call may take to leave, where that is less than the time for a connection.
	SendWithin eventloop.Micros
}

// Stream reads the events of one streamed answer.
type Stream interface {
	// Event judges one; an error ends the attempt.
	Event(data []byte) (pass bool, err error)
	// Ended is what the stream came to when its body was complete.
	Ended() Result
	// Complete tells whether its last event has come; a body that goes on until its connection ends shows no other end.
	Complete() bool
	// Broken is what it came to where it ended in a way it should not have.
	Broken(how scheduler.Outcome, why string) Result
}

// Attempt is one send that is out.
type Attempt struct {
	engine     *Engine
	host       *host
	connection *connection
	hear       Callbacks
	answer     func(head *http1.Head, body []byte) Result
	stream     Stream
	most       int // bytes of an answer that is not streamed
	asks       func(addr string, left eventloop.Micros) []byte
	due        eventloop.Micros // when the time allowed is over
	leave      eventloop.Micros // when it has to have left
	allow      eventloop.Timer
	ended      bool
	left       bool // its last byte had, when it ended
	pending    bool // and was not known to have reached its host then

	started   bool
	slow      bool             // its client lags, and it is not read
	heard     eventloop.Micros // when its stream last brought something
	isRelease bool             // it tells the host to let go, and must not wait for attempts
	room      int              // connections that were closed for it

	// What the answer has told so far.
	head   *http1.Head
	body   []byte
	events sse.Parser
	memory float64
}

// late ends an attempt whose time is over. What was never handed to the network whole can't have run; and it is taken back once it should
// have left, for want of a connection or because its host does not read it: whether it might still be sent, as a repeat in its window,
// was looked at when it was ordered.
func (l *Attempt) late() {
	now := l.engine.loop.Now()
	switch {
	case l.Unsent():
		l.end(Result{Outcome: scheduler.Unreachable, Reason: "not sent in the time allowed"}, true)
	case now < l.due:
		l.allow = l.engine.loop.AfterFunc(l.due-now, l.late)
	default:
		l.end(Result{Outcome: scheduler.TimedOut, Reason: "not in the time allowed"}, true)
	}
}

// Unsent tells that the attempt's last byte has not left this process, so that no host can have begun it.
func (l *Attempt) Unsent() bool {
	if l.ended {
		return !l.left
	}
	return l.connection == nil || !l.connection.sent || l.connection.conn.Unsent() > 0
}

// Undelivered tells that the attempt's last byte is not known to have reached its host.
func (l *Attempt) Undelivered() bool {
	if l.ended {
		return l.pending
	}
	return l.connection == nil || l.Unsent() || l.connection.conn.Undelivered()
}

// Cancel quits waiting for an attempt: the connection is closed, which is how a host is told. Nothing more is heard
// of it.
func (l *Attempt) Cancel() {
	if !l.ended {
		l.left, l.pending = !l.Unsent(), l.Undelivered()
		l.ended = true
		l.allow.Stop()
		l.drop()
	}
}

// Started frees the attempt from its time-out, which counts only until the first token. From now on the stream has
// to go on: a silent peer is never heard to close.
func (l *Attempt) Started() {
	l.started = true
	l.watch()
}

func (l *Attempt) watch() {
	l.allow.Stop()
	l.heard = l.engine.loop.Now()
	l.allow = l.engine.loop.AfterFunc(l.engine.limits.StreamIdleTimeout, l.silent)
}

func (l *Attempt) silent() {
	quiet := l.engine.loop.Now() - l.heard
	switch {
	case l.slow:
		l.watch()
	case quiet < l.engine.limits.StreamIdleTimeout:
		l.allow = l.engine.loop.AfterFunc(l.engine.limits.StreamIdleTimeout-quiet, l.silent)
	default:
		l.end(l.broke(scheduler.ConnectionLost, "the stream fell silent"), true)
	}
}

// PauseReading stops or resumes the reading of a stream whose client lags.
func (l *Attempt) PauseReading(on bool) {
	if l.connection != nil && !l.ended && l.slow != on {
		l.slow = on
		l.heard = l.engine.loop.Now()
		l.connection.conn.Pause(on)
	}
}

func (l *Attempt) drop() {
	if t := l.connection; t != nil {
		l.connection = nil
		t.attempt = nil
		t.conn.Abort()
	}
}

// end reports the outcome once; broken tells that the connection can carry nothing more.
func (l *Attempt) end(o Result, broken bool) {
	if l.ended {
		return
	}
	l.pending = l.connection != nil && l.Undelivered()
	l.left = l.left || !l.Unsent()
	l.ended = true
	o.Undelivered = l.pending
	l.allow.Stop()
	if broken {
		o.ClosedLocally = true
		l.drop()
	}
	if o.MemoryUsage == 0 {
		o.MemoryUsage = l.memory
	}
	l.hear.Ended(o)
}

// broke is the outcome of an answer that ended in a way it should not have.
func (l *Attempt) broke(how scheduler.Outcome, why string) Result {
	if l.stream != nil {
		return l.stream.Broken(how, why)
	}
	return Result{Outcome: how, Reason: why}
}

// event takes one of the writer's.
func (l *Attempt) event(data []byte) error {
	if l.ended {
		return nil
	}
	l.heard = l.engine.loop.Now()
	pass, err := l.stream.Event(data)
	if err == nil && pass {
		l.hear.Event(data)
	}
	return err
}

// streams tells whether the answer is a stream of events.
func (l *Attempt) streams() bool {
	return l.head.Status == 200 && strings.HasPrefix(l.head.Get("Content-Type"), "text/event-stream")
}
