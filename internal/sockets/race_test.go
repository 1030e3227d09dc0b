package sockets

import (
	"errors"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

// CloseIfQuiet does not close a connection on which something has come, whether the poller has read it yet or not; what comes after it is
// dropped.
func TestCloseIfQuiet(t *testing.T) {
	for name, test := range map[string]struct{ before, read, quiet bool }{
		"nothing has come":         {false, false, true},
		"it is in the socket":      {true, false, false},
		"the poller has read it":   {true, true, false},
		"it comes after the close": {false, false, true},
	} {
		opened := make(chan error, 1)
		server := &ear{opened: func(*ear) { opened <- nil }}
		c := served(t, server, takeInMost)
		waitFor(t, "its opening", opened)
		own, closed := server.conn.(*conn), false
		own.l.Do(func() {
			if test.before {
				_, _ = c.Write([]byte("request"))
			}
			for test.read && !own.hasRead() {
				runtime.Gosched()
			}
			closed = own.CloseIfIdle()
			if name == "it comes after the close" {
				_, _ = c.Write([]byte("request"))
			}
		})
		if closed != test.quiet {
			t.Errorf("%s: closed %v", name, closed)
		}
		if closed {
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("%s: the client read %v", name, err)
			}
			c.Close()
			waitFor(t, "the end", server.closed)
		}
		handed := 0
		own.l.Do(func() { handed = len(server.data) })
		for end := time.Now().Add(10 * time.Second); !closed && handed == 0 && time.Now().Before(end); runtime.Gosched() {
			own.l.Do(func() { handed = len(server.data) })
		}
		if (handed > 0) == closed {
			t.Errorf("%s: closed %v, and %d bytes were handed over", name, closed, handed)
		}
	}
}

// hasRead tells that the poller has read something that was not handed over.
func (c *conn) hasRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.in) > 0
}

// A connection that is closed before the poller has it comes to its end too.
func TestClosedBeforeItOpened(t *testing.T) {
	for name, closes := range map[string]func(eventloop.Conn){"close": eventloop.Conn.Close, "abort": eventloop.Conn.Abort,
		"if quiet": func(c eventloop.Conn) { c.CloseIfIdle() }} {
		l := start(t)
		server := &ear{closed: make(chan error, 1), opened: func(*ear) { t.Errorf("%s: it opened", name) }}
		var addr string
		l.Do(func() {
			ln, _ := l.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
				l.Defer(func() { closes(c) })
				return server
			})
			addr = ln.Addr()
		})
		c, err := net.Dial("tcp", addr)
		switch {
		case err == nil:
			defer c.Close()
		case !errors.Is(err, syscall.ECONNRESET): // the abort may have overtaken it
			t.Fatal(err)
		}
		waitFor(t, "its end", server.closed)
	}
}

// Drain takes the connections that the machine has accepted, with what their clients have sent, before the listener is closed.
func TestDrainTakesTheBacklog(t *testing.T) {
	for name, heldUp := range map[string]time.Duration{"at once": 0, "held up for longer than connections are waited for": 10 * backlogTime} {
		t.Run(name, func(t *testing.T) { drainTakesTheBacklog(t, heldUp) })
	}
}

func drainTakesTheBacklog(t *testing.T, heldUp time.Duration) {
	l := start(t)
	hold := make(chan struct{})
	l.beforeAccept = func() { <-hold }
	const many = 20
	heard := make(chan error, many)
	var ln eventloop.Listener
	l.Do(func() {
		ln, _ = l.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
			return &ear{conn: c, closed: make(chan error, 1), onData: func(*ear) { heard <- nil }}
		})
	})
	for range many {
		c, err := net.Dial("tcp", ln.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
	}
	l.Do(ln.Drain)
	<-time.After(heldUp)
	close(hold)
	for range many {
		waitFor(t, "a request that waited", heard)
	}
	for end := time.Now().Add(10 * time.Second); ; runtime.Gosched() {
		c, err := net.Dial("tcp", ln.Addr())
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			c.Close()
		}
		if time.Now().After(end) {
			t.Fatal("it goes on listening")
		}
	}
}

// One that pauses is handed all that came before the other side's end, once it resumes, and then hears the end.
func TestPauseKeepsWhatCameBeforeTheEnd(t *testing.T) {
	paused := make(chan error, 1)
	server := &ear{}
	server.onData = func(e *ear) {
		e.conn.Pause(true)
		server.onData = nil
		paused <- nil
	}
	c := served(t, server, 8<<10)
	if _, err := c.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the request", paused)
	if _, err := c.Write(make([]byte, 40<<10)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	server.conn.(*conn).l.Do(func() { server.conn.Pause(false) })
	waitFor(t, "the end", server.closed)
	if len(server.data) != 40<<10+len("request") {
		t.Errorf("%d bytes were handed over", len(server.data))
	}
}

// Small writes leave at once: what the system held back would be lost with a close over unread bytes.
func TestNothingIsHeldBack(t *testing.T) {
	opened := make(chan error, 2)
	server := &ear{opened: func(*ear) { opened <- nil }}
	client := &ear{opened: func(*ear) { opened <- nil }}
	pair(t, server, client)
	waitFor(t, "one side", opened)
	waitFor(t, "the other", opened)
	for _, e := range []*ear{server, client} {
		own, value := e.conn.(*conn), 0
		own.l.Do(func() {
			own.socket(func(fd int) { value, _ = syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
		})
		if value == 0 {
			t.Error("TCP_NODELAY is off")
		}
	}
}
