package platform

import (
	"fmt"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// TestIdleConnectionsDoNotStarveOthers checks that clients' connections on which nothing is sent don't use up the
// descriptors that other connections need, and that they are closed after a while.
func TestIdleConnectionsDoNotStarveOthers(t *testing.T) {
	env := newTestEnv(t, 64, defaultEndpointKinds...)
	env.loop.DescriptorLimit = 64
	var silent []*testClient
	for i := 0; i < 300; i++ {
		silent = append(silent, env.connect(""))
		if i%10 == 0 {
			if got := env.finalStatus(env.sendRequest("post")); got != 200 {
				t.Fatalf("after %d silent connections: answered %d", i, got)
			}
		}
		if env.loop.OpenConnections() > 64 {
			t.Fatalf("%d descriptors are in use", env.loop.OpenConnections())
		}
	}
	env.network.Run(3 * eventloop.Second)
	for i, client := range silent {
		if !client.closed {
			t.Fatalf("silent connection %d is still open", i)
		}
	}
	env.requireIdle()
}

// TestConnectionClosedByEndpoint checks that no attempt is written to an idle connection that the endpoint has closed.
// The event loop may not have reported the close yet, so the state of the socket itself is queried (package sockets).
func TestConnectionClosedByEndpoint(t *testing.T) {
	env := newTestEnv(t, 256, "prefill", "decode")
	var used []*endpointConn
	record := func(then func(*endpointConn)) func(*endpointConn) {
		return func(conn *endpointConn) {
			used = append(used, conn)
			then(conn)
		}
	}
	env.endpoints[0].serve, env.endpoints[1].serve = record(servePrefill), record(serveDecode)
	for i := 0; i < 5; i++ {
		if got := env.finalStatus(env.sendRequest("post")); got != 200 {
			t.Fatalf("answered %d", got)
		}
		for _, conn := range used {
			conn.endpoint.loop.Do(conn.socket.Close)
		}
		used = nil
	}
	if env.endpoints[0].opened != 5 || env.attempts() != 10 {
		t.Errorf("%d connections, %d attempts", env.endpoints[0].opened, env.attempts())
	}
	// A request is on its way to the dispatcher. The endpoints then close the connections that the request would use.
	env.finalStatus(env.sendRequest("post"))
	env.network.DeliveryDelay = 5 * eventloop.Millisecond
	env.network.Run(20 * eventloop.Millisecond)
	client := env.sendRequest("post")
	env.network.Run(3 * eventloop.Millisecond)
	for _, conn := range used {
		conn.endpoint.loop.Do(conn.socket.Close)
	}
	if got := env.finalStatus(client); got != 200 || env.dispatcher.Outcomes[scheduler.ConnectionLost] != 0 {
		t.Errorf("answered %d, with %d attempts lost", got, env.dispatcher.Outcomes[scheduler.ConnectionLost])
	}
}

// TestConnectionReuse checks that successive requests use one connection to each endpoint, and that idle connections
// are closed before the endpoints close them.
func TestConnectionReuse(t *testing.T) {
	env := newTestEnv(t, 256, "prefill", "decode")
	for i := 0; i < 10; i++ {
		env.finalStatus(env.sendRequest("post"))
	}
	if env.endpoints[0].opened != 1 || env.endpoints[1].opened != 1 {
		t.Errorf("%d and %d connections", env.endpoints[0].opened, env.endpoints[1].opened)
	}
	env.network.Run(10 * eventloop.Second)
	if env.dispatcher.engine.Connections() != 2 {
		t.Errorf("%d connections after 10 s", env.dispatcher.engine.Connections())
	}
	env.network.Run(7 * eventloop.Second)
	if env.dispatcher.engine.Connections() != 0 { // endpoints close idle connections after 30 s
		t.Errorf("%d connections after 17 s", env.dispatcher.engine.Connections())
	}
}

// TestTotalConnectionLimit checks that idle connections to some endpoints are closed if connections to others are
// needed and the total limit is reached.
func TestTotalConnectionLimit(t *testing.T) {
	var kinds []string
	for range 10 {
		kinds = append(kinds, "prefill", "decode")
	}
	env := newTestEnv(t, 20, kinds...)
	for i := range 60 {
		client := env.sendRequest("post", "Req-Extra", fmt.Sprintf("prefix=%d,prompt_len=100", i))
		if got := env.finalStatus(client); got != 200 {
			t.Fatalf("answered %d", got)
		}
		if n := env.dispatcher.engine.Connections(); n > 8 {
			t.Fatalf("%d connections are open, the limit is 8", n)
		}
	}
}

// TestTotalBodyLimit checks that incomplete bodies can't use more than their share of the memory, and that they are
// dropped after a while.
func TestTotalBodyLimit(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	for range 40 {
		text := env.requestText("explain", "body", `"`+strings.Repeat("x", 200<<10)+`"`)
		env.connect(text[:len(text)-10])
	}
	env.network.Run(eventloop.Second)
	if n := env.dispatcher.server.Buffered(); n > 4<<20 || n < 3<<20 {
		t.Errorf("%d bytes are buffered, want 3 to 4 MiB", n)
	}
	big := `{"messages":["` + strings.Repeat("x", 250<<10) + `"]}`
	if got := env.finalStatus(env.sendRequest("post", "body", big)); got != 503 {
		t.Errorf("without memory: answered %d", got)
	}
	env.network.Run(3 * eventloop.Second)
	if got := env.finalStatus(env.sendRequest("post", "body", big)); got != 200 || env.dispatcher.server.Buffered() != 0 {
		t.Errorf("after the bodies were dropped: answered %d, %d bytes are buffered", got, env.dispatcher.server.Buffered())
	}
}

// TestNoLeakOverReplacements checks that nothing is left of endpoints that are replaced under new ids again and again,
// nor of clients that send one request and keep their connection open.
func TestNoLeakOverReplacements(t *testing.T) {
	env := newTestEnv(t, 128, defaultEndpointKinds...)
	for i := 0; i < 150; i++ {
		old := env.endpoints[i]
		endpoint := env.addEndpoint(fmt.Sprintf("n-%d", i), old.kind)
		env.agent.update(false, old.entry("DELETED"), endpoint.entry("SERVING"))
		env.network.Run(eventloop.Second)
		if got := env.finalStatus(env.sendRequest("post")); got != 200 {
			t.Fatalf("after %d replacements: answered %d", i, got)
		}
	}
	env.network.Run(70 * eventloop.Second)
	if n := env.dispatcher.engine.EndpointCount(); n > 4 {
		t.Errorf("%d endpoints are still known to the engine", n)
	}
	if n := env.dispatcher.server.Connections(); n > 0 {
		t.Errorf("%d client connections are left", n)
	}
	env.requireIdle()
}
