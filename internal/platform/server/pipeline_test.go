package server

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
)

// TestDisconnectBehindPipelinedInput checks that a client's disconnect is noticed at once however much it has pipelined
// after the request that is being answered, even if the pipelined input is more than the sockets and the server can
// buffer.
func TestDisconnectBehindPipelinedInput(t *testing.T) {
	for _, size := range []int{0, 40 << 10, 900 << 10, 12 << 20} {
		handler := &silentHandler{}
		loop, s, address := serve(t, testLimits(), handler)
		c := dial(t, address)
		go func() {
			_, _ = c.Write([]byte(requestText("first", 100)))
			for sent := 0; sent < size; sent += 20 << 10 {
				if _, err := c.Write([]byte(requestText("next", 20<<10))); err != nil {
					return // the server has closed the connection
				}
			}
			_ = c.Close()
		}()
		receive(t, "the request", handler.handled)
		if got := receive(t, fmt.Sprintf("the disconnect after %d bytes", size), handler.disconnected); got != "first" {
			t.Errorf("%q disconnected", got)
		}
		loop.Do(func() {
			if s.Buffered() > 0 {
				t.Errorf("%d bytes are buffered for a client that disconnected", s.Buffered())
			}
		})
		if n := len(handler.handled); n > 0 {
			t.Errorf("%d requests were passed to the handler for a client that disconnected", n)
		}
	}
}

// TestTotalBufferLimit checks that the bytes buffered for all clients that pipeline are bounded, and that a request of
// another client is still accepted.
func TestTotalBufferLimit(t *testing.T) {
	handler := &silentHandler{}
	limits := testLimits()
	limits.BufferedBytes = 2 << 20
	loop, s, address := serve(t, limits, handler)
	const clients, size = 20, 300 << 10 // each client pipelines size bytes, within the limit for one connection
	var floodingClients []net.Conn
	for range clients {
		c := dial(t, address)
		if _, err := c.Write([]byte(requestText("flood", 100))); err != nil {
			t.Fatal(err)
		}
		receive(t, "a request", handler.handled)
		floodingClients = append(floodingClients, c)
	}
	for _, c := range floodingClients {
		go func() { _, _ = c.Write([]byte(requestText("flood", size))) }()
	}
	buffered := 0 // number of connections whose pipelined bytes are all buffered
	waitUntil(t, "all input to be read", func() (read bool) {
		loop.Do(func() { read = s.pipelinedBytesRead() >= clients*size })
		return read
	})
	loop.Do(func() {
		for c := range s.connections {
			if c.pipeline.overflow == nil && c.pipeline.buffer.size() >= size {
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
	if _, err := c.Write([]byte(requestText("other", 50<<10))); err != nil {
		t.Fatal(err)
	}
	if id := receive(t, "the other client's request", handler.handled); id != "other" {
		t.Errorf("request %q was passed to the handler", id)
	}
}

// TestPipelineLimitPerConnection checks that the pipelined bytes buffered for one client are bounded even if memory is
// left, and that a client that pipelines without an end is disconnected.
func TestPipelineLimitPerConnection(t *testing.T) {
	handler := &silentHandler{}
	limits := testLimits()
	loop, s, address := serve(t, limits, handler)
	c := dial(t, address)
	go func() {
		_, _ = c.Write([]byte(requestText("first", 100)))
		for next := []byte(requestText("next", 100<<10)); ; {
			if _, err := c.Write(next); err != nil {
				return // the server has closed the connection
			}
			loop.Do(func() {
				if s.Buffered() > maxPipelinedBodies*limits.BodyBytes+minPipelinedBytes {
					t.Errorf("%d bytes are buffered", s.Buffered())
				}
			})
		}
	}()
	if id := receive(t, "the disconnect", handler.disconnected); id != "first" {
		t.Errorf("%q disconnected", id)
	}
}

// TestPipelineOverflowIsRejectedInTurn checks a client that pipelines more requests than are buffered. Each request
// gets a response, in order. The requests that are not buffered are rejected. The connection can be used afterwards.
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
	receive(t, "the first request", handler.handled)
	first := <-handler.waiting
	if err := <-sent; err != nil { // the server reads everything although nothing is answered
		t.Fatal(err)
	}
	waitUntil(t, "all input to be read", func() (read bool) {
		loop.Do(func() { read = s.openCount == 0 || s.pipelinedBytesRead() >= pipelined*size })
		return read
	})
	in := bufio.NewReader(conn)
	loop.Do(func() {
		if s.Buffered() > maxPipelinedBodies*limits.BodyBytes+minPipelinedBytes {
			t.Errorf("%d bytes are buffered", s.Buffered())
		}
		handler.rejectAll = true
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
		t.Errorf("%d of %d requests were passed to the handler", n, pipelined)
	}
	if _, err := conn.Write([]byte(requestText("last", 100))); err != nil {
		t.Fatal(err)
	}
	if response, err := http.ReadResponse(in, nil); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("request after the pipelined ones: %v", err)
	}
}
