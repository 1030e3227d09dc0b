package platform

import (
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// shutDown begins the dispatcher's shutdown. The result becomes true when the shutdown is complete and the process
// would end.
func (env *testEnv) shutDown() (ended *bool) {
	ended = new(bool)
	env.loop.Do(func() { env.dispatcher.Shutdown(env.listener.Close, func() { *ended = true }) })
	return ended
}

// TestRequestReadAtShutdown checks that a request is answered even if it arrives just when its idle connection is to be
// closed, by the shutdown or because there are too many connections. TestRequestAtIdleTimeout checks the close by the
// idle timeout.
func TestRequestReadAtShutdown(t *testing.T) {
	for name, closes := range map[string]func(env *testEnv){
		"shutdown": func(env *testEnv) { env.dispatcher.Server().Shutdown() },
		"evicted": func(env *testEnv) {
			for range 40 { // more than the limit of connections
				env.connect("")
			}
			env.network.Run(env.network.Latency)
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 64, defaultEndpointKinds...)
			client := env.connect("GET /up HTTP/1.1\r\n\r\n")
			env.network.Run(10 * eventloop.Millisecond)
			env.network.DeliveryDelay = 5 * eventloop.Millisecond // the event loop reports the request only after the close
			env.remote.Do(func() { client.conn.Write([]byte(env.requestText("explain"))) })
			env.network.Run(eventloop.Millisecond)
			env.loop.Do(func() { closes(env) })
			second := func() bool { return len(client.statuses) > 1 || client.closed }
			env.waitFor(5*eventloop.Second, "an answer", second)
			if len(client.statuses) < 2 {
				t.Error("the connection was closed without an answer")
			}
			env.requireIdle()
		})
	}
}

// TestRequestAtIdleTimeout checks that a request is answered even if it arrives just when the idle timeout of its
// connection is over.
func TestRequestAtIdleTimeout(t *testing.T) {
	for before := eventloop.Micros(0); before < 4*eventloop.Millisecond; before += 500 {
		env := newTestEnv(t, 64, defaultEndpointKinds...)
		client := env.connect("GET /up HTTP/1.1\r\n\r\n")
		env.waitFor(eventloop.Second, "the first answer", func() bool { return len(client.statuses) == 1 })
		env.network.Run(9990 * eventloop.Millisecond)
		env.network.DeliveryDelay = 20 * eventloop.Millisecond
		env.network.Run(before)
		env.remote.Do(func() { client.conn.Write([]byte(env.requestText("explain"))) })
		second := func() bool { return len(client.statuses) > 1 || client.closed }
		env.waitFor(5*eventloop.Second, "an answer", second)
		if len(client.statuses) < 2 {
			t.Errorf("%d µs: the connection was closed without an answer", before)
		}
	}
}

// TestRequestAfterShutdown checks that a request whose last byte arrives after the shutdown is rejected and never
// forwarded, and that the process waits for that byte.
func TestRequestAfterShutdown(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	text := env.requestText("post")
	client := env.connect(text[:len(text)-10])
	env.network.Run(10 * eventloop.Millisecond)
	ended := env.shutDown()
	env.network.Run(drainDuration + idleCloseDelay + 300*eventloop.Millisecond)
	if *ended {
		t.Fatal("the shutdown ended while a request was being received")
	}
	env.remote.Do(func() { client.conn.Write([]byte(text[len(text)-10:])) })
	if got := env.finalStatus(client); got != 503 || env.attempts() != 0 {
		t.Errorf("answered %d with %d attempts", got, env.attempts())
	}
	env.waitFor(2*eventloop.Second, "the end of the shutdown", func() bool { return *ended })
}

// TestPipelinedRequestsAtShutdown checks that all pipelined requests are answered, each once: those whose turn comes
// before the shutdown are served, the others are rejected.
func TestPipelinedRequestsAtShutdown(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
		conn.endpoint.loop.AfterFunc(300*eventloop.Millisecond, func() { serveDecode(conn) })
	})
	var text strings.Builder
	for range 5 {
		text.WriteString(env.requestText("explain"))
	}
	client := env.connect(text.String())
	env.network.Run(10 * eventloop.Millisecond)
	ended := env.shutDown()
	env.waitFor(10*eventloop.Second, "the end of the shutdown", func() bool { return *ended })
	if want := []int{200, 200, 503, 503, 503}; !slices.Equal(client.statuses, want) || !client.closed {
		t.Errorf("answered %v, closed %v, want %v", client.statuses, client.closed, want)
	}
	env.requireIdle()
}

