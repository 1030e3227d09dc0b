package platform

import (
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/scheduler"
)

const (
	rawStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	rawInterim    = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	// unreadableReport ends a response head with a load report that can't be parsed.
	unreadableReport = "\r\nSrv-Load: {{\xff\r\n\r\n"
)

var rawStreamUnreadableReport = strings.TrimSuffix(rawStreamHead, "\r\n\r\n") + unreadableReport + rawStreamBody

// rawStreamBody is a complete chunked body: a stream of one event, and the last chunk.
var rawStreamBody = string(http1.AppendLastChunk(http1.AppendChunk(nil, sse.Append(nil, []byte(tokenEvent)))))

// sendRaw answers with the given bytes, which need not be valid HTTP.
func sendRaw(text string) func(*endpointConn) {
	return func(conn *endpointConn) { conn.socket.Write([]byte(text)) }
}

// sendAfterStart starts a stream with one event and then sends the given bytes, which need not be valid HTTP.
func sendAfterStart(text string) func(*endpointConn) {
	return func(conn *endpointConn) {
		conn.stream(tokenEvent)
		conn.socket.Write([]byte(text))
	}
}

func respond(status int) func(*endpointConn) {
	return func(conn *endpointConn) { conn.answer(status, "") }
}

func decline(status int) func(*endpointConn) {
	return func(conn *endpointConn) { conn.decline(status) }
}

func reset(conn *endpointConn) { conn.socket.Abort() }

func closeConn(conn *endpointConn) { conn.socket.Close() }

func startStream(conn *endpointConn) { conn.stream(tokenEvent) }

func closeBeforeLastChunk(conn *endpointConn) {
	conn.stream(completeStream...)
	conn.socket.Close()
}

// attemptTest says how the first decode attempt ends, and how the request is expected to end. Later attempts succeed.
type attemptTest struct {
	name  string
	first func(*endpointConn)
	// The field explain is the final status of an idempotent request, and post is the final status of a request with side
	// effects. 0 means that the client's connection ends without the last chunk.
	explain, post int
}

var attemptTests = []attemptTest{
	{"error", respond(500), 200, 500},
	{"declined", decline(503), 200, 200},
	{"declined as late", decline(504), 200, 200},
	{"state missing", decline(410), 200, 200},
	{"503 without the declined header", respond(503), 200, 500},
	{"410 without the declined header", respond(410), 200, 500},
	{"reset", reset, 200, 500},
	{"closed", closeConn, 200, 500},
	{"noise", sendRaw("\x01\x02 noise"), 200, 500},
	{"unreadable head", sendRaw("HTTP/1.1 200 OK\r\nno field\r\n\r\n"), 200, 500},
	{"endless head", sendRaw("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 64<<10)), 200, 500},
	{"unreadable chunk at once", sendRaw(rawStreamHead + "zz\r\n"), 200, 500},
	{"huge chunk at once", sendRaw(rawStreamHead + "C0000000\r\n" + strings.Repeat("x", 300<<10)), 200, 500},
	{"stream without an event", sendRaw(rawStreamHead + "0\r\n\r\n"), 200, 500},
	{"unreadable event", sendRaw(rawStreamHead + "8\r\ndata: {\n\r\n2\r\n\n\n\r\n"), 200, 500},
	{"unreadable chunk later", sendAfterStart("zz\r\n"), 0, 0},
	{"chunk that does not fit", sendAfterStart("3\r\nabcdef\r\n"), 0, 0},
	{"huge chunk later", sendAfterStart("C0000000\r\n" + strings.Repeat("x", 300<<10)), 0, 0},
	{"broken later", closeBeforeLastChunk, 0, 0},
	{"silent later", startStream, 0, 0},
	{"interim responses", sendRaw(rawInterim + rawStreamHead + rawStreamBody), 200, 200},
	{"unreadable load report", sendRaw(rawStreamUnreadableReport), 200, 200},
	{"a second answer right after", sendRaw(strings.Repeat(rawStreamHead+rawStreamBody, 2)), 200, 200},
}

// TestAttemptOutcomes runs a request for each way in which an attempt can end. An idempotent request is retried; a
// request with side effects is retried only if its decode attempt is known not to have run.
func TestAttemptOutcomes(t *testing.T) {
	for _, test := range attemptTests {
		t.Run(test.name+", explain", func(t *testing.T) {
			env, _ := runWithFirstAttempt(t, test.first, "explain", test.explain)
			// Bytes that follow a response must not be taken for the response to the next request on the connection. Requests
			// with side effects show such an error, because they are not retried.
			env.network.Run(3 * eventloop.Second)
			for range 6 {
				if got := env.finalStatus(env.sendRequest("post")); got != 200 {
					t.Errorf("a later request was answered %d", got)
				}
			}
		})
		t.Run(test.name+", post", func(t *testing.T) {
			_, attempts := runWithFirstAttempt(t, test.first, "post", test.post)
			if test.post != 200 && attempts > 1 {
				t.Error("the request was run twice")
			}
		})
	}
}

// runWithFirstAttempt runs a request whose first decode attempt is served by the function first and whose expected
// final status is want. It returns how many decode attempts were made.
func runWithFirstAttempt(t *testing.T, first func(*endpointConn), class string, want int) (*testEnv, int) {
	t.Helper()
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	attempts := 0
	serve := serveFirst(first, serveDecode)
	serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
		attempts++
		serve(conn)
	})
	client := env.sendRequest(class)
	began := env.network.Now()
	if got := env.finalStatus(client); got != want {
		t.Errorf("answered %d, want %d", got, want)
	}
	if env.network.Now()-began > 5*eventloop.Second {
		t.Errorf("the client waited %d ms for its answer", (env.network.Now()-began)/eventloop.Millisecond)
	}
	env.requireIdle()
	return env, attempts
}

