// Package sockets is the event loop over real sockets, which lesismal/nbio polls. Its poller reads; the one goroutine of the loop
// writes and makes every call upwards.
package sockets

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler/timerqueue"
)

// stopWithin is how long the poller may take to end its connections.
const stopWithin = 150 * time.Millisecond

// Loop implements eventloop.Loop.
type Loop struct {
	engine *nbio.Engine
	epoch  time.Time
	rounds *rounds
	spares *spares
	// OverloadResponse is what a connection is told that is turned away because no descriptor is left; it is set before Listen.
	OverloadResponse []byte
	// AllowAnyAddress lets Listen take any address that it is told, not only loopback's; TakeIn, where it is above 0, stands for takeInMost. Both
	// are set before anything is opened.
	AllowAnyAddress bool
	ReadBufferLimit int
	// SendBufferSize, where it is above 0, is how many bytes the system is asked to take of what is written and has not arrived, in place of
	// what it takes by itself; tests have writes leave in parts by it.
	SendBufferSize int

	// beforeAccept, where it is set, is called before each connection is accepted; tests hold the listener up by it.
	beforeAccept func()

	// born counts connections that were handed to the poller. What a connection is made of is written before a count and
	// read after one: nbio's own way of passing it on is not one that Go's memory model knows of.
	born   atomic.Int64
	mu     sync.Mutex
	inbox  []func()
	wake   chan struct{}
	closed bool
	done   chan struct{}

	// What follows belongs to the loop's goroutine.
	times     timerqueue.Queue
	later     []func()
	listeners map[*listener]bool
}

// Start makes a loop and runs it in a goroutine of its own until Stop.
func Start() (*Loop, error) {
	logging.SetLevel(logging.LevelNone) // it would write lines of its own onto the program's output
	l := &Loop{epoch: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{}),
		listeners: map[*listener]bool{}}
	l.engine = nbio.NewEngine(nbio.Config{Name: "plumspindle", NPoller: 1, EpollMod: nbio.EPOLLET,
		ReadBufferSize: 4 << 10})
	l.engine.OnRead(func(c *nbio.Conn) {
		l.born.Load()
		switch own := c.Session().(type) {
		case *conn:
			own.takeIn(c)
		case *rounds:
			own.read()
		}
	})
	l.engine.OnClose(func(c *nbio.Conn, err error) {
		l.born.Load()
		if own, ok := c.Session().(*conn); ok {
			l.post(func() { own.closed(err) })
		}
	})
	if err := l.engine.Start(); err != nil {
		return nil, fmt.Errorf("poller not started: %w", err)
	}
	if err := l.startRounds(); err != nil {
		l.engine.Stop()
		return nil, err
	}
	l.spares = newSpares()
	go l.run()
	return l, nil
}

// Do runs f in the loop and waits for its end; it is for the outside, never for use from within.
func (l *Loop) Do(f func()) {
	ended := make(chan struct{})
	l.post(func() { f(); close(ended) })
	select {
	case <-ended:
	case <-l.done:
	}
}

// Post has f run in the loop.
func (l *Loop) Post(f func()) { l.post(f) }

// Stop ends the loop and closes all its sockets.
func (l *Loop) Stop() {
	l.Do(func() {
		for ln := range l.listeners {
			ln.Close()
		}
	})
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.nudge()
	<-l.done
	// nbio waits for the end of each connection that it ever counted, and closes those that it knows when it begins to
	// stop; one that opened just then would be waited for without end.
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	_ = l.rounds.writer.Close()
	_ = l.engine.Shutdown(ctx)
	l.spares.close()
}

func (l *Loop) post(f func()) {
	l.mu.Lock()
	l.inbox = append(l.inbox, f)
	first := len(l.inbox) == 1
	l.mu.Unlock()
	if first {
		l.nudge()
	}
}

func (l *Loop) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Loop) run() {
	defer close(l.done)
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	var batch []func()
	for {
		l.mu.Lock()
		batch, l.inbox = l.inbox, batch[:0]
		closed := l.closed
		l.mu.Unlock()
		if closed {
			return
		}
		for i, f := range batch {
			f()
			batch[i] = nil
			l.runLater()
		}
		l.runDue()
		if len(batch) > 0 {
			continue // something may have been posted meanwhile
		}
		wait := time.Hour
		if at, some := l.times.Next(); some {
			wait = time.Duration(at-l.Now()) * time.Microsecond
		}
		if wait <= 0 {
			continue
		}
		clock.Reset(wait)
		select {
		case <-l.wake:
		case <-clock.C:
		}
	}
}

func (l *Loop) runLater() {
	for len(l.later) > 0 {
		todo := l.later
		l.later = nil
		for _, f := range todo {
			f()
		}
	}
}

func (l *Loop) runDue() {
	now := l.Now()
	for {
		at, some := l.times.Next()
		if !some || at > now {
			return
		}
		l.times.RunOne()
		l.runLater()
	}
}

// Now is the time since the epoch of 1970 as it was at the loop's start, going forward evenly from there.
func (l *Loop) Now() eventloop.Micros {
	return eventloop.Micros(l.epoch.UnixMicro()) + eventloop.Micros(time.Since(l.epoch).Microseconds())
}

type timer struct {
	l  *Loop
	it *timerqueue.Item
}

func (t timer) Stop() { t.l.times.Drop(t.it) }

func (l *Loop) AfterFunc(span eventloop.Micros, f func()) eventloop.Timer {
	return timer{l, l.times.Set(l.Now()+max(span, 0), f)}
}

func (l *Loop) Defer(f func()) {
	if l.later = append(l.later, f); len(l.later) == 1 {
		l.post(func() {}) // so that it runs also where nothing else comes in
	}
}
