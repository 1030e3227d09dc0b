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
	benchModel             = "explain"
	benchDialTimeout       = 5 * eventloop.Second
	benchMaxEventBytes     = 1 << 20
	benchPromptRepetitions = 120
)

// benchCall is one request through the dispatcher, with callbacks for the progress of its answer.
type benchCall struct {
	model        string
	id           string
	maxTokens    int
	headers      []string // alternating names and values
	onFirstToken func()
	onToken      func()
	onEnd        func(ok bool)
}

// benchClient is the client of one call, which has its own connection.
type benchClient struct {
	call    benchCall
	conn    eventloop.Conn
	request []byte
	parser  http1.Parser
	events  sse.Parser
	started bool
	done    bool
}

// chatBody returns a chat request with the prompt that all requests of the bench share.
func chatBody(model string, maxTokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"system","content":%q},`+
		`{"role":"user","content":"why?"}]}`, model, maxTokens, strings.Repeat("the build log says ", benchPromptRepetitions))
}

// startCall sends a request through the dispatcher. It must run on the clients' event loop.
func (t *benchTarget) startCall(call benchCall) *benchClient {
	client := &benchClient{call: call, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits},
		events: sse.Parser{MaxEventBytes: benchMaxEventBytes}}
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

// Drained does nothing, because Opened writes the whole request at once.
func (c *benchClient) Drained() {}

// Head accepts any status. An error response has no final event, so its call counts as failed.
func (c *benchClient) Head(*http1.Head) error { return nil }

// End does nothing, because the final event of the stream ends the call.
func (c *benchClient) End() error { return nil }

// Data parses received bytes. It ignores parse errors, because the final event does not arrive after one, and the call
// then counts as failed.
func (c *benchClient) Data(data []byte) { _ = c.parser.Feed(data, c) }

// Closed ends the call as failed unless it has ended already.
func (c *benchClient) Closed(error) { c.end(false) }

// Body parses the events of the stream and calls the callbacks.
func (c *benchClient) Body(data []byte) error {
	return c.events.Feed(data, func(event []byte) error {
		if string(event) == "[DONE]" && !c.done {
			c.end(true)
			c.conn.Close()
			return nil
		}
		if !c.started {
			c.started = true
			c.call.onFirstToken()
		}
		c.call.onToken()
		return nil
	})
}

// end reports the end of the call, once.
func (c *benchClient) end(ok bool) {
	if !c.done {
		c.done = true
		c.call.onEnd(ok)
	}
}
