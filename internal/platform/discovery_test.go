package platform

import (
	"fmt"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// TestDiscoveryWatch checks that the dispatcher asks for changes since the version that it knows, and that it continues
// to follow the list after unreadable input, a reset of the watch and a move of discovery to another address.
func TestDiscoveryWatch(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	if got := env.agent.targets; len(got) != 1 || got[0] != "/discovery/hosts?stream=1&index=7" {
		t.Fatalf("asked %v", got)
	}
	// After unreadable input the dispatcher opens a new watch and asks for the full list. It keeps its list meanwhile.
	env.agent.push("{nonsense}\n")
	env.waitFor(2*eventloop.Second, "another watch", func() bool { return len(env.agent.targets) == 2 })
	if !strings.HasSuffix(env.agent.targets[1], "index=0") || len(env.dispatcher.ready) != 4 {
		t.Errorf("asked %v with %d endpoints", env.agent.targets, len(env.dispatcher.ready))
	}
	// An unreadable entry is skipped without affecting the others, and changes are applied to a full list.
	env.agent.update(true, env.endpoints[0].entry("SERVING"), `{"id":""}`,
		env.endpoints[2].entry("SERVING"), env.endpoints[3].entry("ODD"))
	env.agent.update(false, env.endpoints[1].entry("SERVING"))
	env.network.Run(10 * eventloop.Millisecond)
	if len(env.dispatcher.ready) != 3 {
		t.Errorf("%d endpoints are ready", len(env.dispatcher.ready))
	}
	// After a reset the dispatcher soon opens a new watch and asks for changes since the version that it knows.
	env.remote.Do(func() { env.agent.watches[1].socket.Abort() })
	env.waitFor(2*eventloop.Second, "a third watch", func() bool { return len(env.agent.targets) == 3 })
	if !strings.HasSuffix(env.agent.targets[2], fmt.Sprintf("index=%d", env.agent.version)) {
		t.Errorf("asked %v", env.agent.targets)
	}
	// Discovery moves to another address: the dispatcher opens one watch there and continues to serve requests.
	env.agent.listen("127.0.0.9:8600")
	asked := len(env.agent.targets)
	env.loop.Do(func() { env.dispatcher.SetDiscoveryAddress("127.0.0.9:8600") })
	env.waitFor(eventloop.Second, "the watch at the new address", func() bool { return len(env.agent.targets) > asked })
	env.network.Run(3 * eventloop.Second)
	if len(env.agent.targets) != asked+1 {
		t.Errorf("asked %d times at the new address", len(env.agent.targets)-asked)
	}
	if got := env.finalStatus(env.sendRequest("post")); got != 200 {
		t.Errorf("answered %d", got)
	}
}

// TestSilentWatchIsReopened checks that a watch that falls silent is replaced in time for the dispatcher to know all
// changes 6 s after the silence began. This must hold at any time between two heartbeats, and also if the agent doesn't
// respond to the first retry.
func TestSilentWatchIsReopened(t *testing.T) {
	for _, firstRetryLost := range []bool{false, true} {
		for at := eventloop.Micros(0); at < 2*eventloop.Second; at += 190 * eventloop.Millisecond {
			env := newTestEnv(t, 256, defaultEndpointKinds...)
			env.network.Run(at)
			env.agent.watches[0].noHeartbeats = true
			if firstRetryLost {
				env.agent.silent = true
				env.waitFor(6*eventloop.Second, "a retry", func() bool { return len(env.agent.watches) == 2 })
				env.agent.silent = false
			}
			began := env.network.Now()
			env.network.Run(100 * eventloop.Millisecond)
			if !firstRetryLost { // a lost first retry would already have used a part of the 6 s
				env.waitFor(5900*eventloop.Millisecond, "another watch", func() bool { return len(env.agent.watches) == 2 })
			} else {
				env.waitFor(2*eventloop.Second, "a third watch", func() bool { return len(env.agent.watches) == 3 })
			}
			last := env.agent.watches[len(env.agent.watches)-1]
			env.remote.Do(func() { last.socket.Write(env.agent.fullList(env.serving(0, 2)...)) })
			env.network.Run(10 * eventloop.Millisecond)
			if len(env.dispatcher.ready) != 2 {
				t.Errorf("silent from %d ms: %d endpoints are ready %d ms later", at/eventloop.Millisecond,
					len(env.dispatcher.ready), (env.network.Now()-began)/eventloop.Millisecond)
			}
			env.network.Run(10 * eventloop.Second)
			if !env.agent.watches[0].closed || env.remote.OpenConnections() > 1 {
				t.Errorf("%d watches are open", env.remote.OpenConnections())
			}
		}
	}
}

// TestDiscoveryReturns checks that a list that the agent sends as soon as it is back after an outage takes effect at
// once. The agent may send it on the watch from before the outage or on the last watch that was opened meanwhile, so
// the dispatcher has to keep both open.
func TestDiscoveryReturns(t *testing.T) {
	for _, onOldWatch := range []bool{false, true} {
		for _, outage := range []eventloop.Micros{3700, 5100, 8000, 12300} {
			env := newTestEnv(t, 256, defaultEndpointKinds...)
			env.agent.silent, env.agent.watches[0].noHeartbeats = true, true
			env.network.Run(outage * eventloop.Millisecond)
			if n := env.remote.OpenConnections(); n > 3 {
				t.Errorf("%d watches are open", n)
			}
			conn := env.agent.watches[0]
			for _, watch := range env.agent.watches {
				if !onOldWatch && !watch.closed {
					conn = watch
				}
			}
			if conn.closed {
				t.Fatal("the watch was closed")
			}
			env.agent.silent = false
			env.remote.Do(func() {
				if conn != env.agent.watches[0] {
					env.agent.startStream(conn)
				}
				conn.socket.Write(env.agent.fullList(env.serving(0, 2)...))
			})
			env.network.Run(20 * eventloop.Millisecond)
			if len(env.dispatcher.ready) != 2 {
				t.Errorf("outage of %d ms: %d endpoints are ready", outage, len(env.dispatcher.ready))
			}
		}
	}
}

// TestResetWatchIsReopened checks that the dispatcher replaces a watch after a reset, soon enough to learn of drains
// within the time that the platform allows for them.
func TestResetWatchIsReopened(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	env.network.Run(eventloop.Second)
	env.remote.Do(func() { env.agent.watches[0].socket.Abort() })
	env.waitFor(100*eventloop.Millisecond, "another watch", func() bool { return len(env.agent.watches) == 2 })
}

// TestIndentedList checks that a list may span several lines and arrive in pieces that are cut anywhere, and that the
// watch is replaced if a list doesn't end.
func TestIndentedList(t *testing.T) {
	for _, maxSegment := range []int{0, 1, 7} {
		env := newTestEnv(t, 256, defaultEndpointKinds...)
		env.network.MaxSegment = maxSegment
		indented := func(entries ...string) string {
			return "\r\n{\n  \"version\": 9,\n  \"full\": true,\n  \"note\": \"} \\\" ]\",\n" +
				"  \"servers\": [\n    " + strings.Join(entries, ",\n    ") + "\n  ]\n}\n\n"
		}
		env.agent.push(indented(env.serving(0, 2)...))
		env.network.Run(eventloop.Second)
		if len(env.dispatcher.ready) != 2 {
			t.Errorf("segments of %d bytes: %d endpoints are ready", maxSegment, len(env.dispatcher.ready))
		}
		env.agent.push("{\n \"version\": 10,\n")
		env.waitFor(7*eventloop.Second, "another watch", func() bool { return len(env.agent.watches) == 2 })
		if !strings.HasSuffix(env.agent.targets[1], "index=9") {
			t.Errorf("asked %v", env.agent.targets)
		}
	}
}

// TestReadyOnceDiscoveryResponds checks that a new process waits for the discovery agent before it reports ready,
// because the agent may have a newer list than the cached one. If the agent doesn't respond in time, the process
// reports ready on its cached list.
func TestReadyOnceDiscoveryResponds(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	env.agent.silent, env.agent.watches = true, nil
	env.restart()
	if env.network.Run(500 * eventloop.Millisecond); env.dispatcher.Ready() {
		t.Error("ready before the agent has had the time to respond")
	}
	if env.network.Run(600 * eventloop.Millisecond); !env.dispatcher.Ready() {
		t.Error("not ready though discovery has not responded in time")
	}
	env.agent.silent, env.agent.watches = false, nil
	env.restart()
	if env.network.Run(20 * eventloop.Millisecond); !env.dispatcher.Ready() {
		t.Error("not ready though the agent has responded")
	}
}

// TestTricklingList checks that a list that never ends doesn't keep a watch alive: the watch is replaced as soon as a
// silent one would be, whatever the pauses between the list's bytes.
func TestTricklingList(t *testing.T) {
	for _, every := range []eventloop.Micros{100, 1900, 2990} {
		env := newTestEnv(t, 256, defaultEndpointKinds...)
		env.agent.watches[0].noHeartbeats = true
		began := env.network.Now()
		watch := env.agent.watches[0]
		var trickle func()
		trickle = func() {
			if !watch.closed {
				watch.socket.Write(http1.AppendChunk(nil, []byte("{ ")[:1+int(min(env.network.Now()-began, 1))]))
				env.remote.AfterFunc(every*eventloop.Millisecond, trickle)
			}
		}
		env.remote.Do(trickle)
		env.waitFor(6*eventloop.Second, "another watch", func() bool { return len(env.agent.watches) == 2 })
		if took := env.network.Now() - began; took > 4*eventloop.Second {
			t.Errorf("a byte each %d ms: another watch after %d ms", every, took/eventloop.Millisecond)
		}
		env.network.Run(10 * eventloop.Second)
		if n := env.remote.OpenConnections(); n != 1 {
			t.Errorf("%d watches are open", n)
		}
	}
}

// TestOlderList checks that a list of an older version doesn't make a draining or removed endpoint ready again, and
// doesn't set back the start time of an endpoint that has restarted.
func TestOlderList(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	started := func(endpoint *fakeEndpoint, ms int64) string {
		return strings.Replace(endpoint.entry("SERVING"), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, ms), 1)
	}
	now := int64(env.network.Now() / eventloop.Millisecond)
	env.agent.update(false, env.endpoints[0].entry("DRAINING"), env.endpoints[2].entry("DELETED"),
		started(env.endpoints[3], now))
	env.network.Run(10 * eventloop.Millisecond)
	env.agent.version -= 3
	env.agent.update(true, env.serving(0, 1, 2, 3)...)
	env.network.Run(10 * eventloop.Millisecond)
	if len(env.dispatcher.ready) != 2 {
		t.Errorf("%d endpoints are ready", len(env.dispatcher.ready))
	}
	restarted := env.dispatcher.endpoints[env.dispatcher.discovery.EndpointID(env.endpoints[3].id)]
	if restarted.StartedAt != eventloop.Micros(now)*eventloop.Millisecond {
		t.Errorf("the restarted endpoint is listed as started at %d", restarted.StartedAt)
	}
	// An older list that names a new process of an endpoint does replace the endpoint's state, and so does a list of a
	// newer version.
	env.agent.update(true, env.endpoints[0].entry("SERVING"), env.endpoints[1].entry("SERVING"),
		started(env.endpoints[2], now+1), env.endpoints[3].entry("SERVING"))
	env.network.Run(10 * eventloop.Millisecond)
	if len(env.dispatcher.ready) != 3 {
		t.Errorf("with a new process: %d endpoints are ready", len(env.dispatcher.ready))
	}
	env.agent.version += 10
	env.agent.update(true, env.serving(0, 1, 2, 3)...)
	env.network.Run(10 * eventloop.Millisecond)
	if len(env.dispatcher.ready) != 4 {
		t.Errorf("by a newer list: %d endpoints are ready", len(env.dispatcher.ready))
	}
}

