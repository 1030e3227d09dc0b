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

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/settings"
	"plumspindle/internal/sockets"
	"plumspindle/scheduler"
)

// loopback is a dispatcher over real sockets, with peers that send and read exactly what a test orders, when it orders it.
type loopback struct {
	t          *testing.T
	loop       *sockets.Loop
	dispatcher *Dispatcher
	listener   eventloop.Listener
	address    string
	agent      net.Conn // discovery's side of the watch
	drained    chan bool
	ended      chan bool
}

// peer is a model host; serve has one connection for itself.
type peer struct {
	id, kind string
	address  string
	requests atomic.Int32 // that have come whole
}

// newPeer listens; with a small window it takes in little of what it does not read.
func newPeer(t *testing.T, id, kind string, smallWindow bool, serve func(p *peer, c net.Conn, in *bufio.Reader)) *peer {
	t.Helper()
	config := net.ListenConfig{}
	if smallWindow {
		config.Control = shrinkWindow
	}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	p := &peer{id: id, kind: kind, address: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(p, c, bufio.NewReader(c))
		}
	}()
	return p
}

// shrinkWindow has the system take in little of what is not read.
func shrinkWindow(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
}

// next reads one request whole, or tells that none came.
func (p *peer) next(in *bufio.Reader) bool {
	request, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	if request.Method == "POST" {
		p.requests.Add(1)
	}
	return true
}

const (
	prefillAnswer = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}"
	streamHead    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func streamEvent(text string) string {
	return fmt.Sprintf("%x\r\ndata: %s\n\n\r\n", len(text)+8, text)
}

// answering serves each request with the same bytes, releases aside.
func answering(text string) func(*peer, net.Conn, *bufio.Reader) {
	return func(p *peer, c net.Conn, in *bufio.Reader) {
		for p.next(in) {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

func goodPrefill(t *testing.T) *peer {
	return newPeer(t, "s-0", "prefill", false, answering(prefillAnswer))
}

func goodDecode(t *testing.T) *peer {
	return newPeer(t, "s-9", "decode", false, answering(streamHead+streamEvent(wordEvent)+"0\r\n\r\n"))
}

func (p *peer) entry(state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"west","kind":%q,"cell":0,"state":%q,"weight":1.0,"started_ms":0}`, p.id, p.address, p.kind, state)
}

func newLoopback(t *testing.T, peers ...*peer) *loopback {
	t.Helper()
	agent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { agent.Close() })
	r := &loopback{t: t, drained: make(chan bool, 1), ended: make(chan bool, 1)}
	if r.loop, err = sockets.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.loop.Stop)
	r.loop.SendBufferSize = 4 << 10
	told, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	var known []string
	for _, p := range peers {
		known = append(known, p.entry("SERVING"))
	}
	r.loop.Do(func() {
		r.dispatcher = Start(r.loop, Config{Name: "n0", Discovery: agent.Addr().String(), Seed: 1, Settings: told, Sockets: 256, Memory: 32 << 20, Log: zerolog.Nop(),
			Known: []byte(`{"version":7,"full":true,"servers":[` + strings.Join(known, ",") + `]}`)})
		if r.listener, err = r.loop.Listen("127.0.0.1:0", r.dispatcher.Server().Accept); err == nil {
			r.address = r.listener.Addr()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if r.agent, err = agent.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.agent.Close() })
	if _, err := http.ReadRequest(bufio.NewReader(r.agent)); err != nil {
		t.Fatal(err)
	}
	r.update("")
	return r
}

// update has discovery say something; the watch's answer begins with the first.
func (r *loopback) update(line string) {
	r.t.Helper()
	text := fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)
	if line == "" {
		text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text
	}
	if _, err := io.WriteString(r.agent, text); err != nil {
		r.t.Fatal(err)
	}
}

func (r *loopback) shutDown() {
	r.loop.Do(func() {
		r.dispatcher.Shutdown(func() { r.listener.Drain(); r.drained <- true }, func() { r.ended <- true })
	})
}

// await waits for what the dispatcher tells.
func (r *loopback) await(what string, told chan bool) {
	r.t.Helper()
	select {
	case <-told:
	case <-time.After(10 * time.Second):
		r.t.Fatalf("not in 10 s: %s", what)
	}
}

func (r *loopback) dial() (net.Conn, *bufio.Reader) {
	r.t.Helper()
	dialer := net.Dialer{Control: shrinkWindow}
	c, err := dialer.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

func requestOf(class, id string, size int) string {
	body := `{"x":"` + strings.Repeat("y", size) + `"}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline: 4000m\r\nContent-Length: %d\r\n\r\n%s", id, class, len(body), body)
}

// send writes some bytes to the dispatcher.
func (r *loopback) send(c net.Conn, text string) {
	r.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		r.t.Fatal(err)
	}
}

// status reads one whole answer.
func (r *loopback) status(in *bufio.Reader) (int, string) {
	r.t.Helper()
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// TestLoopbackPartialRequest: a request whose last bytes come after the shutdown is rejected and never sent on; the process waits for it.
func TestLoopbackPartialRequest(t *testing.T) {
	prefill, decode := goodPrefill(t), goodDecode(t)
	r := newLoopback(t, prefill, decode)
	text := requestOf("post", "half", 100)
	c, in := r.dial()
	r.send(c, text[:len(text)-10])
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); { // until it is read
		active := 0
		r.loop.Do(func() { active = r.dispatcher.server.Active() })
		if active > 0 {
			break
		}
	}
	r.shutDown()
	r.await("the shutdown", r.drained)
	r.send(c, text[len(text)-10:])
	if got, _ := r.status(in); got != 503 || prefill.requests.Load()+decode.requests.Load() > 0 {
		t.Errorf("answered %d, after %d attempts", got, prefill.requests.Load()+decode.requests.Load())
	}
	r.await("the end", r.ended)
}

// TestLoopbackPipelinedRequests: what was sent ahead is answered too, each request once, the process's end or not.
func TestLoopbackPipelinedRequests(t *testing.T) {
	hold := make(chan bool)
	decode := newPeer(t, "s-1", "decode", false, func(p *peer, c net.Conn, in *bufio.Reader) {
		for p.next(in) {
			<-hold
			if _, err := io.WriteString(c, streamHead+streamEvent(wordEvent)+"0\r\n\r\n"); err != nil {
				return
			}
		}
	})
	r := newLoopback(t, goodPrefill(t), decode)
	c, in := r.dial()
	r.send(c, requestOf("explain", "a", 100)+requestOf("explain", "b", 100)+requestOf("explain", "c", 100))
	r.shutDown()
	r.await("the shutdown", r.drained)
	close(hold)
	for i, want := range []int{200, 503, 503} {
		if got, _ := r.status(in); got != want {
			t.Errorf("request %d was answered %d, want %d", i, got, want)
		}
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("behind the last answer: %v", err)
	}
	r.await("the end", r.ended)
}

// TestLoopbackSlowClient: the process does not end before a client that reads nothing for a while has its stream to the last byte.
func TestLoopbackSlowClient(t *testing.T) {
	const events = 40 // more than the sockets hold, and less than makes its host wait, so that this has finished long before
	event := streamEvent(strings.Replace(wordEvent, "Lamu", strings.Repeat("z", 2<<10), 1))
	decode := newPeer(t, "s-1", "decode", false, answering(streamHead+strings.Repeat(event, events)+"0\r\n\r\n"))
	r := newLoopback(t, goodPrefill(t), decode)
	c, in := r.dial()
	r.send(c, requestOf("explain", "slow", 100))
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); { // until the host has finished
		open := 1
		r.loop.Do(func() { open = len(r.dispatcher.requests) })
		if open == 0 {
			break
		}
	}
	r.shutDown()
	r.await("the shutdown", r.drained)
	select { // it reads nothing for longer than the process would wait without it
	case <-r.ended:
		t.Fatal("it ended with a stream that its client has not read")
	case <-time.After(time.Duration(2*idleCloseTime) * time.Microsecond):
	}
	if got, body := r.status(in); got != 200 || strings.Count(body, "data: ") != events {
		t.Errorf("answered %d with %d events", got, strings.Count(body, "data: "))
	}
	c.Close()
	r.await("the end", r.ended)
}

