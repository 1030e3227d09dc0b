package platform

import (
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// shutDown begins the shutdown; the result becomes true when the process would end.
func (env *testEnv) shutDown() (ended *bool) {
	ended = new(bool)
	env.loop.Do(func() { env.dispatcher.Shutdown(env.listener.Close, func() { *ended = true }) })
	return ended
}

// TestRequestReadAtShutdown: a request that was read in the instant in which idle connections are closed is answered,
// whatever closes them: the shutdown, the end of their time, or a connection that needs their place.
func TestRequestReadAtShutdown(t *testing.T) {
	for name, closes := range map[string]func(env *testEnv){
		"shutdown": func(env *testEnv) { env.dispatcher.Server().Shutdown() },
		"evicted": func(env *testEnv) {
			for range 40 { // more than there may be
				env.connect("")
			}
			env.network.Run(env.network.Latency)
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 64, usualEndpoints...)
			client := env.connect("GET /up HTTP/1.1\r\n\r\n")
			env.network.Run(10 * eventloop.Millisecond)
			env.network.DeliveryDelay = 5 * eventloop.Millisecond // what has arrived is not handed over yet
			env.remote.Do(func() { client.conn.Write([]byte(env.requestText("explain"))) })
			env.network.Run(eventloop.Millisecond)
			env.loop.Do(func() { closes(env) })
			second := func() bool { return len(client.statuses) > 1 || client.closed }
			env.waitFor(5*eventloop.Second, "an answer", second)
			if len(client.statuses) < 2 {
				t.Error("its connection was closed without an answer")
			}
			env.requireIdle()
		})
	}
}

// TestRequestAtIdleTimeout: the same where the connection's idle time is over just then.
func TestRequestAtIdleTimeout(t *testing.T) {
	for before := eventloop.Micros(0); before < 4*eventloop.Millisecond; before += 500 {
		env := newTestEnv(t, 64, usualEndpoints...)
		client := env.connect("GET /up HTTP/1.1\r\n\r\n")
		env.waitFor(eventloop.Second, "the first answer", func() bool { return len(client.statuses) == 1 })
		env.network.Run(9990 * eventloop.Millisecond)
		env.network.DeliveryDelay = 20 * eventloop.Millisecond
		env.network.Run(before)
		env.remote.Do(func() { client.conn.Write([]byte(env.requestText("explain"))) })
		second := func() bool { return len(client.statuses) > 1 || client.closed }
		env.waitFor(5*eventloop.Second, "an answer", second)
		if len(client.statuses) < 2 {
			t.Errorf("%d µs: its connection was closed without an answer", before)
		}
	}
}

// TestRequestAfterShutdown: one whose last byte is read only after the shutdown is rejected and never forwarded.
func TestRequestAfterShutdown(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
	text := env.requestText("post")
	client := env.connect(text[:len(text)-10])
	env.network.Run(10 * eventloop.Millisecond)
	ended := env.shutDown()
	env.network.Run(drainDuration + idleCloseDelay + 300*eventloop.Millisecond)
	if *ended {
		t.Fatal("it ended while a request was coming in")
	}
	env.remote.Do(func() { client.conn.Write([]byte(text[len(text)-10:])) })
	if got := env.finalStatus(client); got != 503 || env.attempts() != 0 {
		t.Errorf("answered %d with %d attempts", got, env.attempts())
	}
	env.waitFor(2*eventloop.Second, "the end", func() bool { return *ended })
}

// TestPipelinedRequestsAtShutdown: what clients had pipelined by then is answered too, each request once: before the
// shutdown it is served, after it rejected.
func TestPipelinedRequestsAtShutdown(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
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
	env.waitFor(10*eventloop.Second, "the end", func() bool { return *ended })
	if want := []int{200, 200, 503, 503, 503}; !slices.Equal(client.statuses, want) || !client.closed {
		t.Errorf("answered %v, closed %v, want %v", client.statuses, client.closed, want)
	}
	env.requireIdle()
}