// TestWhenDiscoveryReady checks that WhenDiscoveryReady waits until discovery has responded or its time to respond is
// over.
func TestWhenDiscoveryReady(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		env := newTestEnv(t, 256, defaultEndpointKinds...)
		env.agent.silent, env.agent.watches = true, nil
		var at eventloop.Micros
		began := env.network.Now()
		env.restart()
		env.loop.Do(func() { env.dispatcher.WhenDiscoveryReady(func() { at = env.network.Now() }) })
		env.network.Run(300 * eventloop.Millisecond)
		if at != 0 {
			t.Fatal("ready before discovery has responded")
		}
		if !unresponsive {
			env.remote.Do(func() { env.agent.startStream(env.agent.watches[0]) })
		}
		env.network.Run(eventloop.Second)
		if took := at - began; at == 0 || (took < 500*eventloop.Millisecond) == unresponsive {
			t.Errorf("unresponsive %v: ready after %d ms", unresponsive, took/eventloop.Millisecond)
		}
	}
}

// TestReadyWithoutEndpoints checks that a process that knows no endpoint that can serve requests reports ready after a
// while, and then rejects requests.
func TestReadyWithoutEndpoints(t *testing.T) {
	env := newTestEnv(t, 256)
	if env.network.Run(2 * eventloop.Second); env.dispatcher.Ready() {
		t.Error("ready at once")
	}
	if env.network.Run(4 * eventloop.Second); !env.dispatcher.Ready() {
		t.Error("never ready")
	}
	for _, class := range []string{"explain", "post"} {
		if got := env.finalStatus(env.sendRequest(class)); got != 503 {
			t.Errorf("%s: answered %d", class, got)
		}
	}
}
