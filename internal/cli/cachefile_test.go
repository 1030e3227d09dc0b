package cli

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestCacheFilesOnFailingDiskNeverBlockNorLoseContent simulates a write that stalls, as on a hanging disk, and later
// writes that fail. Put must not block the event loop meanwhile. The newest content must be written once writes succeed
// again, and the previous content must not be lost in between.
func TestCacheFilesOnFailingDiskNeverBlockNorLoseContent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := syscall.Mkfifo(path+".part", 0o600); err != nil { // opening a pipe for writing blocks until it has a reader
		t.Fatal(err)
	}
	file := newCacheFile(path, cacheOptions{keepPrevious: true, onError: func(error) {}})
	file.Put([]byte("one"))
	waitUntil(t, 10*time.Second, "start of the write into the pipe", func() bool { return len(file.pending) == 0 })
	done := make(chan struct{})
	go func() {
		for _, b := range []string{"two", "three"} {
			file.Put([]byte(b))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Put blocked while the disk stalled")
	}
	reader, err := os.OpenFile(path+".part", os.O_RDONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reader.Close() })
	waitForContent(t, path, "three")
	if err := os.Mkdir(path+".part", 0o700); err != nil { // a folder at the temporary path makes the next write fail
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(path+".part", "x"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	file.Put([]byte("four"))
	waitForContent(t, path+".1", "three")
	if err := os.RemoveAll(path + ".part"); err != nil {
		t.Fatal(err)
	}
	waitForContent(t, path, "four")
	waitForContent(t, path+".1", "three")
	file.Close()
}

// waitForContent waits until path is a regular file with the content want.
func waitForContent(t *testing.T, path, want string) {
	t.Helper()
	waitUntil(t, 10*time.Second, "content "+want+" in "+path, func() bool {
		info, err := os.Lstat(path)
		if err != nil || !info.Mode().IsRegular() {
			return false
		}
		content, err := os.ReadFile(path)
		return err == nil && string(content) == want
	})
}
