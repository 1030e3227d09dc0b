package sockets

import (
	"bytes"
	"fmt"
	"net"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

// ear hears one side of a connection; what it hears is told on channels to the test.
type ear struct {
	conn   eventloop.Conn
	data   []byte
	onData func(e *ear)
	opened func(e *ear)
	closed chan error
	drains int
}

func (e *ear) Opened() {
	if e.opened != nil {
		e.opened(e)
	}
}
func (e *ear) Data(b []byte) {
	e.data = append(e.data, b...)
	if e.onData != nil {
		e.onData(e)
	}
}
func (e *ear) Drained()         { e.drains++ }
func (e *ear) Closed(err error) { e.closed <- err }

func start(t *testing.T) *Loop {
	t.Helper()
	l, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Stop)
	return l
}

func waitFor(t *testing.T, what string, c chan error) error {
	t.Helper()
	select {
	case err := <-c:
		return err
	case <-time.After(40 * time.Second):
		t.Fatalf("%s did not come", what)
		return nil
	}
}

// listen takes connections with one handler.
func listen(t *testing.T, l *Loop, server *ear) (addr string) {
	t.Helper()
	server.closed = make(chan error, 1)
	l.Do(func() {
		ln, err := l.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler { server.conn = c; return server })
		if err != nil {
			t.Error(err)
			return
		}
		addr = ln.Addr()
	})
	return addr
}

// pair listens with one handler and dials with another.
func pair(t *testing.T, server, client *ear) (*Loop, *Loop) {
	t.Helper()
	a, b := start(t), start(t)
	client.closed = make(chan error, 1)
	addr := listen(t, a, server)
	b.Do(func() { client.conn = b.Dial(addr, eventloop.Second, client) })
	return a, b
}

// A process that was started from here holds none of the connections: what this one closes is closed. (Otherwise dispatchers
// that a day starts anew kept its hosts' connections, and legs went out on them to nobody.)
func TestChildrenHoldNoConnection(t *testing.T) {
	both := make(chan error, 2)
	opened := func(*ear) { both <- nil }
	server, client := &ear{opened: opened}, &ear{opened: opened}
	a, b := pair(t, server, client)
	waitFor(t, "one opening", both)
	waitFor(t, "the other opening", both)
	child := exec.Command("sleep", "60")
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = child.Process.Kill(); _ = child.Wait() }()
	a.Do(func() { server.conn.Close() })
	waitFor(t, "the client's closing", client.closed)
	second := &ear{opened: opened, closed: make(chan error, 1)}
	heard := &ear{opened: opened, closed: make(chan error, 1)}
	a.Do(func() {
		ln, err := a.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler { heard.conn = c; return heard })
		if err != nil {
			t.Error(err)
			return
		}
		b.Post(func() { second.conn = b.Dial(ln.Addr(), eventloop.Second, second) })
	})
	waitFor(t, "one opening", both)
	waitFor(t, "the other opening", both)
	other := exec.Command("sleep", "60")
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Process.Kill(); _ = other.Wait() }()
	b.Do(func() { second.conn.Close() })
	waitFor(t, "the server's closing", heard.closed)
}

// All that was written before a close arrives, however much it is, and in order.
func TestCloseAfterAllIsSent(t *testing.T) {
	want := strings.Repeat("0123456789abcdef", 1<<17) // 2 MB, more than any socket takes at once
	server := &ear{opened: func(e *ear) {
		e.conn.Write([]byte(want))
		e.conn.Close()
	}}
	client := &ear{}
	_, b := pair(t, server, client)
	waitFor(t, "the end", client.closed)
	b.Do(func() {
		if !bytes.Equal(client.data, []byte(want)) {
			t.Errorf("%d bytes of %d came", len(client.data), len(want))
		}
	})
}

