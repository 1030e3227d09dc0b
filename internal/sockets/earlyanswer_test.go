package sockets

import (
	"fmt"
	"io"
	"net"
	"testing"

	"plumspindle/internal/eventloop"
)

const earlyAnswer = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"

// answerEarly listens for connections of which it reads the first bytes, answers and closes.
func answerEarly(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				const taken = 1000
				if _, err := io.CopyN(io.Discard, c, taken); err == nil {
					_, _ = io.WriteString(c, earlyAnswer)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// An endpoint that declines a large request answers before it has read it, and closes, which resets the connection. The
// write that meets the reset fails, and closed the connection with the answer unread: of 300 rounds of 1 MB 285 lost it
// on an idle machine, though the answer had come before the reset and the system still had it.
func TestAnswerBeforeTheRequestIsSentIsNotLost(t *testing.T) {
	const rounds = 100
	address := answerEarly(t)
	l := startLoop(t)
	for _, size := range []int{4 << 10, 64 << 10, 1 << 20, 8 << 20} {
		t.Run(fmt.Sprintf("%d kB", size>>10), func(t *testing.T) {
			lost := 0
			for range rounds {
				client := newRecorder()
				client.onOpened = func(r *recorder) { r.conn.Write(make([]byte, size)) }
				l.Do(func() { client.conn = l.Dial(address, eventloop.Second, client) })
				waitFor(t, "the connection's end", client.closed)
				if string(client.data) != earlyAnswer {
					lost++
				}
			}
			if lost > 0 {
				t.Errorf("%d of %d answers were lost", lost, rounds)
			}
		})
	}
}
