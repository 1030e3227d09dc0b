package sockets

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

// testTimeout is how long tests wait for an expected event.
const testTimeout = 40 * time.Second

// Environment variables that make TestMain run a server process instead of the tests.
const (
	fewDescriptorsVariable = "PLUMSPINDLE_FEW_DESCRIPTORS"
	echoVariable           = "PLUMSPINDLE_ECHO"
)

// TestMain runs the tests. With one of the environment variables set, it instead runs the server process that runs out
// of descriptors, or the echo server into whose system calls faults are injected.
func TestMain(m *testing.M) {
	switch {
	case os.Getenv(fewDescriptorsVariable) != "":
		serveWithFewDescriptors()
	case os.Getenv(echoVariable) != "":
		serveEcho()
	default:
		os.Exit(m.Run())
	}
}

// recorder is a handler that records the events of one connection, and passes them on to the test.
type recorder struct {
	conn     eventloop.Conn
	data     []byte
	drains   int
	onOpened func(r *recorder)
	onData   func(r *recorder)
	closed   chan error
}

func newRecorder() *recorder { return &recorder{closed: make(chan error, 1)} }

func (r *recorder) Opened() {
	if r.onOpened != nil {
		r.onOpened(r)
	}
}

func (r *recorder) Data(b []byte) {
	r.data = append(r.data, b...)
	if r.onData != nil {
		r.onData(r)
	}
}

func (r *recorder) Drained()         { r.drains++ }
func (r *recorder) Closed(err error) { r.closed <- err }

// accept returns a function for Listen that creates a recorder for each connection.
func accept(onData func(r *recorder)) func(eventloop.Conn) eventloop.Handler {
	return func(c eventloop.Conn) eventloop.Handler {
		r := newRecorder()
		r.conn, r.onData = c, onData
		return r
	}
}

func startLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Stop)
	return l
}

// listen listens on a free port.
func listen(t *testing.T, l *Loop, accept func(eventloop.Conn) eventloop.Handler) eventloop.Listener {
	t.Helper()
	var ln eventloop.Listener
	var err error
	l.Do(func() { ln, err = l.Listen("127.0.0.1:0", accept) })
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// serve listens for a connection and makes the recorder its handler.
func serve(t *testing.T, l *Loop, server *recorder) (addr string) {
	t.Helper()
	ln := listen(t, l, func(c eventloop.Conn) eventloop.Handler {
		server.conn = c
		return server
	})
	return ln.Addr()
}

// connect starts two loops, one for each recorder, and connects the recorders.
func connect(t *testing.T, server, client *recorder) (serverLoop, clientLoop *Loop) {
	t.Helper()
	serverLoop, clientLoop = startLoop(t), startLoop(t)
	addr := serve(t, serverLoop, server)
	clientLoop.Do(func() { client.conn = clientLoop.Dial(addr, eventloop.Second, client) })
	return serverLoop, clientLoop
}

// connectRaw connects a recorder with a standard library connection, which the test reads and writes itself.
func connectRaw(t *testing.T, server *recorder, readBufferLimit int) net.Conn {
	t.Helper()
	l := startLoop(t)
	l.ReadBufferLimit = readBufferLimit
	return dialRaw(t, serve(t, l, server))
}

func dialRaw(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, c)
	return c
}

// closeOnCleanup closes c when the test ends.
func closeOnCleanup(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// waitFor waits for an event, and fails the test if it doesn't arrive in time.
func waitFor(t *testing.T, what string, events <-chan error) {
	t.Helper()
	_ = outcomeOf(t, what, events)
}

// outcomeOf waits for an event and returns the error that it carries.
func outcomeOf(t *testing.T, what string, events <-chan error) error {
	t.Helper()
	select {
	case err := <-events:
		return err
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
		return nil
	}
}

// signal returns a channel of events, and a function that sends an event without an error.
func signal(capacity int) (events chan error, send func(*recorder)) {
	events = make(chan error, capacity)
	return events, func(*recorder) { events <- nil }
}