// A reader that pauses slows its writer within a bound; resumed, it gets everything.
func TestPause(t *testing.T) {
	const size = 16 << 20
	server := &ear{opened: func(e *ear) { e.conn.Write(make([]byte, size)) }}
	client := &ear{opened: func(e *ear) { e.conn.Pause(true) }}
	a, b := pair(t, server, client)
	stuck, last := 0, -1
	for i := 0; i < 2000 && stuck < 20; i++ { // until the sockets between are full
		var unsent int
		a.Do(func() {
			if server.conn != nil {
				unsent = server.conn.Unsent()
			}
		})
		if unsent == last && unsent > 0 && unsent < size {
			stuck++
		} else {
			stuck = 0
		}
		last = unsent
		time.Sleep(time.Millisecond) // the kernel's buffers fill at their own pace, and nothing tells when
	}
	if stuck < 20 {
		t.Fatalf("%d bytes unsent; the writer was not held up", last)
	}
	got := make(chan error, 1)
	b.Do(func() {
		if len(client.data) > 2*takeInMost {
			t.Errorf("%d bytes were handed over while paused", len(client.data))
		}
		client.onData = func(e *ear) {
			if len(e.data) == size {
				got <- nil
			}
		}
		client.conn.Pause(false)
	})
	waitFor(t, "the rest", got)
	a.Do(func() {
		if server.conn.Unsent() != 0 || server.drains == 0 {
			t.Errorf("%d unsent, %d times drained", server.conn.Unsent(), server.drains)
		}
	})
}

// A refused connection, one reset, and an address that is not loopback are told, each with its cause.
func TestRefusedResetForeign(t *testing.T) {
	a := start(t)
	refused := &ear{closed: make(chan error, 1)}
	var addr string
	a.Do(func() {
		ln, err := a.Listen("127.0.0.1:0", nil)
		if err != nil {
			t.Error(err)
			return
		}
		addr = ln.Addr()
		ln.Close()
		refused.conn = a.Dial(addr, eventloop.Second, refused)
		if _, err := a.Listen("0.0.0.0:0", nil); err == nil {
			t.Error("an address that is not loopback was taken")
		}
	})
	if err := waitFor(t, "the refusal", refused.closed); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Errorf("refused: %v", err)
	}
	server := &ear{opened: func(e *ear) { e.conn.Abort() }}
	client := &ear{}
	pair(t, server, client)
	waitFor(t, "the reset", client.closed)
	waitFor(t, "its own end", server.closed)
}

// Thousands of connections at once, each with a word and its answer.
func TestManyConnections(t *testing.T) {
	a, b := start(t), start(t)
	const n = 3000
	done := make(chan error, 1)
	answered := 0
	var addr string
	a.Do(func() {
		ln, err := a.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
			return &ear{conn: c, closed: make(chan error, 1), onData: func(e *ear) { e.conn.Write(e.data); e.conn.Close() }}
		})
		if err != nil {
			t.Error(err)
			return
		}
		addr = ln.Addr()
	})
	b.Do(func() {
		for i := range n {
			word := fmt.Sprint("word ", i)
			e := &ear{closed: make(chan error, 1)}
			e.opened = func(e *ear) { e.conn.Write([]byte(word)) }
			e.onData = func(e *ear) {
				if string(e.data) == word {
					if answered++; answered == n {
						done <- nil
					}
				}
			}
			e.conn = b.Dial(addr, 10*eventloop.Second, e)
		}
	})
	waitFor(t, "the last answer", done)
}

// Timers run in order, and one that is stopped does not.
func TestTimers(t *testing.T) {
	l := start(t)
	var order []int
	done := make(chan error, 1)
	l.Do(func() {
		for _, i := range []int{3, 1, 2} {
			l.AfterFunc(eventloop.Micros(i)*eventloop.Millisecond, func() { order = append(order, i) })
		}
		l.AfterFunc(2500, func() { order = append(order, 99) }).Stop()
		l.Defer(func() { order = append(order, 0) })
		l.AfterFunc(5*eventloop.Millisecond, func() { done <- nil })
	})
	waitFor(t, "the last timer", done)
	l.Do(func() {
		if fmt.Sprint(order) != "[0 1 2 3]" {
			t.Errorf("order %v", order)
		}
	})
}

// A loop ends even while connections open.
func TestStopWhileDialing(t *testing.T) {
	a := start(t)
	var addr string
	a.Do(func() {
		ln, err := a.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler { return &ear{conn: c, closed: make(chan error, 1)} })
		if err != nil {
			t.Error(err)
			return
		}
		addr = ln.Addr()
	})
	for range 20 {
		b, err := Start()
		if err != nil {
			t.Fatal(err)
		}
		b.Do(func() {
			for range 5 {
				b.Dial(addr, eventloop.Second, &ear{closed: make(chan error, 1)})
			}
		})
		stopped := make(chan error, 1)
		go func() { b.Stop(); stopped <- nil }()
		waitFor(t, "the loop's end", stopped)
	}
}

