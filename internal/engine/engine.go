package engine

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/choice"
	"plumspindle/internal/chat"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

// Trunks are the terms on which connections to hosts are kept.
type Trunks struct {
	Connect eventloop.Micros // a connection not made by then counts as unreachable
	Idle    eventloop.Micros // an unused connection is closed after it; hosts must keep them for longer
	Silence eventloop.Micros // a stream that has begun and brings nothing for so long counts as broken
	Most    int              // connections to one host
	Opening int              // of these, those that may be opening at once; legs beyond them wait, Connect at most
	All     int              // connections to all hosts, where it is above 0; before more are opened the one idle for longest is closed
}

const (
	answerMost  = 1 << 20                     // bytes of a host's answer to a read, or of a refusal
	eventMost   = 256 << 10                   // bytes of one streamed event
	letGoWithin = 200 * eventloop.Millisecond // for the answer to one release
	letGoPause  = 60 * eventloop.Millisecond  // before it is tried again, doubled each time
	letGoFor    = 10 * eventloop.Second
	letGoAtOnce = 256 // legs in one release

	letGoPauseMost = 240 * eventloop.Millisecond
	letGoSpare     = 4 // connections to one host beyond the most, for letting go
	forgetAfter    = 60 * eventloop.Second
	roomTries      = 3 // connections that are closed so that one leg may have one
	roomPause      = eventloop.Millisecond

	// Before a connection that brought an answer is used again: a host may send a second one some milliseconds late, which on a
	// connection in use would be taken for the next leg's.
	restFor = 15 * eventloop.Millisecond
)

// Engine holds the connections to all hosts.
type Engine struct {
	loop   eventloop.Loop
	name   string // names this dispatcher on each leg
	zone   string
	trunks Trunks
	hosts  map[choice.HostID]*host
	lastNo uint64
	open   int
}

// New makes an engine without any host yet.
func New(loop eventloop.Loop, name, zone string, trunks Trunks) *Engine {
	return &Engine{loop: loop, name: name, zone: zone, trunks: trunks, hosts: map[choice.HostID]*host{}}
}

type host struct {
	addr    string
	gone    bool
	idle    []*trunk // the one used last comes last
	open    int
	opening int
	waiting []*waiter // legs that wait for a connection, first come first
	owed    []owed
	owing   bool // they are told again soon
	pause   eventloop.Micros
	heard   eventloop.Micros // when it last said anything
}

// waiter is a leg that waits for a connection. After a restart all that was held asks at once; a host whose backlog
// overflows would refuse many that it could serve a moment later.
type waiter struct {
	leg   *Leg
	timer eventloop.Timer
}

