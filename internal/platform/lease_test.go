package platform

import (
	"slices"
	"strconv"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// TestStateIsReleasedAfterDisconnect checks that a KV state is released in time after its client has disconnected, even
// if no prefill endpoint can be reached.
func TestStateIsReleasedAfterDisconnect(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		env := newTestEnv(t, 256, defaultEndpointKinds...)
		serveAll(env.decodeEndpoints(), hang)
		client := env.sendRequest("explain")
		env.waitFor(eventloop.Second, "the decode attempt", func() bool { return env.decodeAttempts() > 0 })
		if unreachable {
			for _, endpoint := range env.prefillEndpoints() {
				env.network.Block(env.loop, endpoint.loop, 5*eventloop.Second)
			}
		}
		env.remote.Do(client.conn.Abort)
		env.waitFor(500*eventloop.Millisecond, "a release", func() bool { return env.releases() > 0 })
		env.requireIdle()
	}
}

// TestStateOfACancelledPrefill checks that a release follows a cancelled prefill, because the prefill may have
// completed just before its endpoint saw the cancellation.
func TestStateOfACancelledPrefill(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveAll(env.prefillEndpoints(), hang)
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "the prefill", func() bool { return env.attempts() > 0 })
	env.remote.Do(client.conn.Abort)
	env.waitFor(500*eventloop.Millisecond, "a release", func() bool { return env.releases() > 0 })
	env.requireIdle()
}

// TestReleaseBeforeNextPrefill checks that a prefill that follows a release waits until the release is answered. A
// release drops all states of a request, so it could otherwise drop the state that the new prefill leaves.
func TestReleaseBeforeNextPrefill(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	var order []string
	serveAll(env.prefillEndpoints(), func(conn *endpointConn) {
		order = append(order, "prefill")
		servePrefill(conn)
	})
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = 30 * eventloop.Millisecond
	}
	serveAll(env.decodeEndpoints(), serveFirst(decline(410), serveDecode))
	releasing := func(request *request) bool { return request.lease.releasing }
	env.network.AfterStep = func() { // records the release once an endpoint has answered it
		d := env.dispatcher
		if env.releases() == 0 || d.upstream.Releases == 0 || slices.Contains(order, "release") {
			return
		}
		if !slices.ContainsFunc(d.requestsByID(), releasing) {
			order = append(order, "release")
		}
	}
	got := env.finalStatus(env.sendRequest("explain"))
	if want := []string{"prefill", "release", "prefill"}; got != 200 || !slices.Equal(order, want) {
		t.Errorf("answered %d in the order %v", got, order)
	}
	env.requireIdle()
}

// TestUnsentPrefillHasNoState checks that nothing is released after a prefill that was cancelled before it was sent,
// because such a prefill can't have left a state.
func TestUnsentPrefillHasNoState(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	env.network.Latency = 40 * eventloop.Millisecond
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "the prefill", func() bool { return env.dispatcher.Attempts > 0 })
	env.remote.Do(client.conn.Abort)
	env.requireIdle()
	if env.attempts() != 0 || env.releases() != 0 {
		t.Errorf("%d attempts, %d releases", env.attempts(), env.releases())
	}
}

// TestUnfetchedStateIsReleased checks that a state that waits at its prefill endpoint is released in time while no
// decode endpoint can be reached, however many of them there are to try. The prompt is then prefilled again.
func TestUnfetchedStateIsReleased(t *testing.T) {
	for _, class := range []string{"explain", "post"} {
		env := newTestEnv(t, 256, "prefill", "prefill", "decode", "decode", "decode", "decode", "decode")
		for _, endpoint := range env.decodeEndpoints() {
			env.network.Block(env.loop, endpoint.loop, 500*eventloop.Millisecond)
		}
		client := env.sendRequest(class)
		env.waitFor(eventloop.Second, "the prefill", func() bool { return env.attempts() == 1 })
		env.waitFor(500*eventloop.Millisecond, "a release", func() bool { return env.releases() == 1 })
		prefills := 0
		// A decode attempt before another prefill would find its state missing.
		serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
			if prefills == 0 {
				t.Errorf("%s: decoded without a state", class)
			}
			serveDecode(conn)
		})
		serveAll(env.prefillEndpoints(), func(conn *endpointConn) {
			prefills++
			conn.answer(202, "")
		})
		if got := env.finalStatus(client); got != 200 {
			t.Errorf("%s: answered %d", class, got)
		}
		env.requireIdle()
	}
}

