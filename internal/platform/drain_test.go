package platform

import (
	"testing"

	"plumspindle/internal/eventloop"
)

// TestDrainDuringRelease checks that a prefill that waits for a release is not sent to its endpoint if the endpoint
// begins to drain meanwhile.
func TestDrainDuringRelease(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveAll(env.decodeEndpoints(), serveFirst(decline(410), serveDecode))
	for _, endpoint := range env.endpoints {
		endpoint.releaseDelay = 50 * eventloop.Millisecond
	}
	client := env.sendRequest("post")
	waitingRequest := func() *request {
		for _, request := range env.dispatcher.requestsByID() {
			if request.lease.startWaiting != nil {
				return request
			}
		}
		return nil
	}
	env.waitFor(eventloop.Second, "a prefill that waits", func() bool { return waitingRequest() != nil })
	for _, endpoint := range env.prefillEndpoints() {
		if env.dispatcher.discovery.EndpointID(endpoint.id) == waitingRequest().attempt.endpoint {
			before := endpoint.count("POST")
			env.agent.update(false, endpoint.entry("DRAINING"))
			if got := env.finalStatus(client); got != 200 || endpoint.count("POST") != before {
				t.Errorf("answered %d; the draining endpoint was sent %d more requests", got, endpoint.count("POST")-before)
			}
			env.requireIdle()
			return
		}
	}
	t.Error("the waiting attempt is not for a prefill endpoint")
}

// TestDrainingEndpointGetsNothingNew checks that an endpoint that drains gets no new attempts while its stream goes on,
// and that a full list removes the endpoints that it doesn't name.
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
		t.Errorf("answered %d; the draining endpoint was sent %d requests", got, env.endpoints[1].count("POST"))
	}
	if client.closed {
		t.Error("the stream was broken off")
	}
	env.agent.update(true, env.endpoints[0].entry("SERVING"))
	env.network.Run(10 * eventloop.Millisecond)
	if env.dispatcher.Ready() || len(env.dispatcher.ready) != 1 {
		t.Errorf("%d endpoints are ready after a full list of one", len(env.dispatcher.ready))
	}
}

// TestDrainWhileConnecting checks that an attempt is cancelled if its endpoint begins to drain before the connection
// has opened, and is retried at another endpoint, even for a request with side effects.
func TestDrainWhileConnecting(t *testing.T) {
	env := newTestEnv(t, 256, "prefill", "decode")
	// This request opens a connection to the prefill endpoint, which stays open. The decode endpoint is replaced, so the
	// next decode attempt needs a new connection.
	env.finalStatus(env.sendRequest("post"))
	env.endpoints[1].loop.Do(func() { env.endpoints[1].listener.Close() })
	slow := env.addEndpoint("s-9", "decode")
	other := env.addEndpoint("s-10", "decode")
	env.agent.update(false, env.endpoints[1].entry("DELETED"), slow.entry("SERVING"))
	env.network.Run(10 * eventloop.Millisecond)
	env.network.Latency = 40 * eventloop.Millisecond
	client := env.sendRequest("post")
	env.waitFor(eventloop.Second, "the decode attempt's connection", func() bool { return slow.opened > 0 })
	// The endpoint has accepted the connection. The dispatcher learns of the open connection one latency later. It learns
	// of the drain first, because the latency becomes shorter now.
	env.network.Latency = 10 * eventloop.Millisecond
	env.agent.update(false, slow.entry("DRAINING"), other.entry("SERVING"))
	if got := env.finalStatus(client); got != 200 || slow.count("POST") != 0 || other.count("POST") != 1 {
		t.Errorf("answered %d; the draining endpoint was sent %d, the other %d", got, slow.count("POST"), other.count("POST"))
	}
	env.requireIdle()
}
