package sockets

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

// oneByteAnswer is a handler that answers each connection with one byte and closes.
type oneByteAnswer struct{ conn eventloop.Conn }

func (oneByteAnswer) Opened()      {}
func (oneByteAnswer) Drained()     {}
func (oneByteAnswer) Closed(error) {}
func (a oneByteAnswer) Data([]byte) {
	a.conn.Write([]byte("!"))
	a.conn.Close()
}

// Events of a closed connection never end another one that has its descriptor: each client is answered, however fast
// they come and go. Without the barrier about one in some thousands was closed without an answer.
func TestEventsOfAClosedConnectionDoNotReachItsSuccessor(t *testing.T) {
	const clients, requests = 300, 60
	l := startLoop(t)
	addr := listen(t, l, func(c eventloop.Conn) eventloop.Handler { return oneByteAnswer{c} }).Addr()
	var group sync.WaitGroup
	var unanswered atomic.Int64
	for range clients {
		group.Go(func() {
			for range requests {
				if err := askOneByte(addr); err != nil {
					unanswered.Add(1)
					t.Log(err)
				}
			}
		})
	}
	group.Wait()
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d of %d were not answered", n, clients*requests)
	}
}

// askOneByte sends one byte and reads the answer. A dial that fails is no error: the machine may have no more ports for
// so many connections at once.
func askOneByte(addr string) error {
	c, err := net.DialTimeout("tcp", addr, 20*time.Second)
	if err != nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = c.Write([]byte("?"))
	_, err = c.Read(make([]byte, 1))
	return err
}
