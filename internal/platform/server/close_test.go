package server

import (
	"bufio"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

// TestRequestCrossesClose: a request that has come before an idle connection is closed is answered, whether the
// poller has read it by then or not; one that comes after the close is neither read nor passed on, and its client
// sees a clean end.
func TestRequestCrossesClose(t *testing.T) {
	for _, before := range []bool{true, false} {
		for _, read := range []bool{true, false} {
			if !before && read {
				continue
			}
			handler := &silentHandler{answer: true}
			loop, s, address := serve(t, testLimits(), handler)
			conn := dial(t, address)
			exchange(t, conn, http.StatusServiceUnavailable)
			receive(t, "the first", handler.handled)
			loop.Do(func() { // the loop is busy meanwhile
				send := func() {
					if _, err := conn.Write([]byte(requestText("crossing", 100))); err != nil {
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
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
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

// TestIdleClientThatReadsNothingIsClosed: a connection that is idle with an answer that its client does not read is
// closed in the end.
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