// TestLeaseRestartsAfterARejection checks that the lease starts again when an endpoint rejects a decode attempt. The
// response proves that the endpoint had the attempt until then. The state has to be released within the restarted
// lease, as within the first.
func TestLeaseRestartsAfterARejection(t *testing.T) {
	const (
		rejectAfter = 200 * eventloop.Millisecond
		leaseTime   = 300 * eventloop.Millisecond
	)
	env := newTestEnv(t, 256, "prefill", "prefill", "decode", "decode", "decode", "decode", "decode")
	var rejectedAt eventloop.Micros
	serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
		for _, other := range env.decodeEndpoints() { // no decode endpoint can be reached after the rejection
			env.network.Block(env.loop, other.loop, 3*eventloop.Second)
		}
		conn.endpoint.loop.AfterFunc(rejectAfter, func() {
			conn.decline(503)
			rejectedAt = env.network.Now()
		})
	})
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "a rejection", func() bool { return rejectedAt > 0 })
	env.network.Run(rejectedAt + leaseTime - 20*eventloop.Millisecond - env.network.Now())
	if env.releases() > 0 {
		t.Error("released before the lease that the rejection restarted was over")
	}
	env.waitFor(200*eventloop.Millisecond, "a release", func() bool { return env.releases() > 0 })
	env.remote.Do(client.conn.Abort)
	env.network.Run(5 * eventloop.Second)
	env.requireIdle()
}

// TestUnansweredDecode checks decode attempts that are answered late or never. An attempt that was written and
// acknowledged by the remote machine may not have been read by any process. So the state that it was meant to fetch is
// released in time, while the attempt itself goes on. If the attempt ends without a stream, the state is released
// again, because an endpoint may have kept it for the attempt.
func TestUnansweredDecode(t *testing.T) {
	const answerAfter = 420 * eventloop.Millisecond
	after := func(serve func(*endpointConn)) func(*endpointConn) {
		return func(conn *endpointConn) { conn.endpoint.loop.AfterFunc(answerAfter, func() { serve(conn) }) }
	}
	for _, test := range []struct {
		name         string
		class        string
		first        func(*endpointConn) // how the first decode attempt is served
		wantStatus   int
		wantPrefills int
		wantReleases int
	}{
		{"answered late", "post", after(serveDecode), 200, 1, 1},
		{"state missing", "post", after(decline(410)), 200, 2, 2},
		{"rejected late", "post", after(decline(503)), 200, 2, 2},
		{"reset late", "explain", after(reset), 200, 2, 2},
		{"reset late, not idempotent", "post", after(reset), 500, 1, 2},
		{"never answered", "explain", hang, 200, 2, 2},
		{"never answered, not idempotent", "post", hang, 500, 1, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			env := newTestEnv(t, 256, defaultEndpointKinds...)
			serveAll(env.decodeEndpoints(), serveFirst(test.first, serveDecode))
			client := env.sendRequest(test.class)
			env.waitFor(eventloop.Second, "the prefill", func() bool { return env.attempts() == 1 })
			prefilledAt := env.network.Now()
			env.waitFor(eventloop.Second, "the release", func() bool { return env.releases() == 1 })
			if took := env.network.Now() - prefilledAt; took > 400*eventloop.Millisecond {
				t.Errorf("released after %d ms", took/eventloop.Millisecond)
			}
			if outcomes := env.dispatcher.Outcomes; outcomes != (OutcomeCounts{scheduler.PrefillDone: 1}) {
				t.Errorf("the attempt did not go on: %v", outcomes)
			}
			if got := env.finalStatus(client); got != test.wantStatus {
				t.Errorf("answered %d, want %d", got, test.wantStatus)
			}
			env.requireIdle()
			if got := countAll(env.prefillEndpoints(), "POST"); got != test.wantPrefills {
				t.Errorf("%d prefills, want %d", got, test.wantPrefills)
			}
			if got := env.releases(); got != test.wantReleases {
				t.Errorf("%d releases, want %d", got, test.wantReleases)
			}
		})
	}
}

