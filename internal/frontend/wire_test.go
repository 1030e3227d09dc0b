package frontend

import (
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/testbed/golden"
	"plumspindle/internal/virtual"
)

// singleKeyAuthenticator accepts a single key.
type singleKeyAuthenticator struct{}

func (singleKeyAuthenticator) Identify(key string) (Identity, bool) {
	return Identity{Tenant: "tenant", Key: "id", Namespace: "space", Active: true}, key == "good"
}

// textFormat is a Format that passes events on unchanged.
type textFormat struct {
	stream bool
	sent   int
}

func (f *textFormat) RequestID() string { return "answer-1" }
func (f *textFormat) Streaming() bool   { return f.stream }
func (f *textFormat) Unstarted() bool   { return f.sent == 0 }
func (f *textFormat) Object() []byte    { return []byte(`{"whole":true}`) }
func (f *textFormat) AppendEvent(b, event []byte) []byte {
	f.sent++
	return append(b, event...)
}
func (f *textFormat) AppendEnd(b []byte) []byte { return append(b, "data: [DONE]\n\n"...) }

// recorder is the client's side of a connection. It records the received bytes, and "<closed>" once the connection has
// ended.
type recorder struct {
	onOpened func()
	received []byte
}

func (r *recorder) Opened()       { r.onOpened() }
func (r *recorder) Data(b []byte) { r.received = append(r.received, b...) }
func (r *recorder) Drained()      {}
func (r *recorder) Closed(error)  { r.received = append(r.received, "<closed>"...) }

// harness is a server with routes that use every kind of answer of a Response.
type harness struct {
	network *virtual.Network
	server  *Server
	client  *virtual.Loop
	addr    string
	// disconnects counts the calls of OnDisconnect.
	disconnects int
}

func newHarness(t *testing.T, configure func(s *Server)) *harness {
	t.Helper()
	h := &harness{network: virtual.NewNetwork(1)}
	loop := h.network.NewLoop("server")
	h.client = h.network.NewLoop("client")
	loop.Do(func() {
		routes := ModelRoutes(func() []string { return []string{"first", `sec"ond`} })
		routes["/v1/answer"] = Route{Method: "POST", MaxBody: 2 << 20, Begin: h.begin}
		routes["/v1/buffered"] = Route{Method: "POST", MaxBuffered: 8, Begin: h.begin}
		h.server = New(loop, singleKeyAuthenticator{}, routes, http1.DefaultLimits, DefaultClientLimits)
		if configure != nil {
			configure(h.server)
		}
		listener, err := loop.Listen("127.0.0.1:0", h.server.Accept)
		if err != nil {
			t.Fatal(err)
		}
		h.addr = listener.Addr()
	})
	return h
}

// begin is the Route.Begin of the test routes. The request's body selects the kind of answer.
func (h *harness) begin(head *http1.Head, _ Identity, response *Response) (Sink, *Problem) {
	if p := RequireJSON(head, "gzip"); p != nil {
		return nil, p
	}
	response.OnDisconnect = func() { h.disconnects++ }
	return &BufferedBody{Handle: func(body []byte) *Problem {
		events := &textFormat{stream: true}
		switch string(body) {
		case "object":
			response.SetFormat(&textFormat{})
			response.Complete()
		case "stream":
			response.SetFormat(events)
			response.Heartbeat()
			response.WriteEvent([]byte("data: one\n\n"))
			response.WriteEvent([]byte("data: two\n\n"))
			response.Heartbeat()
			response.Complete()
		case "empty stream":
			response.SetFormat(events)
			response.Complete()
		case "broken stream":
			response.SetFormat(events)
			response.WriteEvent([]byte("data: one\n\n"))
			response.Fail(false, "The stream broke.")
		case "pieces":
			pieces := []string{"a", "bc", ""}
			response.Stream("text/plain", func() ([]byte, bool) {
				piece := pieces[0]
				pieces = pieces[1:]
				return []byte(piece), len(pieces) > 0
			}, "x-request-id", "answer-2")
		case "reject":
			response.Reject(0)
		case "reject later":
			response.Reject(1234567)
		case "over quota":
			response.RejectOverQuota("too many", 3*eventloop.Second)
		case "fail":
			response.Fail(true, "It failed.")
		case "error":
			response.SendProblem(&Problem{
				Status:  422,
				Type:    typeInvalidRequest,
				Code:    "input_not_served",
				NoRetry: true,
				Message: "<No & no>.",
			})
		case "wait": // until the client disconnects or the test ends
		default:
			return Invalid("body", "invalid_value", "Invalid %q.", body)
		}
		return nil
	}}, nil
}

