package sockets

import (
	"errors"
	"net"
	"syscall"
	"testing"

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
		t.Errorf("refused: %v", err)
	}
}

// nbio's own dialling connects to this machine's first address whatever the address is.
func TestDialConnectsToTheGivenAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.8.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, ln)
	l := startLoop(t)
	client := newRecorder()
	outcome, onOpened := signal(2)
	client.onOpened, client.closed = onOpened, outcome
	l.Do(func() { l.Dial(ln.Addr().String(), 5*eventloop.Second, client) })
	if err := outcomeOf(t, "the outcome", outcome); err != nil {
		t.Errorf("not connected: %v", err)
	}
}
