package sockets

import (
	"errors"
	"os"
	"sync"
	"syscall"
)

// loopDescriptors is the number of descriptors reserved for the loop: to read the endpoint list, and for connections on
// which endpoints are asked to release the state that they hold for requests. Dialling takes two descriptors for a
// moment, because nbio duplicates the connection's descriptor. Further descriptors are reserved for rejecting clients.
const loopDescriptors = 5

// descriptorReserve keeps file descriptors open, to release them when the process has none left for an operation that
// must not wait. It reopens them as soon as possible. It is safe for concurrent use by the loop and the accepting
// goroutines; Loop.Stop closes it.
type descriptorReserve struct {
	capacity int

	mu    sync.Mutex
	files []*os.File
}

func newDescriptorReserve(capacity int) *descriptorReserve {
	r := &descriptorReserve{capacity: capacity}
	_ = r.fill()
	return r
}

// fill opens descriptors until the reserve is complete, or returns the error that prevents it.
func (r *descriptorReserve) fill() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.files) < r.capacity {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return err
		}
		r.files = append(r.files, f)
	}
	return nil
}

// release closes one reserved descriptor, so that the caller can open another file or socket. It reports false if the
// reserve is empty.
func (r *descriptorReserve) release() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.files) - 1
	if last < 0 {
		return false
	}
	_ = r.files[last].Close()
	r.files = r.files[:last]
	return true
}

// size returns how many descriptors the reserve holds.
func (r *descriptorReserve) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.files)
}

// isComplete refills the reserve. It reports false if the process or the system has too few descriptors for that.
func (r *descriptorReserve) isComplete() bool { return !isOutOfDescriptors(r.fill()) }

func (r *descriptorReserve) close() {
	for r.release() {
	}
}

// isOutOfDescriptors reports whether a call failed because the process or the system has no descriptor left.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// WithReservedDescriptor calls f. While f fails because no descriptor is left, it releases one from the reserve and
// calls f again. It may be called from any goroutine.
func (l *Loop) WithReservedDescriptor(f func() error) error {
	defer func() { _ = l.reserve.fill() }()
	for {
		if err := f(); !isOutOfDescriptors(err) || !l.reserve.release() {
			return err
		}
	}
}
