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

const completeText = "Lamu é"

// fakeEndpoint is one host; serve is called for each request.
type fakeEndpoint struct {
	harness  *harness
	id       uint32
	kind     string
	zone     string
	listener eventloop.Listener
	serve    func(c *fakeConn)
	seen     []*fakeConn
	conns    map[*fakeConn]bool
}

func (s *fakeEndpoint) listen() {
	s.listener, _ = s.harness.remote.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
		return &fakeConn{endpoint: s, conn: c, parser: http1.Parser{Limits: http1.DefaultLimits}}
	})
}

func (s *fakeEndpoint) entry(condition string) endpoints.Entry {
	return endpoints.Entry{ID: scheduler.EndpointID(s.id), Addr: s.listener.Addr(), Zone: s.zone, Kind: s.kind, Condition: condition}
}

// attempts counts the requests for work that a host has seen; releases those to let go.
func (s *fakeEndpoint) attempts() (n int) {
	for _, l := range s.seen {
		if l.target == "/v1/chat/completions" {
			n++
		}
	}
	return n
}

func (s *fakeEndpoint) releases() int { return len(s.seen) - s.attempts() }

// fakeConn is one connection to a script, and the request that it is about.
type fakeConn struct {
	endpoint *fakeEndpoint
	conn     eventloop.Conn
	parser   http1.Parser
	head     *http1.Head
	body     []byte
	closed   bool
	target   string
}

func (l *fakeConn) Opened()                  {}
func (l *fakeConn) Drained()                 {}
func (l *fakeConn) Data(b []byte)            { _ = l.parser.Feed(b, l) }
func (l *fakeConn) Closed(error)             { l.closed = true }
func (l *fakeConn) Head(h *http1.Head) error { l.head, l.body = h, nil; return nil }
func (l *fakeConn) Body(b []byte) error      { l.body = append(l.body, b...); return nil }

func (l *fakeConn) End() error {
	seen := &fakeConn{endpoint: l.endpoint, conn: l.conn, head: l.head, body: l.body, target: l.head.Target}
	l.endpoint.seen = append(l.endpoint.seen, seen)
	if l.head.Target == "/v1/kv/release" {
		l.answer(200, "{}")
		return nil
	}
	l.endpoint.serve(l)
	return nil
}

func (l *fakeConn) answer(st int, body string) {
	l.conn.Write(http1.AppendResponse(nil, st, []byte(body), "Content-Type", "application/json"))
}

// stream answers with a head and some chunks.
func (l *fakeConn) stream(chunks ...string) {
	b := http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream")
	for _, c := range chunks {
		b = http1.AppendChunk(b, []byte(c))
	}
	l.conn.Write(b)
}

func chunkEvent(text, finish string) string {
	f := "null"
	if finish != "" {
		f = `"` + finish + `"`
	}
	delta, _ := json.Marshal(map[string]string{"content": text})
	return string(sse.Append(nil, []byte(`{"choices":[{"index":0,"delta":`+string(delta)+`,"finish_reason":`+f+`}]}`)))
}

// answerPrefill answers a read at once.
func answerPrefill(l *fakeConn) {
	l.answer(200, fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":3}},"kv_transfer_params":{"remote_request_id":%q}}`,
		l.head.Get("x-request-id")))
}

// answerDecode answers a write well.
func answerDecode(l *fakeConn) {
	l.stream(chunkEvent("Lamu ", ""), chunkEvent("é", "stop"), "data: [DONE]\n\n")
	l.conn.Write(http1.AppendLastChunk(nil))
}

func closeConn(l *fakeConn) { l.conn.Close() }
func abortConn(l *fakeConn) { l.conn.Abort() }
