// Package sockets implements package eventloop with TCP sockets, which lesismal/nbio polls. The poller's goroutine
// reads from the sockets; the one goroutine of the loop writes to them, runs the timers and calls the handlers.
//
// A Loop owns its poller, its connections and listeners, their goroutines and a reserve of file descriptors; Stop ends
// them all. It relies on handlers not to block, and on being used from within its own calls, but for Do, Post, Stop and
// WithReservedDescriptor. It never listens on other than loopback addresses unless AllowAnyAddress is set, and never
// leaves a connection open in child processes.
package sockets

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"plumspindle/scheduler/timerqueue"
)

const (
	stopTimeout       = 150 * time.Millisecond // for the poller to end its connections
	pollerBufferBytes = 4 << 10                // of nbio's own reads; this package reads by itself
)

// Loop implements eventloop.Loop. Its exported fields are set before anything is opened.
type Loop struct {
	// OverloadResponse is written to connections that are rejected because no descriptor is left.
	OverloadResponse []byte
	// AllowAnyAddress allows Listen other addresses than those of the loopback interface.
	AllowAnyAddress bool
	// ReadBufferLimit, if above 0, is how many bytes of one connection are read ahead of the loop, in place of a default.
	ReadBufferLimit int
	// SendBufferSize, if above 0, is the size of the sockets' send buffers in bytes, in place of the system's default;
	// tests make writes partial by it.
	SendBufferSize int

	// beforeAccept, if set, is called before each connection is accepted; tests hold the listener up by it.
	beforeAccept func()

	engine     *nbio.Engine
	epoch      time.Time
	barrier    *pollBarrier
	reserve    *descriptorReserve
	rejections *rejections

	// registered counts connections that were handed to the poller. What a connection consists of is written before it is
	// counted, and the poller reads the count before it uses a connection: the way in which nbio passes connections on
	// does not order memory accesses by Go's memory model.
	registered atomic.Int64

	mu       sync.Mutex // guards inbox and stopping
	inbox    []func()
	stopping bool
	wake     chan struct{}
	done     chan struct{}

	// What follows is used by the loop's goroutine only.
	timers    timerqueue.Queue
	deferred  []func()
	listeners map[*listener]bool
}

// Start makes a loop and runs it in a goroutine of its own until Stop.
func Start() (*Loop, error) {
	logging.SetLevel(logging.LevelNone) // it would write lines of its own to the program's output
	l := &Loop{
		epoch:     time.Now(),
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
		listeners: map[*listener]bool{},
	}
	l.engine = nbio.NewEngine(nbio.Config{
		Name:           "plumspindle",
		NPoller:        1,
		EpollMod:       nbio.EPOLLET,
		ReadBufferSize: pollerBufferBytes,
	})
	l.engine.OnRead(l.readable)
	l.engine.OnClose(l.socketClosed)
	if err := l.engine.Start(); err != nil {
		return nil, fmt.Errorf("start the poller: %w", err)
	}
	if err := l.startBarrier(); err != nil {
		l.engine.Stop()
		return nil, err
	}
	rejectionsAtOnce := rejectionLimit(descriptorLimit())
	l.reserve = newDescriptorReserve(loopDescriptors + rejectionsAtOnce)
	l.rejections = newRejections(l, rejectionsAtOnce)
	go l.run()
	return l, nil
}

// readable is called by the poller when a socket has something to read.
func (l *Loop) readable(socket *nbio.Conn) {
	l.registered.Load()
	switch owner := socket.Session().(type) {
	case *conn:
		owner.read(socket)
	case *pollBarrier:
		owner.read()
	}
}

// socketClosed is called by the poller when a socket was closed, by either side.
func (l *Loop) socketClosed(socket *nbio.Conn, err error) {
	l.registered.Load()
	if c, ok := socket.Session().(*conn); ok {
		l.Post(func() { c.socketClosed(err) })
	}
}

// register associates a socket with its owner, for the poller's events.
func (l *Loop) register(socket *nbio.Conn, owner any) {
	l.registered.Add(1)
	socket.SetSession(owner)
}

// Do calls f in the loop and waits until it has returned. It must not be called from within the loop.
func (l *Loop) Do(f func()) {
	returned := make(chan struct{})
	l.Post(func() {
		f()
		close(returned)
	})
	select {
	case <-returned:
	case <-l.done:
	}
}

// Post has f called in the loop, and may be called from anywhere.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.inbox = append(l.inbox, f)
	first := len(l.inbox) == 1
	l.mu.Unlock()
	if first {
		l.wakeUp()
	}
}

// Stop ends the loop and closes all its sockets.
func (l *Loop) Stop() {
	l.Do(func() {
		for ln := range l.listeners {
			ln.Close()
		}
	})
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	l.wakeUp()
	<-l.done
	// nbio waits for the end of each connection that it ever counted, and closes those that it knows when it begins to
	// stop; one that opens just then would be waited for without end.
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = l.barrier.writeEnd.Close()
	_ = l.engine.Shutdown(ctx)
	l.rejections.stop()
	l.reserve.close()
}

func (l *Loop) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