// connect opens a connection that sends the parts 10 ms apart.
func (h *harness) connect(parts ...string) (*recorder, eventloop.Conn) {
	r := &recorder{}
	var conn eventloop.Conn
	h.client.Do(func() {
		conn = h.client.Dial(h.addr, eventloop.Second, r)
		r.onOpened = func() {
			for i, part := range parts {
				h.client.AfterFunc(eventloop.Micros(i)*10*eventloop.Millisecond, func() { conn.Write([]byte(part)) })
			}
		}
	})
	return r, conn
}

// exchange sends the parts 10 ms apart on a new connection and returns all bytes that come back within the duration.
func (h *harness) exchange(duration eventloop.Micros, parts ...string) []byte {
	r, _ := h.connect(parts...)
	h.network.Run(duration)
	return r.received
}

func post(path, body string, fields ...string) string {
	return string(http1.AppendRequest(nil, http1.Request{Method: "POST", Target: path, Host: "host", Body: []byte(body)},
		append([]string{"Authorization", "Bearer good"}, fields...)...))
}

// postHead is the start of a request's head; further fields and the empty line have to follow.
const postHead = "POST /v1/answer HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer good\r\n"

// TestWireForm compares all bytes that a client receives with golden files.
func TestWireForm(t *testing.T) {
	get := func(target, key string) string {
		return string(http1.AppendRequest(nil, http1.Request{Method: "GET", Target: target, Host: "host"},
			"Authorization", key))
	}
	cases := map[string][]string{
		"models":              {get("/v1/models", "Bearer good")},
		"one model":           {get("/v1/models/first?x=1", "Bearer good")},
		"unknown model":       {get("/v1/models/"+strings.Repeat("x", 70), "Bearer good")},
		"no key":              {get("/v1/models", "")},
		"wrong key":           {get("/v1/models", "Bearer bad")},
		"not a bearer":        {get("/v1/models", "Basic good")},
		"unknown URL":         {get("/v1/other?x", "Bearer good")},
		"outside of the APIs": {get("/metrics", "")},
		"wrong method":        {get("/v1/answer", "Bearer good")},
		"wrong content type":  {post("/v1/answer", "object", "Content-Type", "text/plain")},
		"wrong coding":        {post("/v1/answer", "object", "Content-Encoding", "br")},
		"invalid parameter":   {post("/v1/answer", "nothing known")},
		"object":              {post("/v1/answer", "object")},
		"object then close":   {post("/v1/answer", "object", "Connection", "close")},
		"stream":              {post("/v1/answer", "stream")},
		"empty stream":        {post("/v1/answer", "empty stream")},
		"broken stream":       {post("/v1/answer", "broken stream")},
		"pieces":              {post("/v1/answer", "pieces")},
		"reject":              {post("/v1/answer", "reject")},
		"reject later":        {post("/v1/answer", "reject later")},
		"over quota":          {post("/v1/answer", "over quota")},
		"fail":                {post("/v1/answer", "fail")},
		"error":               {post("/v1/answer", "error")},
		"pipelined":           {post("/v1/answer", "object") + post("/v1/answer", "fail") + post("/v1/answer", "stream")},
		"expects continue":    {post("/v1/answer", "object", "Expect", "100-continue")},
		"cut anywhere":        strings.SplitAfter(post("/v1/answer", "object"), "e"),
		"malformed":           {"what is this\r\n\r\n"},
		"malformed behind":    {post("/v1/answer", "object") + "what is this\r\n\r\n"},
		"body too large":      {postHead + "Content-Length: 9999999\r\n\r\n"},
		"body that stalls":    {postHead + "Content-Length: 6\r\n\r\nobj"},
		"idle":                {},
	}
	for name, parts := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			got := h.exchange(2*DefaultClientLimits.IdleTimeout, parts...)
			if h.server.OpenRequests != 0 {
				t.Errorf("%d requests are open at the end", h.server.OpenRequests)
			}
			if h.server.BufferedBytes != 0 {
				t.Errorf("%d bytes are buffered at the end", h.server.BufferedBytes)
			}
			golden.Compare(t, got)
		})
	}
}

