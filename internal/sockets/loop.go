// Package sockets implements package eventloop with TCP sockets that are polled by lesismal/nbio. Both the poller's
// goroutine and the loop's single goroutine read from the sockets. Only the loop's goroutine writes to them, runs the
// timers and calls the handlers.
//
// A Loop owns its poller, its connections and listeners, their goroutines and a reserve of file descriptors; Stop ends
// them all. Handlers must not block. The methods of a Loop may be called only from its own callbacks, except Do, Post,
// Stop and WithReservedDescriptor. A Loop listens only on loopback addresses unless AllowAnyAddress is set, and child
// processes never inherit its connections.
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
	stopTimeout       = 150 * time.Millisecond // how long Stop waits for the poller to close its connections
	pollerBufferBytes = 4 << 10                // size of nbio's own read buffer, which this package doesn't use
)

// Loop implements eventloop.Loop. Its exported fields have to be set before the first connection or listener is opened.
type Loop struct {
	// OverloadResponse is written to connections that are rejected because no descriptor is left.
	OverloadResponse []byte
	// AllowAnyAddress allows Listen to use addresses other than those of the loopback interface.
	AllowAnyAddress bool
	// ReadBufferLimit, if above 0, overrides the default limit of received bytes that are buffered for one connection.
	ReadBufferLimit int
	// SendBufferSize, if above 0, overrides the system's default size of the sockets' send buffers, in bytes. Tests set
	// it to make writes partial.
	SendBufferSize int

	// beforeAccept, if set, is called before each connection is accepted. Tests set it to delay the listener.
	beforeAccept func()

	engine     *nbio.Engine
	startTime  time.Time
	barrier    *pollBarrier
	reserve    *descriptorReserve
	rejections *rejections

	// registered counts the connections given to the poller. It also orders memory accesses: the loop writes a
	// connection's fields before it increments the count, and the poller loads the count before it uses the connection.
	// nbio passes connections to its poller without a synchronisation that Go's memory model recognises.
	registered atomic.Int64

	mu       sync.Mutex // guards posted and stopping
	posted   []func()
	stopping bool
	wake     chan struct{}
	done     chan struct{}

	// The fields below are used by the loop's goroutine only.
	timers    timerqueue.Queue
	deferred  []func()
	listeners map[*listener]bool
}

// Start creates a loop and runs it in its own goroutine until Stop is called.
func Start() (*Loop, error) {
	logging.SetLevel(logging.LevelNone) // nbio would otherwise log to the program's output
	l := &Loop{
		startTime: time.Now(),
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
	concurrentRejections := rejectionLimit(descriptorLimit())
	l.reserve = newDescriptorReserve(loopDescriptors + concurrentRejections)
	l.rejections = newRejections(l, concurrentRejections)
	go l.run()
	return l, nil
}

// readable reads from a socket. The poller calls it when the socket has data or was closed by the peer.
func (l *Loop) readable(socket *nbio.Conn) {
	l.registered.Load()
	switch owner := socket.Session().(type) {
	case *conn:
		owner.read(socket)
	case *pollBarrier:
		owner.read()
	}
}

// socketClosed has the loop end the connection of a closed socket. nbio calls it when either side has closed the
// connection.
func (l *Loop) socketClosed(socket *nbio.Conn, err error) {
	l.registered.Load()
	if c, ok := socket.Session().(*conn); ok {
		l.Post(func() { c.socketClosed(err) })
	}
}

// register sets the owner of a socket. The owner receives the poller's events for the socket.
func (l *Loop) register(socket *nbio.Conn, owner any) {
	l.registered.Add(1)
	socket.SetSession(owner)
}

// Do calls f in the loop's goroutine and waits until f has returned or the loop has ended. It must not be called from
// the loop's goroutine.
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

// Post schedules f to be called in the loop's goroutine. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	first := len(l.posted) == 1
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
	// The shutdown has a time limit because nbio closes only the connections that it has in its table when the shutdown
	// begins, but then waits until its count of connections is 0. A connection that opens just when the shutdown begins
	// can be in the count without being closed. Without the limit, nbio would wait for it forever.
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
