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
	answerTimeout    = 5 * time.Second
)

// delayedConn simulates a process that a busy machine does not let run: a call that sets a deadline less than a second
// ahead returns only after that deadline has passed.
type delayedConn struct{ *net.TCPConn }

func (c delayedConn) delay(until time.Time) {
	if wait := time.Until(until); wait > 0 && wait < time.Second {
		<-time.After(wait + time.Millisecond)
	}
}

func (c delayedConn) SetDeadline(t time.Time) error {
	err := c.TCPConn.SetDeadline(t)
	c.delay(t)
	return err
}

func (c delayedConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	c.delay(t)
	return err
}

func (c delayedConn) SetWriteDeadline(t time.Time) error {
	err := c.TCPConn.SetWriteDeadline(t)
	c.delay(t)
	return err
}

// reject sends the overload response on a connection and closes it.
func (l *Loop) reject(raw net.Conn) {
	l.newRejection(raw, func() { _ = raw.SetReadDeadline(time.Now().Add(rejectLingerTimeout)) }).run()
}

// A dispatcher on a busy machine that rejects a client for lack of a descriptor must still answer it. An earlier
// version set a write deadline of 3 ms, which could pass before the write began. In that case nothing was written, the
// connection was closed, and the client read the end of the stream without an answer. This happened to 8 of 160,000
// rejections beside 90 busy processes. Each of the 8 logged "write: i/o timeout" with 0 bytes written; no read failed
// and nothing was reset.
func TestRejectionByAProcessThatIsHeldUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, listener)
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
	go l.reject(delayedConn{raw.(*net.TCPConn)})
	if got := readAnswer(client); got != overloadResponse {
		t.Errorf("the client got %q", got)
	}
}

// readAnswer returns everything that arrives up to the connection's end, with the error if reading fails.
func readAnswer(c net.Conn) string {
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	answer, err := io.ReadAll(c)
	if err != nil {
		return fmt.Sprintf("%q, then %v", answer, err)
	}
	return string(answer)
}

// piece is a part of a request and the time when it is sent.
type piece struct {
	at    time.Duration // since the client connected
	bytes int           // number of bytes, or rest for all that are not sent yet
}

// rest, as the size of a piece, means all bytes that are not sent yet.
const rest = -1

// Clients that connect while the process has no descriptor left must get the whole answer if they send their request
// within 100 ms, in whatever pieces it arrives, and even if a further client that sends nothing connects every 20 ms.
// Earlier, a connection was shut down 3 ms after its first bytes had arrived, and later bytes were answered by a reset.
func TestRejectedClientsGetTheWholeAnswer(t *testing.T) {
	small, large := requestOfSize(100), requestOfSize(200_000)
	inThree := func(size int) []piece {
		return []piece{{0, size}, {10 * time.Millisecond, size}, {20 * time.Millisecond, rest}}
	}
	clients := map[string]rejectedClient{
		"small, at once":                  {small, []piece{{0, rest}}},
		"small, after 5 ms":               {small, []piece{{5 * time.Millisecond, rest}}},
		"small, after 15 ms":              {small, []piece{{15 * time.Millisecond, rest}}},
		"small, after 60 ms":              {small, []piece{{60 * time.Millisecond, rest}}},
		"small, three pieces 10 ms apart": {small, inThree(30)},
		"small, the end after 80 ms":      {small, []piece{{0, 60}, {80 * time.Millisecond, rest}}},
		"large, at once":                  {large, []piece{{0, rest}}},
		"large, three pieces 10 ms apart": {large, inThree(70_000)},
		"large, the end after 80 ms":      {large, []piece{{5 * time.Millisecond, 199_000}, {80 * time.Millisecond, rest}}},
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
				t.Errorf("%s: %d of %d requests were answered; the others got %v", name, answered, rounds, lost)
			}
		})
	}
	group.Wait()
}

// requestOfSize returns a request with a body of the given size.
func requestOfSize(size int) []byte {
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
	return append([]byte(head), bytes.Repeat([]byte("x"), size)...)
}

// sendInPieces sends a request on a new connection and returns the answer. If a write fails, it returns the error: the
// connection was reset, so the answer may be lost.
func sendInPieces(address string, request []byte, pieces []piece) string {
	c, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	connected := time.Now()
	for _, p := range pieces {
		<-time.After(time.Until(connected.Add(p.at)))
		size := p.bytes
		if size == rest {
			size = len(request)
		}
		if _, err := c.Write(request[:size]); err != nil {
			return errors.Unwrap(err).Error()
		}
		request = request[size:]
	}
	return readAnswer(c)
}

// connectSilentClients connects one more client after each interval, until the returned function is called. The clients
// send nothing.
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
			c, err := net.DialTimeout("tcp", address, answerTimeout)
			if err != nil {
				if !errors.Is(err, syscall.ECONNREFUSED) {
					t.Error(err)
				}
				return
			}
			defer func() { _ = c.Close() }() // all clients stay connected until stop is called
		}
	}()
	return func() {
		close(stopped)
		<-done
	}
}

// The receive timeout of a client that has sent nothing must start when the client connects, even if the connection
// waits in the backlog before it is accepted.
func TestSilentTimeCountsFromTheConnecting(t *testing.T) {
	const backlogTime = 60 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, listener)
	_ = dialRaw(t, listener.Addr().String())
	<-time.After(backlogTime)
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, raw)
	if elapsed := sinceLastSegment(raw); elapsed < backlogTime-10*time.Millisecond {
		t.Errorf("the last segment came %v ago, want %v", elapsed, backlogTime)
	}
}

// Silent clients must not delay the answers to others, even if there are many more of them than can be rejected at
// once.
func TestSilentClientsDoNotHoldUpRejections(t *testing.T) {
	const maxDuration = time.Second
	s := startLimitedServer(t)
	s.command("respond %d", maxRejections)
	s.command("free 0")
	stopSilentClients := connectSilentClients(t, s.addr, 2*time.Millisecond)
	defer stopSilentClients()
	request := requestOfSize(100)
	for round := range 40 {
		start := time.Now()
		got := sendInPieces(s.addr, request, []piece{{0, 30}, {10 * time.Millisecond, rest}})
		if took := time.Since(start); got != overloadResponse || took > maxDuration {
			t.Errorf("round %d: %v after %v", round, got, took)
		}
	}
}
