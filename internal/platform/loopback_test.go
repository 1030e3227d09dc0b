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

// TestLoopbackPartialRequest: a request whose last bytes come after the shutdown is rejected and never forwarded; the
// process waits for it.
func TestLoopbackPartialRequest(t *testing.T) {
	prefill, decode := goodPrefill(t), goodDecode(t)
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
	env.await("the end", env.ended)
}

// TestLoopbackPipelinedRequests: what was pipelined is answered too, each request once, the process's end or not.
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
	env := newLoopback(t, goodPrefill(t), decode)
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
		t.Errorf("behind the last answer: %v", err)
	}
	env.await("the end", env.ended)
}

// TestLoopbackSlowClient: the process does not end before a client that reads nothing for a while has its stream to
// the last byte.
func TestLoopbackSlowClient(t *testing.T) {
	// More than the sockets take, and less than makes its endpoint wait, so that this has finished long before.
	const events = 40
	event := streamEvent(strings.Replace(tokenEvent, "Lamu", strings.Repeat("z", 2<<10), 1))
	decode := newPeer(t, "s-1", "decode", answering(rawStreamHead+strings.Repeat(event, events)+"0\r\n\r\n"))
	env := newLoopback(t, goodPrefill(t), decode)
	conn, in := env.dial()
	env.send(conn, requestOf("explain", "slow", 100))
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	env.waitFor("the endpoint has finished", func() bool { return len(env.dispatcher.requests) == 0 })
	env.shutDown()
	env.await("the shutdown", env.drained)
	select { // it reads nothing for longer than the process would wait without it
	case <-env.ended:
		t.Fatal("it ended with a stream that its client has not read")
	case <-time.After(time.Duration(2*idleCloseDelay) * time.Microsecond):
	}
	if got, body := env.status(in); got != 200 || strings.Count(body, "data: ") != events {
		t.Errorf("answered %d with %d events", got, strings.Count(body, "data: "))
	}
	_ = conn.Close()
	env.await("the end", env.ended)
}

// TestLoopbackEndpointThatDoesNotRead: an attempt that its endpoint does not take in is never sent completely, and goes
// elsewhere, with side effects too. What that endpoint responds before it has read the request is no response to it.
func TestLoopbackEndpointThatDoesNotRead(t *testing.T) {
	for _, responds := range []bool{false, true} {
		reached := make(chan bool, 100)
		config := net.ListenConfig{Control: shrinkWindow}
		paused := newPeerWith(t, config, &peer{id: "s-1", kind: "decode"}, func(_ *peer, c net.Conn, in *bufio.Reader) {
			if line, err := in.ReadString('\n'); err != nil || strings.HasPrefix(line, "DELETE") {
				rest := bufio.NewReader(io.MultiReader(strings.NewReader(line), in))
				answering("HTTP/1.1 204 No Content\r\n\r\n")(&peer{}, c, rest)
				return
			}
			reached <- true
			if responds {
				_, _ = io.WriteString(c, rawStreamHead+streamEvent(`{"choices":[]}`)+"0\r\n\r\n")
			}
			<-t.Context().Done() // it stays open, and unread
			_ = c.Close()
		})
		env := newLoopback(t, goodPrefill(t), paused, goodDecode(t))
		for i := 0; len(reached) == 0; i++ { // until the one that reads nothing was chosen
			if i == 50 {
				t.Fatal("it was never asked")
			}
			c, in := env.dial()
			env.send(c, requestOf("post", fmt.Sprint(i), 250<<10))
			if got, body := env.status(in); got != 200 || !strings.Contains(body, "Lamu") {
				t.Errorf("responds %v: answered %d with %.60q", responds, got, body)
			}
		}
		env.loop.Do(func() {
			if n := env.dispatcher.Outcomes[scheduler.Unreachable]; n != 1 { // and not by the end of its state's lease
				t.Errorf("responds %v: outcomes %v", responds, env.dispatcher.Outcomes)
			}
		})
	}
}

// TestLoopbackEndpointDeclinesEarly: a decode endpoint that is full declines a large request once it has read its head,
// and closes, by which the rest of the request is met with a reset. What the answer says decides: the request is sent
// elsewhere, with side effects too, and the endpoint is neither taken for broken nor for out of reach. Before, the
// answer was lost with the write that failed, or was not taken for one.
func TestLoopbackEndpointDeclinesEarly(t *testing.T) {
	for _, size := range []int{4 << 10, 250 << 10} {
		var declines atomic.Int64
		full := newPeer(t, "s-1", "decode", func(_ *peer, c net.Conn, in *bufio.Reader) {
			if line, err := in.ReadString('\n'); err != nil || strings.HasPrefix(line, "DELETE") {
				rest := bufio.NewReader(io.MultiReader(strings.NewReader(line), in))
				answering("HTTP/1.1 204 No Content\r\n\r\n")(&peer{}, c, rest)
				return
			}
			declines.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
			_ = c.Close()
		})
		env := newLoopback(t, goodPrefill(t), full, goodDecode(t))
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

// TestLoopbackOlderList: a drain stands, whatever an older list says behind it in the same read.
func TestLoopbackOlderList(t *testing.T) {
	prefill, stays := goodPrefill(t), goodDecode(t)
	drains := newPeer(t, "s-1", "decode", answering(rawStreamHead+rawStreamBody))
	env := newLoopback(t, prefill, drains, stays)
	changes := listText(9, false, []string{drains.entry("DRAINING")})
	older := []string{prefill.entry("SERVING"), drains.entry("SERVING"), stays.entry("SERVING")}
	env.update(changes + "\n" + listText(8, true, older))
	const updates = 3 // the cached list and both of the above
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
