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

// Files is the Disk over a folder, with a lock against a second process. Its work is done by one goroutine, in order; post
// hands the answers to the loop.
type Files struct {
	dir  string
	lock *os.File
	post func(func())

	mu    sync.Mutex
	todo  []func()
	ready sync.Cond
	ended bool
	gone  chan struct{}

	open map[string]*os.File // of the worker: the segment that is appended to
}

// OpenFiles locks a folder and makes it if there is none.
func OpenFiles(dir string, post func(func())) (*Files, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("store: %s is in use by another process", dir)
	}
	f := &Files{dir: dir, lock: lock, post: post, gone: make(chan struct{}), open: map[string]*os.File{}}
	f.ready.L = &f.mu
	go f.work()
	return f, nil
}

// Close ends what was asked for and gives the folder back.
func (f *Files) Close() {
	f.mu.Lock()
	f.ended = true
	f.ready.Signal()
	f.mu.Unlock()
	<-f.gone
	f.lock.Close()
}

func (f *Files) work() {
	defer close(f.gone)
	for {
		f.mu.Lock()
		for len(f.todo) == 0 && !f.ended {
			f.ready.Wait()
		}
		todo := f.todo
		f.todo = nil
		f.mu.Unlock()
		if len(todo) == 0 {
			for _, o := range f.open {
				o.Close()
			}
			return
		}
		for _, do := range todo {
			do()
		}
	}
}

func (f *Files) do(what func() error, done func(error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.todo = append(f.todo, func() {
		err := what()
		f.post(func() { done(err) })
	})
	f.ready.Signal()
}

// List names the folder's files.
func (f *Files) List() ([]string, error) {
	entries, err := os.ReadDir(f.dir)
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (f *Files) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(f.dir, name)) }

func (f *Files) Truncate(name string, size int64) error {
	o, err := os.OpenFile(filepath.Join(f.dir, name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(o.Truncate(size), o.Sync(), o.Close())
}

func (f *Files) syncDir() error {
	d, err := os.Open(f.dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func (f *Files) Append(name string, b []byte, done func(error)) {
	f.do(func() error {
		o := f.open[name]
		if o == nil {
			for old, o := range f.open {
				o.Close()
				delete(f.open, old)
			}
			var err error
			if o, err = os.OpenFile(filepath.Join(f.dir, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
				return err
			}
			f.open[name] = o
			if err := f.syncDir(); err != nil {
				return err
			}
		}
		if _, err := o.Write(b); err != nil {
			return err
		}
		return o.Sync()
	}, done)
}

func (f *Files) Write(name string, build func() []byte, done func(error)) {
	f.do(func() error {
		path := filepath.Join(f.dir, name)
		part := path + ".part"
		o, err := os.OpenFile(part, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
		if err != nil {
			return err
		}
		_, err = o.Write(build())
		if err = errors.Join(err, o.Sync(), o.Close()); err != nil {
			_ = os.Remove(part) // half a file would hold the room that is missing
			return err
		}
		if err := os.Rename(part, path); err != nil {
			return err
		}
		return f.syncDir()
	}, done)
}

func (f *Files) Remove(name string, done func(error)) {
	f.do(func() error {
		if strings.ContainsRune(name, '/') {
			return fmt.Errorf("store: %q is not in the folder", name)
		}
		return os.Remove(filepath.Join(f.dir, name))
	}, done)
}
