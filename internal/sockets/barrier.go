package sockets

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
)

// pollBarrier keeps events of a closed connection from reaching another one that has its descriptor. nbio's poller
// takes up to a thousand events at once and finds the connection of each by its descriptor: if a connection was closed
// meanwhile and its descriptor given to a new one, the old one's hang-up would close the new one. (nbio reports a
// closing only after the descriptor is free, so that it can't be known which descriptors are concerned.)
//
// So a connection is handed to the poller only after the poller has begun a new round: a byte that is written to a
// socket pair now is read in a round whose events were taken after that.
type pollBarrier struct {
	loop     *Loop
	writeEnd net.Conn // closed by Stop
	readEnd  *nbio.Conn

	// What follows is used by the loop's goroutine only.
	inFlight bool     // a byte was written and has not been read
	waiting  []func() // until it is read
	next     []func() // until the byte after it is read
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
		ends[i], err = net.FileConn(f) // which duplicates the descriptor
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

// after calls f once no event of an earlier owner of any descriptor can arrive.
func (b *pollBarrier) after(f func()) {
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
		b.passed() // the loop is being stopped
	}
}

// read is called by the poller when the byte has arrived.
func (b *pollBarrier) read() {
	var buffer [16]byte
	for {
		n, err := b.readEnd.Read(buffer[:])
		if n < len(buffer) || err != nil {
			break
		}
	}
	b.loop.Post(b.passed)
}

// passed calls what has waited: the events that the poller had taken before the byte was written have been handled.
func (b *pollBarrier) passed() {
	b.inFlight = false
	passed := b.waiting
	b.waiting, b.next = b.next, nil
	for _, f := range passed {
		f()
	}
	if len(b.waiting) > 0 {
		b.send()
	}
}