// TestPrefillIsRetriedElsewhere checks that a prefill that fails in any way is retried at another endpoint, even for a
// request with side effects: a prefill has no side effects.
func TestPrefillIsRetriedElsewhere(t *testing.T) {
	for name, first := range map[string]func(*endpointConn){
		"error":    respond(500),
		"reset":    reset,
		"noise":    sendRaw("noise"),
		"declined": decline(503),
		"silent":   hang,
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 256, defaultEndpointKinds...)
			serveAll(env.prefillEndpoints(), serveFirst(first, servePrefill))
			if got := env.finalStatus(env.sendRequest("post")); got != 200 {
				t.Errorf("answered %d", got)
			}
			env.requireIdle()
		})
	}
}

// TestStreamWithoutFraming checks streams that have neither a length nor chunks and last until their connection ends.
// Such a stream is complete only if its last event has arrived. A stream that broke must not be ended with the last
// chunk, because the client would take the stream for complete.
func TestStreamWithoutFraming(t *testing.T) {
	for name, test := range map[string]struct {
		events   []string
		end      func(eventloop.Conn)
		complete bool
	}{
		"complete":                {[]string{tokenEvent, stopEvent, "[DONE]"}, eventloop.Conn.Close, true},
		"reset":                   {[]string{tokenEvent}, eventloop.Conn.Abort, false},
		"closed before its end":   {[]string{tokenEvent, stopEvent}, eventloop.Conn.Close, false},
		"reset after its end":     {[]string{tokenEvent, stopEvent, "[DONE]"}, eventloop.Conn.Abort, true},
		"closed without an event": {nil, eventloop.Conn.Close, false},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 256, defaultEndpointKinds...)
			serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
				conn.socket.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"))
				for _, e := range test.events {
					conn.socket.Write(sse.Append(nil, []byte(e)))
				}
				conn.endpoint.loop.AfterFunc(50*eventloop.Millisecond, func() { test.end(conn.socket) })
			})
			client := env.sendRequest("post")
			env.waitFor(5*eventloop.Second, "the end of the stream", client.done)
			env.network.Run(100 * eventloop.Millisecond)
			if complete := len(client.statuses) == 1 && client.statuses[0] == 200; complete != test.complete {
				t.Errorf("the client's stream is complete: %v, with %d events", complete, len(client.events))
			}
			env.requireIdle()
		})
	}
}

