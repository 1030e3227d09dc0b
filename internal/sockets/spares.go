package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// spareMost is how many descriptors are kept back: for the list of hosts, for letting go of what hosts hold, and for telling clients that
// none is left. A connection that is dialled takes two for a moment, as nbio duplicates its descriptor.
const spareMost = 6

// spares hold descriptors that are given up when something that must not wait finds none left, and are taken again once there are
// some. They are used by the loop and by the goroutines that accept.
type spares struct {
	mu   sync.Mutex
	held []*os.File
}

func newSpares() *spares {
	s := &spares{}
	_ = s.fill()
	return s
}

// fill takes again what was given up, as far as it can be had, and tells why not all could.
func (s *spares) fill() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.held) < spareMost {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return err
		}
		s.held = append(s.held, f)
	}
	return nil
}

// take gives one up, and tells whether there was one.
func (s *spares) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.held)
	if n == 0 {
		return false
	}
	s.held[n-1].Close()
	s.held = s.held[:n-1]
	return true
}

func (s *spares) close() {
	for s.take() {
	}
}

// noDescriptors tells whether a call failed for want of descriptors, of the process's or the machine's.
func noDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// complete tells whether none is missing for want of descriptors, once those are taken again that can be had.
func (s *spares) complete() bool { return !noDescriptors(s.fill()) }

// WithReservedDescriptor runs f, and again with descriptors that are kept back where it fails for want of one. It may be called from anywhere.
func (l *Loop) WithReservedDescriptor(f func() error) error {
	defer func() { _ = l.spares.fill() }()
	for {
		if err := f(); !noDescriptors(err) || !l.spares.take() {
			return err
		}
	}
}

// left is how many are held.
func (s *spares) left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// turnAway takes the next connection, if one comes soon, with a descriptor that was kept back, tells it that it can't be served,
// and takes the descriptor back. The last one is left for the loop. Where there is room again by then, the connection is given
// back, to be served.
func (own *listener) turnAway() (served net.Conn, done bool) {
	s := own.l.spares
	if s.complete(); s.left() < 2 || !s.take() {
		return nil, false
	}
	if ln, ok := own.ln.(*net.TCPListener); ok { // with none waiting it must not hold on to the descriptor
		_ = ln.SetDeadline(time.Now().Add(acceptPause))
		defer own.resetDeadline(ln)
	}
	raw, err := own.ln.Accept()
	if err != nil {
		_ = s.fill()
		return nil, !noDescriptors(err)
	}
	if s.complete() {
		return raw, true
	}
	own.l.refuse(raw)
	_ = s.fill()
	return nil, true
}

// refuse tells a connection that it can't be served. What it has sent is read first: one that is closed with something unread is
// reset, and its other side might never see what it was told. One that says nothing is waited for only shortly, as others wait
// behind it.
func (l *Loop) refuse(raw net.Conn) {
	defer raw.Close()
	var b [64 << 10]byte
	for n := len(b); n == len(b); {
		_ = raw.SetDeadline(time.Now().Add(busyFor))
		var err error
		if n, err = raw.Read(b[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
	_ = raw.SetDeadline(time.Now().Add(busyFor))
	_, _ = raw.Write(l.OverloadResponse)
	if c, ok := raw.(*net.TCPConn); ok { // what comes only now must not reset it either
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, io.LimitReader(c, int64(len(b)))) // the limit also hides the connection's own splicing
	}
}
