package dispatch

import (
	"fmt"
	"testing"

	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

// clientCall is one client's request and all that came back.
type clientCall struct {
	harness          *harness
	conn             eventloop.Conn
	request          []byte
	parser           http1.Parser
	events           sse.Parser
	head             *http1.Head
	raw              []byte
	text             string
	finals           []string
	eventsAfterFinal int
	closed           bool
}

func (c *clientCall) Opened()                  { c.conn.Write(c.request) }
func (c *clientCall) Drained()                 {}
func (c *clientCall) Closed(error)             { c.closed = true }
func (c *clientCall) Head(h *http1.Head) error { c.head = h; return nil }

func (c *clientCall) Data(b []byte) {
	c.raw = append(c.raw, b...)
	if err := c.parser.Feed(b, c); err != nil {
		c.finals = append(c.finals, "malformed")
	}
}

func (c *clientCall) Body(b []byte) error {
	if c.head.Status != 200 || c.head.Get("Content-Type") == "application/json" {
		return nil
	}
	return c.events.Feed(b, func(data []byte) error {
		if len(c.finals) > 0 {
			c.eventsAfterFinal++
		}
		switch {
		case string(data) == "[DONE]":
			c.finals = append(c.finals, "streamed")
		case gjson.GetBytes(data, "error").Exists():
			c.finals = append(c.finals, "terminated")
		default:
			c.text += gjson.GetBytes(data, "choices.0.delta.content").String()
		}
		return nil
	})
}

func (c *clientCall) End() error {
	switch {
	case c.head.Status == 429:
		c.finals = append(c.finals, "throttled")
	case c.head.Status >= 500:
		c.finals = append(c.finals, "terminated")
	case c.head.Status >= 400:
		c.finals = append(c.finals, fmt.Sprint(c.head.Status))
	case c.head.Get("Content-Type") == "application/json":
		c.finals = append(c.finals, "streamed")
	}
	return nil
}

func (r *harness) ask(product string, fields ...string) *clientCall {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"why?"}]}`, product)
	return r.send(body, fields...)
}

func (r *harness) send(body string, fields ...string) *clientCall {
	c := &clientCall{harness: r, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
	c.request = http1.AppendRequest(nil, "POST", "/v1/chat/completions", r.addr, []byte(body), append([]string{
		"Authorization", "Bearer " + key, "Content-Type", "application/json"}, fields...)...)
	r.remote.Do(func() { c.conn = r.remote.Dial(r.addr, eventloop.Second, c) })
	return c
}

// post sends a whole body to a URL.
func (r *harness) post(path string, body []byte, fields ...string) *clientCall {
	c := &clientCall{harness: r, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
	c.request = http1.AppendRequest(nil, "POST", path, r.addr, body, append([]string{
		"Authorization", "Bearer " + key, "Content-Type", "application/json"}, fields...)...)
	r.remote.Do(func() { c.conn = r.remote.Dial(r.addr, eventloop.Second, c) })
	return c
}

// dechunk is the body of a chunked answer.
func (c *clientCall) dechunk(t *testing.T) []byte {
	t.Helper()
	got := &bodyCollector{}
	p := http1.Parser{Response: true, Limits: http1.DefaultLimits}
	if err := p.Feed(c.raw, got); err != nil {
		t.Fatal(err)
	}
	return got.body
}

type bodyCollector struct{ body []byte }

func (g *bodyCollector) Head(*http1.Head) error { return nil }
func (g *bodyCollector) Body(b []byte) error    { g.body = append(g.body, b...); return nil }
func (g *bodyCollector) End() error             { return nil }

// silentClient is a client that holds a connection and says nothing.
type silentClient struct {
	conn   eventloop.Conn
	closed bool
}

func (m *silentClient) Opened()      {}
func (m *silentClient) Data([]byte)  {}
func (m *silentClient) Drained()     {}
func (m *silentClient) Closed(error) { m.closed = true }
