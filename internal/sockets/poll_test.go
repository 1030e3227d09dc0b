package sockets

import (
	"net"
	"os"
	"syscall"
	"testing"

	"plumspindle/internal/eventloop"
)

// Idle must notice at once that the peer has closed or sent data. The test keeps the loop busy, so that the poller
// can't have reported the close or the data to the loop.
func TestIdleAsksTheSocket(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(net.Conn) error
	}{
		{"closes", net.Conn.Close},
		{"sends", func(c net.Conn) error { _, err := c.Write([]byte("x")); return err }},
	} {
		t.Run(test.name, func(t *testing.T) {
			peer, l, c := dialFromLoop(t)
			l.Do(func() {
				if !c.Idle() {
					t.Error("not idle before")
				}
				if err := test.act(peer); err != nil {
					t.Error(err)
				}
				for end := l.Now() + 5*eventloop.Second; c.Idle(); {
					if l.Now() > end {
						t.Error("still idle")
						return
					}
				}
			})
		})
	}
}

// dialFromLoop dials from a loop to a standard library listener. It returns the accepted connection, the loop and the
// loop's connection.
func dialFromLoop(t *testing.T) (peer net.Conn, l *Loop, conn eventloop.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, ln)
	l = startLoop(t)
	client := newRecorder()
	opened, onOpened := signal(1)
	client.onOpened = onOpened
	l.Do(func() { conn = l.Dial(ln.Addr().String(), 5*eventloop.Second, client) })
	peer, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, peer)
	waitFor(t, "the opening", opened)
	return peer, l, conn
}

func TestIsIdleSeesDataAndTheEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(*os.File) error
	}{
		{"closes", (*os.File).Close},
		{"sends", func(f *os.File) error { _, err := f.WriteString("x"); return err }},
	} {
		t.Run(test.name, func(t *testing.T) {
			pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
			if err != nil {
				t.Fatal(err)
			}
			local, peer := os.NewFile(uintptr(pair[0]), "local"), os.NewFile(uintptr(pair[1]), "peer")
			closeOnCleanup(t, local)
			closeOnCleanup(t, peer)
			if !isIdle(pair[0]) {
				t.Error("not idle before")
			}
			if err := test.act(peer); err != nil {
				t.Fatal(err)
			}
			if isIdle(pair[0]) {
				t.Error("idle after the peer acted")
			}
		})
	}
}
