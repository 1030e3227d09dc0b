package sockets

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// served listens with one handler and dials by the standard library, whose reads and writes the test orders itself.
func served(t *testing.T, server *ear, takeIn int) net.Conn {
	t.Helper()
	l := start(t)
	l.ReadBufferLimit = takeIn
	c, err := net.Dial("tcp", listen(t, l, server))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// What the other side sends in the moment of a close neither resets the connection, and with it an answer that is on its way, nor is it
// handed over; and it does not hold the connection for long.
func TestCloseByHalves(t *testing.T) {
	answer := bytes.Repeat([]byte("0123456789abcdef"), 1<<15) // more than the sockets between take in one go
	answered := make(chan error, 1)
	handed := 0
	server := &ear{onData: func(e *ear) {
		if handed++; handed == 1 {
			e.conn.Write(answer)
			e.conn.Close()
			answered <- nil
		}
	}}
	c := served(t, server, 8<<10)
	if _, err := c.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the answer", answered)
	for range 20 { // sent before anything of the answer is read
		if _, err := c.Write(make([]byte, 32<<10)); err != nil {
			t.Fatalf("sent behind the request: %v", err)
		}
	}
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, answer) {
		t.Errorf("%d bytes of %d came: %v", len(got), len(answer), err)
	}
	if handed != 1 {
		t.Errorf("%d turns were handed over", handed)
	}
	// The client does not close: the connection ends all the same.
	waitFor(t, "the server's closing", server.closed)
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	for err = nil; err == nil; {
		_, err = c.Write(make([]byte, 1<<10))
	}
	if !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("writing on: %v", err)
	}
}
