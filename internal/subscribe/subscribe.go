// Package subscribe keeps a subscription to a source that pushes events over HTTP, and goes on asking when it breaks.
package subscribe

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

const (
	connectWithin = eventloop.Second
	silence       = 15 * eventloop.Second // the source sends a comment far more often
	againLeast    = 200 * eventloop.Millisecond
	againMost     = 5 * eventloop.Second
	listMost      = 8 << 20 // bytes of one list
	lineKept      = 4 << 10 // of the room that one took
	olderMost     = 2       // silent subscriptions that stay open
)

// GapError is an event that does not follow on what is known; only a subscription from the beginning helps.
type GapError struct{ Have, Since uint64 }

func (g *GapError) Error() string {
	return fmt.Sprintf("a change since version %d, where version %d is known", g.Since, g.Have)
}

// Client keeps one subscription.
type Client struct {
	loop eventloop.Loop
	rand *rand.Rand
	addr string
	// Target is what to ask for, from what is known on; Take is handed each event; Forget has the next target ask for all.
	Target    func() string
	OnMessage func(data []byte) error
	OnReset   func()
	Fields    []string // of the request's head: name, value, ...
	Name      string   // for logs
	Log       func(line string)
	// LineDelimited: events are JSON objects, and empty lines only show that the source is there; else they are streamed events.
	LineDelimited bool
	// Silence is how long the source may say nothing; MinRetryDelay and RetryDelay bound the wait before it is asked again.
	Silence, MinRetryDelay, RetryDelay eventloop.Micros
	// ResponseTimeout, where it is above 0, is how long the source has to begin its answer, its connection included.
	ResponseTimeout eventloop.Micros
	// Standby has a silent subscription stay open until another speaks: a source that was away may go on with it, and what
	// it tells in the moment of its return would else fall between two tries.
	Standby bool

	current *subscription
	older   []*subscription // silent ones that stay open
	again   eventloop.Micros
	waiting eventloop.Timeout
	closed  bool
}

// NewClient makes a client that has not subscribed yet.
func NewClient(loop eventloop.Loop, seed int64, addr string) *Client {
	return &Client{loop: loop, rand: rand.New(rand.NewSource(seed)), addr: addr, Silence: silence, MinRetryDelay: againLeast, RetryDelay: againMost}
}

// subscription is one connection to the source.
type subscription struct {
	c       *Client
	conn    eventloop.Conn
	parser  http1.Parser
	events  sse.Parser
	object  object
	headed  bool // its answer has begun
	ok      bool
	leaving bool // its address is not asked any more: it stays until the new one speaks
	dropped bool // nothing of it counts any more
	quiet   eventloop.Timeout
}

// Subscribe asks for the list from the version known on, and goes on asking when the subscription breaks.
func (c *Client) Subscribe() {
	if c.current != nil || c.closed {
		return
	}
	s := &subscription{c: c, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: listMost}}
	c.current = s
	s.conn = c.loop.DialReserved(c.addr, connectWithin, s) // news are owed also while clients hold all descriptors
	if c.ResponseTimeout > 0 {
		s.quiet.Set(c.loop, c.ResponseTimeout, s.silent)
	}
}

// Close ends it.
func (c *Client) Close() {
	c.closed = true
	c.waiting.Clear()
	c.dropOlder(nil)
	if c.current != nil {
		c.current.conn.Close()
	}
}

// SetAddress has the source asked at another address from now on, for what followed on what is known. The one before may still tell
// something until the new one does.
func (c *Client) SetAddress(addr string) {
	if c.closed || addr == c.addr {
		return
	}
	c.addr, c.again = addr, c.MinRetryDelay
	c.waiting.Clear()
	if s := c.current; s != nil {
		c.current = nil
		c.keep(s)
	}
	for _, s := range c.older {
		s.leaving = true
	}
	c.Subscribe()
}

// keep leaves a subscription open beside the one that is opened next, or drops it.
func (c *Client) keep(s *subscription) {
	if !c.Standby {
		s.drop()
		return
	}
	if c.older = append(c.older, s); len(c.older) > olderMost {
		c.older[1].drop() // the first was served once, the last is the newest
		c.older = slices.Delete(c.older, 1, 2)
	}
}

func (c *Client) dropOlder(but *subscription) {
	for _, s := range c.older {
		if s != but {
			s.drop()
		}
	}
	c.older = nil
}

func (s *subscription) drop() {
	s.dropped = true
	s.quiet.Clear()
	s.conn.Abort()
}

// retry asks again after a wait drawn by chance: dispatchers cut off together must not come back together.
func (c *Client) retry(why string, ok bool) {
	if c.again = max(c.again, c.MinRetryDelay); !ok {
		c.again = min(2*c.again, c.RetryDelay)
	}
	wait := c.again/2 + eventloop.Micros(c.rand.Int63n(int64(c.again)))
	c.Log(fmt.Sprintf("%s is away (%s); what is known is used, next try in %d ms", c.Name, why, wait/eventloop.Millisecond))
	c.waiting.Set(c.loop, wait, c.Subscribe)
}

// silent ends the wait for a source that says nothing, or does not come to the end of what it says, for too long. One that stopped in the
// middle of an object is not kept beside the next: the rest of it would be taken for a word of the source.
func (s *subscription) silent() {
	c := s.c
	if !c.Standby || s.object.since > 0 {
		s.conn.Abort()
		return
	}
	if s == c.current {
		c.current = nil
		c.keep(s)
		c.retry("it says nothing", s.ok)
	}
}

