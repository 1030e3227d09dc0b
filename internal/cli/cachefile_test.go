package cli

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// The disk stalls, and then a file can't be written at all: the loop never waits for it, the newest content is there
// once it can be written, and the content before is not lost meanwhile.
func TestCacheFilesOnFailingDiskNeverBlockNorLoseContent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := syscall.Mkfifo(path+".part", 0o600); err != nil { // opening it for writing waits for a reader
		t.Fatal(err)
	}
	file := newCacheFile(path, cacheOptions{keepPrevious: true, onError: func(error) {}})
	file.Put([]byte("one"))
	waitUntil(t, 10*time.Second, "the write into the pipe begins", func() bool { return len(file.pending) == 0 })
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
		t.Fatal("the loop waits for the disk")
	}
	reader, err := os.OpenFile(path+".part", os.O_RDONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reader.Close() })
	waitForContent(t, path, "three")
	if err := os.Mkdir(path+".part", 0o700); err != nil { // in the way of the next
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

// waitForContent waits until a regular file has some content.
func waitForContent(t *testing.T, path, want string) {
	t.Helper()
	waitUntil(t, 10*time.Second, path+" contains "+want, func() bool {
		info, err := os.Lstat(path)
		if err != nil || !info.Mode().IsRegular() {
			return false
		}
		content, err := os.ReadFile(path)
		return err == nil && string(content) == want
	})
}