// TestSlowClientAtShutdown checks that the process doesn't end before a slow client has received its stream to the last
// byte, even if the endpoint has finished the stream.
func TestSlowClientAtShutdown(t *testing.T) {
	env := newTestEnv(t, 256, "prefill", "decode")
	env.network.ReceiveWindow = 4 << 10
	const eventCount = 200
	env.endpoints[1].serve = serveLongStream(eventCount)
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "its stream", func() bool { return len(client.events) > 0 })
	env.remote.Do(func() { client.conn.SetPaused(true) })
	env.network.Run(100 * eventloop.Millisecond)
	ended := env.shutDown()
	env.network.Run(3 * eventloop.Second)
	if *ended {
		t.Error("the shutdown ended before the client had read its stream")
	}
	env.remote.Do(func() { client.conn.SetPaused(false) })
	env.waitFor(2*eventloop.Second, "the end of the shutdown", func() bool { return *ended })
	if len(client.events) != eventCount+1 || len(client.statuses) != 1 {
		t.Errorf("%d events of %d, %d complete responses", len(client.events), eventCount+1, len(client.statuses))
	}
}

// TestShutdownTwice checks that a second signal neither shortens nor repeats the shutdown.
func TestShutdownTwice(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
		conn.endpoint.loop.AfterFunc(2*eventloop.Second, func() { serveDecode(conn) })
	})
	client := env.sendRequest("post")
	env.network.Run(100 * eventloop.Millisecond)
	first := env.shutDown()
	env.network.Run(300 * eventloop.Millisecond)
	second := env.shutDown()
	// A reload of the configuration during the shutdown changes the address of discovery.
	env.loop.Do(func() { env.dispatcher.SetDiscoveryAddress("127.0.0.9:8600") })
	if got := env.finalStatus(client); got != 200 {
		t.Errorf("answered %d", got)
	}
	env.waitFor(2*eventloop.Second, "the end of the shutdown", func() bool { return *first })
	if *second {
		t.Error("the second shutdown called done too")
	}
}

// TestReleaseBeforeShutdownEnds checks that the process doesn't end before each KV state is released, even if a release
// needs several tries.
func TestReleaseBeforeShutdownEnds(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveAll(env.decodeEndpoints(), hang)
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "the decode attempt", func() bool { return env.attempts() == 2 })
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = 700 * eventloop.Millisecond // longer than the timeout of one try to release
	}
	ended := env.shutDown()
	env.remote.Do(client.conn.Abort)
	env.network.Run(drainDuration + 300*eventloop.Millisecond)
	if *ended {
		t.Fatal("the shutdown ended with a KV state unreleased")
	}
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = 0
	}
	env.waitFor(eventloop.Second, "the end of the shutdown", func() bool { return *ended })
	if len(env.dispatcher.requests) > 0 || env.releases() < 2 {
		t.Errorf("%d requests are left, %d releases were sent", len(env.dispatcher.requests), env.releases())
	}
}

// TestGracefulShutdown checks the shutdown on SIGTERM: for a short while the dispatcher still accepts requests, it
// answers all of them, and then it ends.
func TestGracefulShutdown(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
		conn.endpoint.loop.AfterFunc(2*eventloop.Second, func() { serveDecode(conn) })
	})
	idle := env.connect("GET /up HTTP/1.1\r\n\r\n")
	first := env.sendRequest("post")
	env.network.Run(100 * eventloop.Millisecond)
	var listenerClosed, done bool
	closeListener := func() {
		env.listener.Close()
		listenerClosed = true
	}
	env.loop.Do(func() { env.dispatcher.Shutdown(closeListener, func() { done = true }) })
	env.network.Run(300 * eventloop.Millisecond)
	second := env.sendRequest("post") // the load balancer in front has not noticed the shutdown yet
	env.network.Run(300 * eventloop.Millisecond)
	if !listenerClosed || done || !idle.closed {
		t.Errorf("after 0.6 s: listener closed %v, done %v, idle connection closed %v", listenerClosed, done, idle.closed)
	}
	for _, client := range []*testClient{first, second} {
		if got := env.finalStatus(client); got != 200 || !client.closed {
			t.Errorf("answered %d, closed %v", got, client.closed)
		}
	}
	env.waitFor(eventloop.Second, "the end of the shutdown", func() bool { return done })
}

// TestUnusedConnectionAtShutdown checks a connection that was opened before the shutdown and on which the first request
// arrives only when nothing else is pending. At whatever time it arrives, the request is answered, or the connection is
// closed before the request is read.
func TestUnusedConnectionAtShutdown(t *testing.T) {
	for after := drainDuration; after < drainDuration+2*eventloop.Second; after += 20 * eventloop.Millisecond {
		env := newTestEnv(t, 256, defaultEndpointKinds...)
		client := env.connect("")
		env.network.Run(10 * eventloop.Millisecond)
		ended := env.shutDown()
		env.remote.AfterFunc(after, func() {
			if !client.closed {
				client.conn.Write([]byte(env.requestText("explain")))
			}
		})
		clean := true
		env.network.AfterStep = func() {
			if *ended && env.dispatcher.Server().Open() > 0 { // the end of the process would reset the open connection
				clean = false
			}
		}
		env.waitFor(10*eventloop.Second, "the end of the shutdown", func() bool { return *ended })
		if !clean {
			t.Errorf("%d ms after the signal: the shutdown ended with an open connection", after/eventloop.Millisecond)
		}
	}
}
