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
	// oddReport is a load report that can't be read.
	oddReport = "\r\nSrv-Load: {{\xff\r\n\r\n"
)

var rawStreamOddReport = strings.TrimSuffix(rawStreamHead, "\r\n\r\n") + oddReport + rawStreamBody

// rawStreamBody is a stream of one event, to its last chunk.
var rawStreamBody = string(http1.AppendLastChunk(http1.AppendChunk(nil, sse.Append(nil, []byte(tokenEvent)))))

// sendRaw sends a text that need not be HTTP.
func sendRaw(text string) func(*endpointConn) {
	return func(conn *endpointConn) { conn.socket.Write([]byte(text)) }
}

// sendAfterStart starts a stream with an event and sends a text that need not be HTTP.
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

// attemptTest is how the first decode attempt ends, and what becomes of the request. Later attempts are good.
type attemptTest struct {
	name  string
	first func(*endpointConn)
	// Final statuses of an idempotent request and one with side effects; 0: the connection ends without the last chunk.
	explain, post int
}

var attemptTests = []attemptTest{
	{"error", respond(500), 200, 500},
	{"declined", decline(503), 200, 200},
	{"declined as late", decline(504), 200, 200},
	{"state missing", decline(410), 200, 200},
	{"503 that does not say so", respond(503), 200, 500},
	{"410 that does not say so", respond(410), 200, 500},
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
	{"unreadable load report", sendRaw(rawStreamOddReport), 200, 200},
	{"a second answer right after", sendRaw(strings.Repeat(rawStreamHead+rawStreamBody, 2)), 200, 200},
}

// TestAttemptOutcomes plays each row of the platform's outcomes through the complete path: an idempotent request is
// retried, one with side effects only where its decode attempt is known not to have run.
func TestAttemptOutcomes(t *testing.T) {
	for _, test := range attemptTests {
		t.Run(test.name+", explain", func(t *testing.T) {
			env, _ := playAttempt(t, test.first, "explain", test.explain)
			// What is behind an answer must not be taken for the next one. One with side effects would show it, as it is
			// not retried.
			env.network.Run(3 * eventloop.Second)
			for range 6 {
				if got := env.finalStatus(env.sendRequest("post")); got != 200 {
					t.Errorf("the next one was answered %d", got)
				}
			}
		})
		t.Run(test.name+", post", func(t *testing.T) {
			_, attempts := playAttempt(t, test.first, "post", test.post)
			if test.post != 200 && attempts > 1 {
				t.Error("it was run twice")
			}
		})
	}
}

// playAttempt plays a request whose first decode attempt is served in a special way, and returns how many there were.
func playAttempt(t *testing.T, first func(*endpointConn), class string, want int) (*testEnv, int) {
	t.Helper()
	env := newTestEnv(t, 256, usualEndpoints...)
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
		t.Errorf("the client waited %d ms", (env.network.Now()-began)/eventloop.Millisecond)
	}
	env.requireIdle()
	return env, attempts
}

// TestPrefillIsRetriedElsewhere: a prefill has no effect, however it ends.
func TestPrefillIsRetriedElsewhere(t *testing.T) {
	for name, first := range map[string]func(*endpointConn){
		"error":    respond(500),
		"reset":    reset,
		"noise":    sendRaw("noise"),
		"declined": decline(503),
		"silent":   hang,
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 256, usualEndpoints...)
			serveAll(env.prefillEndpoints(), serveFirst(first, servePrefill))
			if got := env.finalStatus(env.sendRequest("post")); got != 200 {
				t.Errorf("answered %d", got)
			}
			env.requireIdle()
		})
	}
}

// TestStreamWithoutFraming: a stream that goes on until its connection ends is complete only where its last event came;
// one that broke off is never ended with the last chunk.
func TestStreamWithoutFraming(t *testing.T) {
	for name, test := range map[string]struct {
		events   []string
		end      func(eventloop.Conn)
		complete bool
	}{
		"complete":                {[]string{tokenEvent, stopEvent, "[DONE]"}, eventloop.Conn.Close, true},
		"reset":                   {[]string{tokenEvent}, eventloop.Conn.Abort, false},
		"closed before its end":   {[]string{tokenEvent, stopEvent}, eventloop.Conn.Close, false},
		"reset behind its end":    {[]string{tokenEvent, stopEvent, "[DONE]"}, eventloop.Conn.Abort, true},
		"nothing and then closed": {nil, eventloop.Conn.Close, false},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 256, usualEndpoints...)
			serveAll(env.decodeEndpoints(), func(conn *endpointConn) {
				conn.socket.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"))
				for _, e := range test.events {
					conn.socket.Write(sse.Append(nil, []byte(e)))
				}
				conn.endpoint.loop.AfterFunc(50*eventloop.Millisecond, func() { test.end(conn.socket) })
			})
			client := env.sendRequest("post")
			env.waitFor(5*eventloop.Second, "the end", client.done)
			env.network.Run(100 * eventloop.Millisecond)
			if complete := len(client.statuses) == 1 && client.statuses[0] == 200; complete != test.complete {
				t.Errorf("the client's stream is complete: %v, with %d events", complete, len(client.events))
			}
			env.requireIdle()
		})
	}
}

// bigBody is more than an endpoint takes in that reads nothing.
var bigBody = `{"messages":["` + strings.Repeat("x", 100<<10) + `"]}`

// TestBrokenBeforeLastByteHasNotRun: what was not written completely can't have run, so that a request with side
// effects is retried elsewhere.
func TestBrokenBeforeLastByteHasNotRun(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
	env.network.ReceiveWindow = 16 << 10
	broken := false
	for _, endpoint := range env.decodeEndpoints() {
		endpoint.relisten(func(conn *endpointConn) {
			if !broken { // it takes in what its window takes, reads nothing, and breaks
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
	// Nor can it have run where it times out, or is cancelled, before that: there is nothing to release.
	for _, endpoint := range env.prefillEndpoints() {
		endpoint.relisten(func(conn *endpointConn) { conn.socket.SetPaused(true) })
	}
	env.network.Run(20 * eventloop.Second)
	released := env.releases()
	for _, class := range []string{"explain", "post"} {
		if got := env.finalStatus(env.sendRequest(class, "body", bigBody)); got != 503 {
			t.Errorf("%s: never read, and answered %d", class, got)
		}
	}
	env.requireIdle()
	outcomes := &env.dispatcher.Outcomes
	if outcomes[scheduler.TimedOut] > 0 || outcomes[scheduler.Cancelled] > 0 || env.releases() > released {
		t.Errorf("outcomes %v, %d releases", *outcomes, env.releases()-released)
	}
}

// TestAnswerBeforeRequestIsSent: an endpoint that answers before it has the complete request has not run it, whatever
// it says; that is not taken for the answer.
func TestAnswerBeforeRequestIsSent(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
	env.network.ReceiveWindow = 16 << 10
	answered := false
	for _, endpoint := range env.decodeEndpoints() {
		endpoint.relisten(func(conn *endpointConn) {
			if answered {
				return
			}
			answered = true // its window takes a part, it reads nothing and answers nevertheless
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

// TestEndpointThatDoesNotRead: an attempt that has not been written in the time for a connection never is; it goes
// elsewhere, also with side effects, and a retry can't arrive after its window.
func TestEndpointThatDoesNotRead(t *testing.T) {
	env := newTestEnv(t, 256, usualEndpoints...)
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
