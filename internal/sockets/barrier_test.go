package sockets

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

// oneByteResponder is a handler that answers its connection with one byte and closes it.
type oneByteResponder struct{ conn eventloop.Conn }

func (oneByteResponder) Opened()      {}
func (oneByteResponder) Drained()     {}
func (oneByteResponder) Closed(error) {}
func (r oneByteResponder) Data([]byte) {
	r.conn.Write([]byte("!"))
	r.conn.Close()
}

// Stale events of a closed connection must not close a new connection that reuses its descriptor. Many clients connect
// and disconnect quickly, and each one must be answered. Without the poll barrier, about one connection in several
// thousand was closed without an answer.
func TestEventsOfAClosedConnectionDoNotReachItsSuccessor(t *testing.T) {
	const clients, requests = 300, 60
	l := startLoop(t)
	addr := listen(t, l, func(c eventloop.Conn) eventloop.Handler { return oneByteResponder{c} }).Addr()
	var clientGroup sync.WaitGroup
	var unanswered atomic.Int64
	for range clients {
		clientGroup.Go(func() {
			for range requests {
				if err := exchangeOneByte(addr); err != nil {
					unanswered.Add(1)
					t.Log(err)
				}
			}
		})
	}
	clientGroup.Wait()
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d of %d requests were not answered", n, clients*requests)
	}
}

// exchangeOneByte sends one byte and reads the answer. It ignores a failed dial, because the machine may run out of
// ports with so many connections at once.
func exchangeOneByte(addr string) error {
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
