package dispatch

import (
	"fmt"
	"testing"

	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

// clientCall is one client's request with everything that the client received. Its finals are the final answers:
// streamed (complete, whether streamed or not), throttled, terminated, malformed, or another status.
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

// countFinals counts the calls whose only final answer is the given one.
func countFinals(calls []*clientCall, final string) (n int) {
	for _, c := range calls {
		if len(c.finals) == 1 && c.finals[0] == final {
			n++
		}
	}
	return n
}

// newClientCall returns a call that is not connected yet.
func (r *harness) newClientCall(request []byte) *clientCall {
	return &clientCall{
		harness: r,
		request: request,
		parser:  http1.Parser{Response: true, Limits: http1.DefaultLimits},
		events:  sse.Parser{MaxEventBytes: 1 << 20},
	}
}

// dial connects a call, which then sends its request.
func (r *harness) dial(c *clientCall) *clientCall {
	r.remote.Do(func() { c.conn = r.remote.Dial(r.addr, eventloop.Second, c) })
	return c
}

// post sends a request with a body to a path.
func (r *harness) post(path string, body []byte, fields ...string) *clientCall {
	all := append([]string{"Authorization", "Bearer " + apiKey, "Content-Type", "application/json"}, fields...)
	return r.dial(r.newClientCall(http1.AppendRequest(nil, http1.Request{
		Method: "POST", Target: path, Host: r.addr, Body: body,
	}, all...)))
}

// send sends a chat completion.
func (r *harness) send(body string, fields ...string) *clientCall {
	return r.post("/v1/chat/completions", []byte(body), fields...)
}

// ask sends a streamed chat completion of a product.
func (r *harness) ask(product string, fields ...string) *clientCall {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"why?"}]}`, product)
	return r.send(body, fields...)
}

// connectSilently connects a client that sends nothing.
func (r *harness) connectSilently() *silentClient {
	client := &silentClient{}
	r.remote.Do(func() { client.conn = r.remote.Dial(r.addr, eventloop.Second, client) })
	return client
}

// dechunk returns the body of a chunked response.
func (c *clientCall) dechunk(t *testing.T) []byte {
	t.Helper()
	collector := &bodyCollector{}
	parser := http1.Parser{Response: true, Limits: http1.DefaultLimits}
	if err := parser.Feed(c.raw, collector); err != nil {
		t.Fatal(err)
	}
	return collector.body
}

// bodyCollector collects the body of one response.
type bodyCollector struct{ body []byte }

func (b *bodyCollector) Head(*http1.Head) error { return nil }
func (b *bodyCollector) Body(data []byte) error { b.body = append(b.body, data...); return nil }
func (b *bodyCollector) End() error             { return nil }

// silentClient keeps its connection open and sends nothing.
type silentClient struct {
	conn   eventloop.Conn
	closed bool
}

func (c *silentClient) Opened()      {}
func (c *silentClient) Data([]byte)  {}
func (c *silentClient) Drained()     {}
func (c *silentClient) Closed(error) { c.closed = true }
