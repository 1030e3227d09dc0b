package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/virtual"
)

// Prefill state is released even if all connections to its endpoint are in use, or no file descriptor is left.
func TestReleaseNeedsNoFreeConnection(t *testing.T) {
	for name, exhaust := range map[string]func(r *harness){
		"all connections in use": func(r *harness) {
			r.endpoints[0].serve = neverAnswer
			for range r.deployment.Dispatching.Connections {
				r.ask("explain")
			}
		},
		"no descriptor is left": func(r *harness) {
			r.endpoints[0].serve = neverAnswer
			r.ask("explain") // takes the idle connection
			r.network.Run(20 * eventloop.Millisecond)
			r.takeDescriptors(4000, 250)
		},
	} {
		r := newHarness(t, func(dep deployment.Deployment) { dep.Dispatching.Connections = 3 }, "prefill west", "decode west")
		r.endpoints[1].serve = neverAnswer
		c := r.ask("review-post", "x-time-limit-ms", "600")
		r.network.Run(100 * eventloop.Millisecond) // the decode endpoint has the request and does not answer it
		if r.endpoints[1].attempts() != 1 {
			t.Fatal("the request was not sent to the decode endpoint")
		}
		exhaust(r)
		r.network.Run(100 * eventloop.Millisecond)
		before := r.endpoints[0].releases()
		r.runUntil(eventloop.Second, func() bool { return len(c.finals) > 0 })
		r.expectRelease(r.endpoints[0], before, name)
		r.virtual().DescriptorLimit = 0
		r.endpoints[0].serve, r.endpoints[1].serve = answerPrefill, answerDecode
		r.network.Run(10 * eventloop.Second)
		r.expectFinal(r.ask("review-post"), "streamed")
	}
}

// takeDescriptors leaves the dispatcher no file descriptors but the two reserved ones, and connects silent clients one
// after another, which take each descriptor that becomes free. The returned slice grows as the clients connect.
func (r *harness) takeDescriptors(clients int, interval eventloop.Micros) *[]*silentClient {
	var connected []*silentClient
	r.virtual().DescriptorLimit = r.virtual().OpenConnections() + 2
	for i := range clients {
		r.remote.Do(func() {
			r.remote.AfterFunc(eventloop.Micros(i)*interval, func() {
				client := &silentClient{}
				client.conn = r.remote.Dial(r.addr, eventloop.Second, client)
				connected = append(connected, client)
			})
		})
	}
	return &connected
}

// A prefill endpoint is unreachable for longer than its state may wait. Once it is reachable again, all of the state is
// released.
func TestReleaseIsRetriedAfterAPartition(t *testing.T) {
	r := newHarness(t, func(dep deployment.Deployment) {
		dep.Dispatching.IdleMs = 50 // idle connections close soon, so a release needs a new one
	}, "prefill west", "decode west")
	r.endpoints[1].serve = neverAnswer
	var calls []*clientCall
	for range 5 {
		calls = append(calls, r.ask("review-post", "x-time-limit-ms", "800"))
	}
	r.network.Run(300 * eventloop.Millisecond)
	if r.endpoints[1].attempts() != 5 {
		t.Fatalf("%d requests were sent to the decode endpoint, want 5", r.endpoints[1].attempts())
	}
	d, far := r.virtual(), r.remote.(*virtual.Loop)
	r.network.Block(far, d, 3*eventloop.Second)
	r.network.Run(3 * eventloop.Second)
	for i, c := range calls {
		if len(c.finals) != 1 {
			t.Errorf("call %d: %v", i, c.finals)
		}
	}
	r.endpoints[1].serve = answerDecode
	r.network.Run(milliseconds(r.deployment.Rules.LetGoMs))
	var released strings.Builder
	for _, c := range r.endpoints[0].seen {
		if c.target == "/v1/kv/release" {
			released.Write(c.body)
		}
	}
	for i := range 5 {
		if name := fmt.Sprintf(`"d-%d-0"`, i+1); !strings.Contains(released.String(), name) {
			t.Errorf("%s was not released: %s", name, released.String())
		}
	}
	n := len(r.endpoints[0].seen)
	r.network.Run(12 * eventloop.Second)
	if more := len(r.endpoints[0].seen) - n; more > 0 {
		t.Errorf("%d more requests after the releases", more)
	}
	r.expectFinal(r.ask("review-post"), "streamed")
}

