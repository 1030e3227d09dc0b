package sockets

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

// patience is how long tests wait for what has to happen.
const patience = 40 * time.Second

// Environment variables that have TestMain be a process of its own.
const (
	fewDescriptorsVariable = "PLUMSPINDLE_FEW_DESCRIPTORS"
	echoVariable           = "PLUMSPINDLE_ECHO"
)

// TestMain is also the process that runs out of descriptors, and the one that meets faults of system calls.
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

// accept returns a function for Listen that gives each connection a recorder of its own.
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

// serve listens for one connection, whose handler is the recorder.
func serve(t *testing.T, l *Loop, server *recorder) (addr string) {
	t.Helper()
	ln := listen(t, l, func(c eventloop.Conn) eventloop.Handler {
		server.conn = c
		return server
	})
	return ln.Addr()
}

// connect connects two loops, one for each recorder.
func connect(t *testing.T, server, client *recorder) (serverLoop, clientLoop *Loop) {
	t.Helper()
	serverLoop, clientLoop = startLoop(t), startLoop(t)
	addr := serve(t, serverLoop, server)
	clientLoop.Do(func() { client.conn = clientLoop.Dial(addr, eventloop.Second, client) })
	return serverLoop, clientLoop
}

// connectRaw connects a recorder with a connection of the standard library, whose reads and writes the test orders.
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
	closeAtEnd(t, c)
	return c
}

// closeAtEnd closes something when the test ends, if the test has not.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// waitFor waits for an event.
func waitFor(t *testing.T, what string, events <-chan error) {
	t.Helper()
	_ = outcomeOf(t, what, events)
}

// outcomeOf waits for an event and returns its error.
func outcomeOf(t *testing.T, what string, events <-chan error) error {
	t.Helper()
	select {
	case err := <-events:
		return err
	case <-time.After(patience):
		t.Fatalf("%s did not come", what)
		return nil
	}
}

// signal returns a channel of events, and a function that sends one.
func signal(capacity int) (events chan error, send func(*recorder)) {
	events = make(chan error, capacity)
	return events, func(*recorder) { events <- nil }
}