// speaks: the first that says something is the one that counts.
func (s *subscription) speaks() {
	c := s.c
	if s.leaving {
		return
	}
	if c.current != s {
		if c.current != nil {
			c.current.drop()
		}
		c.current = s
	}
	c.waiting.Clear()
	c.dropOlder(s)
}

func (s *subscription) Opened() {
	c := s.c
	if s.dropped {
		s.conn.Abort()
		return
	}
	fields := append([]string{"Accept", "text/event-stream"}, c.Fields...)
	s.conn.Write(http1.AppendRequest(nil, http1.Request{Method: "GET", Target: c.Target(), Host: c.addr}, fields...))
	if c.ResponseTimeout == 0 {
		s.quiet.Set(c.loop, c.Silence, s.silent)
	}
}

func (s *subscription) Drained() {}

func (s *subscription) Data(b []byte) {
	c := s.c
	if s.dropped {
		return
	}
	if s.headed {
		s.speaks()
	}
	s.quiet.Set(c.loop, c.Silence, s.silent)
	if err := s.parser.Feed(b, s); err != nil {
		var gap *GapError
		if errors.As(err, &gap) {
			c.OnReset()
		}
		c.Log(fmt.Sprintf("%s: %v; subscribing anew", c.Name, err))
		s.conn.Abort()
		return
	}
	if began := s.object.since; began > 0 { // bytes that trickle in buy no further time
		s.quiet.Set(c.loop, max(began+c.Silence-c.loop.Now(), 0), s.silent)
	}
}

func (s *subscription) Head(h *http1.Head) error {
	if h.Status != 200 {
		return fmt.Errorf("it answered with status %d", h.Status)
	}
	s.headed = true
	s.speaks()
	return nil
}

// Connected tells whether the source speaks.
func (c *Client) Connected() bool { return c.current != nil && c.current.headed }

func (s *subscription) Body(b []byte) error {
	if s.c.LineDelimited {
		return s.object.feed(s.c.loop.Now(), b, s.take)
	}
	return s.events.Feed(b, s.take)
}

func (s *subscription) take(data []byte) error {
	if err := s.c.OnMessage(data); err != nil {
		return err
	}
	s.ok, s.c.again = true, s.c.MinRetryDelay
	return nil
}

// object cuts a stream of JSON objects, one a line or over several lines, as where they come indented.
type object struct {
	text    []byte
	depth   int
	quoted  bool
	escaped bool
	since   eventloop.Micros // when it began; 0: none has
}

var errNoObject = errors.New("something that is no object")

func (o *object) feed(now eventloop.Micros, b []byte, take func([]byte) error) error {
	for from, i := 0, 0; i < len(b); i++ {
		ch := b[i]
		switch {
		case o.depth == 0 && (ch == ' ' || ch == '\t' || ch == '\r' || ch == '\n'):
			from = i + 1
			continue
		case o.depth == 0 && ch != '{':
			return errNoObject
		case o.quoted:
			o.quoted = o.escaped || ch != '"'
			o.escaped = !o.escaped && ch == '\\'
		case ch == '"':
			o.quoted = true
		case ch == '{' || ch == '[':
			if o.depth++; o.depth == 1 {
				from, o.since = i, now
			}
		case ch == '}' || ch == ']':
			o.depth--
		}
		switch {
		case o.depth == 0:
			text := append(o.text, b[from:i+1]...)
			if o.text, o.since = text[:0], 0; cap(o.text) > lineKept {
				o.text = nil
			}
			from = i + 1
			if err := take(text); err != nil {
				return err
			}
		case i == len(b)-1:
			if o.text = append(o.text, b[from:]...); len(o.text) > listMost {
				return sse.ErrEventTooLong
			}
		}
	}
	return nil
}

func (s *subscription) End() error { return errors.New("it ended the subscription") }

func (s *subscription) Closed(cause error) {
	c := s.c
	s.quiet.Clear()
	if s.dropped {
		return
	}
	s.dropped = true
	if c.current != s {
		c.older = slices.DeleteFunc(c.older, func(o *subscription) bool { return o == s })
		return
	}
	if c.current = nil; !c.closed {
		c.retry(cause.Error(), s.ok)
	}
}

// Post sends one message on a connection of its own and tells the status of the answer, 0 for none in time.
func Post(loop eventloop.Loop, addr, target string, body []byte, within eventloop.Micros, done func(status int), fields ...string) {
	p := &post{done: done, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}}
	p.request = http1.AppendRequest(nil, http1.Request{Method: "POST", Target: target, Host: addr, Body: body},
		append(fields, "Content-Type", "application/json", "Connection", "close")...)
	p.timer = loop.AfterFunc(within, func() {
		p.end(0)
		p.conn.Abort()
	})
	p.conn = loop.Dial(addr, connectWithin, p)
}

type post struct {
	conn    eventloop.Conn
	request []byte
	parser  http1.Parser
	timer   eventloop.Timer
	status  int
	done    func(int)
}

func (p *post) Opened()  { p.conn.Write(p.request) }
func (p *post) Drained() {}
func (p *post) Data(b []byte) {
	if p.parser.Feed(b, p) != nil {
		p.conn.Abort()
	}
}
func (p *post) Closed(error)             { p.end(0) }
func (p *post) Head(h *http1.Head) error { p.status = h.Status; return nil }
func (p *post) Body([]byte) error        { return nil }
func (p *post) End() error {
	p.end(p.status)
	p.conn.Close()
	return nil
}

func (p *post) end(status int) {
	if p.done == nil {
		return
	}
	done := p.done
	p.done = nil
	p.timer.Stop()
	done(status)
}
