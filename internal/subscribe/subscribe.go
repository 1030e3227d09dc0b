// Package subscribe keeps a subscription to a source that pushes events over HTTP, and goes on asking when it breaks.
package subscribe

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"

	"plumspindle/internal/http1"
	"plumspindle/internal/seam"
	"plumspindle/internal/sse"
)

const (
	connectWithin = seam.Second
	silence       = 15 * seam.Second // the source sends a comment far more often
	againLeast    = 200 * seam.Millisecond
	againMost     = 5 * seam.Second
	listMost      = 8 << 20 // bytes of one list
	lineKept      = 4 << 10 // of the room that one took
)

// Gap is an event that does not follow on what is known; only a subscription from the beginning helps.
type Gap struct{ Have, Since uint64 }

func (g *Gap) Error() string {
	return fmt.Sprintf("a change since version %d, where version %d is known", g.Since, g.Have)
}

// Client keeps one subscription.
type Client struct {
	loop seam.Loop
	rand *rand.Rand
	addr string
	// Target is what to ask for, from what is known on; Take is handed each event; Forget has the next target ask for all.
	Target func() string
	Take   func(data []byte) error
	Forget func()
	Fields []string // of the request's head: name, value, ...
	What   string   // for logs
	Log    func(line string)
	// Lines: events are lines of their own, and an empty one only shows that the source is there; else they are streamed events.
	Lines bool
	// Silence is how long the source may say nothing, Again how long at most to wait before it is asked again.
	Silence, Again seam.Micros

	current *subscription
	again   seam.Micros
	waiting seam.Timer
	closed  bool
}

// NewClient makes a client that has not subscribed yet.
func NewClient(loop seam.Loop, seed int64, addr string) *Client {
	return &Client{loop: loop, rand: rand.New(rand.NewSource(seed)), addr: addr, again: againLeast,
		Silence: silence, Again: againMost}
}

// subscription is one connection to the source.
type subscription struct {
	c      *Client
	conn   seam.Conn
	parser http1.Parser
	line   []byte
	events sse.Parser
	ok     bool
	quiet  seam.Timer
}

// Subscribe asks for the list from the version known on, and goes on asking when the subscription breaks.
func (c *Client) Subscribe() {
	if c.current != nil || c.closed {
		return
	}
	s := &subscription{c: c, parser: http1.Parser{Response: true, Bounds: http1.Usual}, events: sse.Parser{Most: listMost}}
	c.current = s
	s.conn = c.loop.Dial(c.addr, connectWithin, s)
}

// Close ends it.
func (c *Client) Close() {
	c.closed = true
	if c.waiting != nil {
		c.waiting.Stop()
	}
	if c.current != nil {
		c.current.conn.Close()
	}
}

// Move has the source asked at another address from now on, for what followed on what is known.
func (c *Client) Move(addr string) {
	if c.closed || addr == c.addr {
		return
	}
	c.addr, c.again = addr, againLeast
	if c.waiting != nil {
		c.waiting.Stop()
	}
	if s := c.current; s != nil {
		c.current = nil
		s.conn.Abort()
	}
	c.Subscribe()
}

// left tells that another has taken its place.
func (s *subscription) left() bool { return s.c.current != s }

func (s *subscription) Opened() {
	c := s.c
	if s.left() {
		s.conn.Abort()
		return
	}
	fields := append([]string{"Accept", "text/event-stream"}, c.Fields...)
	s.conn.Write(http1.AppendRequest(nil, "GET", c.Target(), c.addr, nil, fields...))
	s.quiet = c.loop.After(c.Silence, s.conn.Abort)
}

func (s *subscription) Drained() {}

func (s *subscription) Data(b []byte) {
	c := s.c
	if s.left() {
		return
	}
	s.quiet.Stop()
	s.quiet = c.loop.After(c.Silence, s.conn.Abort)
	if err := s.parser.Feed(b, s); err != nil {
		var gap *Gap
		if errors.As(err, &gap) {
			c.Forget()
		}
		c.Log(fmt.Sprintf("%s: %v; subscribing anew", c.What, err))
		s.conn.Abort()
	}
}

func (s *subscription) Head(h *http1.Head) error {
	if h.Status != 200 {
		return fmt.Errorf("it answered with status %d", h.Status)
	}
	return nil
}

func (s *subscription) Body(b []byte) error {
	if s.c.Lines {
		return s.lines(b)
	}
	return s.events.Feed(b, s.take)
}

func (s *subscription) take(data []byte) error {
	if err := s.c.Take(data); err != nil {
		return err
	}
	s.ok, s.c.again = true, againLeast
	return nil
}

func (s *subscription) lines(b []byte) error {
	for {
		at := bytes.IndexByte(b, '\n')
		if at < 0 {
			if s.line = append(s.line, b...); len(s.line) > listMost {
				return sse.ErrTooLong
			}
			return nil
		}
		s.line = append(s.line, b[:at]...)
		b = b[at+1:]
		if line := bytes.TrimSpace(s.line); len(line) > 0 {
			if err := s.take(line); err != nil {
				return err
			}
		}
		if s.line = s.line[:0]; cap(s.line) > lineKept {
			s.line = nil
		}
	}
}

func (s *subscription) End() error { return errors.New("it ended the subscription") }

func (s *subscription) Closed(cause error) {
	c := s.c
	if s.quiet != nil {
		s.quiet.Stop()
	}
	if s.left() {
		return
	}
	c.current = nil
	if c.closed {
		return
	}
	if !s.ok {
		c.again = min(2*c.again, c.Again)
	}
	// A wait drawn by chance: dispatchers cut off together must not come back together.
	wait := c.again/2 + seam.Micros(c.rand.Int63n(int64(c.again)))
	c.Log(fmt.Sprintf("%s is away (%v); what is known is used, next try in %d ms", c.What, cause, wait/seam.Millisecond))
	c.waiting = c.loop.After(wait, c.Subscribe)
}

// Post sends one message on a connection of its own and tells the status of the answer, 0 for none in time.
func Post(loop seam.Loop, addr, target string, body []byte, within seam.Micros, done func(status int), fields ...string) {
	p := &post{done: done, parser: http1.Parser{Response: true, Bounds: http1.Usual}}
	p.request = http1.AppendRequest(nil, "POST", target, addr, body, append(fields, "Content-Type", "application/json", "Connection", "close")...)
	p.timer = loop.After(within, func() {
		p.end(0)
		p.conn.Abort()
	})
	p.conn = loop.Dial(addr, connectWithin, p)
}

type post struct {
	conn    seam.Conn
	request []byte
	parser  http1.Parser
	timer   seam.Timer
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
