package cli

import (
	"fmt"
	"net/http"
	"strings"

	"plumspindle/internal/chat"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

const (
	benchModel        = "explain"
	benchDialTimeout  = 5 * eventloop.Second
	benchMaxEventSize = 1 << 20
	benchPromptRepeat = 120
)

// benchCall is one request through the dispatcher, with what is called as its answer arrives.
type benchCall struct {
	model      string
	id         string
	maxTokens  int
	headers    []string // names and values in turn
	firstToken func()
	token      func()
	ended      func(ok bool)
}

// benchClient is the connection of one call.
type benchClient struct {
	call    benchCall
	conn    eventloop.Conn
	request []byte
	parser  http1.Parser
	events  sse.Parser
	started bool
	done    bool
}

// chatBody returns the body of each request of the bench.
func chatBody(model string, maxTokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"system","content":%q},`+
		`{"role":"user","content":"why?"}]}`, model, maxTokens, strings.Repeat("the build log says ", benchPromptRepeat))
}

// ask sends a request from the clients' loop.
func (t *benchTarget) ask(call benchCall) *benchClient {
	client := &benchClient{call: call, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits},
		events: sse.Parser{MaxEventBytes: benchMaxEventSize}}
	headers := append(call.headers, "Authorization", "Bearer "+benchKey, "Content-Type", "application/json",
		"x-client-request-id", call.id, "Connection", "close")
	client.request = http1.AppendRequest(nil, http1.Request{
		Method: http.MethodPost, Target: chat.Path, Host: t.address, Body: chatBody(call.model, call.maxTokens),
	}, headers...)
	client.conn = t.clients.Dial(t.address, benchDialTimeout, client)
	return client
}

// Opened sends the request.
func (c *benchClient) Opened() { c.conn.Write(c.request) }

// Drained is not needed: the request is written at once.
func (c *benchClient) Drained() {}

// Head takes any status; an answer that is not a stream ends without its last event.
func (c *benchClient) Head(*http1.Head) error { return nil }

// End is not needed: the stream's last event ends the answer.
func (c *benchClient) End() error { return nil }

// Data parses what arrived; a parse error shows as an answer without its last event.
func (c *benchClient) Data(data []byte) { _ = c.parser.Feed(data, c) }

// Closed ends an answer that is not complete.
func (c *benchClient) Closed(error) { c.end(false) }

// Body parses the stream's events.
func (c *benchClient) Body(data []byte) error {
	return c.events.Feed(data, func(event []byte) error {
		if string(event) == "[DONE]" && !c.done {
			c.end(true)
			c.conn.Close()
			return nil
		}
		if !c.started {
			c.started = true
			c.call.firstToken()
		}
		c.call.token()
		return nil
	})
}

func (c *benchClient) end(ok bool) {
	if !c.done {
		c.done = true
		c.call.ended(ok)
	}
}
