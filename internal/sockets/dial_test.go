package sockets

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

func TestDialReportsARefusedConnection(t *testing.T) {
	l := startLoop(t)
	ln := listen(t, l, nil)
	client := newRecorder()
	l.Do(func() {
		ln.Close()
		client.conn = l.Dial(ln.Addr(), eventloop.Second, client)
	})
	err := outcomeOf(t, "the refusal", client.closed)
	if !errors.Is(err, errNoConnection) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("closed with %v, want a refused connection", err)
	}
}

// Dial must connect to the given address. nbio's own dialling connects to this machine's first address, whatever
// address is given.
func TestDialConnectsToTheGivenAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.8.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, ln)
	l := startLoop(t)
	client := newRecorder()
	opened, onOpened := signal(1)
	closed, _ := signal(1)
	client.onOpened, client.closed = onOpened, closed
	l.Do(func() { l.Dial(ln.Addr().String(), 5*eventloop.Second, client) })
	select {
	case err := <-opened:
		if err != nil {
			t.Error(err)
		}
	case err := <-closed:
		t.Errorf("closed instead of connected: %v", err)
	case <-time.After(testTimeout):
		t.Error("neither connected nor closed")
	}
}