// TestAttemptEndsDuringItsStatesRelease checks an attempt that ends while its state is being released. Endpoints that
// this release reached before the attempt's end may have kept the state for the attempt, so another release follows
// before the next prefill.
func TestAttemptEndsDuringItsStatesRelease(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = 60 * eventloop.Millisecond
	}
	rejectLate := func(conn *endpointConn) {
		conn.endpoint.loop.AfterFunc(320*eventloop.Millisecond, func() { conn.decline(503) })
	}
	serveAll(env.decodeEndpoints(), serveFirst(rejectLate, serveDecode))
	releasesBefore := []int{}
	serveAll(env.prefillEndpoints(), func(conn *endpointConn) {
		releasesBefore = append(releasesBefore, env.releases())
		servePrefill(conn)
	})
	if got := env.finalStatus(env.sendRequest("post")); got != 200 {
		t.Errorf("answered %d", got)
	}
	if want := []int{0, 2}; !slices.Equal(releasesBefore, want) {
		t.Errorf("releases before each prefill: %v, want %v", releasesBefore, want)
	}
	env.requireIdle()
}

// TestReleaseWhenMostAreSilent checks a release while most endpoints are unreachable. The connections to these
// endpoints look idle like any others, so the release must go to an endpoint that has sent something recently.
func TestReleaseWhenMostAreSilent(t *testing.T) {
	env := newTestEnv(t, 256, slices.Concat([]string{"prefill", "prefill"}, slices.Repeat([]string{"decode"}, 8))...)
	for range 40 { // opens a connection to each endpoint
		env.sendRequest("explain")
	}
	env.network.Run(eventloop.Second)
	serveAll(env.decodeEndpoints(), hang)
	client := env.sendRequest("post")
	before := env.decodeAttempts()
	env.waitFor(eventloop.Second, "the decode attempt", func() bool { return env.decodeAttempts() > before })
	for _, endpoint := range env.endpoints[1:] {
		env.network.Block(env.loop, endpoint.loop, 5*eventloop.Second)
		env.network.Block(endpoint.loop, env.loop, 5*eventloop.Second)
	}
	env.network.Run(300 * eventloop.Millisecond)
	received := env.endpoints[0].count("POST")
	// Requests with different prefixes are sent until the affinity endpoint of one prefix is the reachable endpoint. The
	// reachable endpoint then sends something.
	for i := 0; i < 20 && env.endpoints[0].count("POST") == received; i++ {
		env.sendRequest("explain", "Req-Extra", "prefix="+strconv.Itoa(i)+",prompt_len=512,prefix_len=256,max_out=80")
		env.network.Run(5 * eventloop.Millisecond)
	}
	env.network.Run(200 * eventloop.Millisecond)
	env.remote.Do(client.conn.Abort)
	env.waitFor(200*eventloop.Millisecond, "a release", func() bool { return env.endpoints[0].count("DELETE") > 0 })
}

