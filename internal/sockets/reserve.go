package sockets

import (
	"errors"
	"os"
	"sync"
	"syscall"
)

// loopDescriptors are reserved for the loop: for the endpoint list, and for releasing what endpoints hold for requests.
// A connection that is dialled takes two for a moment, as nbio duplicates its descriptor. Further ones are reserved for
// rejecting clients.
const loopDescriptors = 5

// descriptorReserve holds descriptors that are released when something that must not wait finds none left, and are
// taken again as soon as possible. It is used by the loop and by the goroutines that accept; Stop closes it.
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

// fill takes descriptors until the reserve is complete, or returns the error that prevents it.
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

// release closes one of the descriptors, for the caller's use, and reports whether there was one.
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

// isComplete fills the reserve and reports whether it is not short of descriptors.
func (r *descriptorReserve) isComplete() bool { return !isOutOfDescriptors(r.fill()) }

func (r *descriptorReserve) close() {
	for r.release() {
	}
}

// isOutOfDescriptors reports whether a call failed because the process or the system has no descriptor left.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// WithReservedDescriptor calls f, and again with descriptors of the reserve while it fails for lack of one. It may be
// called from anywhere.
func (l *Loop) WithReservedDescriptor(f func() error) error {
	defer func() { _ = l.reserve.fill() }()
	for {
		if err := f(); !isOutOfDescriptors(err) || !l.reserve.release() {
			return err
		}
	}
}
