package platform

import (
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// TestRequestIsServedUnchanged checks that a request reaches the endpoints, and its response the client, unchanged.
func TestRequestIsServedUnchanged(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	client := env.sendRequest("explain", "Req-Id", "00ABcdef.x-1")
	if got := env.finalStatus(client); got != 200 {
		t.Fatalf("answered %d", got)
	}
	if !slices.Equal(client.events, completeStream) {
		t.Errorf("events %q, want them unchanged", client.events)
	}
	for _, endpoint := range env.endpoints {
		for i, head := range endpoint.received {
			unchanged := head.Get("Req-Id") == "00ABcdef.x-1" && head.Target == "/v1/chat/completions?a=b"
			if !unchanged || endpoint.bodies[i] != defaultBody || !strings.HasSuffix(head.Get("Req-Deadline"), "u") {
				t.Errorf("%s was sent %+v %q", endpoint.id, head, endpoint.bodies[i])
			}
		}
	}
	if env.attempts() != 2 || env.releases() != 0 {
		t.Errorf("%d attempts, %d releases", env.attempts(), env.releases())
	}
	if client.closed {
		t.Error("the client's connection was closed")
	}
	env.requireIdle()
}

// TestDeadline checks that a request that can't be served in time is answered before its client's deadline. If a decode
// attempt is in flight, a request with side effects must not be answered as safe to retry.
func TestDeadline(t *testing.T) {
	for class, want := range map[string]int{"explain": 503, "post": 500} {
		env := newTestEnv(t, 256, defaultEndpointKinds...)
		serveAll(env.decodeEndpoints(), hang)
		began := env.network.Now()
		client := env.sendRequest(class, "Req-Deadline", "1500000u")
		if got := env.finalStatus(client); got != want {
			t.Errorf("%s: answered %d, want %d", class, got, want)
		}
		if late := client.answeredAt - began - 1500*eventloop.Millisecond; late > 0 {
			t.Errorf("%s: answered %d µs late", class, late)
		}
		if want == 503 && client.head.Get("Retry-After") == "" {
			t.Error("the rejection has no Retry-After")
		}
		env.requireIdle()
		if env.releases() == 0 && class == "explain" {
			t.Error("the request's state was not released")
		}
	}
}

// TestBadRequests checks that each invalid request gets an error response or a close within 3 s and never reaches an
// endpoint.
func TestBadRequests(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	good := env.requestText("explain")
	twice := func(field string) string { return strings.Replace(good, "Host: ", field+"\r\nHost: ", 1) }
	if !strings.Contains(good, "Content-Length: 44") {
		t.Fatal("the request's length has changed")
	}
	withLength := func(field string) string { return strings.Replace(good, "Content-Length: 44", field, 1) }
	for name, test := range map[string]struct {
		input string
		want  int // the status; 0 if a close without a response is enough
	}{
		"no id":                  {env.requestText("explain", "Req-Id", "-"), 400},
		"unreadable id":          {env.requestText("explain", "Req-Id", "a b"), 400},
		"id with a path":         {env.requestText("explain", "Req-Id", "../x"), 400},
		"id of dots":             {env.requestText("explain", "Req-Id", ".."), 400},
		"two ids":                {twice("Req-Id: 12"), 400},
		"two lengths":            {twice("Content-Length: 44"), 400},
		"length and coding":      {twice("Transfer-Encoding: chunked"), 400},
		"unknown kind":           {env.requestText("nonsense"), 400},
		"no kind":                {env.requestText("-"), 400},
		"no time limit":          {env.requestText("explain", "Req-Deadline", "-"), 400},
		"time limit in seconds":  {env.requestText("explain", "Req-Deadline", "4s"), 400},
		"time limit no number":   {env.requestText("explain", "Req-Deadline", "soon"), 400},
		"time limit without m":   {env.requestText("explain", "Req-Deadline", "4000"), 400},
		"negative time limit":    {env.requestText("explain", "Req-Deadline", "-5m"), 400},
		"extra no number":        {env.requestText("explain", "Req-Extra", "prompt_len=many"), 400},
		"extra not a number":     {env.requestText("explain", "Req-Extra", "prompt_len=NaN"), 400},
		"extra below zero":       {env.requestText("explain", "Req-Extra", "max_out=-1"), 400},
		"extra without a value":  {env.requestText("explain", "Req-Extra", "prompt_len"), 400},
		"body cut by its length": {withLength("Content-Length: 20"), 400},
		"body no JSON":           {env.requestText("explain", "body", "hello"), 400},
		"body no object":         {env.requestText("explain", "body", "[1]"), 400},
		"body too long":          {env.requestText("explain", "body", strings.Repeat("x", 257<<10)), 413},
		"length too long":        {withLength("Content-Length: 60000000"), 413},
		"negative length":        {withLength("Content-Length: -44"), 400},
		"length no number":       {withLength("Content-Length: 99999999999999999999999"), 400},
		"half a request":         {good[:len(good)-5], 408},
		"half a head":            {good[:60], 408},
		"endless head":           {"GET /up HTTP/1.1\r\nX: " + strings.Repeat("x", 40<<10), 431},
		"noise":                  {"\x00\xff\r\n\r\n", 400},
		"nothing":                {"", 0},
		"another path":           {strings.Replace(good, "/v1/chat/completions", "/v1/models", 1), 404},
		"another method":         {strings.Replace(good, "POST", "PUT", 1), 405},
		"unknown coding":         {withLength("Transfer-Encoding: zip"), 501},
		"endless chunks": {strings.TrimSuffix(withLength("Transfer-Encoding: chunked"), defaultBody) +
			strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 20), 413},
	} {
		client := env.connect(test.input)
		env.waitFor(3*eventloop.Second, name+": an end", client.done)
		if test.want != 0 && !slices.Equal(client.statuses, []int{test.want}) {
			t.Errorf("%s: answered %v, want %d", name, client.statuses, test.want)
		}
	}
	if env.attempts() != 0 || env.dispatcher.Accepted != 0 {
		t.Errorf("%d requests were accepted, %d attempts were made", env.dispatcher.Accepted, env.attempts())
	}
	env.requireIdle()
}

