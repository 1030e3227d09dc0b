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
	// lateSyncTime is added to the time that an operation takes to become durable if the disk acknowledges early.
	lateSyncTime = 500 * eventloop.Millisecond
	// removeSize is the size of a removal in perform. Only larger operations are checked against the capacity.
	removeSize = 1
)

// ErrDiskFull is the error of an operation that exceeds the capacity.
var ErrDiskFull = errors.New("no space left on device")

var (
	errNoSuchFile = errors.New("no such file")
	errTooShort   = errors.New("the file is shorter than the new size")
)

// Disk is a simulated disk with the files of one process. It implements store.Disk for the process that it is attached
// to. The files outlive the process.
type Disk struct {
	// SyncTime is how long one operation takes to become durable.
	SyncTime eventloop.Micros
	// Failure, if set, is the error of all appends, writes and removals.
	Failure error
	// PartialWrites makes an append that fails with Failure write a random part, as a short write or a failed sync does.
	// Writes and removals are atomic.
	PartialWrites bool
	// Capacity, if above 0, is how many bytes all files may have. An append that exceeds it writes what fits and fails. A
	// write that exceeds it together with all existing files, the replaced one included, changes nothing and fails.
	Capacity int
	// AcknowledgesEarly makes operations succeed at once and become durable later. If the process is killed in between, an
	// operation takes effect in part, or not at all if the disk is attached to another process before the operation is
	// due.
	AcknowledgesEarly bool

	network   *Network
	loop      *Loop
	files     map[string][]byte
	busyUntil eventloop.Micros // time at which the last of the pending operations is done
}

// NewDisk returns an empty disk. AttachTo must be called before it is written to.
func (n *Network) NewDisk() *Disk {
	return &Disk{network: n, files: map[string][]byte{}, SyncTime: defaultSyncTime}
}

// AttachTo attaches the disk to a process. If an earlier process was killed, its operations that became due between the
// kill and AttachTo have taken effect in part, and those that are still pending are dropped.
func (d *Disk) AttachTo(l *Loop) *Disk {
	d.loop, d.busyUntil = l, 0
	return d
}

// List returns the names of the files in alphabetical order.
func (d *Disk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), nil }

// Read returns the content of a file.
func (d *Disk) Read(name string) ([]byte, error) {
	content, exists := d.files[name]
	if !exists {
		return nil, fmt.Errorf("%s: %w", name, errNoSuchFile)
	}
	return slices.Clone(content), nil
}

// Truncate shortens a file without delay.
func (d *Disk) Truncate(name string, size int64) error {
	if int(size) > len(d.files[name]) {
		return fmt.Errorf("%s: %w", name, errTooShort)
	}
	d.files[name] = d.files[name][:size]
	return nil
}

// Used returns the total size of all files in bytes.
func (d *Disk) Used() int {
	used := 0
	for _, content := range d.files {
		used += len(content)
	}
	return used
}

// Append appends to a file, and calls done once the data is durable or the operation has failed.
func (d *Disk) Append(name string, b []byte, done func(error)) {
	b = slices.Clone(b)
	d.perform(len(b), func(n int) { d.files[name] = append(d.files[name], b[:n]...) }, done)
}

// Write replaces a file atomically, and calls done once the new content is durable or the operation has failed.
func (d *Disk) Write(name string, build func() []byte, done func(error)) {
	b := build()
	d.perform(len(b), func(n int) {
		if n == len(b) {
			d.files[name] = b
		}
	}, done)
}

// Remove removes a file, and calls done once the removal is durable or the operation has failed.
func (d *Disk) Remove(name string, done func(error)) {
	d.perform(removeSize, func(n int) {
		if n == removeSize {
			delete(d.files, name)
		}
	}, done)
}

// perform carries out an operation after the operations before it and its own sync time. It calls apply with the part
// of the size that takes effect: all of it if the operation succeeds, a random part if the process was killed in the
// meantime or the disk fails with PartialWrites, and as much as fits if the disk is full. It doesn't call apply if the
// operation fails without PartialWrites, or if the disk was attached to another process after a kill.
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
		case l.dead && l != d.loop: // the disk is attached to another process now
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
