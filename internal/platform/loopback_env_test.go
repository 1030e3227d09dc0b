package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/sockets"
)

// loopback is a dispatcher over real sockets, with peers that send and read exactly what a test specifies, and when.
type loopback struct {
	t          *testing.T
	loop       *sockets.Loop
	dispatcher *Dispatcher
	listener   eventloop.Listener
	address    string
	agent      net.Conn  // the discovery agent's side of the watch
	drained    chan bool // receives a value when the listener is closed during the shutdown
	ended      chan bool // receives a value when the shutdown is complete
}

// peer is an endpoint over real sockets.
type peer struct {
	id, kind string
	address  string
	requests atomic.Int32 // complete POST requests received
}

// servePeer serves one connection of a peer.
type servePeer func(server *peer, c net.Conn, in *bufio.Reader)

// newPeer starts a peer that serves its connections with a function.
func newPeer(t *testing.T, id, kind string, serve servePeer) *peer {
	t.Helper()
	return newPeerWith(t, net.ListenConfig{}, &peer{id: id, kind: kind}, serve)
}

// newPeerWith starts a peer like newPeer, with a configuration of its listener.
func newPeerWith(t *testing.T, config net.ListenConfig, server *peer, serve servePeer) *peer {
	t.Helper()
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	server.address = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(server, c, bufio.NewReader(c))
		}
	}()
	return server
}

// shrinkWindow sets a small receive buffer, to make the system buffer little of what a process doesn't read.
func shrinkWindow(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
}

// next reads one complete request, and reports whether one came.
func (server *peer) next(in *bufio.Reader) bool {
	request, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	if request.Method == "POST" {
		server.requests.Add(1)
	}
	return true
}

const prefillAnswer = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}"

func streamEvent(text string) string {
	return fmt.Sprintf("%x\r\ndata: %s\n\n\r\n", len(text)+8, text)
}

// answerWith serves each request with the same bytes.
func answerWith(text string) servePeer {
	return func(server *peer, c net.Conn, in *bufio.Reader) {
		for server.next(in) {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

func newPrefillPeer(t *testing.T) *peer {
	return newPeer(t, "s-0", "prefill", answerWith(prefillAnswer))
}

func newDecodePeer(t *testing.T) *peer {
	return newPeer(t, "s-9", "decode", answerWith(rawStreamHead+rawStreamBody))
}

func (server *peer) entry(state string) string {
	return listEntry(server.id, server.address, "west", server.kind, state)
}

func newLoopback(t *testing.T, peers ...*peer) *loopback {
	t.Helper()
	agent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = agent.Close() })
	env := &loopback{t: t, drained: make(chan bool, 1), ended: make(chan bool, 1)}
	if env.loop, err = sockets.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.loop.Stop)
	env.loop.SendBufferSize = 4 << 10
	var known []string
	for _, server := range peers {
		known = append(known, server.entry("SERVING"))
	}
	config := testConfig(t, testSettings, agent.Addr().String(), known)
	env.loop.Do(func() {
		env.dispatcher = Start(env.loop, config)
		if env.listener, err = env.loop.Listen("127.0.0.1:0", env.dispatcher.Server().Accept); err == nil {
			env.address = env.listener.Addr()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if env.agent, err = agent.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = env.agent.Close() })
	if _, err := http.ReadRequest(bufio.NewReader(env.agent)); err != nil {
		t.Fatal(err)
	}
	env.update("")
	return env
}

// update has the discovery agent send a line on the watch. An empty line also begins the watch's response.
func (env *loopback) update(line string) {
	env.t.Helper()
	text := fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)
	if line == "" {
		text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text
	}
	if _, err := io.WriteString(env.agent, text); err != nil {
		env.t.Fatal(err)
	}
}

// shutDown begins the dispatcher's shutdown.
func (env *loopback) shutDown() {
	env.loop.Do(func() {
		env.dispatcher.Shutdown(func() { env.listener.Drain(); env.drained <- true }, func() { env.ended <- true })
	})
}

// await waits for an event, and fails the test if it doesn't occur in time.
func (env *loopback) await(what string, event chan bool) {
	env.t.Helper()
	select {
	case <-event:
	case <-time.After(10 * time.Second):
		env.t.Fatalf("not within 10 s: %s", what)
	}
}

// waitFor polls until a condition holds, and fails the test if it doesn't hold in time. The condition is evaluated on
// the event loop.
func (env *loopback) waitFor(what string, holds func() bool) {
	env.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		satisfied := false
		env.loop.Do(func() { satisfied = holds() })
		if satisfied {
			return
		}
	}
	env.t.Fatalf("not within 10 s: %s", what)
}

// dial connects a client with a small receive buffer to the dispatcher.
func (env *loopback) dial() (net.Conn, *bufio.Reader) {
	env.t.Helper()
	dialer := net.Dialer{Control: shrinkWindow}
	c, err := dialer.Dial("tcp", env.address)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

// requestOf returns a request of a class whose body has about size bytes.
func requestOf(class, id string, size int) string {
	body := `{"x":"` + strings.Repeat("y", size) + `"}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Kind: %s\r\n"+
		"Req-Deadline: 4000m\r\nContent-Length: %d\r\n\r\n%s", id, class, len(body), body)
}

// send writes some bytes to the dispatcher.
func (env *loopback) send(c net.Conn, text string) {
	env.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		env.t.Fatal(err)
	}
}

// status reads one complete response and returns its status and body.
func (env *loopback) status(in *bufio.Reader) (int, string) {
	env.t.Helper()
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		env.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		env.t.Fatal(err)
	}
	return response.StatusCode, string(body)
}