// If descriptors run short, idle connections to other endpoints are closed for a new connection.
func TestIdleConnectionsAreEvictedForNewOnes(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west", "decode west", "decode west")
	for range 12 { // each of the decode endpoints has an idle connection
		r.expectFinal(r.ask("explain"), "streamed")
	}
	for _, endpoint := range r.endpoints[1:3] {
		r.updateEndpoints(endpoint.entry("draining"))
	}
	r.updateEndpoints(r.endpoints[0].entry("gone"))
	next := &fakeEndpoint{harness: r, id: 9, kind: "prefill", zone: "west", serve: answerPrefill}
	r.remote.Do(next.listen)
	r.endpoints = append(r.endpoints, next)
	r.updateEndpoints(next.entry("ready"))
	r.network.Run(100 * eventloop.Millisecond)
	r.virtual().DescriptorLimit = r.virtual().OpenConnections() + 3 // the client's connection and the reserved descriptors
	r.expectFinal(r.ask("review-post"), "streamed")
}

// Clients' connections are limited, so that descriptors are left for everything else. Beyond the limit, a request is
// rejected and its connection closed; beyond an eighth more, a connection is not served. Idle connections are closed
// for new ones. Once there are few connections again, requests are served as before.
func TestClientConnectionsAreLimited(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	r.dispatcher.frontend.MaxConnections = 8
	running := r.ask("explain")
	r.endpoints[1].serve = func(c *fakeConn) {
		streamFirstEvent(c)
		c.after(3*eventloop.Second, c.finishStream)
	}
	r.network.Run(100 * eventloop.Millisecond)
	var idle []*silentClient
	for range 7 {
		idle = append(idle, r.connectSilently())
	}
	r.network.Run(100 * eventloop.Millisecond)
	c := r.ask("explain")
	r.runUntil(eventloop.Second, func() bool { return len(c.finals) > 0 })
	if len(c.finals) != 1 || c.finals[0] != "throttled" || c.head.KeepAlive() || r.endpoints[0].attempts() != 1 {
		t.Errorf("beyond the limit: final answers %v, connection kept: %v, %d attempts",
			c.finals, c.head.KeepAlive(), r.endpoints[0].attempts())
	}
	for range 4 {
		r.connectSilently()
	}
	c = r.ask("explain")
	r.runUntil(eventloop.Second, func() bool { return c.closed })
	if len(c.finals) != 1 || c.finals[0] != "throttled" || r.virtual().OpenConnections() > 16 {
		t.Errorf("beyond an eighth more: final answers %v, %d connections", c.finals, r.virtual().OpenConnections())
	}
	r.network.Run(2 * eventloop.Second)
	r.ask("explain") // an idle connection is closed for this one
	r.network.Run(100 * eventloop.Millisecond)
	if !idle[0].closed {
		t.Error("the connection that was idle the longest is still open")
	}
	for _, client := range idle {
		r.remote.Do(client.conn.Abort)
	}
	r.expectFinal(running, "streamed")
	r.endpoints[1].serve = answerDecode
	r.network.Run(8 * eventloop.Second)
	r.dispatcher.frontend.MaxConnections = 40
	r.expectFinal(r.ask("explain"), "streamed")
}

