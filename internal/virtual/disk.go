package virtual

import (
	"errors"
	"maps"
	"slices"

	"plumspindle/internal/eventloop"
)

// Disk is one process's files in the world: they outlive it. It is a store's Disk for whichever loop uses it now.
type Disk struct {
	w     *Network
	l     *Loop
	files map[string][]byte
	busy  eventloop.Micros // until when what was asked for before takes
	// SyncTime is how long making something durable takes; Fault, where it is set, is the end of all that is asked for. Torn has
	// what fails leave a part of it written, as a short write or a failed sync does.
	SyncTime      eventloop.Micros
	Failure       error
	PartialWrites bool
	// Capacity, where it is above 0, is how many bytes all files may have; a write past it fails with what fitted in written.
	Capacity int
	// AcknowledgesEarly has it answer at once, and have it durable later: what is killed in between is lost though it was answered.
	AcknowledgesEarly bool
}

// NewDisk makes an empty one.
func (w *Network) NewDisk() *Disk {
	return &Disk{w: w, files: map[string][]byte{}, SyncTime: 2 * eventloop.Millisecond}
}

// AttachTo hands the folder to a process; what an earlier one had under way has come to nothing, or to a part.
func (f *Disk) AttachTo(l *Loop) *Disk {
	f.l, f.busy = l, 0
	return f
}

func (f *Disk) List() ([]string, error) { return slices.Sorted(maps.Keys(f.files)), nil }

func (f *Disk) Read(name string) ([]byte, error) {
	b, some := f.files[name]
	if !some {
		return nil, errors.New(name + ": no such file")
	}
	return slices.Clone(b), nil
}

func (f *Disk) Truncate(name string, size int64) error {
	if int(size) > len(f.files[name]) {
		return errors.New(name + ": shorter than that")
	}
	f.files[name] = f.files[name][:size]
	return nil
}

// ErrDiskFull is the end of a write for which there is no room.
var ErrDiskFull = errors.New("no space left on device")

// Used is how many bytes the files have.
func (f *Disk) Used() (n int) {
	for _, b := range f.files {
		n += len(b)
	}
	return n
}

// do carries something out after its time. A process that is killed meanwhile leaves it torn at a place drawn by chance.
func (f *Disk) do(size int, apply func(n int), done func(error)) {
	l, fault, torn := f.l, f.Failure, f.PartialWrites
	f.busy = max(f.busy, f.w.now) + f.SyncTime
	if f.AcknowledgesEarly {
		f.busy += 500 * eventloop.Millisecond
		f.w.times.Set(f.w.now, func() { l.call(func() { done(nil) }) })
		done = func(error) {}
	}
	f.w.times.Set(f.busy, func() {
		switch {
		case l.dead && l != f.l: // another has the folder already
		case l.dead:
			apply(f.w.rand.Intn(size + 1))
		case fault != nil:
			if torn && size > 0 {
				apply(f.w.rand.Intn(size))
			}
			l.call(func() { done(fault) })
		case f.Capacity > 0 && size > 1 && f.Used()+size > f.Capacity: // removals have a size of 1, and make room
			apply(max(f.Capacity-f.Used(), 0))
			l.call(func() { done(ErrDiskFull) })
		default:
			apply(size)
			l.call(func() { done(nil) })
		}
	})
}

func (f *Disk) Append(name string, b []byte, done func(error)) {
	b = slices.Clone(b)
	f.do(len(b), func(n int) { f.files[name] = append(f.files[name], b[:n]...) }, done)
}

func (f *Disk) Write(name string, build func() []byte, done func(error)) {
	b := build()
	f.do(len(b), func(n int) {
		if n == len(b) {
			f.files[name] = b
		}
	}, done)
}

func (f *Disk) Remove(name string, done func(error)) {
	f.do(1, func(n int) {
		if n == 1 {
			delete(f.files, name)
		}
	}, done)
}
