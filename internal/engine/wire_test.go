package engine

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"plumspindle/internal/chat"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/testbed/golden"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

// responder is the endpoint's side of a connection. It records what it receives and answers whatever arrives with the
// same bytes.
type responder struct {
	conn     eventloop.Conn
	received *bytes.Buffer
	response string
	close    bool
}

func (*responder) Opened()      {}
func (*responder) Drained()     {}
func (*responder) Closed(error) {}
func (r *responder) Data(b []byte) {
	r.received.Write(b)
	r.conn.Write([]byte(r.response))
	if r.close {
		r.conn.Close()
	}
}

// runAttempt runs one attempt against an endpoint and returns a description of the bytes sent, the events and the
// result.
func runAttempt(t *testing.T, response string, closes bool, start startFunc) string {
	t.Helper()
	network := virtual.NewNetwork(1)
	endpointLoop, dispatcherLoop := network.NewLoop("endpoint"), network.NewLoop("dispatcher")
	var received bytes.Buffer
	listener, err := endpointLoop.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
		return &responder{conn: c, received: &received, response: response, close: closes}
	})
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	e := New(dispatcherLoop, "dispatcher-1", "zone-1", testLimits(4))
	dispatcherLoop.Do(func() {
		e.SetAddress(1, listener.Addr())
		start(e, Callbacks{
			Event: func(data []byte) { fmt.Fprintf(&out, "event %s\n", data) },
			Ended: func(r Result) {
				fmt.Fprintf(&out, "outcome %d, cached %d, missing %t, memory %v, state %q, ",
					r.Outcome, r.CachedTokens, r.StateMissing, r.MemoryUsage, r.KVParams)
				fmt.Fprintf(&out, "locally %t, invalid %t\n", r.ClosedLocally, r.InvalidRequest)
			},
		})
	})
	network.Run(5 * eventloop.Second)
	return "sent " + received.String() + "\n" + out.String()
}

func response(status int, body string, fields ...string) string {
	return string(http1.AppendResponse(nil, status, []byte(body), fields...))
}

func stream(events ...string) string {
	b := http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream")
	for _, event := range events {
		b = http1.AppendChunk(b, []byte("data: "+event+"\n\n"))
	}
	return string(b)
}

var target = Target{Endpoint: 1, RequestID: "dispatcher-1-7-0", ClientID: "client-7", Timeout: 2 * eventloop.Second}

// startFunc starts one kind of attempt.
type startFunc func(e *Engine, callbacks Callbacks)

var request = &chat.Request{CacheSalt: `s"`, Passthrough: []byte(`"model":"m","messages":[]`)}

func prefill(e *Engine, callbacks Callbacks) { e.Prefill(target, request, callbacks) }

func decode(e *Engine, callbacks Callbacks) {
	e.Decode(target, DecodeRequest{Chat: request, KVParams: `{"at":1}`, MaxTokens: 40}, callbacks)
}

func plainDecode(e *Engine, callbacks Callbacks) {
	e.Decode(target, DecodeRequest{Chat: &chat.Request{}, MaxTokens: 1}, callbacks)
}

func prefillOnly(e *Engine, callbacks Callbacks) {
	e.PrefillOnly(target, PrefillOnlyRequest{
		Path:            "/v1/embeddings",
		Body:            []byte(`{"input":"a"}`),
		MaxResponseBody: 64,
		ReadResponse: func(body []byte) Result {
			return Result{Outcome: scheduler.PrefillDone, MemoryUsage: 7, Reason: string(body)}
		},
	}, callbacks)
}

func release(e *Engine, _ Callbacks) { e.Release(1, []string{"a", "b"}) }

// attemptCase is one way in which an endpoint may respond. If closes is set, the endpoint closes the connection after
// the response.
type attemptCase struct {
	name     string
	response string
	closes   bool
	start    startFunc
}

func attemptCases() []attemptCase {
	const content = `{"choices":[{"delta":{"content":"a"}}]}`
	const finish = `{"choices":[{"delta":{},"finish_reason":"stop"}]}`
	const prefilled = `{"kv_transfer_params":{"at": 1},"usage":{"prompt_tokens_details":{"cached_tokens":3}}}`
	const untilClose = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	full := response(429, `{"error":{"code":"full"}}`,
		"endpoint-load-metrics", `JSON {"named_metrics":{"kv_cache_usage_perc":1}}`)
	overload := response(503, ``, "endpoint-load-metrics", "TEXT named_metrics.kv_cache_usage_perc=1.5")
	text := []string{"endpoint-load-metrics", "TEXT named_metrics.x=1, named_metrics.kv_cache_usage_perc=0.25"}
	return []attemptCase{
		{"prefill", response(200, prefilled, text...), false, prefill},
		{"prefill without a state", response(200, `{"kv_transfer_params":null}`), false, prefill},
		{"prefill, not JSON", response(200, `{"kv_transfer_params":{}`), false, prefill},
		{"full", full, false, prefill},
		{"draining", response(503, `{"error":{"code":"draining"}}`), false, prefill},
		{"state lost", response(409, `{"error":{"code":"state_lost"}}`), false, decode},
		{"invalid input", response(422, `{"error":{"code":"invalid_input"}}`), false, prefillOnly},
		{"code with another status", response(500, `{"error":{"code":"full"}}`), false, prefill},
		{"rejection, not JSON", response(429, `{"error":{"code":"full"}`), false, prefill},
		{"load out of range", overload, false, prefill},
		{"load in an unknown form", response(503, ``, "endpoint-load-metrics", "BIN 1"), false, prefill},
		{"decode", stream(content, finish, "[DONE]") + "0\r\n\r\n", false, decode},
		{"decode that prefills itself", stream(content, finish, "[DONE]") + "0\r\n\r\n", false, plainDecode},
		{"decode without a stream", response(200, "{}"), false, decode},
		{"stream without its last event", stream(content) + "0\r\n\r\n", false, decode},
		{"finished stream without its last event", stream(content, finish) + "0\r\n\r\n", false, decode},
		{"last event before a finish reason", stream(content, "[DONE]") + "0\r\n\r\n", false, decode},
		{"event after the last", stream(content, finish, "[DONE]", content), false, decode},
		{"event that is not a chunk", stream("hello"), false, decode},
		{"broken stream", stream(content), true, decode},
		{"broken stream that had finished", stream(content, finish), true, decode},
		{"stream until the connection's end", untilClose + "data: " + finish + "\n\ndata: [DONE]\n\n", true, decode},
		{"cut stream until the connection's end", untilClose + "data: " + content + "\n\n", true, decode},
		{"malformed response", "what is this\r\n\r\n", false, decode},
		{"no response", "", true, decode},
		{"no response before the timeout", "", false, decode},
		{"prefill only", response(200, "vectors"), false, prefillOnly},
		{"response too long", response(200, strings.Repeat("x", 65)), false, prefillOnly},
		{"release", response(200, "{}"), false, release},
		{"release, not confirmed", response(500, "{}"), false, release},
	}
}

// TestAttemptsOnTheWire compares the bytes that each kind of attempt sends, and its result, with a golden file.
func TestAttemptsOnTheWire(t *testing.T) {
	var out strings.Builder
	for _, c := range attemptCases() {
		fmt.Fprintf(&out, "== %s\n%s", c.name, runAttempt(t, c.response, c.closes, c.start))
	}
	golden.Compare(t, []byte(out.String()))
}