// TestSlowClientAtShutdown: a stream that its endpoint has finished reaches a client that reads slowly to its last byte
// before the process ends.
func TestSlowClientAtShutdown(t *testing.T) {
	env := newTestEnv(t, 256, "prefill", "decode")
	env.network.ReceiveWindow = 4 << 10
	const many = 200
	env.endpoints[1].serve = serveLongStream(many)
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "its stream", func() bool { return len(client.events) > 0 })
	env.remote.Do(func() { client.conn.SetPaused(true) })
	env.network.Run(100 * eventloop.Millisecond)
	ended := env.shutDown()
	env.network.Run(3 * eventloop.Second)
	if *ended {
		t.Error("it ended with a stream that its client has not read")
	}
	env.remote.Do(func() { client.conn.SetPaused(false) })
	env.waitFor(2*eventloop.Second, "the end", func() bool { return *ended })
	if len(client.events) != many+1 || len(client.statuses) != 1 {
		t.Errorf("%d events of %d, %d ends", len(client.events), many+1, len(client.statuses))
	}
}

// TestShutdownTwice: a second signal neither shortens nor repeats anything.
func TestShutdownTwice(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
	serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
		conn.endpoint.loop.AfterFunc(2*eventloop.Second, func() { serveDecode(conn) })
	})
	client := env.sendRequest("post")
	env.network.Run(100 * eventloop.Millisecond)
	first := env.shutDown()
	env.network.Run(300 * eventloop.Millisecond)
	second := env.shutDown()
	env.loop.Do(func() { env.dispatcher.MoveDiscovery("127.0.0.9:8600") }) // a new configuration meanwhile
	if got := env.finalStatus(client); got != 200 {
		t.Errorf("answered %d", got)
	}
	env.waitFor(2*eventloop.Second, "the end", func() bool { return *first })
	if *second {
		t.Error("it ended twice")
	}
}

// TestReleaseBeforeShutdownEnds: the process does not end with a KV state unreleased, nor one whose release needs
// several attempts.
func TestReleaseBeforeShutdownEnds(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
	serveAll(env.decodeEndpoints(), hang)
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "the decode attempt", func() bool { return env.attempts() == 2 })
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = 700 * eventloop.Millisecond // longer than an attempt to release
	}
	ended := env.shutDown()
	env.remote.Do(client.conn.Abort)
	env.network.Run(drainDuration + 300*eventloop.Millisecond)
	if *ended {
		t.Fatal("it ended with a KV state unreleased")
	}
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = 0
	}
	env.waitFor(eventloop.Second, "the end", func() bool { return *ended })
	if len(env.dispatcher.requests) > 0 || env.releases() < 2 {
		t.Errorf("%d requests are left, %d releases were asked for", len(env.dispatcher.requests), env.releases())
	}
}

// TestGracefulShutdown: on SIGTERM what still comes for a short while is accepted, all is answered, and then the
// dispatcher ends.
func TestGracefulShutdown(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
	serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
		conn.endpoint.loop.AfterFunc(2*eventloop.Second, func() { serveDecode(conn) })
	})
	idle := env.connect("GET /up HTTP/1.1\r\n\r\n")
	first := env.sendRequest("post")
	env.network.Run(100 * eventloop.Millisecond)
	var shut, done bool
	closeListener := func() {
		env.listener.Close()
		shut = true
	}
	env.loop.Do(func() { env.dispatcher.Shutdown(closeListener, func() { done = true }) })
	env.network.Run(300 * eventloop.Millisecond)
	second := env.sendRequest("post") // the load balancer in front has not noticed yet
	env.network.Run(300 * eventloop.Millisecond)
	if !shut || done || !idle.closed {
		t.Errorf("after 0.6 s: shut %v, done %v, idle connection closed %v", shut, done, idle.closed)
	}
	for _, client := range []*testClient{first, second} {
		if got := env.finalStatus(client); got != 200 || !client.closed {
			t.Errorf("answered %d, closed %v", got, client.closed)
		}
	}
	env.waitFor(eventloop.Second, "the end", func() bool { return done })
}

// TestUnusedConnectionAtShutdown: a connection that was opened before the shutdown, and brings its first request only
// when nothing else is pending, is answered or closed unread, whatever the moment.
func TestUnusedConnectionAtShutdown(t *testing.T) {
	for after := drainDuration; after < drainDuration+2*eventloop.Second; after += 20 * eventloop.Millisecond {
		env := newTestEnv(t, 256, usualEndpoints...)
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
			if *ended && env.dispatcher.Server().Open() > 0 { // the process ends, and resets what is open
				clean = false
			}
		}
		env.waitFor(10*eventloop.Second, "the end", func() bool { return *ended })
		if !clean {
			t.Errorf("%d ms after the signal: it ended with an open connection", after/eventloop.Millisecond)
		}
	}
}
