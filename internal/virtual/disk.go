package virtual

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"plumspindle/internal/eventloop"
)

const (
	defaultSyncTime = 2 * eventloop.Millisecond
	// lateSyncTime is how long after its acknowledgement a write becomes durable with AcknowledgesEarly.
	lateSyncTime = 500 * eventloop.Millisecond
	// removeSize is the size of a removal; only larger operations need capacity.
	removeSize = 1
)

// ErrDiskFull is the error of a write that exceeds the capacity.
var ErrDiskFull = errors.New("no space left on device")

var (
	errNoSuchFile = errors.New("no such file")
	errTooShort   = errors.New("shorter than that")
)

// Disk holds one process's files; they outlive the process. It is a disk of package store for the process that it is
// attached to.
type Disk struct {
	// SyncTime is how long it takes to make something durable.
	SyncTime eventloop.Micros
	// Failure, if set, is the error of all operations that change something.
	Failure error
	// PartialWrites lets operations that fail write a part, as a short write or a failed sync does.
	PartialWrites bool
	// Capacity, if above 0, is how many bytes all files may have; a write that exceeds it fails, with what fitted
	// written.
	Capacity int
	// AcknowledgesEarly lets operations succeed at once and become durable later: they are lost if the process is
	// killed in between.
	AcknowledgesEarly bool

	network   *Network
	loop      *Loop
	files     map[string][]byte
	busyUntil eventloop.Micros // by the operations under way
}

// NewDisk makes an empty disk.
func (n *Network) NewDisk() *Disk {
	return &Disk{network: n, files: map[string][]byte{}, SyncTime: defaultSyncTime}
}

// AttachTo hands the disk to a process. The operations of an earlier process that are under way are dropped, or are
// carried out in part.
func (d *Disk) AttachTo(l *Loop) *Disk {
	d.loop, d.busyUntil = l, 0
	return d
}

// List returns the names of the files in order.
func (d *Disk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), nil }

// Read returns the content of a file.
func (d *Disk) Read(name string) ([]byte, error) {
	content, exists := d.files[name]
	if !exists {
		return nil, fmt.Errorf("%s: %w", name, errNoSuchFile)
	}
	return slices.Clone(content), nil
}

// Truncate shortens a file, at once.
func (d *Disk) Truncate(name string, size int64) error {
	if int(size) > len(d.files[name]) {
		return fmt.Errorf("%s: %w", name, errTooShort)
	}
	d.files[name] = d.files[name][:size]
	return nil
}

// Used returns how many bytes all files have.
func (d *Disk) Used() int {
	used := 0
	for _, content := range d.files {
		used += len(content)
	}
	return used
}

// Append appends to a file and calls done once that is durable or has failed.
func (d *Disk) Append(name string, b []byte, done func(error)) {
	b = slices.Clone(b)
	d.perform(len(b), func(n int) { d.files[name] = append(d.files[name], b[:n]...) }, done)
}

// Write replaces a file, in whole or not at all, and calls done once that is durable or has failed.
func (d *Disk) Write(name string, build func() []byte, done func(error)) {
	b := build()
	d.perform(len(b), func(n int) {
		if n == len(b) {
			d.files[name] = b
		}
	}, done)
}

// Remove removes a file and calls done once that is durable or has failed.
func (d *Disk) Remove(name string, done func(error)) {
	d.perform(removeSize, func(n int) {
		if n == removeSize {
			delete(d.files, name)
		}
	}, done)
}

// perform carries an operation out once its time has passed: apply is called with how much of its size is done. If the
// process is killed meanwhile that is a random part.
func (d *Disk) perform(size int, apply func(n int), done func(error)) {
	l, failure, partial := d.loop, d.Failure, d.PartialWrites
	d.busyUntil = max(d.busyUntil, d.network.now) + d.SyncTime
	if d.AcknowledgesEarly {
		d.busyUntil += lateSyncTime
		acknowledge := done
		l.schedule(0, func() { acknowledge(nil) })
		done = func(error) {}
	}
	d.network.timers.Set(d.busyUntil, func() {
		switch {
		case l.dead && l != d.loop: // another process has the disk
		case l.dead:
			apply(d.network.random.Intn(size + 1))
		case failure != nil:
			if partial && size > 0 {
				apply(d.network.random.Intn(size))
			}
			l.call(func() { done(failure) })
		case d.Capacity > 0 && size > removeSize && d.Used()+size > d.Capacity:
			apply(max(d.Capacity-d.Used(), 0))
			l.call(func() { done(ErrDiskFull) })
		default:
			apply(size)
			l.call(func() { done(nil) })
		}
	})
}
