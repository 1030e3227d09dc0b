package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

const (
	lockName      = "lock"
	partialSuffix = ".part" // name suffix of a file until it is complete
)

// Files is a Disk on a folder of the file system. A lock file keeps a second process from using the folder. A single
// goroutine executes Append, Write and Remove in order and posts their results to the event loop; Close ends it. The
// caller's goroutine executes List, Read and Truncate.
type Files struct {
	dir  string
	lock *os.File
	post func(func())

	mutex   sync.Mutex // guards queue and closing
	queue   []func()
	closing bool
	changed sync.Cond     // signalled when queue or closing has changed
	stopped chan struct{} // closed when the goroutine has ended

	// segment is the file last appended to, which stays open for the next append, and segmentName is its name. Only the
	// goroutine uses them.
	segment     *os.File
	segmentName string
}

// OpenFiles creates a folder if necessary and locks it. post must run its argument on the store's event loop.
func OpenFiles(dir string, post func(func())) (*Files, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("store: %s is in use by another process", dir)
	}
	f := &Files{dir: dir, lock: lock, post: post, stopped: make(chan struct{})}
	f.changed.L = &f.mutex
	go f.run()
	return f, nil
}

// Close executes the remaining operations, ends the goroutine and unlocks the folder.
func (f *Files) Close() {
	f.mutex.Lock()
	f.closing = true
	f.changed.Signal()
	f.mutex.Unlock()
	<-f.stopped
	_ = f.lock.Close() // nothing is written to it
}

func (f *Files) run() {
	defer close(f.stopped)
	for {
		operations := f.nextOperations()
		if len(operations) == 0 {
			f.closeSegment()
			return
		}
		for _, operation := range operations {
			operation()
		}
	}
}

// nextOperations waits for operations and returns all that are queued. It returns none once Close was called and the
// queue is empty.
func (f *Files) nextOperations() []func() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for len(f.queue) == 0 && !f.closing {
		f.changed.Wait()
	}
	operations := f.queue
	f.queue = nil
	return operations
}

// enqueue queues an operation for the goroutine. Once it has been executed, done gets its result on the event loop.
func (f *Files) enqueue(operation func() error, done func(error)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.queue = append(f.queue, func() {
		err := operation()
		f.post(func() { done(err) })
	})
	f.changed.Signal()
}

// List returns the names of the folder's files.
func (f *Files) List() ([]string, error) {
	entries, err := os.ReadDir(f.dir)
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

// Read returns the content of a file.
func (f *Files) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(f.dir, name)) }

// Truncate shortens a file to size bytes and syncs it.
func (f *Files) Truncate(name string, size int64) error {
	file, err := os.OpenFile(filepath.Join(f.dir, name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(file.Truncate(size), file.Sync(), file.Close())
}

// Append appends to a segment and syncs it.
func (f *Files) Append(name string, data []byte, done func(error)) {
	f.enqueue(func() error {
		if err := f.openSegment(name); err != nil {
			return err
		}
		if _, err := f.segment.Write(data); err != nil {
			return err
		}
		return f.segment.Sync()
	}, done)
}

// openSegment opens a file for appending and closes the previous one.
func (f *Files) openSegment(name string) error {
	if f.segment != nil && f.segmentName == name {
		return nil
	}
	f.closeSegment()
	path := filepath.Join(f.dir, name)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	f.segment, f.segmentName = file, name
	return f.syncDir()
}

func (f *Files) closeSegment() {
	if f.segment != nil {
		_ = f.segment.Close() // an error can't lose data, as each append was synced
		f.segment = nil
	}
}

// Write creates or replaces a file atomically and syncs it.
func (f *Files) Write(name string, build func() []byte, done func(error)) {
	f.enqueue(func() error {
		path := filepath.Join(f.dir, name)
		partial := path + partialSuffix
		if err := writeSynced(partial, build()); err != nil {
			_ = os.Remove(partial) // frees its space, as the disk may be full
			return err
		}
		if err := os.Rename(partial, path); err != nil {
			return err
		}
		return f.syncDir()
	}, done)
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	return errors.Join(err, file.Sync(), file.Close())
}

// syncDir syncs the folder itself, which makes the names of new and renamed files durable.
func (f *Files) syncDir() error {
	dir, err := os.Open(f.dir)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Remove deletes a file of the folder.
func (f *Files) Remove(name string, done func(error)) {
	f.enqueue(func() error {
		if strings.ContainsRune(name, '/') {
			return fmt.Errorf("store: %q is not in the folder", name)
		}
		return os.Remove(filepath.Join(f.dir, name))
	}, done)
}
