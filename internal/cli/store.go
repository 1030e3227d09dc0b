package cli

import (
	"errors"
	"fmt"
	"time"

	"plumspindle/internal/store"
)

type storeCommand struct {
	Check   storeCheck   `cmd:"" help:"Recover a store as a dispatcher does at its start, and print the number of keys. This truncates a torn record at the end of the log."`
	Dump    storeDump    `cmd:"" help:"Print all keys and values, quoted, sorted by key."`
	Compact storeCompact `cmd:"" help:"Write a snapshot and delete the log that it replaces."`
}

type (
	storeCheck struct {
		Dir string `arg:"" type:"existingdir" help:"Folder of the store; no other process may be using it."`
	}
	storeDump struct {
		Dir    string `arg:"" type:"existingdir" help:"Folder of the store; no other process may be using it."`
		Prefix string `help:"Print only keys with this prefix."`
	}
	storeCompact struct {
		Dir string `arg:"" type:"existingdir" help:"Folder of the store; no other process may be using it."`
	}
)

// snapshotTimeout limits the wait for each completion from the disk while a snapshot is written.
const snapshotTimeout = time.Minute

// offlineStore is a store without an event loop. Disk operations send their completion callbacks to a channel, and
// whoever waits for an operation runs them.
type offlineStore struct {
	*store.Store
	files       *store.Files
	completions chan func()
}

// openStore recovers the store in a folder.
func openStore(dir string) (*offlineStore, error) {
	completions := make(chan func(), 64)
	files, err := store.OpenFiles(dir, func(completion func()) { completions <- completion })
	if err != nil {
		return nil, err
	}
	opened, err := store.Open(files, store.DefaultLimits)
	if err != nil {
		files.Close()
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return &offlineStore{Store: opened, files: files, completions: completions}, nil
}

// Run recovers the store and prints the number of its keys and the time that this took.
func (c *storeCheck) Run(env *environment) error {
	startTime := time.Now()
	opened, err := openStore(c.Dir)
	if err != nil {
		return err
	}
	defer opened.files.Close()
	elapsed := time.Since(startTime).Round(time.Millisecond)
	env.printf("%s: consistent: %d keys, recovered in %v\n", c.Dir, opened.Len(), elapsed)
	return nil
}

// Run prints the keys with the prefix and their values.
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

// Run writes a snapshot of the store and waits until it is complete.
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
		case completion := <-opened.completions:
			completion()
		case <-time.After(snapshotTimeout):
			return errors.New("no disk operation completed in time")
		}
	}
	return err
}