// Place tells where a host is reached. Connections to where it was before are not used again.
func (e *Engine) Place(id choice.HostID, addr string) {
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

// Forget closes what is idle to a host that is gone. It is dropped after a while: what it holds may still have to be let go of,
// as a list may be wrong about a host that runs.
func (e *Engine) Forget(id choice.HostID) {
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

func (e *Engine) drop(id choice.HostID, h *host) {
	e.loop.After(forgetAfter, func() {
		switch {
		case !h.gone || e.hosts[id] != h:
		case h.open > 0 || len(h.waiting) > 0 || len(h.owed) > 0:
			e.drop(id, h)
		default:
			delete(e.hosts, id)
		}
	})
}

// Known is how many hosts it has anything of.
func (e *Engine) Known() int { return len(e.hosts) }

// Hearer is told what becomes of a leg: Event for each usable event of a write, then Ended once.
type Hearer struct {
	Event func(data []byte)
	Ended func(Outcome)
}

// Call is a leg in whatever protocol over HTTP/1.1: what goes out, and how what comes back is read.
type Call struct {
	Request func(addr string, left eventloop.Micros) []byte // as it is when it leaves, with what is left of the time allowed
	Answer  func(head *http1.Head, body []byte) Outcome     // what an answer means that is not streamed
	Stream  Stream                                          // nil: none is expected
	Most    int                                             // bytes of an answer that is not streamed
	Spare   bool                                            // it lets go of something, and must not wait for legs
}

// Stream reads the events of one streamed answer.
type Stream interface {
	// Event judges one; an error ends the leg.
	Event(data []byte) (pass bool, err error)
	// Ended is what the stream came to when its body was complete.
	Ended() Outcome
	// Broke is what it came to where it ended in a way it should not have.
	Broke(how choice.Ending, why string) Outcome
}

// Leg is one send that is out.
type Leg struct {
	engine *Engine
	host   *host
	trunk  *trunk
	hear   Hearer
	answer func(head *http1.Head, body []byte) Outcome
	stream Stream
	most   int // bytes of an answer that is not streamed
	asks   func(addr string, left eventloop.Micros) []byte
	due    eventloop.Micros // when the time allowed is over
	leave  eventloop.Micros // when it has to have left
	allow  eventloop.Timer
	ended  bool
	left   bool // its last byte had, when it ended

	started bool
	slow    bool             // its client lags, and it is not read
	heard   eventloop.Micros // when its stream last brought something
	letsGo  bool             // it tells the host to let go, and must not wait for legs
	room    int              // connections that were closed for it

	// What the answer has told so far.
	head   *http1.Head
	body   []byte
	events sse.Parser
	memory float64
}

// LegName is how a leg is named to its host.
func (e *Engine) LegName(gen choice.GenID, leg choice.LegNo) string {
	return e.name + "-" + strconv.FormatUint(uint64(gen), 10) + "-" + strconv.Itoa(int(leg))
}

// Read sends a read; Write a write, with the state that a read told of, or without one where the host reads the
// prompt itself. Neither calls back before it has returned.
func (e *Engine) Read(id choice.HostID, name, clientID string, ask *chat.Ask, allow eventloop.Micros, hear Hearer) *Leg {
	members := `"stream":false,"max_tokens":1,"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false}`
	return e.leg(id, name, clientID, ask, members, nil, allow, hear)
}

func (e *Engine) Write(id choice.HostID, name, clientID string, ask *chat.Ask, state string, most int,
	allow eventloop.Micros, hear Hearer) *Leg {
	members := `"stream":true,"stream_options":{"include_usage":true},"max_tokens":` + strconv.Itoa(most)
	if state != "" {
		members += `,"kv_transfer_params":` + state
	}
	return e.leg(id, name, clientID, ask, members, &chunks{}, allow, hear)
}

// Whole sends what is complete with its read. Its answer is read by judge, which says Errored of one that is not what was
// asked for. It does not call back before it has returned.
func (e *Engine) Whole(id choice.HostID, name, clientID, path string, body []byte, most int, allow eventloop.Micros, judge func(body []byte) Outcome,
	hear Hearer) *Leg {
	return e.Call(id, Call{Most: most, Answer: func(head *http1.Head, answer []byte) Outcome {
		if head.Status != 200 {
			return refused(head.Status, answer)
		}
		o := judge(answer)
		o.Memory = 0 // as its head reports
		return o
	}, Request: func(addr string, _ eventloop.Micros) []byte {
		return http1.AppendRequest(nil, "POST", path, addr, body, "Content-Type", "application/json", "x-request-id", name,
			"x-client-request-id", clientID, "x-dispatcher", e.name, "x-zone", e.zone)
	}}, allow, hear)
}

// Call sends one. It does not call back before it has returned. A leg to a host without an address ends soon.
func (e *Engine) Call(id choice.HostID, c Call, allow eventloop.Micros, hear Hearer) *Leg {
	return e.call(e.hosts[id], c, allow, hear)
}

func (e *Engine) call(h *host, c Call, allow eventloop.Micros, hear Hearer) *Leg {
	l := &Leg{engine: e, host: h, hear: hear, memory: choice.NoReport, answer: c.Answer, stream: c.Stream, most: c.Most,
		letsGo: c.Spare, events: sse.Parser{Most: eventMost}, asks: c.Request, due: e.loop.Now() + allow, leave: e.loop.Now() + e.trunks.Connect}
	l.allow = e.loop.After(allow, l.late)
	if l.host == nil || l.host.addr == "" {
		e.loop.Later(func() { l.end(Outcome{How: choice.Unreachable, Why: "the host has no address"}, false) })
		return l
	}
	e.carry(l)
	return l
}

// late: what was never handed to the network whole can't have run.
func (l *Leg) late() {
	if l.Unsent() {
		l.end(Outcome{How: choice.Unreachable, Why: "not sent in the time allowed"}, true)
		return
	}
	l.end(Outcome{How: choice.TimedOut, Why: "not in the time allowed"}, true)
}

// Unsent tells that the leg's last byte has not left this process, so that no host can have begun it.
func (l *Leg) Unsent() bool {
	if l.ended {
		return !l.left
	}
	return l.trunk == nil || !l.trunk.sent || l.trunk.conn.Unsent() > 0
}

func (e *Engine) leg(id choice.HostID, name, clientID string, ask *chat.Ask, members string, stream Stream,
	allow eventloop.Micros, hear Hearer) *Leg {
	answer := func(head *http1.Head, body []byte) Outcome {
		switch {
		case head.Status != 200:
			return refused(head.Status, body)
		case stream != nil:
			return stream.Ended()
		}
		return readDone(body)
	}
	return e.Call(id, Call{Answer: answer, Stream: stream, Most: answerMost, Request: func(addr string, _ eventloop.Micros) []byte {
		if ask.Salt != "" {
			members += `,"cache_salt":` + strconv.Quote(ask.Salt)
		}
		body := make([]byte, 0, len(members)+len(ask.Rest)+3)
		body = append(append(body, '{'), members...)
		if len(ask.Rest) > 0 {
			body = append(append(body, ','), ask.Rest...)
		}
		body = append(body, '}')
		return http1.AppendRequest(nil, "POST", "/v1/chat/completions", addr, body, "Content-Type",
			"application/json", "x-request-id", name, "x-client-request-id", clientID, "x-dispatcher", e.name, "x-zone", e.zone)
	}}, allow, hear)
}

// carry puts a leg onto an idle connection, or a new one.
func (e *Engine) carry(l *Leg) {
	h, now := l.host, e.loop.Now()
	for n := len(h.idle); n > 0; n = len(h.idle) {
		t := h.idle[n-1]
		t.retire()
		if t.conn.Quiet() { // else what is written to it would be lost, or be answered by what was meant for another
			t.take(l)
			return
		}
		t.conn.Close()
	}
	most, dial := e.trunks.Most, e.loop.Dial
	if l.letsGo {
		most, dial = most+letGoSpare, e.loop.DialSpare
	}
	if e.trunks.All > 0 && e.open >= e.trunks.All {
		e.makeRoom()
	}
	if h.open >= most {
		e.loop.Later(func() { l.end(Outcome{How: choice.Unreachable, Why: "the host's connections are all in use"}, false) })
		return
	}
	if h.opening >= e.trunks.Opening && !l.letsGo {
		w := &waiter{leg: l}
		w.timer = e.loop.After(max(l.leave-now, 0), func() {
			h.waiting = slices.DeleteFunc(h.waiting, func(o *waiter) bool { return o == w })
			l.end(Outcome{How: choice.Unreachable, Why: "too many connections to the host are opening"}, false)
		})
		h.waiting = append(h.waiting, w)
		return
	}
	h.open++
	e.open++
	h.opening++
	t := &trunk{engine: e, host: h, addr: h.addr, parser: http1.Parser{Response: true, Bounds: http1.Usual}}
	t.leg = l
	l.trunk = t
	t.conn = dial(h.addr, max(l.leave-now, 1), t)
}

// makeRoom closes the connection to any host that has been idle for longest, so that its descriptor can be used.
func (e *Engine) makeRoom() bool {
	var oldest *trunk
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

// next serves legs that wait, as far as connections allow now.
func (e *Engine) next(h *host) {
	for len(h.waiting) > 0 && (len(h.idle) > 0 || h.opening < e.trunks.Opening && h.open < e.trunks.Most) {
		w := h.waiting[0]
		h.waiting = h.waiting[1:]
		w.timer.Stop()
		if !w.leg.ended { // not taken back meanwhile
			e.carry(w.leg)
		}
	}
}

// Cancel quits waiting for a leg: the connection is closed, which is how a host is told. Nothing more is heard
// of it.
func (l *Leg) Cancel() {
	if !l.ended {
		l.left = !l.Unsent()
		l.ended = true
		l.allow.Stop()
		l.drop()
	}
}

// Started frees the leg from its time-out, which counts only until the first token. From now on the stream has
// to go on: a silent peer is never heard to close.
func (l *Leg) Started() {
	l.started = true
	l.watch()
}

func (l *Leg) watch() {
	l.allow.Stop()
	l.heard = l.engine.loop.Now()
	l.allow = l.engine.loop.After(l.engine.trunks.Silence, l.silent)
}

func (l *Leg) silent() {
	quiet := l.engine.loop.Now() - l.heard
	switch {
	case l.slow:
		l.watch()
	case quiet < l.engine.trunks.Silence:
		l.allow = l.engine.loop.After(l.engine.trunks.Silence-quiet, l.silent)
	default:
		l.end(l.broke(choice.Dropped, "the stream fell silent"), true)
	}
}

// Slow stops or resumes the reading of a stream whose client lags.
func (l *Leg) Slow(on bool) {
	if l.trunk != nil && !l.ended && l.slow != on {
		l.slow = on
		l.heard = l.engine.loop.Now()
		l.trunk.conn.Pause(on)
	}
}

func (l *Leg) drop() {
	if t := l.trunk; t != nil {
		l.trunk = nil
		t.leg = nil
		t.conn.Abort()
	}
}

// end reports the outcome once; broken tells that the connection can carry nothing more.
func (l *Leg) end(o Outcome, broken bool) {
	if l.ended {
		return
	}
	l.left = l.left || !l.Unsent()
	l.ended = true
	l.allow.Stop()
	if broken {
		o.Cut = true
		l.drop()
	}
	if o.Memory == 0 {
		o.Memory = l.memory
	}
	l.hear.Ended(o)
}

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
	if err := t.parser.Feed(b, t); err != nil && t.leg != nil {
		t.leg.end(t.leg.broke(choice.Errored, err.Error()), true)
	}
}

// retire takes an idle connection out of use.
func (t *trunk) retire() {
	if at := slices.Index(t.host.idle, t); at >= 0 {
		t.host.idle = slices.Delete(t.host.idle, at, at+1)
		t.idleTimer.Stop()
	}
}

// broke is the outcome of an answer that ended in a way it should not have.
func (l *Leg) broke(how choice.Ending, why string) Outcome {
	if l.stream != nil {
		return l.stream.Broke(how, why)
	}
	return Outcome{How: how, Why: why}
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
		l.end(Outcome{How: choice.Unreachable, Why: cause.Error()}, false)
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
	l.end(l.broke(choice.Dropped, fmt.Sprintf("%s: %v; leg %d on it, after %d ms idle", why, cause, t.carried+1, t.idled/eventloop.Millisecond)), false)
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

// event takes one of the writer's.
func (l *Leg) event(data []byte) error {
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

// chunks are the events of the published chat API.
type chunks struct {
	done     bool // [DONE] was seen
	finished bool // an event gave the reason of the end
}

func (c *chunks) Event(data []byte) (pass bool, err error) {
	switch {
	case c.done:
		return false, errors.New("an event after the last")
	case string(data) == "[DONE]":
		c.done = true
		if !c.finished {
			return false, errors.New("a last event before any reason of the end")
		}
		return false, nil
	case !chat.Usable(data):
		return false, fmt.Errorf("an event that is no chunk: %.60q", data)
	}
	if gjson.GetBytes(data, "choices.0.finish_reason").Type == gjson.String {
		c.finished = true
	}
	return true, nil
}

func (c *chunks) Ended() Outcome {
	if c.done {
		return Outcome{How: choice.Streamed, Why: "streamed"}
	}
	return c.Broke(choice.Errored, "the stream ended without its last event")
}

// Broke: where the writer had already told how the answer ended, nothing of it is missing: it is complete.
func (c *chunks) Broke(how choice.Ending, why string) Outcome {
	if c.finished {
		return Outcome{How: choice.Streamed, Why: "the writer had finished, then " + why}
	}
	return Outcome{How: how, Why: why}
}

// streams tells whether the answer is a stream of events.
func (l *Leg) streams() bool {
	return l.head.Status == 200 && strings.HasPrefix(l.head.Get("Content-Type"), "text/event-stream")
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

// LetGo has a host drop whatever it holds for some legs. It may have a connection and a descriptor beyond those that legs may use,
// as a state must not be pinned by want of either. Where it may not have arrived it is tried again, with all else that the host is
// owed in one request, for as long as a host keeps by its own lease what nobody asks for.
func (e *Engine) LetGo(id choice.HostID, names []string) {
	h := e.hosts[id]
	if h == nil || len(names) == 0 {
		return
	}
	e.letGo(h, names, func(arrived bool) {
		if !arrived {
			for _, name := range names {
				h.owed = append(h.owed, owed{name, e.loop.Now() + letGoFor})
			}
			e.owe(h)
		}
	})
}

// owed is a leg that a host has not been told to let go of.
type owed struct {
	name  string
	until eventloop.Micros
}

// owe tells a host again after a pause, which grows while it can't be reached.
func (e *Engine) owe(h *host) {
	if h.owing || len(h.owed) == 0 {
		return
	}
	h.owing = true
	e.loop.After(max(h.pause, letGoPause), func() {
		now := e.loop.Now()
		h.owed = slices.DeleteFunc(h.owed, func(o owed) bool { return o.until < now })
		n := min(len(h.owed), letGoAtOnce)
		if n == 0 {
			h.owing, h.pause = false, 0
			return
		}
		var names []string
		for _, o := range h.owed[:n] {
			names = append(names, o.name)
		}
		e.letGo(h, names, func(arrived bool) {
			h.owing = false
			if h.pause = min(max(2*h.pause, letGoPause), letGoPauseMost); arrived {
				h.owed, h.pause = slices.Delete(h.owed, 0, n), 0
			}
			e.owe(h)
		})
	})
}

func (e *Engine) letGo(h *host, names []string, done func(arrived bool)) {
	answer := func(head *http1.Head, _ []byte) Outcome {
		if head.Status == 200 {
			return Outcome{How: choice.ReadDone}
		}
		return Outcome{How: choice.Errored}
	}
	e.call(h, Call{Spare: true, Most: answerMost, Answer: answer, Request: func(addr string, _ eventloop.Micros) []byte {
		return http1.AppendRequest(nil, "POST", "/v1/kv/release", addr, []byte(`{"request_ids":["`+strings.Join(names, `","`)+`"]}`),
			"Content-Type", "application/json", "x-dispatcher", e.name, "x-zone", e.zone)
	}}, letGoWithin, Hearer{Ended: func(o Outcome) { done(o.How == choice.ReadDone) }})
}

// Close drops all connections.
func (e *Engine) Close() {
	for _, h := range e.hosts {
		h.closeIdle()
	}
}

// Out is how many legs are out at a host.
func (e *Engine) Out(id choice.HostID) int {
	h := e.hosts[id]
	if h == nil {
		return 0
	}
	return h.open - len(h.idle)
}

// Opening is how many connections to a host are being opened.
func (e *Engine) Opening(id choice.HostID) int {
	if h := e.hosts[id]; h != nil {
		return h.opening
	}
	return 0
}

// Idle is how many connections to a host wait for a leg.
func (e *Engine) Idle(id choice.HostID) int {
	if h := e.hosts[id]; h != nil && !h.gone {
		return len(h.idle)
	}
	return 0
}

// Heard is when a host last said anything.
func (e *Engine) Heard(id choice.HostID) eventloop.Micros {
	if h := e.hosts[id]; h != nil {
		return h.heard
	}
	return 0
}

// Connections is how many there are to all hosts.
func (e *Engine) Connections() int { return e.open }

// ForgetOthers forgets all hosts but those that a whole list names.
func (e *Engine) ForgetOthers(listed map[choice.HostID]bool) {
	for id := range e.hosts {
		if !listed[id] {
			e.Forget(id)
		}
	}
}
