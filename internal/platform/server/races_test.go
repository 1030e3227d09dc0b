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

	"plumspindle/internal/eventloop"
	"plumspindle/internal/sockets"
)

// silentHandler takes requests and answers none; it counts clients that go.
type silentHandler struct {
	handled, disconnected chan string
	waiting               chan *Response // of requests that are not answered
	answer                bool
}

func (*silentHandler) Ready() bool { return true }

func (h *silentHandler) Handle(r *Request, response *Response) *Rejection {
	response.OnDisconnect = func() { h.disconnected <- r.ID }
	h.handled <- r.ID
	if h.answer {
		response.Reject(0)
		return nil
	}
	select {
	case h.waiting <- response:
	default: // nobody asks for so many
	}
	return nil
}

// serve runs a server on a loop over real sockets.
func serve(t testing.TB, limits Limits, handler *silentHandler) (*sockets.Loop, *Server, string) {
	t.Helper()
	loop, err := sockets.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Stop)
	loop.ReadBufferLimit = 8 << 10
	handler.handled, handler.disconnected, handler.waiting = make(chan string, 1000), make(chan string, 1000), make(chan *Response, 1000)
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
	t.Cleanup(func() { c.Close() })
	return c
}

func requestText(id string, bodySize int) string {
	body := `{"x":"` + strings.Repeat("y", bodySize) + `"}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Kind: k\r\nReq-Deadline: 4000m\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// receive waits for one of what a handler tells.
func receive(t *testing.T, what string, from chan string) string {
	t.Helper()
	select {
	case id := <-from:
		return id
	case <-time.After(10 * time.Second):
		t.Fatalf("not in 10 s: %s", what)
		return ""
	}
}

// TestDisconnectBehindPipelinedInput: a client that goes is heard at once, however much it sent behind the request that waits, also more than
// the sockets and the server take in.
func TestDisconnectBehindPipelinedInput(t *testing.T) {
	for _, size := range []int{0, 40 << 10, 900 << 10, 12 << 20} {
		handler := &silentHandler{}
		loop, s, address := serve(t, testLimits(), handler)
		c := dial(t, address)
		go func() {
			_, _ = c.Write([]byte(requestText("first", 100)))
			for sent := 0; sent < size; sent += 20 << 10 {
				if _, err := c.Write([]byte(requestText("ahead", 20<<10))); err != nil {
					return // cut off
				}
			}
			c.Close()
		}()
		receive(t, "the request", handler.handled)
		if got := receive(t, fmt.Sprintf("the end behind %d bytes", size), handler.disconnected); got != "first" {
			t.Errorf("%q has gone", got)
		}
		loop.Do(func() {
			if s.Buffered() > 0 {
				t.Errorf("%d bytes are buffered for a client that has gone", s.Buffered())
			}
		})
		if n := len(handler.handled); n > 0 {
			t.Errorf("%d requests were passed on for a client that has gone", n)
		}
	}
}

// TestTotalBufferLimit: what all clients send ahead is bounded, and an honest one gets through beside them.
func TestTotalBufferLimit(t *testing.T) {
	handler := &silentHandler{}
	limits := testLimits()
	limits.BufferedBytes = 2 << 20
	loop, s, address := serve(t, limits, handler)
	const clients, size = 20, 300 << 10 // of each, which one alone may send
	var floods []net.Conn
	for range clients {
		c := dial(t, address)
		if _, err := c.Write([]byte(requestText("flood", 100))); err != nil {
			t.Fatal(err)
		}
		receive(t, "a request", handler.handled)
		floods = append(floods, c)
	}
	for _, c := range floods {
		go func() { _, _ = c.Write([]byte(requestText("flood", size))) }()
	}
	kept := 0 // connections of which all is
	until(t, "all is read", func() (read bool) {
		loop.Do(func() { read = s.pipelinedBytesRead() >= clients*size })
		return read
	})
	loop.Do(func() {
		for c := range s.connections {
			if c.overflow == nil && len(c.pipelined) >= size {
				kept++
			}
		}
		if s.bufferedBytes > limits.BufferedBytes {
			t.Errorf("%d bytes are buffered of %d", s.bufferedBytes, limits.BufferedBytes)
		}
	})
	if kept < 1 || kept > 3 {
		t.Errorf("%d connections with %d bytes ahead are kept, where %d bytes may be buffered", kept, size, limits.BufferedBytes)
	}
	c := dial(t, address)
	if _, err := c.Write([]byte(requestText("honest", 50<<10))); err != nil {
		t.Fatal(err)
	}
	if id := receive(t, "the honest one", handler.handled); id != "honest" {
		t.Errorf("%q was passed on", id)
	}
}

// pipelinedBytesRead is how many bytes were read of what all clients sent ahead, whether they are kept or not.
func (s *Server) pipelinedBytesRead() (n int) {
	for c := range s.connections {
		if c.overflow != nil {
			n += c.overflow.bytesRead
		} else {
			n += len(c.pipelined)
		}
	}
	return n
}

// until waits for what real sockets take their time for.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("not in 10 s: %s", what)
		}
	}
}

// TestPipelineLimitPerConnection: of what a client sends ahead no more is kept than one may, also where there is room, and one that goes on without
// an end is cut off.
func TestPipelineLimitPerConnection(t *testing.T) {
	handler := &silentHandler{}
	limits := testLimits()
	loop, s, address := serve(t, limits, handler)
	c := dial(t, address)
	go func() {
		_, _ = c.Write([]byte(requestText("first", 100)))
		for ahead := []byte(requestText("ahead", 100<<10)); ; {
			if _, err := c.Write(ahead); err != nil {
				return // cut off
			}
			loop.Do(func() {
				if s.Buffered() > maxPipelinedBodies*limits.BodyBytes+minPipelinedBytes {
					t.Errorf("%d bytes are buffered", s.Buffered())
				}
			})
		}
	}()
	if id := receive(t, "its end", handler.disconnected); id != "first" {
		t.Errorf("%q has gone", id)
	}
}

// TestRequestCrossesClose: a request that has come before an idle connection is closed is answered, whether the poller has read it by then
// or not; one that comes after the close is neither read nor passed on, and its client sees a clean end.
func TestRequestCrossesClose(t *testing.T) {
	for _, before := range []bool{true, false} {
		for _, read := range []bool{true, false} {
			if !before && read {
				continue
			}
			handler := &silentHandler{answer: true}
			loop, s, address := serve(t, testLimits(), handler)
			c := dial(t, address)
			exchange(t, c, http.StatusServiceUnavailable)
			receive(t, "the first", handler.handled)
			loop.Do(func() { // the loop is busy meanwhile
				send := func() {
					if _, err := c.Write([]byte(requestText("crossing", 100))); err != nil {
						t.Error(err)
					}
				}
				if before {
					send()
				}
				for read && !s.hasUnreadInput() {
					runtime.Gosched()
				}
				s.Shutdown()
				if !before {
					send()
				}
			})
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			switch {
			case before && (err != nil || response.StatusCode != http.StatusServiceUnavailable):
				t.Errorf("read %v: %v", read, err)
			case !before && (err == nil || !strings.Contains(err.Error(), "EOF")):
				t.Errorf("after the close: %v, %v", response, err)
			}
			if n := len(handler.handled); n > 0 {
				t.Errorf("before %v, read %v: %d were passed on after the shutdown", before, read, n)
			}
		}
	}
}

// hasUnreadInput tells whether something has come that was not handed over.
func (s *Server) hasUnreadInput() bool {
	for c := range s.connections {
		if !c.conn.Idle() {
			return true
		}
	}
	return false
}

// exchange sends a request and reads its answer.
func exchange(t *testing.T, c net.Conn, want int) {
	t.Helper()
	if _, err := c.Write([]byte(requestText("exchange", 100))); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != want {
		t.Fatalf("%v, %v", response, err)
	}
	response.Body.Close()
}

// TestIdleClientThatReadsNothingIsClosed: a connection that is idle with an answer that its client does not read is closed in the end.
func TestIdleClientThatReadsNothingIsClosed(t *testing.T) {
	handler := &silentHandler{}
	limits := testLimits()
	limits.IdleTimeout, limits.StallTimeout = 50*eventloop.Millisecond, 200*eventloop.Millisecond
	loop, s, address := serve(t, limits, handler)
	var response *Response
	c := dial(t, address)
	if _, err := c.Write([]byte(requestText("big", 100))); err != nil {
		t.Fatal(err)
	}
	receive(t, "the request", handler.handled)
	loop.Do(func() {
		for conn := range s.connections {
			response = conn.response
		}
		event := []byte(strings.Repeat("z", 64<<10))
		for range 200 { // more than the sockets hold
			response.WriteEvent(event)
		}
		response.Complete()
	})
	for deadline := time.Now().Add(10 * time.Second); ; runtime.Gosched() {
		n := 0
		loop.Do(func() { n = s.Connections() })
		if n == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("it is still there")
		}
	}
}

// TestPipelineOverflowIsRejectedInTurn: a client that sends more requests ahead than are kept has an answer to each, in their order, and the connection
// goes on; what is not kept is rejected in its turn.
func TestPipelineOverflowIsRejectedInTurn(t *testing.T) {
	handler := &silentHandler{}
	limits := testLimits()
	loop, s, address := serve(t, limits, handler)
	c := dial(t, address)
	const ahead, size = 150, 20 << 10 // three times what is kept
	sent := make(chan error, 1)
	go func() {
		text := requestText("first", 100)
		for i := range ahead {
			text += requestText(fmt.Sprint("ahead", i), size)
		}
		_, err := c.Write([]byte(text))
		sent <- err
	}()
	receive(t, "the first", handler.handled)
	first := <-handler.waiting
	if err := <-sent; err != nil { // it is read on, without an answer
		t.Fatal(err)
	}
	until(t, "all is read", func() (read bool) {
		loop.Do(func() { read = s.openCount == 0 || s.pipelinedBytesRead() >= ahead*size })
		return read
	})
	in := bufio.NewReader(c)
	loop.Do(func() {
		if s.Buffered() > maxPipelinedBodies*limits.BodyBytes+minPipelinedBytes {
			t.Errorf("%d bytes are buffered", s.Buffered())
		}
		handler.answer = true
		first.Fail()
	})
	want := http.StatusInternalServerError
	for i := range 1 + ahead {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if response.StatusCode != want {
			t.Fatalf("answer %d: status %d", i, response.StatusCode)
		}
		response.Body.Close()
		want = http.StatusServiceUnavailable
	}
	if n := len(handler.handled); n < 10 || n >= ahead {
		t.Errorf("%d of %d were passed on", n, ahead)
	}
	if _, err := c.Write([]byte(requestText("last", 100))); err != nil {
		t.Fatal(err)
	}
	if response, err := http.ReadResponse(in, nil); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("behind them: %v", err)
	}
}
