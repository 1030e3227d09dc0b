package platform

import (
	"testing"

	"plumspindle/internal/eventloop"
)

// TestDrainDuringRelease: a prefill that waits for a release does not go to an endpoint that has begun to drain
// meanwhile.
func TestDrainDuringRelease(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
	serveAll(env.decodeEndpoints(), serveFirst(decline(410), serveDecode))
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = 50 * eventloop.Millisecond
	}
	client := env.sendRequest("post")
	waits := func() *request {
		for _, request := range env.dispatcher.requestsByID() {
			if request.lease.startWaiting != nil {
				return request
			}
		}
		return nil
	}
	env.waitFor(eventloop.Second, "a prefill that waits", func() bool { return waits() != nil })
	for _, endpoint := range env.prefillEndpoints() {
		if env.dispatcher.discovery.EndpointID(endpoint.id) == waits().attempt.endpoint {
			before := endpoint.count("POST")
			env.agent.update(false, endpoint.entry("DRAINING"))
			if got := env.finalStatus(client); got != 200 || endpoint.count("POST") != before {
				t.Errorf("answered %d; the draining endpoint was sent %d more", got, endpoint.count("POST")-before)
			}
			env.requireIdle()
			return
		}
	}
	t.Error("it waits for no prefill endpoint")
}

// TestDrainingEndpointGetsNothingNew: nothing new goes to an endpoint that drains; a stream goes on, and a full list of
// one leaves no other.
func TestDrainingEndpointGetsNothingNew(t *testing.T) {
	env := newTestEnv(t, 256, "prefill", "decode")
	serveAll(env.endpoints[1:], func(conn *endpointConn) { conn.stream(tokenEvent) })
	client := env.sendRequest("explain")
	env.waitFor(eventloop.Second, "its stream", func() bool { return len(client.events) > 0 })
	other := env.addEndpoint("s-9", "decode")
	env.agent.update(false, other.entry("SERVING"), env.endpoints[1].entry("DRAINING"))
	env.network.Run(10 * eventloop.Millisecond)
	got := env.finalStatus(env.sendRequest("post"))
	if got != 200 || env.endpoints[1].count("POST") != 1 || other.count("POST") != 1 {
		t.Errorf("answered %d; the draining endpoint was sent %d", got, env.endpoints[1].count("POST"))
	}
	if client.closed {
		t.Error("the stream was cut")
	}
	env.agent.update(true, env.endpoints[0].entry("SERVING"))
	env.network.Run(10 * eventloop.Millisecond)
	if env.dispatcher.Ready() || len(env.dispatcher.ready) != 1 {
		t.Errorf("%d endpoints are left by a full list of one", len(env.dispatcher.ready))
	}
}

// TestDrainWhileConnecting: an attempt whose connection opens only after the drain is cancelled, and goes elsewhere,
// also with side effects.
func TestDrainWhileConnecting(t *testing.T) {
	env := newTestEnv(t, 256, "prefill", "decode")
	// The prefill endpoint's connection is there from now on; the decode endpoint is left to close its own.
	env.finalStatus(env.sendRequest("post"))
	env.endpoints[1].loop.Do(func() { env.endpoints[1].listener.Close() })
	slow := env.addEndpoint("s-9", "decode")
	other := env.addEndpoint("s-10", "decode")
	env.agent.update(false, env.endpoints[1].entry("DELETED"), slow.entry("SERVING"))
	env.network.Run(10 * eventloop.Millisecond)
	env.network.Latency = 40 * eventloop.Millisecond
	client := env.sendRequest("post")
	env.waitFor(eventloop.Second, "the decode attempt's connection", func() bool { return slow.opened > 0 })
	// The endpoint has accepted; the dispatcher learns of that one latency later, and of the drain before that.
	env.network.Latency = 10 * eventloop.Millisecond
	env.agent.update(false, slow.entry("DRAINING"), other.entry("SERVING"))
	if got := env.finalStatus(client); got != 200 || slow.count("POST") != 0 || other.count("POST") != 1 {
		t.Errorf("answered %d; the draining endpoint was sent %d, the other %d", got, slow.count("POST"), other.count("POST"))
	}
	env.requireIdle()
}
