package platform

import (
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/virtual"
)

// fakeEndpoint is an endpoint in virtual time. It records the requests that it receives, and serves attempts with a
// function that the test sets.
type fakeEndpoint struct {
	env          *testEnv
	loop         *virtual.Loop
	id           string
	kind         string
	zone         string
	address      string
	listener     eventloop.Listener
	serve        func(*endpointConn)
	received     []*http1.Head // heads of all requests, in order of arrival
	bodies       []string      // bodies of all requests, in the same order
	opened       int           // number of connections accepted
	connections  []*endpointConn
	releaseDelay eventloop.Micros // how long the endpoint waits before it answers a release
	onReleased   func()           // if set, runs after the endpoint has answered a release
}

// addEndpoint starts a fake endpoint that serves its kind of attempts successfully. It is not in the endpoint list yet.
func (env *testEnv) addEndpoint(id, kind string) *fakeEndpoint {
	endpoint := &fakeEndpoint{
		env:   env,
		loop:  env.network.NewLoop(id),
		id:    id,
		kind:  kind,
		zone:  "west",
		serve: servePrefill,
	}
	if kind != "prefill" {
		endpoint.serve = serveDecode
	}
	endpoint.loop.Do(func() { endpoint.listen("127.0.0.1:0", nil) })
	env.endpoints = append(env.endpoints, endpoint)
	return endpoint
}

// listen accepts connections at an address; accepted, if set, is called with each of them.
func (endpoint *fakeEndpoint) listen(address string, accepted func(*endpointConn)) {
	var err error
	endpoint.listener, err = endpoint.loop.Listen(address, func(socket eventloop.Conn) eventloop.Handler {
		endpoint.opened++
		conn := &endpointConn{endpoint: endpoint, socket: socket, parser: http1.Parser{Limits: http1.DefaultLimits}}
		endpoint.connections = append(endpoint.connections, conn)
		if accepted != nil {
			accepted(conn)
		}
		return conn
	})
	if err != nil {
		endpoint.env.t.Fatal(err)
	}
	endpoint.address = endpoint.listener.Addr()
}

// relisten listens at the same address again and calls the function accepted with each new connection.
func (endpoint *fakeEndpoint) relisten(accepted func(*endpointConn)) {
	endpoint.listener.Close()
	endpoint.listen(endpoint.address, accepted)
}

// resetConnections resets all connections of the endpoint.
func (endpoint *fakeEndpoint) resetConnections() {
	endpoint.loop.Do(func() {
		for _, conn := range endpoint.connections {
			conn.socket.Abort()
		}
	})
}

// entry returns the endpoint's entry in an endpoint list.
func (endpoint *fakeEndpoint) entry(state string) string {
	return listEntry(endpoint.id, endpoint.address, endpoint.zone, endpoint.kind, state)
}

// count returns how many requests with a method the endpoint has received.
func (endpoint *fakeEndpoint) count(method string) (n int) {
	for _, head := range endpoint.received {
		if head.Method == method {
			n++
		}
	}
	return n
}

// countAll returns how many requests with a method the given endpoints have received in all.
func countAll(endpoints []*fakeEndpoint, method string) (n int) {
	for _, endpoint := range endpoints {
		n += endpoint.count(method)
	}
	return n
}

// serveAll has all given endpoints serve attempts with a function.
func serveAll(endpoints []*fakeEndpoint, serve func(*endpointConn)) {
	for _, endpoint := range endpoints {
		endpoint.serve = serve
	}
}

// endpointConn is one connection at a fake endpoint or at the fake discovery agent.
type endpointConn struct {
	endpoint     *fakeEndpoint
	socket       eventloop.Conn
	parser       http1.Parser
	head         *http1.Head
	body         []byte
	closed       bool
	noHeartbeats bool // the discovery agent sends no heartbeats on the connection
}

func (conn *endpointConn) Opened() {}

func (conn *endpointConn) Drained() {}

func (conn *endpointConn) Data(data []byte) { _ = conn.parser.Feed(data, conn) }

func (conn *endpointConn) Closed(error) { conn.closed = true }

func (conn *endpointConn) Head(h *http1.Head) error {
	conn.head, conn.body = h, nil
	return nil
}

func (conn *endpointConn) Body(data []byte) error {
	conn.body = append(conn.body, data...)
	return nil
}

func (conn *endpointConn) End() error {
	endpoint := conn.endpoint
	endpoint.received = append(endpoint.received, conn.head)
	endpoint.bodies = append(endpoint.bodies, string(conn.body))
	if conn.head.Method != "DELETE" {
		endpoint.serve(conn)
		return nil
	}
	endpoint.loop.AfterFunc(endpoint.releaseDelay, func() {
		conn.answer(204, "")
		if endpoint.onReleased != nil {
			endpoint.onReleased()
		}
	})
	return nil
}

func (conn *endpointConn) answer(status int, body string, fields ...string) {
	conn.socket.Write(http1.AppendResponse(nil, status, []byte(body), fields...))
}

// decline answers with the header that states that the attempt was not run.
func (conn *endpointConn) decline(status int) { conn.answer(status, "", "Srv-Declined", "1") }

const (
	tokenEvent = `{"choices":[{"index":0,"delta":{"content":"Lamu"},"finish_reason":null}]}`
	stopEvent  = `{"choices":[{"index":0,"delta":{"content":"."},"finish_reason":"stop"}]}`
	usageEvent = `{"choices":[],"usage":{"prompt_tokens":5120,"completion_tokens":2,` +
		`"prompt_tokens_details":{"cached_tokens":4096}}}`
)

// stream begins a streamed response with some events; endStream completes it.
func (conn *endpointConn) stream(events ...string) {
	b := http1.AppendStreamHead(nil, 200, "Content-Type", "text/event-stream")
	for _, e := range events {
		b = http1.AppendChunk(b, sse.Append(nil, []byte(e)))
	}
	conn.socket.Write(b)
}

func (conn *endpointConn) endStream() { conn.socket.Write(http1.AppendLastChunk(nil)) }

func servePrefill(conn *endpointConn) { conn.answer(202, `{"cached_tokens":16}`) }

func serveDecode(conn *endpointConn) {
	conn.stream(completeStream...)
	conn.endStream()
}

// hang serves an attempt by never answering it.
func hang(*endpointConn) {}

// serveFirst serves the first attempt with one function and all others with another.
func serveFirst(first, others func(*endpointConn)) func(*endpointConn) {
	served := 0
	return func(conn *endpointConn) {
		if served++; served == 1 {
			first(conn)
			return
		}
		others(conn)
	}
}

// serveLongStream answers with one event and then the given number of events, and completes the stream.
func serveLongStream(events int) func(*endpointConn) {
	return func(conn *endpointConn) {
		conn.stream(tokenEvent)
		for range events {
			conn.socket.Write(http1.AppendChunk(nil, sse.Append(nil, []byte(tokenEvent))))
		}
		conn.endStream()
	}
}