// bigBody doesn't fit into the receive window of an endpoint that reads nothing.
var bigBody = `{"messages":["` + strings.Repeat("x", 100<<10) + `"]}`

// TestBrokenBeforeLastByteHasNotRun checks that an attempt that was not written completely counts as not run. So a
// request with side effects is retried at another endpoint, and no state is released for such an attempt.
func TestBrokenBeforeLastByteHasNotRun(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	env.network.ReceiveWindow = 16 << 10
	broken := false
	for _, endpoint := range env.decodeEndpoints() {
		endpoint.relisten(func(conn *endpointConn) {
			if !broken { // the first connection reads nothing, fills its receive window and is reset
				broken = true
				conn.socket.SetPaused(true)
				endpoint.loop.AfterFunc(50*eventloop.Millisecond, conn.socket.Abort)
			}
		})
	}
	if got := env.finalStatus(env.sendRequest("post", "body", bigBody)); got != 200 || !broken {
		t.Errorf("answered %d", got)
	}
	env.requireIdle()
	// An attempt that times out or is cancelled before its last byte is written can't have run either, so there is nothing
	// to release.
	for _, endpoint := range env.prefillEndpoints() {
		endpoint.relisten(func(conn *endpointConn) { conn.socket.SetPaused(true) })
	}
	env.network.Run(20 * eventloop.Second)
	released := env.releases()
	for _, class := range []string{"explain", "post"} {
		if got := env.finalStatus(env.sendRequest(class, "body", bigBody)); got != 503 {
			t.Errorf("%s: no endpoint has read the request, but it was answered %d", class, got)
		}
	}
	env.requireIdle()
	outcomes := &env.dispatcher.Outcomes
	if outcomes[scheduler.TimedOut] > 0 || outcomes[scheduler.Cancelled] > 0 || env.releases() > released {
		t.Errorf("outcomes %v, %d releases", *outcomes, env.releases()-released)
	}
}

// TestAnswerBeforeRequestIsSent checks that the dispatcher ignores a response that an endpoint sends before it has
// received the complete request. The endpoint can't have run the request, whatever it answers.
func TestAnswerBeforeRequestIsSent(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	env.network.ReceiveWindow = 16 << 10
	answered := false
	for _, endpoint := range env.decodeEndpoints() {
		endpoint.relisten(func(conn *endpointConn) {
			if answered {
				return
			}
			answered = true // the first connection reads nothing but answers; part of the request is in its receive window
			conn.socket.SetPaused(true)
			endpoint.loop.AfterFunc(10*eventloop.Millisecond, func() {
				conn.stream(`{"choices":[]}`)
				conn.endStream()
			})
		})
	}
	client := env.sendRequest("post", "body", bigBody)
	got := env.finalStatus(client)
	if got != 200 || !answered || len(client.events) == 0 || client.events[0] != tokenEvent {
		t.Errorf("answered %d with %.60q", got, client.events)
	}
	env.requireIdle()
}

// TestEndpointThatDoesNotRead checks that an attempt is given up if it can't be written within the connect timeout. The
// request is then retried at another endpoint, even if it has side effects. Because of this timeout, a retry can't
// arrive after the retry window.
func TestEndpointThatDoesNotRead(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	env.network.ReceiveWindow = 16 << 10
	paused := false
	for _, endpoint := range env.decodeEndpoints() {
		endpoint.relisten(func(conn *endpointConn) {
			if !paused {
				paused = true
				conn.socket.SetPaused(true)
			}
		})
	}
	began := env.network.Now()
	client := env.sendRequest("post", "body", bigBody)
	if got := env.finalStatus(client); got != 200 {
		t.Errorf("answered %d", got)
	}
	took := client.answeredAt - began
	if took > eventloop.Second || env.dispatcher.Outcomes[scheduler.Unreachable] != 1 {
		t.Errorf("answered after %d ms with outcomes %v", took/eventloop.Millisecond, env.dispatcher.Outcomes)
	}
	env.requireIdle()
}
