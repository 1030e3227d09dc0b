package platform

import (
	"math/rand"
	"strconv"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// TestLateSecondAnswer checks an endpoint that sends a second response to the same request some time after the first.
// By then the connection may be reused, and the second response must not be taken for the response to the next request.
func TestLateSecondAnswer(t *testing.T) {
	for span := eventloop.Micros(500); span <= 10*eventloop.Millisecond; span += 500 {
		env := newTestEnv(t, 256, "prefill", "decode")
		count := 0
		ownEvent := func() string { return strings.Replace(tokenEvent, "Lamu", "Lamu "+strconv.Itoa(count), 1) }
		env.endpoints[1].serve = func(conn *endpointConn) {
			count++
			event := ownEvent()
			answer := func() {
				conn.stream(event, stopEvent, usageEvent, "[DONE]")
				conn.endStream()
			}
			if answer(); count == 1 {
				conn.endpoint.loop.AfterFunc(span, answer)
			}
		}
		for i := range 6 {
			client := env.sendRequest("post")
			env.waitFor(eventloop.Second, "an answer", client.done)
			if len(client.events) == 0 || client.events[0] != ownEvent() || count != i+1 {
				t.Fatalf("after %d µs: request %d was answered %q and run %d times in all", span, i+1, client.events, count)
			}
		}
	}
}

// TestAttemptExpiresBehindSlowRelease checks that an attempt is not sent if it waited for a release for longer than the
// connect timeout. What the scheduler checked when it ordered the attempt may no longer hold.
func TestAttemptExpiresBehindSlowRelease(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveAll(env.decodeEndpoints(), serveFirst(decline(410), serveDecode))
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = eventloop.Second
	}
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "a release", func() bool { return env.releases() > 0 })
	env.network.Run(300 * eventloop.Millisecond)
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = 0
	}
	if got := env.finalStatus(client); got != 200 || env.dispatcher.Outcomes[scheduler.NotSent] != 1 {
		t.Errorf("answered %d with outcomes %v", got, env.dispatcher.Outcomes)
	}
	env.requireIdle()
}

// remainingTimeSent returns the remaining time that an attempt tells its endpoint.
func remainingTimeSent(t *testing.T, conn *endpointConn) eventloop.Micros {
	t.Helper()
	given, err := strconv.ParseInt(strings.TrimSuffix(conn.head.Get("Req-Deadline"), "u"), 10, 64)
	if err != nil {
		t.Errorf("the remaining time that was sent can't be parsed: %v", err)
	}
	return eventloop.Micros(given)
}

// TestRemainingTimeIsSent checks that an endpoint is told the time that the client has left when the attempt is
// written, not the time that was left when the attempt's connection was requested.
func TestRemainingTimeIsSent(t *testing.T) {
	env := newTestEnv(t, 256, "prefill", "decode")
	env.network.Latency = 80 * eventloop.Millisecond
	env.endpoints[0].serve = func(conn *endpointConn) {
		given := remainingTimeSent(t, conn)
		left := 900*eventloop.Millisecond - 2*env.network.Latency // opening the connection took a round trip
		if given > left {
			t.Errorf("given %d µs, %d are left", given, left)
		}
		servePrefill(conn)
	}
	env.finalStatus(env.sendRequest("explain", "Req-Deadline", "900m"))
	if env.endpoints[0].count("POST") == 0 {
		t.Error("the prefill endpoint received no request")
	}
}

