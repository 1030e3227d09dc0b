package server

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"plumspindle/internal/sockets"
)

// silentHandler accepts requests and answers none, unless rejectAll is set. It reports requests and disconnects.
type silentHandler struct {
	handled, disconnected chan string
	waiting               chan *Response // the responses of requests that are not answered
	rejectAll             bool
}

func (h *silentHandler) Ready() bool { return true }

func (h *silentHandler) Handle(r *Request, response *Response) *Rejection {
	response.OnDisconnect = func() { h.disconnected <- r.ID }
	h.handled <- r.ID
	if h.rejectAll {
		response.Reject(0)
		return nil
	}
	select {
	case h.waiting <- response:
	default: // the channel is full; no test needs this many responses
	}
	return nil
}

// maxReported is the number of events of each kind that a silentHandler can hold.
const maxReported = 1000

// serve runs a server on a loop over real sockets.
func serve(t testing.TB, limits Limits, handler *silentHandler) (*sockets.Loop, *Server, string) {
	t.Helper()
	loop, err := sockets.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Stop)
	loop.ReadBufferLimit = 8 << 10
	handler.handled = make(chan string, maxReported)
	handler.disconnected = make(chan string, maxReported)
	handler.waiting = make(chan *Response, maxReported)
	s := New(loop, limits, handler)
	var address string
	loop.Do(func() {
		ln, err := loop.Listen("127.0.0.1:0", s.Accept)
		if err != nil {
			t.Error(err)
			return
		}
		address = ln.Addr()
	})
	return loop, s, address
}

func testLimits() Limits {
	limits := DefaultLimits
	limits.Connections, limits.BufferedBytes, limits.UnsentBytes = 100, 8<<20, 64<<10
	return limits
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func requestText(id string, bodySize int) string {
	body := `{"x":"` + strings.Repeat("y", bodySize) + `"}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Kind: k\r\n"+
		"Req-Deadline: 4000m\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// receive waits for an event that a handler reports.
func receive(t *testing.T, what string, from chan string) string {
	t.Helper()
	select {
	case id := <-from:
		return id
	case <-time.After(10 * time.Second):
		t.Fatalf("timed out after 10 s waiting for %s", what)
		return ""
	}
}

// pipelinedBytesRead returns the number of pipelined bytes read from all clients, buffered or not.
func (s *Server) pipelinedBytesRead() (n int) {
	for c := range s.connections {
		if c.pipeline.overflow != nil {
			n += c.pipeline.overflow.bytesRead
		} else {
			n += c.pipeline.buffer.size()
		}
	}
	return n
}

// waitUntil polls until a condition holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("timed out after 10 s waiting for %s", what)
		}
	}
}

// hasUnreadInput reports whether something has arrived that the loop has not passed to a connection.
func (s *Server) hasUnreadInput() bool {
	for c := range s.connections {
		if !c.conn.Idle() {
			return true
		}
	}
	return false
}

// exchange sends a request and checks the status of its response.
func exchange(t *testing.T, c net.Conn, want int) {
	t.Helper()
	if _, err := c.Write([]byte(requestText("exchange", 100))); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != want {
		t.Fatalf("%v, %v", response, err)
	}
	_ = response.Body.Close()
}
