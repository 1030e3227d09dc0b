package sockets

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
)

// pollBarrier prevents stale events of a closed connection from being applied to a new connection that reuses its file
// descriptor. nbio's poller fetches up to a thousand events at once and looks up the connection of each event by its
// descriptor. If a connection is closed between the fetch and the lookup and a new connection gets its descriptor, the
// old connection's hang-up event would close the new one. nbio reports that a connection was closed only after it has
// released the descriptor, so this package can't tell which descriptors are affected.
//
// A connection is therefore added to the poller only after the poller has fetched a new batch of events. To detect that
// batch, the barrier writes a byte to a socket pair. The event for the byte is always in a batch that the poller
// fetched after the write.
type pollBarrier struct {
	loop     *Loop
	writeEnd net.Conn // closed by Stop
	readEnd  *nbio.Conn

	// The fields below are used by the loop's goroutine only.
	inFlight bool     // a byte was written, and the poller has not read it yet
	waiting  []func() // functions to call once the byte in flight is read
	next     []func() // functions to call once the byte after that one is read
}

func (l *Loop) startBarrier() error {
	barrier, err := newPollBarrier(l)
	if err != nil {
		return fmt.Errorf("start the poller's barrier: %w", err)
	}
	l.barrier = barrier
	l.register(barrier.readEnd, barrier)
	if _, err := l.engine.AddConn(barrier.readEnd); err != nil {
		return fmt.Errorf("start the poller's barrier: %w", err)
	}
	return nil
}

func newPollBarrier(l *Loop) (*pollBarrier, error) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	var ends [len(pair)]net.Conn
	for i, fd := range pair {
		f := os.NewFile(uintptr(fd), "poll barrier")
		ends[i], err = net.FileConn(f) // duplicates the descriptor, so f can be closed
		_ = f.Close()
		if err != nil {
			return nil, err
		}
	}
	readEnd, err := toPollerConn(ends[1])
	if err != nil {
		return nil, err
	}
	return &pollBarrier{loop: l, writeEnd: ends[0], readEnd: readEnd}, nil
}

// afterStaleEvents calls f once the poller has handled all events of connections that are already closed.
func (b *pollBarrier) afterStaleEvents(f func()) {
	if b.inFlight {
		b.next = append(b.next, f)
		return
	}
	b.waiting = append(b.waiting, f)
	b.send()
}

func (b *pollBarrier) send() {
	b.inFlight = true
	if _, err := b.writeEnd.Write([]byte{1}); err != nil {
		b.runWaiting() // the write fails only while the loop is being stopped
	}
}

// read consumes the byte. The poller calls it when the byte has arrived.
func (b *pollBarrier) read() {
	var buffer [16]byte
	for {
		n, err := b.readEnd.Read(buffer[:])
		if n < len(buffer) || err != nil {
			break
		}
	}
	b.loop.Post(b.runWaiting)
}

// runWaiting calls the waiting functions. At this point the poller has handled all events that it fetched before the
// byte was written.
func (b *pollBarrier) runWaiting() {
	b.inFlight = false
	ready := b.waiting
	b.waiting, b.next = b.next, nil
	for _, f := range ready {
		f()
	}
	if len(b.waiting) > 0 {
		b.send()
	}
}
