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
	want := strings.Repeat("0123456789abcdef", 1<<17) // 2 MB, more than any socket takes at once
	server, client := newRecorder(), newRecorder()
	server.onOpened = func(r *recorder) {
		r.conn.Write([]byte(want))
		r.conn.Close()
	}
	_, clientLoop := connect(t, server, client)
	waitFor(t, "the end", client.closed)
	clientLoop.Do(func() {
		if !bytes.Equal(client.data, []byte(want)) {
			t.Errorf("%d bytes of %d came", len(client.data), len(want))
		}
	})
}

func TestAbortEndsBothSides(t *testing.T) {
	server, client := newRecorder(), newRecorder()
	server.onOpened = func(r *recorder) { r.conn.Abort() }
	connect(t, server, client)
	waitFor(t, "the reset", client.closed)
	waitFor(t, "the server's own end", server.closed)
}

// What the other side sends in the moment of a close neither resets the connection, and with it an answer that is on
// its way, nor is it handed over; and it does not keep the connection open for long.
func TestCloseDropsWhatArrivesLaterWithoutReset(t *testing.T) {
	answer := bytes.Repeat([]byte("0123456789abcdef"), 1<<15) // more than the sockets between take at once
	answered := make(chan error, 1)
	turns := 0
	server := newRecorder()
	server.onData = func(r *recorder) {
		if turns++; turns == 1 {
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
	for range 20 { // sent before anything of the answer is read
		if _, err := c.Write(make([]byte, 32<<10)); err != nil {
			t.Fatalf("sent behind the request: %v", err)
		}
	}
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, answer) {
		t.Errorf("%d bytes of %d came: %v", len(got), len(answer), err)
	}
	if turns != 1 {
		t.Errorf("%d turns were handed over", turns)
	}
	// The client does not close: the connection ends nevertheless.
	waitFor(t, "the server's closing", server.closed)
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	for err = nil; err == nil; {
		_, err = c.Write(make([]byte, 1<<10))
	}
	if !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("writing on: %v", err)
	}
}

// CloseIfIdle does not close a connection on which something has arrived, whether the poller has read it yet or not;
// what arrives after it is dropped.
func TestCloseIfIdleKeepsConnectionsWithData(t *testing.T) {
	for _, test := range []struct {
		name              string
		sentBefore        bool
		readByPoller      bool
		sentAfter         bool
		wantClosed        bool
		wantDataHandedOut bool
	}{
		{name: "nothing has arrived", wantClosed: true},
		{name: "it is in the socket", sentBefore: true, wantDataHandedOut: true},
		{name: "the poller has read it", sentBefore: true, readByPoller: true, wantDataHandedOut: true},
		{name: "it arrives after the close", sentAfter: true, wantClosed: true},
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
				for test.readByPoller && !c.hasRead() {
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
			if got := handedOver(server, test.wantDataHandedOut); (got > 0) != test.wantDataHandedOut {
				t.Errorf("%d bytes were handed over", got)
			}
		})
	}
}

// handedOver returns how many bytes a recorder was handed, and waits for some if they are expected.
func handedOver(r *recorder, expected bool) (n int) {
	loop := r.conn.(*conn).loop
	for end := time.Now().Add(10 * time.Second); ; runtime.Gosched() {
		loop.Do(func() { n = len(r.data) })
		if n > 0 || !expected || time.Now().After(end) {
			return n
		}
	}
}

// hasRead reports whether the poller has read something that was not handed over.
func (c *conn) hasRead() bool {
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
			server.onOpened = func(*recorder) { t.Error("it opened") }
			addr := listen(t, l, func(c eventloop.Conn) eventloop.Handler {
				l.Defer(func() { test.close(c) })
				return server
			}).Addr()
			c, err := net.Dial("tcp", addr)
			switch {
			case err == nil:
				closeAtEnd(t, c)
			case !errors.Is(err, syscall.ECONNRESET): // the abort may have overtaken it
				t.Fatal(err)
			}
			waitFor(t, "its end", server.closed)
		})
	}
}
