package platform

import (
	"fmt"
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
)

// testClient is one client connection. It sends its input and records the responses.
type testClient struct {
	env         *testEnv
	conn        eventloop.Conn
	input       string
	parser      http1.Parser
	head        *http1.Head
	eventParser sse.Parser
	events      []string // the data of each event of the streams
	statuses    []int    // the status of each complete response
	answeredAt  eventloop.Micros
	opened      bool
	closed      bool
}

// connect opens a client connection and sends the input.
func (env *testEnv) connect(input string) *testClient {
	client := &testClient{
		env:         env,
		input:       input,
		parser:      http1.Parser{Response: true, Limits: http1.DefaultLimits},
		eventParser: sse.Parser{MaxEventBytes: 1 << 20},
	}
	env.remote.Do(func() { client.conn = env.remote.Dial(env.address, eventloop.Second, client) })
	return client
}

// sendRequest opens a client connection and sends a request of a class; requestText explains the parameter change.
func (env *testEnv) sendRequest(class string, change ...string) *testClient {
	return env.connect(env.requestText(class, change...))
}

// completeStream holds the events that serveDecode answers with.
var completeStream = []string{tokenEvent, stopEvent, usageEvent, "[DONE]"}

const defaultBody = `{"model":"chat","stream":true,"messages":[]}`

// requestText returns a valid request with some changes, given as alternating names and values. Each value replaces the
// value of the header field with this name, or the body if the name is "body". The value "-" omits the field.
func (env *testEnv) requestText(class string, change ...string) string {
	env.sent++
	fields := []string{
		"Host", "origin.svc",
		"Req-Id", fmt.Sprintf("9b1f03aa5c7e%04x", env.sent),
		"Req-Kind", class,
		"Req-Key", "7f3a9c21e0b4d655",
		"Req-Deadline", "4000m",
		"Req-Extra", "prefix=5c0f6e1a2b3d4c59,prompt_len=512,prefix_len=256,max_out=80",
	}
	body := defaultBody
	for i := 0; i < len(change); i += 2 {
		if change[i] == "body" {
			body = change[i+1]
			continue
		}
		if name := slices.Index(fields, change[i]); name >= 0 {
			fields[name+1] = change[i+1]
		}
	}
	text := "POST /v1/chat/completions?a=b HTTP/1.1\r\n"
	for i := 0; i < len(fields); i += 2 {
		if fields[i+1] != "-" {
			text += fields[i] + ": " + fields[i+1] + "\r\n"
		}
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// finalStatus waits for the end of the response and returns its status, or 0 if the connection was closed without a
// complete response.
func (env *testEnv) finalStatus(client *testClient) int {
	env.t.Helper()
	env.waitFor(20*eventloop.Second, "a final answer", client.done)
	env.network.Run(50 * eventloop.Millisecond)
	if len(client.statuses) > 1 {
		env.t.Fatalf("%d answers", len(client.statuses))
	}
	if len(client.statuses) == 0 {
		return 0
	}
	return client.statuses[0]
}

// done reports whether the client has a complete response or its connection is closed.
func (client *testClient) done() bool { return client.closed || len(client.statuses) > 0 }

func (client *testClient) Opened() {
	client.opened = true
	client.conn.Write([]byte(client.input))
}

func (client *testClient) Drained() {}

func (client *testClient) Data(data []byte) { _ = client.parser.Feed(data, client) }

func (client *testClient) Closed(error) { client.closed = true }

func (client *testClient) Head(h *http1.Head) error {
	client.head = h
	return nil
}

func (client *testClient) Body(body []byte) error {
	if client.head.Status != 200 {
		return nil
	}
	return client.eventParser.Feed(body, func(data []byte) error {
		client.events = append(client.events, string(data))
		return nil
	})
}

func (client *testClient) End() error {
	client.statuses = append(client.statuses, client.head.Status)
	client.answeredAt = client.env.network.Now()
	return nil
}
