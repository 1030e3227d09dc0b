package sockets

import (
	"fmt"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

// startChild starts a child process, which inherits the descriptors of this process that are not close-on-exec.
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

// A close must reach the peer while a child process of this process runs. If the child inherited the connection, the
// connection would stay open for the peer after this process has ended, for example when a scenario restarts the
// process, and requests sent on the connection would be lost.
func TestChildProcessesDoNotKeepConnectionsOpen(t *testing.T) {
	for _, test := range []struct {
		name  string
		close func(serverLoop, clientLoop *Loop, server, client *recorder)
		peer  func(server, client *recorder) *recorder
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
			waitFor(t, "the opening of one side", opened)
			waitFor(t, "the opening of the other side", opened)
			startChild(t)
			test.close(serverLoop, clientLoop, server, client)
			waitFor(t, "the close at the peer", test.peer(server, client).closed)
		})
	}
}

// A paused reader must buffer only a bounded amount of data, and so slow its writer down. Once resumed, it must receive
// everything.
func TestPausedReaderSlowsItsWriter(t *testing.T) {
	const size = 16 << 20
	server, client := newRecorder(), newRecorder()
	server.onOpened = func(r *recorder) { r.conn.Write(make([]byte, size)) }
	client.onOpened = func(r *recorder) { r.conn.SetPaused(true) }
	serverLoop, clientLoop := connect(t, server, client)
	waitUntilBlocked(t, serverLoop, server, size)
	received := make(chan error, 1)
	clientLoop.Do(func() {
		if len(client.data) > 2*defaultReadBufferLimit {
			t.Errorf("%d bytes were delivered while paused", len(client.data))
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

// waitUntilBlocked waits until the socket buffers of a writer and its reader are full.
func waitUntilBlocked(t *testing.T, l *Loop, writer *recorder, size int) {
	t.Helper()
	const stableChecks = 20 // consecutive checks without a change
	unchanged, last := 0, -1
	for range 2000 {
		unsent := 0
		l.Do(func() {
			if writer.conn != nil {
				unsent = writer.conn.Unsent()
			}
		})
		if unsent == last && unsent > 0 && unsent < size {
			unchanged++
		} else {
			unchanged = 0
		}
		if unchanged == stableChecks {
			return
		}
		last = unsent
		time.Sleep(time.Millisecond) // no event reports that the kernel's buffers are full
	}
	t.Fatalf("%d bytes unsent; the writer was not blocked", last)
}

// Data that arrives on a paused connection before the peer closes it must be delivered once the connection is resumed.
// Only then may the connection end.
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
		t.Errorf("%d bytes were delivered", len(server.data))
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

// Connections must disable Nagle's algorithm, which lets the kernel hold small writes back. If a connection is closed
// while it has unread bytes, it is reset, and data held back at that time would be lost.
func TestSmallWritesAreSentAtOnce(t *testing.T) {
	server, client := newRecorder(), newRecorder()
	opened, onOpened := signal(2)
	server.onOpened, client.onOpened = onOpened, onOpened
	connect(t, server, client)
	waitFor(t, "the opening of one side", opened)
	waitFor(t, "the opening of the other side", opened)
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
