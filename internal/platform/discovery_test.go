package platform

import (
	"fmt"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// TestDiscoveryWatch: lists are asked for from what is known on, and a watch survives what can't be read, a reset and a
// move to another address.
func TestDiscoveryWatch(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
	if got := env.agent.targets; len(got) != 1 || got[0] != "/discovery/hosts?stream=1&index=7" {
		t.Fatalf("asked %v", got)
	}
	// What can't be read costs a watch, and the full list is asked for; the list stands meanwhile.
	env.agent.push("{nonsense}\n")
	env.waitFor(2*eventloop.Second, "another watch", func() bool { return len(env.agent.targets) == 2 })
	if !strings.HasSuffix(env.agent.targets[1], "index=0") || len(env.dispatcher.ready) != 4 {
		t.Errorf("asked %v with %d endpoints", env.agent.targets, len(env.dispatcher.ready))
	}
	// One entry that can't be read does not cost the others, and changes follow on full lists.
	env.agent.update(true, env.endpoints[0].entry("SERVING"), `{"id":""}`,
		env.endpoints[2].entry("SERVING"), env.endpoints[3].entry("ODD"))
	env.agent.update(false, env.endpoints[1].entry("SERVING"))
	env.network.Run(10 * eventloop.Millisecond)
	if len(env.dispatcher.ready) != 3 {
		t.Errorf("%d endpoints are ready", len(env.dispatcher.ready))
	}
	// A broken agent is asked again soon, from what is known on.
	env.remote.Do(func() { env.agent.watches[1].socket.Abort() })
	env.waitFor(2*eventloop.Second, "a third watch", func() bool { return len(env.agent.targets) == 3 })
	if !strings.HasSuffix(env.agent.targets[2], fmt.Sprintf("index=%d", env.agent.version)) {
		t.Errorf("asked %v", env.agent.targets)
	}
	// It moves: nothing that runs is disturbed.
	env.agent.listen("127.0.0.9:8600")
	asked := len(env.agent.targets)
	env.loop.Do(func() { env.dispatcher.MoveDiscovery("127.0.0.9:8600") })
	env.waitFor(eventloop.Second, "the watch at the new address", func() bool { return len(env.agent.targets) > asked })
	env.network.Run(3 * eventloop.Second)
	if len(env.agent.targets) != asked+1 {
		t.Errorf("asked %d times at the new address", len(env.agent.targets)-asked)
	}
	if got := env.finalStatus(env.sendRequest("post")); got != 200 {
		t.Errorf("answered %d", got)
	}
}

// TestSilentWatchIsReopened: a watch that falls silent is opened anew in time for all that it missed to be known 6 s
// after it fell silent, at whatever moment between two heartbeats; and where the first retry is lost too.
func TestSilentWatchIsReopened(t *testing.T) {
	for _, lost := range []bool{false, true} {
		for at := eventloop.Micros(0); at < 2*eventloop.Second; at += 190 * eventloop.Millisecond {
			env := newTestEnv(t, 256, usualEndpoints...)
			env.network.Run(at)
			env.agent.watches[0].mute = true
			if lost {
				env.agent.silent = true
				env.waitFor(6*eventloop.Second, "a retry", func() bool { return len(env.agent.watches) == 2 })
				env.agent.silent = false
			}
			began := env.network.Now()
			env.network.Run(100 * eventloop.Millisecond)
			if !lost { // a retry that was lost has taken its own part of the time
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

// TestDiscoveryReturns: what the agent gets at its return counts as known at once, so it has to find a watch,
// whichever it still serves: the one from before, or the last that was opened while it was away.
func TestDiscoveryReturns(t *testing.T) {
	for _, old := range []bool{false, true} {
		for _, away := range []eventloop.Micros{3700, 5100, 8000, 12300} {
			env := newTestEnv(t, 256, usualEndpoints...)
			env.agent.silent, env.agent.watches[0].mute = true, true
			env.network.Run(away * eventloop.Millisecond)
			if n := env.remote.OpenConnections(); n > 3 {
				t.Errorf("%d watches are open", n)
			}
			conn := env.agent.watches[0]
			for _, watch := range env.agent.watches {
				if !old && !watch.closed {
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
				t.Errorf("away for %d ms: %d endpoints are ready", away, len(env.dispatcher.ready))
			}
		}
	}
}

// TestResetWatchIsReopened: a watch that is reset is opened again within the drains' grace.
func TestResetWatchIsReopened(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
	env.network.Run(eventloop.Second)
	env.remote.Do(func() { env.agent.watches[0].socket.Abort() })
	env.waitFor(100*eventloop.Millisecond, "another watch", func() bool { return len(env.agent.watches) == 2 })
}

// TestIndentedList: a list may come over several lines, cut anywhere; one that does not end costs the watch.
func TestIndentedList(t *testing.T) {
	for _, most := range []int{0, 1, 7} {
		env := newTestEnv(t, 256, usualEndpoints...)
		env.network.MaxSegment = most
		indented := func(entries ...string) string {
			return "\r\n{\n  \"version\": 9,\n  \"full\": true,\n  \"note\": \"} \\\" ]\",\n" +
				"  \"servers\": [\n    " + strings.Join(entries, ",\n    ") + "\n  ]\n}\n\n"
		}
		env.agent.push(indented(env.serving(0, 2)...))
		env.network.Run(eventloop.Second)
		if len(env.dispatcher.ready) != 2 {
			t.Errorf("pieces of %d: %d endpoints are ready", most, len(env.dispatcher.ready))
		}
		env.agent.push("{\n \"version\": 10,\n")
		env.waitFor(7*eventloop.Second, "another watch", func() bool { return len(env.agent.watches) == 2 })
		if !strings.HasSuffix(env.agent.targets[1], "index=9") {
			t.Errorf("asked %v", env.agent.targets)
		}
	}
}

// TestReadyOnceDiscoveryResponds: a new process does not use the cached list where the agent has a newer one, and does
// where discovery does not respond.
func TestReadyOnceDiscoveryResponds(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
	env.agent.silent, env.agent.watches = true, nil
	env.restart()
	if env.network.Run(500 * eventloop.Millisecond); env.dispatcher.Ready() {
		t.Error("ready before the agent has had a chance to speak")
	}
	if env.network.Run(600 * eventloop.Millisecond); !env.dispatcher.Ready() {
		t.Error("not ready though discovery is away")
	}
	env.agent.silent, env.agent.watches = false, nil
	env.restart()
	if env.network.Run(20 * eventloop.Millisecond); !env.dispatcher.Ready() {
		t.Error("not ready though the agent has spoken")
	}
}

// TestTricklingList: one that does not come to its end is dropped when a silent watch would be, however its bytes
// come.
func TestTricklingList(t *testing.T) {
	for _, every := range []eventloop.Micros{100, 1900, 2990} {
		env := newTestEnv(t, 256, usualEndpoints...)
		env.agent.watches[0].mute = true
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

// TestOlderList: a list of an older version does not undo that an endpoint drains, is gone or has started anew.
func TestOlderList(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
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
		t.Errorf("it started at %d", restarted.StartedAt)
	}
	// A newer one does, and so does an older one that names a new process.
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

// TestWhenDiscoveryReady: no request is accepted before discovery has responded or has had its time to.
func TestWhenDiscoveryReady(t *testing.T) {
	for _, away := range []bool{false, true} {
		env := newTestEnv(t, 256, usualEndpoints...)
		env.agent.silent, env.agent.watches = true, nil
		var at eventloop.Micros
		began := env.network.Now()
		env.restart()
		env.loop.Do(func() { env.dispatcher.WhenDiscoveryReady(func() { at = env.network.Now() }) })
		env.network.Run(300 * eventloop.Millisecond)
		if at != 0 {
			t.Fatal("ready before discovery has spoken")
		}
		if !away {
			env.remote.Do(func() { env.agent.startStream(env.agent.watches[0]) })
		}
		env.network.Run(eventloop.Second)
		if took := at - began; at == 0 || (took < 500*eventloop.Millisecond) == away {
			t.Errorf("away %v: ready after %d ms", away, took/eventloop.Millisecond)
		}
	}
}

// TestReadyWithoutEndpoints: a process that knows no endpoint to serve with says that it is ready after a while, and
// rejects what comes.
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