// TestWireFormUnderLimits compares the bytes that clients receive during a shutdown, or when a limit on connections or
// buffered bytes applies, with golden files.
func TestWireFormUnderLimits(t *testing.T) {
	t.Run("shutdown", func(t *testing.T) {
		h := newHarness(t, nil)
		h.client.AfterFunc(5*eventloop.Millisecond, h.server.Shutdown)
		golden.Compare(t, h.exchange(eventloop.Second, post("/v1/answer", "object"), post("/v1/answer", "object")))
	})
	t.Run("request over the connection limit", func(t *testing.T) {
		h := newHarness(t, func(s *Server) { s.MaxConnections = 1 })
		h.exchange(10*eventloop.Millisecond, post("/v1/answer", "wait"))
		golden.Compare(t, h.exchange(eventloop.Second, post("/v1/answer", "object")))
	})
	t.Run("connection over the connection limit", func(t *testing.T) {
		h := newHarness(t, func(s *Server) { s.MaxConnections = 1 })
		for range 2 {
			h.exchange(10*eventloop.Millisecond, post("/v1/answer", "wait"))
		}
		golden.Compare(t, h.exchange(eventloop.Second, post("/v1/answer", "object")))
	})
	t.Run("idle connection evicted", func(t *testing.T) {
		h := newHarness(t, func(s *Server) { s.MaxConnections = 1 })
		h.exchange(2 * eventloop.Second)
		golden.Compare(t, h.exchange(eventloop.Second, post("/v1/answer", "object")))
	})
	t.Run("body over the buffer limit", func(t *testing.T) {
		h := newHarness(t, func(s *Server) { s.MaxBufferedBytes = 4 })
		golden.Compare(t, h.exchange(eventloop.Second, post("/v1/answer", "object")))
		if h.disconnects != 1 {
			t.Errorf("%d requests were reported as disconnected, want 1", h.disconnects)
		}
	})
	t.Run("body within the buffer share of its route", func(t *testing.T) {
		h := newHarness(t, func(s *Server) { s.MaxBufferedBytes = 8 })
		golden.Compare(t, h.exchange(eventloop.Second, post("/v1/buffered", "over quota")))
	})
}

// TestDisconnectIsReportedOnce checks that OnDisconnect is called once for a client that disconnects before its final
// answer, and that its request is subtracted from all counts.
func TestDisconnectIsReportedOnce(t *testing.T) {
	h := newHarness(t, nil)
	_, conn := h.connect(post("/v1/answer", "wait"))
	h.network.Run(eventloop.Second)
	if h.server.OpenRequests != 1 || h.server.BufferedBytes != len("wait") {
		t.Fatalf("%d requests open, %d bytes buffered", h.server.OpenRequests, h.server.BufferedBytes)
	}
	h.client.Do(conn.Abort)
	h.network.Run(eventloop.Second)
	if h.server.OpenRequests != 0 || h.server.BufferedBytes != 0 || h.disconnects != 1 {
		t.Errorf("%d requests open, %d bytes buffered, %d disconnects reported",
			h.server.OpenRequests, h.server.BufferedBytes, h.disconnects)
	}
}
