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

// open opens a store whose disk answers on a channel.
func openStore(dir string) (*store.Store, *store.Files, chan func(), error) {
	posted := make(chan func(), 64)
	files, err := store.OpenFiles(dir, func(f func()) { posted <- f })
	if err != nil {
		return nil, nil, nil, err
	}
	s, err := store.Open(files, store.DefaultLimits)
	if err != nil {
		files.Close()
		return nil, nil, nil, fmt.Errorf("%s: %w", dir, err)
	}
	return s, files, posted, nil
}

// Run of each does what its help says.
func (c *storeCheck) Run(s *surroundings) error {
	began := time.Now()
	st, files, _, err := openStore(c.Dir)
	if err != nil {
		return err
	}
	defer files.Close()
	fmt.Fprintf(s.out, "%s: whole: %d keys, recovered in %v\n", c.Dir, st.Len(), time.Since(began).Round(time.Millisecond))
	return nil
}

func (c *storeDump) Run(s *surroundings) error {
	st, files, _, err := openStore(c.Dir)
	if err != nil {
		return err
	}
	defer files.Close()
	st.Scan(c.Prefix, func(key string, value []byte) bool {
		_, err = fmt.Fprintf(s.out, "%q %q\n", key, value)
		return err == nil
	})
	return err
}

func (c *storeCompact) Run(s *surroundings) error {
	st, files, posted, err := openStore(c.Dir)
	if err != nil {
		return err
	}
	defer files.Close()
	done := false
	st.Compact(func(e error) { done, err = true, e })
	for !done {
		select {
		case f := <-posted:
			f()
		case <-time.After(time.Minute):
			return errors.New("the disk did not answer")
		}
	}
	return err
}
