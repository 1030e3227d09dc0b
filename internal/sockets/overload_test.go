package sockets

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	overloadResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy"
	answerPatience   = 5 * time.Second
)

// heldUpConn is a connection of a process that is held up, for longer than the time it has just set, whenever it sets a
// time: a busy machine does not let it run.
type heldUpConn struct{ *net.TCPConn }

func (c heldUpConn) holdUp(until time.Time) {
	if wait := time.Until(until); wait > 0 && wait < time.Second {
		<-time.After(wait + time.Millisecond)
	}
}

func (c heldUpConn) SetDeadline(t time.Time) error {
	err := c.TCPConn.SetDeadline(t)
	c.holdUp(t)
	return err
}

func (c heldUpConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	c.holdUp(t)
	return err
}

func (c heldUpConn) SetWriteDeadline(t time.Time) error {
	err := c.TCPConn.SetWriteDeadline(t)
	c.holdUp(t)
	return err
}

// reject answers a connection with the overload response and closes it.
func (l *Loop) reject(raw net.Conn) {
	l.newRejection(raw, func() { _ = raw.SetReadDeadline(time.Now().Add(rejectLingerTimeout)) }).run()
}

// A dispatcher on a busy machine rejects a client for want of a descriptor, and has to answer it all the same. It did
// not: the 3 ms that it gave the write were over before the write began, which then wrote nothing; the connection was
// closed, and its client read a clean end without an answer. Of 160,000 rejections beside 90 busy processes 8 ended so,
// and each of the 8 logged "write: i/o timeout" with 0 bytes written; no read failed and nothing was reset.
func TestRejectionByAProcessThatIsHeldUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	client := dialRaw(t, listener.Addr().String())
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	l := startLoop(t)
	l.OverloadResponse = []byte(overloadResponse)
	go l.reject(heldUpConn{raw.(*net.TCPConn)})
	if got := readAnswer(client); got != overloadResponse {
		t.Errorf("the client got %q", got)
	}
}

// readAnswer returns all that comes up to the connection's end, or why it did not end well.
func readAnswer(c net.Conn) string {
	_ = c.SetReadDeadline(time.Now().Add(answerPatience))
	answer, err := io.ReadAll(c)
	if err != nil {
		return fmt.Sprintf("%q, then %v", answer, err)
	}
	return string(answer)
}

// piece is a part of a request, and when it is sent, counted from the connecting.
type piece struct {
	at    time.Duration
	bytes int // -1: all that is left
}

const all = -1

// Clients that connect while a process has no descriptor left, and have sent their request within 100 ms, each get the
// whole answer, however the request comes; a client that sends nothing every 20 ms does not keep them from it. Before,
// a connection was shut 3 ms after its first bytes had come, and what came later was met with a reset.
func TestRejectedClientsGetTheWholeAnswer(t *testing.T) {
	small, large := requestOfSize(100), requestOfSize(200_000)
	inThree := func(size int) []piece {
		return []piece{{0, size}, {10 * time.Millisecond, size}, {20 * time.Millisecond, all}}
	}
	clients := map[string]rejectedClient{
		"small, at once":                  {small, []piece{{0, all}}},
		"small, after 5 ms":               {small, []piece{{5 * time.Millisecond, all}}},
		"small, after 15 ms":              {small, []piece{{15 * time.Millisecond, all}}},
		"small, after 60 ms":              {small, []piece{{60 * time.Millisecond, all}}},
		"small, three pieces 10 ms apart": {small, inThree(30)},
		"small, the end after 80 ms":      {small, []piece{{0, 60}, {80 * time.Millisecond, all}}},
		"large, at once":                  {large, []piece{{0, all}}},
		"large, three pieces 10 ms apart": {large, inThree(70_000)},
		"large, the end after 80 ms":      {large, []piece{{5 * time.Millisecond, 199_000}, {80 * time.Millisecond, all}}},
	}
	for _, atOnce := range []int{maxRejections, 1} {
		t.Run(fmt.Sprintf("%d at once", atOnce), func(t *testing.T) {
			s := startLimitedServer(t)
			s.command("respond %d", atOnce)
			s.command("free 0")
			stopSilentClients := connectSilentClients(t, s.addr, 20*time.Millisecond)
			defer stopSilentClients()
			checkRejectedClients(t, s.addr, clients)
		})
	}
}

// rejectedClient is a client whose request is sent in pieces.
type rejectedClient struct {
	request []byte
	pieces  []piece
}

func checkRejectedClients(t *testing.T, address string, clients map[string]rejectedClient) {
	t.Helper()
	const rounds = 15
	var group sync.WaitGroup
	for name, client := range clients {
		group.Go(func() {
			answered, lost := 0, map[string]int{}
			for range rounds {
				if got := sendInPieces(address, client.request, client.pieces); got == overloadResponse {
					answered++
				} else {
					lost[got]++
				}
			}
			if answered != rounds {
				t.Errorf("%s: %d of %d were answered; the others got %v", name, answered, rounds, lost)
			}
		})
	}
	group.Wait()
}

// requestOfSize returns a request whose body has so many bytes.
func requestOfSize(size int) []byte {
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
	return append([]byte(head), bytes.Repeat([]byte("x"), size)...)
}

// sendInPieces sends a request on a connection of its own, and returns the answer. A client that can't send on gives
// up: its connection was reset, which may take the answer away.
func sendInPieces(address string, request []byte, pieces []piece) string {
	c, err := net.DialTimeout("tcp", address, answerPatience)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	connected := time.Now()
	for _, p := range pieces {
		<-time.After(time.Until(connected.Add(p.at)))
		size := p.bytes
		if size == all {
			size = len(request)
		}
		if _, err := c.Write(request[:size]); err != nil {
			return errors.Unwrap(err).Error()
		}
		request = request[size:]
	}
	return readAnswer(c)
}

// connectSilentClients connects a client that sends nothing at each interval, until the function that it returns is
// called.
func connectSilentClients(t *testing.T, address string, interval time.Duration) (stop func()) {
	t.Helper()
	stopped, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-ticker.C:
			}
			c, err := net.DialTimeout("tcp", address, answerPatience)
			if err != nil {
				if !errors.Is(err, syscall.ECONNREFUSED) {
					t.Error(err)
				}
				return
			}
			defer func() { _ = c.Close() }() // at the end: they stay
		}
	}()
	return func() {
		close(stopped)
		<-done
	}
}

// The time that a client has to send its request counts from its connecting, also where it waited to be accepted.
func TestSilentTimeCountsFromTheConnecting(t *testing.T) {
	const waited = 60 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	_ = dialRaw(t, listener.Addr().String())
	<-time.After(waited)
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, raw)
	if silent := silentFor(raw); silent < waited-10*time.Millisecond {
		t.Errorf("silent for %v, connected %v ago", silent, waited)
	}
}

// Many more silent clients than can be held at once do not keep others from their answer.
func TestSilentClientsDoNotHoldUpRejections(t *testing.T) {
	const aim = time.Second
	s := startLimitedServer(t)
	s.command("respond %d", maxRejections)
	s.command("free 0")
	stopSilentClients := connectSilentClients(t, s.addr, 2*time.Millisecond)
	defer stopSilentClients()
	request := requestOfSize(100)
	for round := range 40 {
		began := time.Now()
		got := sendInPieces(s.addr, request, []piece{{0, 30}, {10 * time.Millisecond, all}})
		if took := time.Since(began); got != overloadResponse || took > aim {
			t.Errorf("round %d: %v after %v", round, got, took)
		}
	}
}
