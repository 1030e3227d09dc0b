package sockets

import (
	"net"
	"os"
	"syscall"
	"testing"

	"plumspindle/internal/eventloop"
)

// The loop is busy, so that what the poller has seen can't have reached it, and yet it is known that the other side has
// closed, or has sent something.
func TestIdleAsksTheSocket(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(net.Conn) error
	}{
		{"closes", net.Conn.Close},
		{"sends", func(c net.Conn) error { _, err := c.Write([]byte("x")); return err }},
	} {
		t.Run(test.name, func(t *testing.T) {
			far, l, c := dialFromLoop(t)
			l.Do(func() {
				if !c.Idle() {
					t.Error("not idle before")
				}
				if err := test.act(far); err != nil {
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

// dialFromLoop connects a loop with a connection of the standard library that was accepted.
func dialFromLoop(t *testing.T) (far net.Conn, l *Loop, conn eventloop.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, ln)
	l = startLoop(t)
	client := newRecorder()
	opened, onOpened := signal(1)
	client.onOpened = onOpened
	l.Do(func() { conn = l.Dial(ln.Addr().String(), 5*eventloop.Second, client) })
	far, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, far)
	waitFor(t, "the opening", opened)
	return far, l, conn
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
			near, far := os.NewFile(uintptr(pair[0]), "near"), os.NewFile(uintptr(pair[1]), "far")
			closeAtEnd(t, near)
			closeAtEnd(t, far)
			if !isIdle(pair[0]) {
				t.Error("not idle before")
			}
			if err := test.act(far); err != nil {
				t.Fatal(err)
			}
			if isIdle(pair[0]) {
				t.Error("idle after")
			}
		})
	}
}
