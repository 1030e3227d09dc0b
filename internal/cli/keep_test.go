package cli

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// The disk stalls, and then a file can't be written at all: the loop never waits for it, the newest is there once it can be, and
// the one before is not lost meanwhile.
func TestKeeperOnABadDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := syscall.Mkfifo(path+".part", 0o600); err != nil { // opening it for writing waits for a reader
		t.Fatal(err)
	}
	k := newKeeper(path, true, func(error) {})
	k.Keep([]byte("one"))
	for len(k.next) > 0 { // until it is being written, into the pipe
		time.Sleep(time.Millisecond)
	}
	done := make(chan struct{})
	go func() {
		for _, b := range []string{"two", "three"} {
			k.Keep([]byte(b))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the loop waits for the disk")
	}
	reader, err := os.OpenFile(path+".part", os.O_RDONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	holds := func(name, want string) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			if info, err := os.Lstat(name); err == nil && info.Mode().IsRegular() {
				if b, _ := os.ReadFile(name); string(b) == want {
					return
				}
			}
			if time.Now().After(end) {
				t.Fatalf("%s does not hold %q", name, want)
			}
		}
	}
	holds(path, "three")
	if err := os.Mkdir(path+".part", 0o700); err != nil { // in the way of the next
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(path+".part", "x"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	k.Keep([]byte("four"))
	holds(path+".1", "three")
	if err := os.RemoveAll(path + ".part"); err != nil {
		t.Fatal(err)
	}
	holds(path, "four")
	holds(path+".1", "three")
	k.Close()
}
