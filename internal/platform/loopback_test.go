package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"plumspindle/scheduler"
)

// TestLoopbackPartialRequest checks that a request whose last bytes arrive after the shutdown is rejected and never
// forwarded, and that the process waits for those bytes.
func TestLoopbackPartialRequest(t *testing.T) {
	prefill, decode := newPrefillPeer(t), newDecodePeer(t)
	env := newLoopback(t, prefill, decode)
	text := requestOf("post", "half", 100)
	c, in := env.dial()
	env.send(c, text[:len(text)-10])
	env.waitFor("the first bytes are read", func() bool { return env.dispatcher.server.Active() > 0 })
	env.shutDown()
	env.await("the shutdown", env.drained)
	env.send(c, text[len(text)-10:])
	if got, _ := env.status(in); got != 503 || prefill.requests.Load()+decode.requests.Load() > 0 {
		t.Errorf("answered %d, after %d attempts", got, prefill.requests.Load()+decode.requests.Load())
	}
	env.await("the end of the shutdown", env.ended)
}

// TestLoopbackPipelinedRequests checks that all pipelined requests are answered, each once, even if the process shuts
// down: the first is served, and the later ones are rejected.
func TestLoopbackPipelinedRequests(t *testing.T) {
	hold := make(chan bool)
	decode := newPeer(t, "s-1", "decode", func(server *peer, c net.Conn, in *bufio.Reader) {
		for server.next(in) {
			<-hold
			if _, err := io.WriteString(c, rawStreamHead+rawStreamBody); err != nil {
				return
			}
		}
	})
	env := newLoopback(t, newPrefillPeer(t), decode)
	c, in := env.dial()
	env.send(c, requestOf("explain", "a", 100)+requestOf("explain", "b", 100)+requestOf("explain", "c", 100))
	env.shutDown()
	env.await("the shutdown", env.drained)
	close(hold)
	for i, want := range []int{200, 503, 503} {
		if got, _ := env.status(in); got != want {
			t.Errorf("request %d was answered %d, want %d", i, got, want)
		}
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v, want the end of the connection", err)
	}
	env.await("the end of the shutdown", env.ended)
}

// TestLoopbackSlowClient checks that the process doesn't end before a client that reads nothing for a while has
// received its stream to the last byte.
func TestLoopbackSlowClient(t *testing.T) {
	// The stream doesn't fit into the sockets' buffers, but is too short for the endpoint's stream to be paused, so the
	// endpoint finishes long before the client.
	const events = 40
	event := streamEvent(strings.Replace(tokenEvent, "Lamu", strings.Repeat("z", 2<<10), 1))
	decode := newPeer(t, "s-1", "decode", answerWith(rawStreamHead+strings.Repeat(event, events)+"0\r\n\r\n"))
	env := newLoopback(t, newPrefillPeer(t), decode)
	conn, in := env.dial()
	env.send(conn, requestOf("explain", "slow", 100))
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	env.waitFor("the endpoint has finished", func() bool { return len(env.dispatcher.requests) == 0 })
	env.shutDown()
	env.await("the shutdown", env.drained)
	select { // the client reads nothing for longer than the process would wait for idle connections
	case <-env.ended:
		t.Fatal("the shutdown ended before the client had read its stream")
	case <-time.After(time.Duration(2*idleCloseDelay) * time.Microsecond):
	}
	if got, body := env.status(in); got != 200 || strings.Count(body, "data: ") != events {
		t.Errorf("answered %d with %d events", got, strings.Count(body, "data: "))
	}
	_ = conn.Close()
	env.await("the end of the shutdown", env.ended)
}

