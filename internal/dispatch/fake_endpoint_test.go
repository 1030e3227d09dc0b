package dispatch

import (
	"encoding/json"
	"fmt"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/scheduler"
)

// If nothing fails, a decode endpoint streams completeText and ends the stream with doneEvent.
const (
	completeText = "Lamu é"
	doneEvent    = "data: [DONE]\n\n"
)

var (
	firstEvent = chunkEvent("Lamu ", "")
	lastEvent  = chunkEvent("é", "stop")
)

// fakeEndpoint is a fake model endpoint, which calls serve for each request except releases.
type fakeEndpoint struct {
	harness  *harness
	id       uint32
	kind     string
	zone     string
	listener eventloop.Listener
	serve    func(c *fakeConn)
	seen     []*fakeConn // all requests, each with its own copy of the connection
	conns    map[*fakeConn]bool
}

func (e *fakeEndpoint) listen() {
	e.conns = map[*fakeConn]bool{}
	e.listener, _ = e.harness.remote.Listen("127.0.0.1:0", func(conn eventloop.Conn) eventloop.Handler {
		c := &fakeConn{endpoint: e, conn: conn, parser: http1.Parser{Limits: http1.DefaultLimits}}
		e.conns[c] = true
		return c
	})
}

// crash closes the endpoint's listener and resets all of its connections.
func (e *fakeEndpoint) crash() {
	e.listener.Close()
	for c := range e.conns {
		c.conn.Abort()
	}
}

func (e *fakeEndpoint) entry(condition string) endpoints.Entry {
	return endpoints.Entry{
		ID:        scheduler.EndpointID(e.id),
		Addr:      e.listener.Addr(),
		Zone:      e.zone,
		Kind:      e.kind,
		Condition: condition,
	}
}

// attempts counts the chat completions that the endpoint has received. Parts of batch calls are not counted.
func (e *fakeEndpoint) attempts() (n int) {
	for _, c := range e.seen {
		if c.target == "/v1/chat/completions" {
			n++
		}
	}
	return n
}

// releases counts all other requests that the endpoint has received. In tests without batch calls these are release
// requests.
func (e *fakeEndpoint) releases() int { return len(e.seen) - e.attempts() }

// fakeConn is a connection to a fake endpoint, with its last request.
type fakeConn struct {
	endpoint *fakeEndpoint
	conn     eventloop.Conn
	parser   http1.Parser
	head     *http1.Head
	body     []byte
	closed   bool
	target   string
}

func (c *fakeConn) Opened()                     {}
func (c *fakeConn) Drained()                    {}
func (c *fakeConn) Data(b []byte)               { _ = c.parser.Feed(b, c) }
func (c *fakeConn) Head(head *http1.Head) error { c.head, c.body = head, nil; return nil }
func (c *fakeConn) Body(b []byte) error         { c.body = append(c.body, b...); return nil }

func (c *fakeConn) Closed(error) {
	c.closed = true
	delete(c.endpoint.conns, c)
}

func (c *fakeConn) End() error {
	request := &fakeConn{endpoint: c.endpoint, conn: c.conn, head: c.head, body: c.body, target: c.head.Target}
	c.endpoint.seen = append(c.endpoint.seen, request)
	if c.head.Target == "/v1/kv/release" {
		c.answer(200, "{}")
		return nil
	}
	c.endpoint.serve(c)
	return nil
}

// request returns a copy of the current request, which can be answered after the next one has arrived.
func (c *fakeConn) request() *fakeConn {
	request := *c
	return &request
}

// after calls f on the endpoint's loop after a delay.
func (c *fakeConn) after(delay eventloop.Micros, f func()) {
	c.endpoint.harness.remote.AfterFunc(delay, f)
}

func (c *fakeConn) answer(status int, body string) {
	c.conn.Write(http1.AppendResponse(nil, status, []byte(body), "Content-Type", "application/json"))
}

// stream sends the header of a streamed answer and its first chunks.
func (c *fakeConn) stream(chunks ...string) {
	b := http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream")
	for _, chunk := range chunks {
		b = http1.AppendChunk(b, []byte(chunk))
	}
	c.conn.Write(b)
}

// writeChunk sends one more chunk of a stream.
func (c *fakeConn) writeChunk(chunk string) { c.conn.Write(http1.AppendChunk(nil, []byte(chunk))) }

// finishStream completes a stream that streamFirstEvent began.
func (c *fakeConn) finishStream() {
	c.conn.Write(http1.AppendLastChunk(http1.AppendChunk(nil, []byte(lastEvent+doneEvent))))
}

// chunkEvent returns one event of a streamed chat completion.
func chunkEvent(text, finishReason string) string {
	reason := "null"
	if finishReason != "" {
		reason = `"` + finishReason + `"`
	}
	delta, _ := json.Marshal(map[string]string{"content": text})
	event := `{"choices":[{"index":0,"delta":` + string(delta) + `,"finish_reason":` + reason + `}]}`
	return string(sse.Append(nil, []byte(event)))
}

// answerPrefill completes a prefill at once.
func answerPrefill(c *fakeConn) {
	c.answer(200, fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":3}},`+
		`"kv_transfer_params":{"remote_request_id":%q}}`, c.head.Get("x-request-id")))
}

// answerDecode completes a decode at once.
func answerDecode(c *fakeConn) {
	c.stream(firstEvent, lastEvent, doneEvent)
	c.conn.Write(http1.AppendLastChunk(nil))
}

// answerError returns a serve function that answers with an error code.
func answerError(status int, code string) func(*fakeConn) {
	return func(c *fakeConn) { c.answer(status, `{"error":{"code":"`+code+`"}}`) }
}

func neverAnswer(*fakeConn)        {}
func streamFirstEvent(c *fakeConn) { c.stream(firstEvent) }
func closeConn(c *fakeConn)        { c.conn.Close() }
func abortConn(c *fakeConn)        { c.conn.Abort() }