// TestRemainingTimeAfterRelease checks that an attempt that waited for a release tells its endpoint the time that the
// client has left after the release.
func TestRemainingTimeAfterRelease(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	const limit = 480 * eventloop.Millisecond // short enough for an endpoint to be told all of the remaining time
	began := env.network.Now()
	check := func(then func(*endpointConn)) func(*endpointConn) {
		return func(conn *endpointConn) {
			given := remainingTimeSent(t, conn)
			if left := limit - (env.network.Now() - began); given > left+eventloop.Millisecond {
				t.Errorf("given %d ms, %d ms are left", given/eventloop.Millisecond, left/eventloop.Millisecond)
			}
			then(conn)
		}
	}
	serveAll(env.prefillEndpoints(), check(servePrefill))
	serveAll(env.decodeEndpoints(), check(serveFirst(decline(410), serveDecode)))
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = 60 * eventloop.Millisecond
	}
	got := env.finalStatus(env.sendRequest("explain", "Req-Deadline", "480m"))
	if got != 200 || env.releases() == 0 {
		t.Errorf("answered %d after %d releases", got, env.releases())
	}
	env.requireIdle()
}

// TestNeverTwoAttemptsInFlight checks that no attempt starts while a cancelled one is still in flight. A cancelled
// attempt is in flight until its endpoint sees the connection close. Neither another attempt nor a rejection may
// overtake the close, although network latencies vary.
func TestNeverTwoAttemptsInFlight(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		env := newTestEnvWith(t, settingsWithCancel(mayCancel), 256, "prefill", "prefill", "prefill", "decode", "decode")
		random := rand.New(rand.NewSource(5))
		hanging := map[string]*endpointConn{}
		overtaken := 0
		for i, endpoint := range env.endpoints {
			serveNormally, hangs := endpoint.serve, i < 2
			endpoint.serve = func(conn *endpointConn) {
				id := conn.head.Get("Req-Id")
				if before := hanging[id]; before != nil && !before.closed {
					overtaken++
				}
				if hangs {
					hanging[id] = conn
					return
				}
				delete(hanging, id)
				serveNormally(conn)
			}
		}
		env.network.ExtraLatency = func() eventloop.Micros { return eventloop.Micros(random.Intn(8000)) }
		for i := range 60 {
			class, limit := "post", "1500m"
			if i%2 > 0 {
				class = "explain"
			}
			if i%3 > 0 {
				limit = "4000m"
			}
			env.finalStatus(env.sendRequest(class, "Req-Key", strconv.Itoa(i),
				"Req-Extra", "prompt_len=512,max_out=80", "Req-Deadline", limit))
		}
		env.network.ExtraLatency = nil
		if overtaken > 0 {
			t.Errorf("may cancel %v: %d attempts overtook the close of the one before", mayCancel, overtaken)
		}
		if n := countAll(env.endpoints[:2], "POST"); n < 5 || env.dispatcher.Completed < 40 {
			t.Errorf("%d attempts hung, %d requests were completed", n, env.dispatcher.Completed)
		}
		env.requireIdle()
	}
}

// TestCancelledTwice checks events during the moment in which a cancelled attempt still counts as in flight: another
// cancellation, a drain of the attempt's endpoint, or the expiry of the lease of its state. None of these events may
// end the attempt earlier, or make it count as an attempt that was never sent.
func TestCancelledTwice(t *testing.T) {
	for name, meanwhile := range map[string]func(d *Dispatcher, request *request){
		"cancel": func(d *Dispatcher, request *request) { d.Cancel(request.id, request.attempt.number()) },
		"drain": func(d *Dispatcher, _ *request) {
			d.ready = nil
			d.cancelUnsentToUnready()
		},
		"expired": func(d *Dispatcher, request *request) {
			request.lease.active = true
			d.leaseExpired(request)
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 256, defaultEndpointKinds...)
			d := env.dispatcher
			serveAll(env.decodeEndpoints(), hang)
			env.sendRequest("post")
			env.waitFor(eventloop.Second, "the decode attempt", func() bool { return d.Attempts == 2 })
			env.network.Run(100 * eventloop.Millisecond)
			for _, request := range d.requests { // cancels as the scheduler does when the request's time is over
				env.loop.Do(func() { d.Cancel(request.id, request.attempt.number()) })
			}
			request := cancelledRequest(d)
			if request == nil {
				t.Fatal("no attempt is being cancelled")
			}
			env.loop.Do(func() { meanwhile(d, request) })
			if env.network.Run(cancelDeliveryTime - 2*eventloop.Millisecond); !request.attempt.cancelling {
				t.Error("the cancelled attempt ended too early")
			}
			env.network.Run(2 * cancelDeliveryTime)
			others := d.Outcomes[scheduler.Unreachable] + d.Outcomes[scheduler.NoCapacity] + d.Outcomes[scheduler.NotSent]
			if d.Outcomes[scheduler.Cancelled] != 1 || others > 0 {
				t.Errorf("outcomes %v", d.Outcomes)
			}
		})
	}
}