// TestDuplicateRequestID checks that a request is rejected if its id belongs to one that is open or ended recently.
func TestDuplicateRequestID(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveAll(env.decodeEndpoints(), func(conn *endpointConn) { conn.stream(tokenEvent) })
	client := env.sendRequest("explain", "Req-Id", "77")
	env.waitFor(eventloop.Second, "its stream", func() bool { return len(client.events) > 0 })
	if got := env.finalStatus(env.sendRequest("explain", "Req-Id", "77")); got != 409 {
		t.Errorf("the duplicate was answered %d", got)
	}
	env.finalStatus(client)
	if got := env.finalStatus(env.sendRequest("explain", "Req-Id", "77")); got != 409 {
		t.Errorf("the duplicate after the request's end was answered %d", got)
	}
	if env.attempts() != 2 {
		t.Errorf("%d attempts", env.attempts())
	}
}

// TestBytesCutAnywhere checks that lists and requests are handled alike wherever the network splits their bytes.
func TestBytesCutAnywhere(t *testing.T) {
	for _, maxSegment := range []int{1, 3, 50} {
		env := newTestEnv(t, 256, defaultEndpointKinds...)
		env.network.MaxSegment = maxSegment
		env.agent.update(true, env.serving(0, 2)...)
		env.network.Run(eventloop.Second)
		if len(env.dispatcher.ready) != 2 {
			t.Errorf("segments of %d bytes: %d endpoints are ready", maxSegment, len(env.dispatcher.ready))
		}
		client := env.sendRequest("post")
		if got := env.finalStatus(client); got != 200 || !slices.Equal(client.events, completeStream) {
			t.Errorf("segments of %d bytes: answered %d with %q", maxSegment, got, client.events)
		}
		env.requireIdle()
	}
}

