package sockets

import (
	"fmt"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

// startChild starts a process that inherits this one's descriptors, but for those that are closed on exec.
func startChild(t *testing.T) {
	t.Helper()
	child := exec.Command("sleep", "60")
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	})
}

// A close reaches the other side also while a child process runs. Otherwise a connection would seem open after its
// process has ended, as where a scenario restarts one, and requests sent on it would be lost.
func TestChildProcessesDoNotKeepConnectionsOpen(t *testing.T) {
	for _, test := range []struct {
		name  string
		close func(serverLoop, clientLoop *Loop, server, client *recorder)
		other func(server, client *recorder) *recorder
	}{
		{"the server closes",
			func(serverLoop, _ *Loop, server, _ *recorder) { serverLoop.Do(func() { server.conn.Close() }) },
			func(_, client *recorder) *recorder { return client }},
		{"the client closes",
			func(_, clientLoop *Loop, _, client *recorder) { clientLoop.Do(func() { client.conn.Close() }) },
			func(server, _ *recorder) *recorder { return server }},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, client := newRecorder(), newRecorder()
			opened, onOpened := signal(2)
			server.onOpened, client.onOpened = onOpened, onOpened
			serverLoop, clientLoop := connect(t, server, client)
			waitFor(t, "one opening", opened)
			waitFor(t, "the other opening", opened)
			startChild(t)
			test.close(serverLoop, clientLoop, server, client)
			waitFor(t, "the closing at the other side", test.other(server, client).closed)
		})
	}
}

// A reader that pauses slows its writer down, with a bound on what is buffered; resumed, it gets everything.
func TestPausedReaderSlowsItsWriter(t *testing.T) {
	const size = 16 << 20
	server, client := newRecorder(), newRecorder()
	server.onOpened = func(r *recorder) { r.conn.Write(make([]byte, size)) }
	client.onOpened = func(r *recorder) { r.conn.SetPaused(true) }
	serverLoop, clientLoop := connect(t, server, client)
	waitUntilStuck(t, serverLoop, server, size)
	received := make(chan error, 1)
	clientLoop.Do(func() {
		if len(client.data) > 2*defaultReadBufferLimit {
			t.Errorf("%d bytes were handed over while paused", len(client.data))
		}
		client.onData = func(r *recorder) {
			if len(r.data) == size {
				received <- nil
			}
		}
		client.conn.SetPaused(false)
	})
	waitFor(t, "the rest", received)
	serverLoop.Do(func() {
		if server.conn.Unsent() != 0 || server.drains == 0 {
			t.Errorf("%d unsent, %d times drained", server.conn.Unsent(), server.drains)
		}
	})
}

// waitUntilStuck waits until the sockets of a writer and its reader are full.
func waitUntilStuck(t *testing.T, l *Loop, writer *recorder, size int) {
	t.Helper()
	const enough = 20 // looks in a row without a change
	same, last := 0, -1
	for range 2000 {
		unsent := 0
		l.Do(func() {
			if writer.conn != nil {
				unsent = writer.conn.Unsent()
			}
		})
		if unsent == last && unsent > 0 && unsent < size {
			same++
		} else {
			same = 0
		}
		if same == enough {
			return
		}
		last = unsent
		time.Sleep(time.Millisecond) // the kernel's buffers fill at their own pace, and no event says when
	}
	t.Fatalf("%d bytes unsent; the writer was not held up", last)
}

// A connection that pauses is handed everything that came before the other side's end once it resumes, and then ends.
func TestPausedConnectionGetsDataThatCameBeforeItsEnd(t *testing.T) {
	const size = 40 << 10
	server := newRecorder()
	paused := make(chan error, 1)
	server.onData = func(r *recorder) {
		r.conn.SetPaused(true)
		r.onData = nil
		paused <- nil
	}
	c := connectRaw(t, server, 8<<10)
	if _, err := c.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the request", paused)
	if _, err := c.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	server.conn.(*conn).loop.Do(func() { server.conn.SetPaused(false) })
	waitFor(t, "the end", server.closed)
	if len(server.data) != size+len("request") {
		t.Errorf("%d bytes were handed over", len(server.data))
	}
}

func TestThousandsOfConnectionsAtOnce(t *testing.T) {
	const connections = 3000
	serverLoop, clientLoop := startLoop(t), startLoop(t)
	addr := listen(t, serverLoop, accept(func(r *recorder) {
		r.conn.Write(r.data)
		r.conn.Close()
	})).Addr()
	done := make(chan error, 1)
	answered := 0
	clientLoop.Do(func() {
		for i := range connections {
			greeting := fmt.Sprint("greeting ", i)
			client := newRecorder()
			client.onOpened = func(r *recorder) { r.conn.Write([]byte(greeting)) }
			client.onData = func(r *recorder) {
				if string(r.data) != greeting {
					return
				}
				if answered++; answered == connections {
					done <- nil
				}
			}
			client.conn = clientLoop.Dial(addr, 10*eventloop.Second, client)
		}
	})
	waitFor(t, "the last answer", done)
}

// What the system delays would be lost with a close over unread bytes.
func TestSmallWritesAreSentAtOnce(t *testing.T) {
	server, client := newRecorder(), newRecorder()
	opened, onOpened := signal(2)
	server.onOpened, client.onOpened = onOpened, onOpened
	connect(t, server, client)
	waitFor(t, "one side", opened)
	waitFor(t, "the other", opened)
	for _, r := range []*recorder{server, client} {
		c, noDelay := r.conn.(*conn), 0
		c.loop.Do(func() {
			c.withDescriptor(func(fd int) {
				noDelay, _ = syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
			})
		})
		if noDelay == 0 {
			t.Error("TCP_NODELAY is off")
		}
	}
}