// cancelledRequest returns a request whose attempt is being cancelled, or nil if there is none.
func cancelledRequest(d *Dispatcher) *request {
	for _, request := range d.requests {
		if request.attempt.cancelling {
			return request
		}
	}
	return nil
}

// TestNoRetryAfterItsWindow checks that a retry that waits for a release and then for a connection doesn't arrive after
// the retry window.
func TestNoRetryAfterItsWindow(t *testing.T) {
	const window = 300 * eventloop.Millisecond
	text := strings.Replace(testSettings, `"repeat": "non_idempotent"`,
		`"repeat": "idempotency_key", "group": "all", "window": 300000000`, 1)
	text = strings.Replace(text, `"let_go_by"`, `"local_read": true, "let_go_by"`, 1)
	env := newTestEnvWith(t, text, 256, defaultEndpointKinds...)
	var first eventloop.Micros
	attempts := 0
	serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
		switch attempts++; attempts {
		case 1: // this attempt may have run
			first = env.network.Now()
			conn.socket.Abort()
		case 2: // declined because the state is missing; the next attempt waits for the release of the state
			// While both prefill endpoints drain, a decode endpoint prefills too.
			env.agent.update(false, env.endpoints[0].entry("DRAINING"), env.endpoints[1].entry("DRAINING"))
			conn.endpoint.loop.AfterFunc(2*env.network.Latency, func() {
				conn.answer(410, "", "Srv-Declined", "1", "Connection", "close")
			})
		default:
			if late := env.network.Now() - first; late > window+env.network.Latency { // the attempt was sent after the window
				t.Errorf("a retry arrived %d ms after the first attempt", late/eventloop.Millisecond)
			}
			serveDecode(conn)
		}
	})
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = eventloop.Second
	}
	client := env.sendRequest("post")
	env.waitFor(eventloop.Second, "a release", func() bool { return env.releases() > 0 })
	env.network.Run(120 * eventloop.Millisecond)
	// The release succeeds at last, and the attempt after it needs a new connection, which opens slowly.
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = 0
		endpoint.onReleased = func() { env.network.Latency = 100 * eventloop.Millisecond }
		endpoint.resetConnections()
	}
	env.finalStatus(client)
	if attempts < 2 {
		t.Errorf("%d attempts", attempts)
	}
	env.requireIdle()
}

// TestNoAttemptAfterTheAnswer checks that an attempt is never sent if it still waits for its connection when the
// request's time is over, even if the settings forbid cancelling attempts.
func TestNoAttemptAfterTheAnswer(t *testing.T) {
	for latency := 95 * eventloop.Millisecond; latency < 101*eventloop.Millisecond; latency += 500 {
		env := newTestEnvWith(t, settingsWithCancel(false), 256, defaultEndpointKinds...)
		serveAll(env.prefillEndpoints(), func(conn *endpointConn) {
			env.network.Latency = latency // at one of the latencies, the connection opens just as the request's time is over
			servePrefill(conn)
		})
		client := env.sendRequest("explain", "Req-Deadline", "300m")
		if got := env.finalStatus(client); got == 200 {
			t.Errorf("answered %d", got)
		}
		env.requireIdle()
	}
}
