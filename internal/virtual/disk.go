package virtual

import (
	"errors"
	"maps"
	"slices"

	"plumspindle/internal/eventloop"
)

// Folder is one process's files in the world: they outlive it. It is a store's Disk for whichever loop uses it now.
type Folder struct {
	w     *World
	l     *Loop
	files map[string][]byte
	busy  eventloop.Micros // until when what was asked for before takes
	// Sync is how long making something durable takes; Fault, where it is set, is the end of all that is asked for. Torn has
	// what fails leave a part of it written, as a short write or a failed sync does.
	Sync  eventloop.Micros
	Fault error
	Torn  bool
	// Room, where it is above 0, is how many bytes all files may have; a write past it fails with what fitted in written.
	Room int
	// Lies has it answer at once, and have it durable later: what is killed in between is lost though it was answered.
	Lies bool
}

// Folder makes an empty one.
func (w *World) Folder() *Folder {
	return &Folder{w: w, files: map[string][]byte{}, Sync: 2 * eventloop.Millisecond}
}

// For hands the folder to a process; what an earlier one had under way has come to nothing, or to a part.
func (f *Folder) For(l *Loop) *Folder {
	f.l, f.busy = l, 0
	return f
}

func (f *Folder) List() ([]string, error) { return slices.Sorted(maps.Keys(f.files)), nil }

func (f *Folder) Read(name string) ([]byte, error) {
	b, some := f.files[name]
	if !some {
		return nil, errors.New(name + ": no such file")
	}
	return slices.Clone(b), nil
}

func (f *Folder) Truncate(name string, size int64) error {
	if int(size) > len(f.files[name]) {
		return errors.New(name + ": shorter than that")
	}
	f.files[name] = f.files[name][:size]
	return nil
}

// ErrNoRoom is the end of a write for which there is no room.
var ErrNoRoom = errors.New("no space left on device")

// Used is how many bytes the files have.
func (f *Folder) Used() (n int) {
	for _, b := range f.files {
		n += len(b)
	}
	return n
}

// do carries something out after its time. A process that is killed meanwhile leaves it torn at a place drawn by chance.
func (f *Folder) do(size int, apply func(n int), done func(error)) {
	l, fault, torn := f.l, f.Fault, f.Torn
	f.busy = max(f.busy, f.w.now) + f.Sync
	if f.Lies {
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
		case f.Room > 0 && size > 1 && f.Used()+size > f.Room: // removals have a size of 1, and make room
			apply(max(f.Room-f.Used(), 0))
			l.call(func() { done(ErrNoRoom) })
		default:
			apply(size)
			l.call(func() { done(nil) })
		}
	})
}

func (f *Folder) Append(name string, b []byte, done func(error)) {
	b = slices.Clone(b)
	f.do(len(b), func(n int) { f.files[name] = append(f.files[name], b[:n]...) }, done)
}

func (f *Folder) Write(name string, build func() []byte, done func(error)) {
	b := build()
	f.do(len(b), func(n int) {
		if n == len(b) {
			f.files[name] = b
		}
	}, done)
}

func (f *Folder) Remove(name string, done func(error)) {
	f.do(1, func(n int) {
		if n == 1 {
			delete(f.files, name)
		}
	}, done)
}
