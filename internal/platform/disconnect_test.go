package platform

import (
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// TestSlowClient checks that only a bounded number of bytes is buffered for a client that doesn't read, because the
// dispatcher pauses the endpoint's stream. The client must get the complete stream once it reads again.
func TestSlowClient(t *testing.T) {
	env := newTestEnv(t, 256, "prefill", "decode")
	env.network.ReceiveWindow = 4 << 10
	const eventCount = 2000
	env.endpoints[1].serve = serveLongStream(eventCount)
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "its stream", func() bool { return len(client.events) > 0 })
	env.remote.Do(func() { client.conn.SetPaused(true) })
	env.network.Run(4 * eventloop.Second)
	if n := env.dispatcher.server.Unsent(); n > 96<<10 { // the limit, plus what one turn of the loop may add beyond it
		t.Errorf("%d bytes are buffered for the client", n)
	}
	env.remote.Do(func() { client.conn.SetPaused(false) })
	if got := env.finalStatus(client); got != 200 || len(client.events) != eventCount+1 {
		t.Errorf("answered %d with %d events", got, len(client.events))
	}
}

// TestNoAttemptAfterDisconnect checks that no attempt begins more than 0.1 s after the client has disconnected. It
// covers two cases: pipelined requests follow on the client's connection, and the attempt waits for its connection to
// the endpoint. In both cases the limit of 0.1 s must hold even if the settings forbid cancelling attempts.
func TestNoAttemptAfterDisconnect(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		rawSettings := settingsWithCancel(mayCancel)
		// More pipelined requests follow than the dispatcher reads.
		env := newTestEnvWith(t, rawSettings, 256, defaultEndpointKinds...)
		serveAll(env.prefillEndpoints(), hang)
		first := env.requestText("explain")
		client := env.connect(first + strings.Repeat(env.requestText("explain"), 2000))
		env.waitFor(eventloop.Second, "the prefill", func() bool { return env.attempts() == 1 })
		env.network.Run(100 * eventloop.Millisecond)
		env.remote.Do(client.conn.Abort)
		env.network.Run(100 * eventloop.Millisecond)
		for _, request := range env.dispatcher.requests {
			if !request.client.closed {
				t.Error("the client's disconnect was not noticed")
			}
		}
		if env.network.Run(10 * eventloop.Second); env.attempts() != 1 {
			t.Errorf("%d attempts", env.attempts())
		}
		// The attempt waits for its connection to the endpoint. The connection takes twice as long to open as the disconnect
		// takes to arrive.
		env = newTestEnvWith(t, rawSettings, 256, defaultEndpointKinds...)
		env.network.Latency = 60 * eventloop.Millisecond
		client = env.sendRequest("explain")
		env.waitFor(eventloop.Second, "the attempt's order", func() bool { return env.dispatcher.Attempts == 1 })
		env.remote.Do(client.conn.Abort)
		env.network.Run(5 * eventloop.Second)
		if env.attempts() > 0 || env.dispatcher.ClientDisconnects != 1 {
			t.Errorf("may cancel %v: %d attempts, %d disconnects",
				mayCancel, env.attempts(), env.dispatcher.ClientDisconnects)
		}
	}
}

