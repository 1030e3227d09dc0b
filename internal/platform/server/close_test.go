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

// TestRequestCrossesClose checks requests that arrive around the close of an idle connection. A request that arrives
// before the close is answered, whether or not the poller has read it when the close begins. A request that arrives
// after the close is neither read nor passed to the handler, and its client sees a clean end of the connection.
func TestRequestCrossesClose(t *testing.T) {
	for _, before := range []bool{true, false} {
		for _, read := range []bool{true, false} {
			if !before && read {
				continue
			}
			handler := &silentHandler{rejectAll: true}
			loop, s, address := serve(t, testLimits(), handler)
			conn := dial(t, address)
			exchange(t, conn, http.StatusServiceUnavailable)
			receive(t, "the first request", handler.handled)
			loop.Do(func() { // the loop handles no events until this returns
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
				t.Errorf("request before the close, read %v: %v", read, err)
			case !before && (err == nil || !strings.Contains(err.Error(), "EOF")):
				t.Errorf("request after the close: %v, %v", response, err)
			}
			if n := len(handler.handled); n > 0 {
				t.Errorf("before %v, read %v: %d requests were passed to the handler after the shutdown", before, read, n)
			}
		}
	}
}

// TestIdleClientThatReadsNothingIsClosed checks that an idle connection is closed although its client does not read the
// last response.
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
		for range 200 { // more than the socket buffers hold
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
			t.Fatal("the connection is still there")
		}
	}
}
