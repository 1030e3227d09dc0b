package sockets

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
)

// rounds guards against news of a connection that is gone reaching another. nbio's poller takes up to a thousand events at once
// and finds each one's connection by its descriptor; where a connection was closed meanwhile and its descriptor given to a new one,
// the old one's hang-up closed the new one, whose client then had no answer. So each accepted connection is handed to the poller
// only once it has begun a new round: a byte that is written now is read in a round that was taken after it. (nbio tells of a
// closing only after the descriptor is given back, so that it can't be known which of them were just now.)
type rounds struct {
	l      *Loop
	writer net.Conn
	reader *nbio.Conn

	// The loop's own.
	out     bool     // a byte is on its way
	waiting []func() // until it has come
	next    []func() // until the one after it has
}

func (l *Loop) startRounds() error {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("poller's rounds: %w", err)
	}
	var ends [2]net.Conn
	for i, fd := range pair {
		f := os.NewFile(uintptr(fd), "rounds")
		ends[i], err = net.FileConn(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("poller's rounds: %w", err)
		}
	}
	r := &rounds{l: l, writer: ends[0]}
	if r.reader, err = ownOnly(ends[1]); err != nil {
		return fmt.Errorf("poller's rounds: %w", err)
	}
	l.rounds = r
	l.born.Add(1)
	r.reader.SetSession(r)
	if _, err := l.engine.AddConn(r.reader); err != nil {
		return fmt.Errorf("poller's rounds: %w", err)
	}
	return nil
}

// after calls f once no event of an earlier holder of any descriptor can come any more.
func (r *rounds) after(f func()) {
	if r.out {
		r.next = append(r.next, f)
		return
	}
	r.waiting = append(r.waiting, f)
	r.send()
}

func (r *rounds) send() {
	r.out = true
	if _, err := r.writer.Write([]byte{1}); err != nil {
		r.over() // the loop is ending
	}
}

// read is the poller's: the byte has come.
func (r *rounds) read() {
	var b [16]byte
	for {
		if n, err := r.reader.Read(b[:]); n < len(b) || err != nil {
			break
		}
	}
	r.l.post(r.over)
}

// over: what the poller had taken before the byte was written is past.
func (r *rounds) over() {
	r.out = false
	now := r.waiting
	r.waiting, r.next = r.next, nil
	for _, f := range now {
		f()
	}
	if len(r.waiting) > 0 {
		r.send()
	}
}
