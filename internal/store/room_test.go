package store

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"
)

// On real files, in a process of its own whose files may not grow: writes come out short and fail, the snapshot that would heal the
// store too, and no half of one is left holding room. Once they may grow again the store goes on, and a start finds what was
// acknowledged and nothing that was refused.
func TestFilesWithoutRoom(t *testing.T) {
	if dir := os.Getenv("PLUMSPINDLE_NO_ROOM"); dir != "" {
		noRoom(t, dir)
		return
	}
	c := exec.Command(os.Args[0], "-test.run=^TestFilesWithoutRoom$", "-test.count=1")
	c.Env = append(os.Environ(), "PLUMSPINDLE_NO_ROOM="+t.TempDir())
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
}

func noRoom(t *testing.T, dir string) {
	signal.Ignore(syscall.SIGXFSZ)
	posted := make(chan func(), 64)
	files, err := OpenFiles(dir, func(f func()) { posted <- f })
	if err != nil {
		t.Fatal(err)
	}
	s, err := Open(files, DefaultLimits)
	if err != nil {
		t.Fatal(err)
	}
	wait := func(ask func(done func(error)) error) error {
		var answer *error
		if err := ask(func(err error) { answer = &err }); err != nil {
			return err
		}
		for answer == nil {
			select {
			case f := <-posted:
				f()
			case <-time.After(20 * time.Second):
				t.Fatal("the disk does not answer")
			}
		}
		return *answer
	}
	put := func(key string) error {
		return wait(func(done func(error)) error {
			return s.Commit([]Op{{key, []byte(strings.Repeat("x", 300))}}, nil, false, done)
		})
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
		t.Fatal(err)
	}
	bound := func(n uint64) {
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: n, Max: limit.Max}); err != nil {
			t.Fatal(err)
		}
	}
	kept := 0
	for round := range 3 {
		bound(uint64(2000 + 1500*round))
		for err = error(nil); err == nil && kept < 1000; {
			if err = put(fmt.Sprint("k", kept)); err == nil {
				kept++
			}
		}
		if !errors.Is(err, ErrFailed) || kept == 0 {
			t.Fatalf("round %d: after %d records: %v", round, kept, err)
		}
		if err := put("refused"); !errors.Is(err, ErrFailed) {
			t.Fatal(err)
		}
		bound(100)
		if err := wait(func(done func(error)) error { s.Repair(done); return nil }); err == nil {
			t.Fatal("healed without room")
		}
		names, _ := files.List()
		for _, n := range names {
			if strings.HasSuffix(n, ".part") {
				t.Errorf("%s holds room", n)
			}
		}
		bound(limit.Cur)
		if err := wait(func(done func(error)) error { s.Repair(done); return nil }); err != nil {
			t.Fatal(err)
		}
	}
	if err := put("last"); err != nil {
		t.Fatal(err)
	}
	files.Close()
	files, err = OpenFiles(dir, func(f func()) { posted <- f })
	if err != nil {
		t.Fatal(err)
	}
	defer files.Close()
	if s, err = Open(files, DefaultLimits); err != nil || s.Len() != kept+1 {
		t.Fatalf("%v: %d keys, want %d", err, s.Len(), kept+1)
	}
}
