package cli

import (
	"errors"
	"fmt"
	"time"

	"plumspindle/internal/store"
)

type storeCommand struct {
	Check   storeCheck   `cmd:"" help:"Recover a store as at a start, and say what is in it. A torn end is cut off, as a start would."`
	Dump    storeDump    `cmd:"" help:"Print all keys and values, quoted, in order."`
	Compact storeCompact `cmd:"" help:"Write a snapshot and drop the log that is in it."`
}

type (
	storeCheck struct {
		Dir string `arg:"" type:"existingdir" help:"The store's folder; it must not be in use."`
	}
	storeDump struct {
		Dir    string `arg:"" type:"existingdir" help:"The store's folder; it must not be in use."`
		Prefix string `help:"Only keys that begin so."`
	}
	storeCompact struct {
		Dir string `arg:"" type:"existingdir" help:"The store's folder; it must not be in use."`
	}
)

// diskTimeout is how long a disk may take for a snapshot.
const diskTimeout = time.Minute

// openedStore is a store outside an event loop: what its disk completes is run from a channel.
type openedStore struct {
	*store.Store
	files  *store.Files
	posted chan func()
}

func openStore(dir string) (*openedStore, error) {
	posted := make(chan func(), 64)
	files, err := store.OpenFiles(dir, func(completion func()) { posted <- completion })
	if err != nil {
		return nil, err
	}
	opened, err := store.Open(files, store.DefaultLimits)
	if err != nil {
		files.Close()
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return &openedStore{Store: opened, files: files, posted: posted}, nil
}

// Run recovers the store.
func (c *storeCheck) Run(env *environment) error {
	began := time.Now()
	opened, err := openStore(c.Dir)
	if err != nil {
		return err
	}
	defer opened.files.Close()
	took := time.Since(began).Round(time.Millisecond)
	env.printf("%s: whole: %d keys, recovered in %v\n", c.Dir, opened.Len(), took)
	return nil
}

// Run prints the keys and values.
func (c *storeDump) Run(env *environment) error {
	opened, err := openStore(c.Dir)
	if err != nil {
		return err
	}
	defer opened.files.Close()
	opened.Scan(c.Prefix, func(key string, value []byte) bool {
		_, err = fmt.Fprintf(env.stdout, "%q %q\n", key, value)
		return err == nil
	})
	return err
}

// Run writes a snapshot.
func (c *storeCompact) Run() error {
	opened, err := openStore(c.Dir)
	if err != nil {
		return err
	}
	defer opened.files.Close()
	done := false
	opened.Compact(func(failure error) { done, err = true, failure })
	for !done {
		select {
		case completion := <-opened.posted:
			completion()
		case <-time.After(diskTimeout):
			return errors.New("the disk did not answer")
		}
	}
	return err
}