// TestEventsInOnePollRound checks a client's close and an endpoint's response that the event loop reports in the same
// round, in either order. No attempt may begin after the close was reported, and nothing may be left of the request.
func TestEventsInOnePollRound(t *testing.T) {
	const pause = 50 * eventloop.Millisecond
	for name, arrive := range map[string]func(env *testEnv, client *testClient, conn *endpointConn){
		"the close, then the first event": func(env *testEnv, client *testClient, conn *endpointConn) {
			env.remote.Do(client.conn.Abort)
			env.network.Run(5 * eventloop.Millisecond)
			conn.stream(tokenEvent)
		},
		"the first event, then the close": func(env *testEnv, client *testClient, conn *endpointConn) {
			conn.stream(tokenEvent)
			env.network.Run(5 * eventloop.Millisecond)
			env.remote.Do(client.conn.Abort)
		},
		"the close, then a refusal": func(env *testEnv, client *testClient, conn *endpointConn) {
			env.remote.Do(client.conn.Abort)
			env.network.Run(5 * eventloop.Millisecond)
			conn.decline(503)
		},
		"the close, then the endpoint's reset": func(env *testEnv, client *testClient, conn *endpointConn) {
			env.remote.Do(client.conn.Abort)
			env.network.Run(5 * eventloop.Millisecond)
			conn.socket.Abort()
		},
	} {
		for _, class := range []string{"explain", "post"} {
			env := newTestEnv(t, 256, defaultEndpointKinds...)
			var attemptConn *endpointConn
			serveAll(env.decodeEndpoints(), func(conn *endpointConn) { attemptConn = conn })
			client := env.sendRequest(class)
			env.waitFor(eventloop.Second, "the decode attempt", func() bool { return attemptConn != nil })
			env.loop.Freeze(pause)
			attempts := env.attempts()
			arrive(env, client, attemptConn)
			env.network.Run(pause + 50*eventloop.Millisecond)
			if !attemptConn.closed {
				t.Errorf("%s, %s: the attempt's connection is still open", name, class)
			}
			env.requireIdle()
			if n := env.attempts() - attempts; n > 0 {
				t.Errorf("%s, %s: %d attempts began after the close", name, class, n)
			}
		}
	}
}

// TestRequestAndCloseInOnePollRound checks a request and its client's close that the event loop reports in the same
// round. The attempt that begins for the request is cancelled at once, and no other attempt follows.
func TestRequestAndCloseInOnePollRound(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveAll(env.endpoints, hang)
	client := env.connect("")
	env.network.Run(10 * eventloop.Millisecond)
	env.loop.Freeze(50 * eventloop.Millisecond)
	env.remote.Do(func() {
		client.conn.Write([]byte(env.requestText("explain")))
		client.conn.Close()
	})
	env.network.Run(eventloop.Second)
	if env.dispatcher.Accepted > 1 || env.attempts() > 1 || len(env.dispatcher.requests) > 0 {
		t.Errorf("%d requests were accepted, %d attempts arrived, %d requests are left",
			env.dispatcher.Accepted, env.attempts(), len(env.dispatcher.requests))
	}
	env.requireIdle()
}

// TestSlowClientDisconnects checks that a client's disconnect is noticed while the client's stream is paused because
// the client reads too slowly.
func TestSlowClientDisconnects(t *testing.T) {
	env := newTestEnv(t, 256, "prefill", "decode")
	env.network.ReceiveWindow = 4 << 10
	var attemptConn *endpointConn
	env.endpoints[1].serve = func(conn *endpointConn) {
		attemptConn = conn
		serveLongStream(2000)(conn)
	}
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "its stream", func() bool { return len(client.events) > 0 })
	env.remote.Do(func() { client.conn.SetPaused(true) })
	env.network.Run(200 * eventloop.Millisecond)
	env.remote.Do(client.conn.Abort)
	env.network.Run(20 * eventloop.Millisecond)
	if !attemptConn.closed || env.dispatcher.ClientDisconnects != 1 {
		t.Errorf("the connection to the endpoint is closed: %v; %d disconnects",
			attemptConn.closed, env.dispatcher.ClientDisconnects)
	}
	env.requireIdle()
}

// TestDisconnectNotYetHandedOver checks a client's close that has reached the machine but has not been reported by the
// event loop yet, as can happen after the process was suspended. No attempt may begin for that client.
func TestDisconnectNotYetHandedOver(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	declined := 0
	serveAll(env.prefillEndpoints(), func(conn *endpointConn) {
		declined++
		conn.decline(503)
	})
	first := env.sendRequest("post")
	env.waitFor(eventloop.Second, "two refusals", func() bool { return declined == 2 })
	// This request is queued, because both prefill endpoints have just declined an attempt and get none for a moment.
	client := env.sendRequest("post")
	env.network.Run(5 * eventloop.Millisecond)
	env.network.DeliveryDelay = 400 * eventloop.Millisecond
	env.remote.Do(client.conn.Abort)
	env.network.Run(390 * eventloop.Millisecond)
	env.network.DeliveryDelay = 0
	env.remote.Do(first.conn.Abort)
	env.network.Run(eventloop.Second)
	if declined > 2 {
		t.Errorf("%d attempts began after the client's close", declined-2)
	}
	env.requireIdle()
}