// TestStateBehindASilentConnection checks a decode attempt that has left this machine but doesn't reach its endpoint.
// The state that it was meant to fetch is released in time. The attempt may still run, so a request with side effects
// is not retried before the endpoint has answered that the state is missing.
func TestStateBehindASilentConnection(t *testing.T) {
	for _, class := range []string{"explain", "post"} {
		t.Run(class, func(t *testing.T) {
			env := newTestEnv(t, 256, defaultEndpointKinds...)
			for range 40 { // opens a connection to each endpoint
				env.sendRequest("explain")
			}
			env.network.Run(eventloop.Second)
			for _, endpoint := range env.decodeEndpoints()[1:] { // these are listed again once the attempt has been sent
				env.agent.update(false, endpoint.entry("DELETED"))
			}
			silent := env.decodeEndpoints()[0]
			env.network.Run(100 * eventloop.Millisecond)
			var prefilledAt eventloop.Micros
			held, ran := false, 0
			for _, endpoint := range env.endpoints {
				endpoint.onReleased = func() { held = false }
			}
			serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
				if !held {
					conn.decline(410)
					return
				}
				ran++
				serveDecode(conn)
			})
			serveAll(env.prefillEndpoints(), func(conn *endpointConn) {
				if prefilledAt == 0 {
					prefilledAt = env.network.Now()
					// From now on nothing arrives at the endpoint for a while, and no error is reported.
					env.network.Block(env.loop, silent.loop, eventloop.Second)
				}
				held = true
				conn.answer(202, `{"cached_tokens":0}`)
			})
			client := env.sendRequest(class)
			before := env.releases()
			env.waitFor(eventloop.Second, "the prefill", func() bool { return prefilledAt > 0 })
			env.network.Run(100 * eventloop.Millisecond)
			for _, endpoint := range env.decodeEndpoints()[1:] {
				env.agent.update(false, endpoint.entry("SERVING"))
			}
			env.waitFor(eventloop.Second, "the release", func() bool { return env.releases() > before })
			if took := env.network.Now() - prefilledAt; took > 500*eventloop.Millisecond {
				t.Errorf("released after %d ms", took/eventloop.Millisecond)
			}
			if got := env.finalStatus(client); got != 200 || ran != 1 {
				t.Errorf("answered %d, decoded %d times", got, ran)
			}
			env.requireIdle()
		})
	}
}

// TestReleaseOverSlowConnections checks a release for which no connection is open while new connections open slowly. An
// attempt to release must not be given up before it could arrive, so attempts to other endpoints run in parallel with
// the first.
func TestReleaseOverSlowConnections(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveAll(env.decodeEndpoints(), hang)
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "the decode attempt", func() bool { return env.decodeAttempts() > 0 })
	for _, endpoint := range env.endpoints {
		endpoint.resetConnections()
	}
	env.network.Latency = 55 * eventloop.Millisecond // 110 ms to open a connection, 110 ms until the answer
	env.remote.Do(client.conn.Abort)
	env.network.Run(60 * eventloop.Millisecond)
	began := env.network.Now()
	env.waitFor(5*eventloop.Second, "the release's end", func() bool { return len(env.dispatcher.requests) == 0 })
	if took := env.network.Now() - began; took > 500*eventloop.Millisecond {
		t.Errorf("released after %d ms", took/eventloop.Millisecond)
	}
	env.requireIdle()
}

// TestReleaseWhenAllOthersDrain checks that a release is sent to a draining endpoint if no endpoint that accepts new
// requests can be reached. A draining endpoint still runs, and a release is not a new request.
func TestReleaseWhenAllOthersDrain(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveAll(env.decodeEndpoints(), hang)
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "the decode attempt", func() bool { return env.decodeAttempts() > 0 })
	var entries []string
	for _, endpoint := range env.endpoints[1:] {
		entries = append(entries, endpoint.entry("DRAINING"))
	}
	env.agent.update(false, entries...)
	env.network.Run(10 * eventloop.Millisecond)
	env.network.Block(env.loop, env.endpoints[0].loop, 3*eventloop.Second)
	env.remote.Do(client.conn.Abort)
	env.waitFor(500*eventloop.Millisecond, "the release's end", func() bool { return len(env.dispatcher.requests) == 0 })
	env.requireIdle()
}

// TestStateOfABrokenPrefill checks a prefill attempt whose answer is lost. The state that it may have left is released
// in time, even though the prompt is prefilled at another endpoint meanwhile.
func TestStateOfABrokenPrefill(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		env := newTestEnvWith(t, settingsWithCancel(mayCancel), 256, defaultEndpointKinds...)
		attempts := 0
		serveAll(env.prefillEndpoints(), func(conn *endpointConn) {
			if attempts++; attempts == 1 {
				conn.socket.Abort() // the prefill may have completed
			} // the other attempts hang
		})
		env.sendRequest("explain")
		env.waitFor(eventloop.Second, "the first attempt", func() bool { return attempts > 0 })
		env.waitFor(500*eventloop.Millisecond, "a release", func() bool { return env.releases() > 0 })
		env.waitFor(eventloop.Second, "the second attempt", func() bool { return attempts > 1 })
	}
}