// TestPenaltyAfterRejection checks that the connection of a client that sends invalid requests is not served for a
// while after each of them.
func TestPenaltyAfterRejection(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	bad := env.requestText("nonsense")
	began := env.network.Now()
	client := env.connect(bad + bad + bad)
	env.waitFor(eventloop.Second, "three answers", func() bool { return len(client.statuses) == 3 })
	if !slices.Equal(client.statuses, []int{400, 400, 400}) || client.answeredAt-began < 200*eventloop.Millisecond {
		t.Errorf("answered %v in %d µs", client.statuses, client.answeredAt-began)
	}
}

// TestHeaderFieldsAreForwarded checks that an endpoint gets the header fields that the client sent, such as the
// idempotency key, except those that concern the client's own connection. The endpoint gets each field once. The
// deadline field holds the time that remains until the client's deadline.
func TestHeaderFieldsAreForwarded(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	text := strings.Replace(env.requestText("explain", "Req-Id", "77"), "Host: ", "Idempotency-Key: fc46\r\n"+
		"X-Custom:  a, b\r\nConnection: keep-alive, X-Hop, Req-Id\r\nX-Hop: 1\r\nTE: trailers\r\nHost: ", 1)
	if got := env.finalStatus(env.connect(text)); got != 200 {
		t.Fatalf("answered %d", got)
	}
	for _, endpoint := range env.endpoints {
		for _, head := range endpoint.received {
			for name, want := range map[string]string{
				"Idempotency-Key": "fc46", "X-Custom": "a, b", "Req-Id": "77", "Req-Kind": "explain",
				"Req-Key": "7f3a9c21e0b4d655", "Host": endpoint.address, "X-Hop": "", "TE": "", "Connection": "",
			} {
				if got := head.Get(name); got != want {
					t.Errorf("%s: %s is %q, want %q", endpoint.id, name, got, want)
				}
			}
			seen := map[string]bool{}
			for _, f := range head.Fields {
				if name := strings.ToLower(f.Name); seen[name] {
					t.Errorf("%s: two fields %s", endpoint.id, f.Name)
				} else {
					seen[name] = true
				}
			}
		}
	}
}

// TestPipelinedRequestDeadline checks that the deadline of a pipelined request counts from its arrival, not from when
// the response before it has ended.
func TestPipelinedRequestDeadline(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	serveSlowly := func(conn *endpointConn) {
		conn.endpoint.loop.AfterFunc(800*eventloop.Millisecond, func() { serveDecode(conn) })
	}
	serveAll(env.decodeEndpoints(), serveFirst(serveSlowly, hang))
	began := env.network.Now()
	client := env.connect(env.requestText("explain") + env.requestText("explain", "Req-Deadline", "1500m"))
	env.waitFor(10*eventloop.Second, "two answers", func() bool { return len(client.statuses) == 2 })
	if took := client.answeredAt - began; took > 1500*eventloop.Millisecond {
		t.Errorf("the second request was answered after %d ms, want at most 1500", took/eventloop.Millisecond)
	}
	env.requireIdle()
}

// The deadline of the third of three pipelined requests counted from when the second was begun. The third one was
// answered late by the time that the first had taken.
func TestDeadlineOfEachPipelinedRequestCountsFromItsArrival(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	served := 0
	serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
		if served++; served <= 2 {
			conn.endpoint.loop.AfterFunc(800*eventloop.Millisecond, func() { serveDecode(conn) })
		}
	})
	began := env.network.Now()
	text := env.requestText("explain") + env.requestText("explain") + env.requestText("explain", "Req-Deadline", "1800m")
	client := env.connect(text)
	env.waitFor(10*eventloop.Second, "three answers", func() bool { return len(client.statuses) == 3 })
	if took := client.answeredAt - began; took > 1800*eventloop.Millisecond {
		t.Errorf("the third request was answered after %d ms, want at most 1800", took/eventloop.Millisecond)
	}
	env.requireIdle()
}
