package sockets

import (
	"bytes"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

func TestCloseSendsEverythingInOrderFirst(t *testing.T) {
	want := strings.Repeat("0123456789abcdef", 1<<17) // 2 MB, more than any socket accepts at once
	server, client := newRecorder(), newRecorder()
	server.onOpened = func(r *recorder) {
		r.conn.Write([]byte(want))
		r.conn.Close()
	}
	_, clientLoop := connect(t, server, client)
	waitFor(t, "the end", client.closed)
	clientLoop.Do(func() {
		if !bytes.Equal(client.data, []byte(want)) {
			t.Errorf("received %d of %d bytes", len(client.data), len(want))
		}
	})
}

func TestAbortEndsBothSides(t *testing.T) {
	server, client := newRecorder(), newRecorder()
	server.onOpened = func(r *recorder) { r.conn.Abort() }
	connect(t, server, client)
	waitFor(t, "the reset", client.closed)
	waitFor(t, "the end of the server's connection", server.closed)
}

// Data that the peer sends after this side has closed the connection is dropped. The data must not be delivered to the
// handler, must not keep the connection open for long, and must not reset the connection. A reset could lose a response
// in transit.
func TestCloseDropsWhatArrivesLaterWithoutReset(t *testing.T) {
	answer := bytes.Repeat([]byte("0123456789abcdef"), 1<<15) // more than both sockets' buffers accept at once
	answered := make(chan error, 1)
	deliveries := 0
	server := newRecorder()
	server.onData = func(r *recorder) {
		if deliveries++; deliveries == 1 {
			r.conn.Write(answer)
			r.conn.Close()
			answered <- nil
		}
	}
	c := connectRaw(t, server, 8<<10)
	if _, err := c.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the answer", answered)
	for range 20 { // sent before any of the answer is read
		if _, err := c.Write(make([]byte, 32<<10)); err != nil {
			t.Fatalf("send after the request: %v", err)
		}
	}
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, answer) {
		t.Errorf("received %d of %d bytes: %v", len(got), len(answer), err)
	}
	if deliveries != 1 {
		t.Errorf("%d deliveries, want 1", deliveries)
	}
	// The connection must end although the client does not close it.
	waitFor(t, "the server's closing", server.closed)
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	for err = nil; err == nil; {
		_, err = c.Write(make([]byte, 1<<10))
	}
	if !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("write after the end: %v", err)
	}
}

// CloseIfIdle must not close a connection on which data has arrived, whether or not the poller has read the data. Data
// that arrives after the close is dropped.
func TestCloseIfIdleKeepsConnectionsWithData(t *testing.T) {
	for _, test := range []struct {
		name          string
		sentBefore    bool
		readByPoller  bool
		sentAfter     bool
		wantClosed    bool
		wantDelivered bool
	}{
		{name: "nothing has arrived", wantClosed: true},
		{name: "data is in the socket", sentBefore: true, wantDelivered: true},
		{name: "the poller has read data", sentBefore: true, readByPoller: true, wantDelivered: true},
		{name: "data arrives after the close", sentAfter: true, wantClosed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newRecorder()
			opened, onOpened := signal(1)
			server.onOpened = onOpened
			client := connectRaw(t, server, defaultReadBufferLimit)
			waitFor(t, "the opening", opened)
			c, closed := server.conn.(*conn), false
			c.loop.Do(func() {
				if test.sentBefore {
					_, _ = client.Write([]byte("request"))
				}
				for test.readByPoller && !c.hasReceived() {
					runtime.Gosched()
				}
				closed = c.CloseIfIdle()
				if test.sentAfter {
					_, _ = client.Write([]byte("request"))
				}
			})
			if closed != test.wantClosed {
				t.Fatalf("closed %v", closed)
			}
			if closed {
				if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Errorf("the client read %v", err)
				}
				_ = client.Close()
				waitFor(t, "the end", server.closed)
			}
			if got := deliveredBytes(server, test.wantDelivered); (got > 0) != test.wantDelivered {
				t.Errorf("%d bytes were delivered", got)
			}
		})
	}
}

// deliveredBytes returns how many bytes were delivered to a recorder. If some are expected, it waits up to 10 seconds
// for them.
func deliveredBytes(r *recorder, expected bool) (n int) {
	loop := r.conn.(*conn).loop
	for end := time.Now().Add(10 * time.Second); ; runtime.Gosched() {
		loop.Do(func() { n = len(r.data) })
		if n > 0 || !expected || time.Now().After(end) {
			return n
		}
	}
}

// hasReceived reports whether the poller has read data that is not delivered yet.
func (c *conn) hasReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.received) > 0
}

func TestConnectionClosedBeforeItOpenedEnds(t *testing.T) {
	for _, test := range []struct {
		name  string
		close func(eventloop.Conn)
	}{
		{"close", eventloop.Conn.Close},
		{"abort", eventloop.Conn.Abort},
		{"close if idle", func(c eventloop.Conn) { c.CloseIfIdle() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := startLoop(t)
			server := newRecorder()
			server.onOpened = func(*recorder) { t.Error("the connection opened") }
			addr := listen(t, l, func(c eventloop.Conn) eventloop.Handler {
				l.Defer(func() { test.close(c) })
				return server
			}).Addr()
			c, err := net.Dial("tcp", addr)
			switch {
			case err == nil:
				closeOnCleanup(t, c)
			case !errors.Is(err, syscall.ECONNRESET): // the abort may come before the dial has completed
				t.Fatal(err)
			}
			waitFor(t, "the connection's end", server.closed)
		})
	}
}