// The bodies of pending requests, and bodies that never end, are buffered up to a limit on the bytes of all bodies
// together. Beyond the limit, requests are rejected and their bodies are not buffered. Afterwards the memory is free
// again and requests are served.
func TestBufferedBodiesAreBounded(t *testing.T) {
	const maxBody, bodySize, clients = 20000, 19000, 120
	text := strings.Repeat("a", bodySize-200)
	completeBody := `{"model":"explain","stream":true,"messages":[{"role":"user","content":"` + text + `"}]}`
	endlessRequest := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + apiKey +
		"\r\nContent-Type: application/json\r\nContent-Length: 20000\r\n\r\n" + text
	for _, complete := range []bool{true, false} {
		r := newHarness(t, func(dep deployment.Deployment) { dep.Doors.BodyMost = maxBody }, "prefill west", "decode west")
		r.updateEndpoints(r.endpoints[1].entry("gone"))
		bound, most := maxBufferedBodies*maxBody, 0
		var calls []*clientCall
		for range clients {
			if complete {
				calls = append(calls, r.send(completeBody))
			} else {
				calls = append(calls, r.dial(r.newClientCall([]byte(endlessRequest))))
			}
			r.network.Run(5 * eventloop.Millisecond)
			most = max(most, r.dispatcher.frontend.BufferedBytes)
		}
		r.network.Run(100 * eventloop.Millisecond)
		if most > bound || most < bound/2 {
			t.Errorf("complete %v: up to %d bytes of bodies were buffered, the limit is %d", complete, most, bound)
		}
		if rejected := countFinals(calls, "throttled"); complete &&
			(rejected < 40 || rejected > 70 || r.dispatcher.OpenRequests() > 70) {
			t.Errorf("%d of %d requests were rejected, %d are open", rejected, clients, r.dispatcher.OpenRequests())
		}
		r.network.Run(15 * eventloop.Second)
		if n := r.dispatcher.frontend.BufferedBytes; n != 0 {
			t.Errorf("complete %v: %d bytes are still counted at the end", complete, n)
		}
		r.updateEndpoints(r.endpoints[1].entry("ready"))
		r.expectFinal(r.ask("explain"), "streamed")
	}
}

// The memory that the answers of all batch calls will need is limited. A call beyond the limit is rejected.
func TestBatchAnswersAreBounded(t *testing.T) {
	const inputs = 1900
	r := newHarness(t, func(dep deployment.Deployment) {
		for _, p := range dep.Products {
			if p.Name == "embed" {
				p.Dimensions, p.TimeLimitMs = 16384, 5000
			}
		}
	}, "prefill west", "decode west")
	r.endpoints[0].serve = neverAnswer
	var calls []*clientCall
	for i := range 4 {
		var body strings.Builder
		body.WriteString(`{"model":"embed","input":[`)
		for n := range inputs {
			fmt.Fprintf(&body, `"text %d %d",`, i, n+1)
		}
		fmt.Fprintf(&body, `"last %d"]}`, i)
		calls = append(calls, r.post("/v1/embeddings", []byte(body.String())))
	}
	r.network.Run(500 * eventloop.Millisecond)
	batches := &r.dispatcher.batches
	if n := batches.answerBytes; n > maxBatchAnswerBytes || n < maxBatchAnswerBytes/3 {
		t.Errorf("%d bytes are counted for answers, the limit is %d", n, maxBatchAnswerBytes)
	}
	if f := calls[3].finals; len(f) != 1 || f[0] != "throttled" {
		t.Errorf("the last call: final answers %v", f)
	}
	r.network.Run(10 * eventloop.Second)
	buffered := r.dispatcher.frontend.BufferedBytes
	if batches.answerBytes != 0 || buffered != 0 || batches.openCalls != 0 {
		t.Errorf("at the end: %d bytes of answers, %d of bodies, %d calls", batches.answerBytes, buffered, batches.openCalls)
	}
	for i, c := range calls {
		if len(c.finals) != 1 {
			t.Errorf("call %d: %v", i, c.finals)
		}
	}
}