// answers gives each connection one byte and closes, as its client does: descriptors are given back and taken anew all the time.
type answers struct{ conn eventloop.Conn }

func (a *answers) Opened()      {}
func (a *answers) Drained()     {}
func (a *answers) Closed(error) {}
func (a *answers) Data([]byte) {
	a.conn.Write([]byte("!"))
	a.conn.Close()
}

// News of a connection that is gone never ends another that has its descriptor: each client is answered, however fast they come
// and go. (Without rounds about one in some thousands got an end and no answer.)
func TestDescriptorsTakenAnew(t *testing.T) {
	l := start(t)
	var addr string
	l.Do(func() {
		ln, err := l.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler { return &answers{c} })
		if err != nil {
			t.Error(err)
			return
		}
		addr = ln.Addr()
	})
	var wg sync.WaitGroup
	var unanswered atomic.Int64
	for range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 60 {
				c, err := net.DialTimeout("tcp", addr, 20*time.Second)
				if err != nil {
					continue // the machine has no more ports for so many at once
				}
				_ = c.SetDeadline(time.Now().Add(20 * time.Second))
				var b [1]byte
				_, _ = c.Write([]byte("?"))
				if _, err := c.Read(b[:]); err != nil {
					unanswered.Add(1)
					t.Log(err)
				}
				c.Close()
			}
		}()
	}
	wg.Wait()
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d of 18,000 were not answered", n)
	}
}

// TestDialsWhatItIsTold guards against a dial that reaches this machine's first address in place of the one that it was told, as
// nbio's own did.
func TestDialsWhatItIsTold(t *testing.T) {
	ln, err := net.Listen("tcp", "127.8.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Stop()
	h := &told{opened: make(chan bool, 2)}
	l.Do(func() { l.Dial(ln.Addr().String(), 5*eventloop.Second, h) })
	if !<-h.opened {
		t.Error("not connected")
	}
}

type told struct{ opened chan bool }

func (h *told) Opened()      { h.opened <- true }
func (h *told) Data([]byte)  {}
func (h *told) Drained()     {}
func (h *told) Closed(error) { h.opened <- false }

// TestQuietAsksTheSocket: the loop is busy, so that what the poller has seen can't have reached it, and yet it is known that the other
// side has ended, or has sent something.
func TestQuietAsksTheSocket(t *testing.T) {
	for name, act := range map[string]func(net.Conn){
		"ends": func(c net.Conn) { c.Close() }, "speaks": func(c net.Conn) { c.Write([]byte("x")) },
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l, err := Start()
		if err != nil {
			t.Fatal(err)
		}
		h := &told{opened: make(chan bool, 2)}
		var c eventloop.Conn
		l.Do(func() { c = l.Dial(ln.Addr().String(), 5*eventloop.Second, h) })
		far, err := ln.Accept()
		if err != nil || !<-h.opened {
			t.Fatal("not connected", err)
		}
		l.Do(func() {
			if !c.Idle() {
				t.Errorf("%s: not quiet before", name)
			}
			act(far)
			for end := l.Now() + 5*eventloop.Second; c.Idle(); {
				if l.Now() > end {
					t.Errorf("%s: still quiet", name)
					return
				}
			}
		})
		l.Stop()
		far.Close()
		ln.Close()
	}
}

func TestNothingIn(t *testing.T) {
	for name, act := range map[string]func(fd int) error{
		"ends":   syscall.Close,
		"speaks": func(fd int) error { _, err := syscall.Write(fd, []byte("x")); return err },
	} {
		pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		if !nothingIn(pair[0]) {
			t.Errorf("%s: something before", name)
		}
		if err := act(pair[1]); err != nil {
			t.Fatal(err)
		}
		if nothingIn(pair[0]) {
			t.Errorf("%s: nothing after", name)
		}
		for _, fd := range pair {
			_ = syscall.Close(fd)
		}
	}
}
