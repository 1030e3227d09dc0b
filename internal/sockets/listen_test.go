package sockets

import (
	"errors"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"
)

func TestListenRejectsAddressesBeyondLoopback(t *testing.T) {
	l := startLoop(t)
	l.Do(func() {
		if _, err := l.Listen("0.0.0.0:0", nil); !errors.Is(err, errNotLoopback) {
			t.Errorf("listen on an address that is not loopback: %v", err)
		}
	})
}

// Drain must accept the connections in the backlog, with the data that their clients have sent, before it closes the
// listener.
func TestDrainAcceptsTheBacklog(t *testing.T) {
	for _, test := range []struct {
		name  string
		delay time.Duration
	}{
		{"at once", 0},
		{"delayed for longer than the drain timeout", 10 * drainTimeout},
	} {
		t.Run(test.name, func(t *testing.T) { drainAcceptsTheBacklog(t, test.delay) })
	}
}

func drainAcceptsTheBacklog(t *testing.T, delay time.Duration) {
	t.Helper()
	const connections = 20
	l := startLoop(t)
	proceed := make(chan struct{})
	l.beforeAccept = func() { <-proceed }
	requests, onData := signal(connections)
	ln := listen(t, l, accept(onData))
	for range connections {
		if _, err := dialRaw(t, ln.Addr()).Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
	}
	l.Do(ln.Drain)
	<-time.After(delay)
	close(proceed)
	for range connections {
		waitFor(t, "a request from the backlog", requests)
	}
	waitUntilRefused(t, ln.Addr())
}

// waitUntilRefused waits until nothing listens on an address any more.
func waitUntilRefused(t *testing.T, addr string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; runtime.Gosched() {
		c, err := net.Dial("tcp", addr)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			_ = c.Close()
		}
		if time.Now().After(end) {
			t.Fatal("the listener is still open")
		}
	}
}