// TestLoopbackEndpointThatDoesNotRead: an attempt that its host does not take in never leaves whole, and goes elsewhere, with side effects too;
// where that host speaks all the same, its word is no answer.
func TestLoopbackEndpointThatDoesNotRead(t *testing.T) {
	for _, speaks := range []bool{false, true} {
		met := make(chan bool, 100)
		deaf := newPeer(t, "s-1", "decode", true, func(_ *peer, c net.Conn, in *bufio.Reader) {
			if line, err := in.ReadString('\n'); err != nil || strings.HasPrefix(line, "DELETE") {
				answering("HTTP/1.1 204 No Content\r\n\r\n")(&peer{}, c, bufio.NewReader(io.MultiReader(strings.NewReader(line), in)))
				return
			}
			met <- true
			if speaks {
				_, _ = io.WriteString(c, streamHead+streamEvent(`{"choices":[]}`)+"0\r\n\r\n")
			}
			<-t.Context().Done() // it stays open, and unread
			c.Close()
		})
		r := newLoopback(t, goodPrefill(t), deaf, goodDecode(t))
		for i := 0; len(met) == 0; i++ { // until the deaf one was chosen
			if i == 50 {
				t.Fatal("it was never asked")
			}
			c, in := r.dial()
			r.send(c, requestOf("post", fmt.Sprint(i), 250<<10))
			if got, body := r.status(in); got != 200 || !strings.Contains(body, "Lamu") {
				t.Errorf("speaks %v: answered %d with %.60q", speaks, got, body)
			}
		}
		r.loop.Do(func() {
			if n := r.dispatcher.Outcomes[scheduler.Unreachable]; n != 1 { // and not by the end of its state's lease
				t.Errorf("speaks %v: outcomes %v", speaks, r.dispatcher.Outcomes)
			}
		})
	}
}

// TestLoopbackOlderList: a drain that was told stays told, whatever an older list says behind it in the same read.
func TestLoopbackOlderList(t *testing.T) {
	prefill, leaves, stays := goodPrefill(t), newPeer(t, "s-1", "decode", false, answering(streamHead+streamEvent(wordEvent)+"0\r\n\r\n")), goodDecode(t)
	r := newLoopback(t, prefill, leaves, stays)
	r.update(fmt.Sprintf(`{"version":9,"full":false,"servers":[%s]}`, leaves.entry("DRAINING")) + "\n" +
		fmt.Sprintf(`{"version":8,"full":true,"servers":[%s,%s,%s]}`, prefill.entry("SERVING"), leaves.entry("SERVING"), stays.entry("SERVING")))
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); { // until both are heard
		heard := uint64(0)
		r.loop.Do(func() { heard = r.dispatcher.discovery.Updates })
		if heard == 3 {
			break
		}
	}
	for i := range 20 {
		c, in := r.dial()
		r.send(c, requestOf("post", fmt.Sprint(i), 100))
		if got, _ := r.status(in); got != 200 {
			t.Errorf("answered %d", got)
		}
	}
	if n := leaves.requests.Load(); n > 0 {
		t.Errorf("%d requests were sent to a host that drains", n)
	}
}
