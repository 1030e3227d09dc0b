package server

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
)

// TestDisconnectBehindPipelinedInput: a client's disconnect is noticed at once, however much it sent behind the request
// that waits, also more than the sockets and the server take in.
func TestDisconnectBehindPipelinedInput(t *testing.T) {
	for _, size := range []int{0, 40 << 10, 900 << 10, 12 << 20} {
		handler := &silentHandler{}
		loop, s, address := serve(t, testLimits(), handler)
		c := dial(t, address)
		go func() {
			_, _ = c.Write([]byte(requestText("first", 100)))
			for sent := 0; sent < size; sent += 20 << 10 {
				if _, err := c.Write([]byte(requestText("next", 20<<10))); err != nil {
					return // cut off
				}
			}
			_ = c.Close()
		}()
		receive(t, "the request", handler.handled)
		if got := receive(t, fmt.Sprintf("the end behind %d bytes", size), handler.disconnected); got != "first" {
			t.Errorf("%q disconnected", got)
		}
		loop.Do(func() {
			if s.Buffered() > 0 {
				t.Errorf("%d bytes are buffered for a client that disconnected", s.Buffered())
			}
		})
		if n := len(handler.handled); n > 0 {
			t.Errorf("%d requests were passed on for a client that disconnected", n)
		}
	}
}

// TestTotalBufferLimit: what all clients pipeline is bounded, and an honest one gets through beside them.
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
	buffered := 0 // connections of which all is
	until(t, "all is read", func() (read bool) {
		loop.Do(func() { read = s.pipelinedBytesRead() >= clients*size })
		return read
	})
	loop.Do(func() {
		for c := range s.connections {
			if c.pipeline.overflow == nil && len(c.pipeline.buffered) >= size {
				buffered++
			}
		}
		if s.bufferedBytes > limits.BufferedBytes {
			t.Errorf("%d bytes are buffered of %d", s.bufferedBytes, limits.BufferedBytes)
		}
	})
	if buffered < 1 || buffered > 3 {
		t.Errorf("%d connections with %d pipelined bytes are buffered, where %d bytes may be",
			buffered, size, limits.BufferedBytes)
	}
	c := dial(t, address)
	if _, err := c.Write([]byte(requestText("honest", 50<<10))); err != nil {
		t.Fatal(err)
	}
	if id := receive(t, "the honest one", handler.handled); id != "honest" {
		t.Errorf("%q was passed on", id)
	}
}

// TestPipelineLimitPerConnection: of what a client pipelines no more is buffered than one may, also where memory is
// left, and one that goes on without an end is cut off.
func TestPipelineLimitPerConnection(t *testing.T) {
	handler := &silentHandler{}
	limits := testLimits()
	loop, s, address := serve(t, limits, handler)
	c := dial(t, address)
	go func() {
		_, _ = c.Write([]byte(requestText("first", 100)))
		for next := []byte(requestText("next", 100<<10)); ; {
			if _, err := c.Write(next); err != nil {
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
		t.Errorf("%q disconnected", id)
	}
}

// TestPipelineOverflowIsRejectedInTurn: a client that pipelines more requests than are buffered has an answer to each,
// in their order, and the connection goes on; what is not buffered is rejected in its turn.
func TestPipelineOverflowIsRejectedInTurn(t *testing.T) {
	handler := &silentHandler{}
	limits := testLimits()
	loop, s, address := serve(t, limits, handler)
	conn := dial(t, address)
	const pipelined, size = 150, 20 << 10 // three times what is buffered
	sent := make(chan error, 1)
	go func() {
		text := requestText("first", 100)
		for i := range pipelined {
			text += requestText(fmt.Sprint("next", i), size)
		}
		_, err := conn.Write([]byte(text))
		sent <- err
	}()
	receive(t, "the first", handler.handled)
	first := <-handler.waiting
	if err := <-sent; err != nil { // it is read on, without an answer
		t.Fatal(err)
	}
	until(t, "all is read", func() (read bool) {
		loop.Do(func() { read = s.openCount == 0 || s.pipelinedBytesRead() >= pipelined*size })
		return read
	})
	in := bufio.NewReader(conn)
	loop.Do(func() {
		if s.Buffered() > maxPipelinedBodies*limits.BodyBytes+minPipelinedBytes {
			t.Errorf("%d bytes are buffered", s.Buffered())
		}
		handler.answer = true
		first.Fail()
	})
	want := http.StatusInternalServerError
	for i := range 1 + pipelined {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if response.StatusCode != want {
			t.Fatalf("answer %d: status %d", i, response.StatusCode)
		}
		_ = response.Body.Close()
		want = http.StatusServiceUnavailable
	}
	if n := len(handler.handled); n < 10 || n >= pipelined {
		t.Errorf("%d of %d were passed on", n, pipelined)
	}
	if _, err := conn.Write([]byte(requestText("last", 100))); err != nil {
		t.Fatal(err)
	}
	if response, err := http.ReadResponse(in, nil); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("behind them: %v", err)
	}
}