// TestLoopbackEndpointThatDoesNotRead checks an attempt at an endpoint that doesn't read it. The attempt is never
// written completely, so it is retried at another endpoint, even for a request with side effects. A response that the
// endpoint sends before it has read the request is ignored.
func TestLoopbackEndpointThatDoesNotRead(t *testing.T) {
	for _, responds := range []bool{false, true} {
		reached := make(chan bool, 100)
		config := net.ListenConfig{Control: shrinkWindow}
		paused := newPeerWith(t, config, &peer{id: "s-1", kind: "decode"}, func(_ *peer, c net.Conn, in *bufio.Reader) {
			if line, err := in.ReadString('\n'); err != nil || strings.HasPrefix(line, "DELETE") {
				rest := bufio.NewReader(io.MultiReader(strings.NewReader(line), in))
				answerWith("HTTP/1.1 204 No Content\r\n\r\n")(&peer{}, c, rest)
				return
			}
			reached <- true
			if responds {
				_, _ = io.WriteString(c, rawStreamHead+streamEvent(`{"choices":[]}`)+"0\r\n\r\n")
			}
			<-t.Context().Done() // the connection stays open and unread
			_ = c.Close()
		})
		env := newLoopback(t, newPrefillPeer(t), paused, newDecodePeer(t))
		for i := 0; len(reached) == 0; i++ { // until an attempt was sent to the endpoint that reads nothing
			if i == 50 {
				t.Fatal("the endpoint that reads nothing was never chosen")
			}
			c, in := env.dial()
			env.send(c, requestOf("post", fmt.Sprint(i), 250<<10))
			if got, body := env.status(in); got != 200 || !strings.Contains(body, "Lamu") {
				t.Errorf("responds %v: answered %d with %.60q", responds, got, body)
			}
		}
		env.loop.Do(func() {
			if n := env.dispatcher.Outcomes[scheduler.Unreachable]; n != 1 { // the lease's expiry must not end the attempt
				t.Errorf("responds %v: outcomes %v", responds, env.dispatcher.Outcomes)
			}
		})
	}
}

// TestLoopbackEndpointDeclinesEarly checks a full decode endpoint that declines a large request once it has read the
// head, and closes the connection. The rest of the request is therefore answered with a reset. The response decides the
// outcome of the attempt: the request is retried at another endpoint, even with side effects, and the full endpoint
// counts neither as broken nor as unreachable. The test guards against losing the response when a write fails, and
// against ignoring the response.
func TestLoopbackEndpointDeclinesEarly(t *testing.T) {
	for _, size := range []int{4 << 10, 250 << 10} {
		var declines atomic.Int64
		full := newPeer(t, "s-1", "decode", func(_ *peer, c net.Conn, in *bufio.Reader) {
			if line, err := in.ReadString('\n'); err != nil || strings.HasPrefix(line, "DELETE") {
				rest := bufio.NewReader(io.MultiReader(strings.NewReader(line), in))
				answerWith("HTTP/1.1 204 No Content\r\n\r\n")(&peer{}, c, rest)
				return
			}
			declines.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
			_ = c.Close()
		})
		env := newLoopback(t, newPrefillPeer(t), full, newDecodePeer(t))
		for i := range 12 {
			c, in := env.dial()
			env.send(c, requestOf("post", fmt.Sprint(i), size))
			if got, body := env.status(in); got != 200 || !strings.Contains(body, "Lamu") {
				t.Errorf("%d kB: answered %d with %.60q", size>>10, got, body)
			}
		}
		env.loop.Do(func() {
			outcomes := env.dispatcher.Outcomes
			if n := declines.Load(); n == 0 || int64(outcomes[scheduler.NoCapacity]) != n {
				t.Errorf("%d kB: declined %d times, outcomes %v", size>>10, n, outcomes)
			}
		})
	}
}

// TestLoopbackOlderList checks that a drain stays in effect if a list of an older version follows it in the same read.
func TestLoopbackOlderList(t *testing.T) {
	prefill, stays := newPrefillPeer(t), newDecodePeer(t)
	drains := newPeer(t, "s-1", "decode", answerWith(rawStreamHead+rawStreamBody))
	env := newLoopback(t, prefill, drains, stays)
	changes := listText(9, false, []string{drains.entry("DRAINING")})
	older := []string{prefill.entry("SERVING"), drains.entry("SERVING"), stays.entry("SERVING")}
	env.update(changes + "\n" + listText(8, true, older))
	const updates = 3 // the cached list and the two updates above
	env.waitFor("the lists are applied", func() bool { return env.dispatcher.discovery.Updates == updates })
	for i := range 20 {
		c, in := env.dial()
		env.send(c, requestOf("post", fmt.Sprint(i), 100))
		if got, _ := env.status(in); got != 200 {
			t.Errorf("answered %d", got)
		}
	}
	if n := drains.requests.Load(); n > 0 {
		t.Errorf("%d requests were sent to an endpoint that drains", n)
	}
}
