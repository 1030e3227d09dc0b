package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	cacheRetryInterval = time.Second     // between a failed write and the next attempt
	cacheCloseTimeout  = 2 * time.Second // for the last write, which Close waits for
	previousSuffix     = ".1"            // suffix of the file with the previous content
)

// cacheFile stores the newest content that it was given in one small file. It replaces the file atomically. It writes
// from its own goroutine, so that a stalled disk does not block the event loop. It retries a failed write until it
// succeeds or Close is called.
type cacheFile struct {
	cacheOptions
	path    string
	pending chan []byte
	stop    chan struct{}
	stopped chan struct{}
}

// cacheOptions configures a cacheFile.
type cacheOptions struct {
	keepPrevious bool        // keep the previous content in a file with previousSuffix
	onError      func(error) // called from the writing goroutine on the first failure of each series of attempts
}

// newCacheFile starts the goroutine that writes the file. Close stops it.
func newCacheFile(path string, options cacheOptions) *cacheFile {
	f := &cacheFile{
		path:         path,
		cacheOptions: options,
		pending:      make(chan []byte, 1),
		stop:         make(chan struct{}),
		stopped:      make(chan struct{}),
	}
	go f.run()
	return f
}

// Put replaces the content to be written. It never blocks, and only the event loop may call it.
func (f *cacheFile) Put(content []byte) {
	select {
	case <-f.pending: // drop older content that is not being written yet
	default:
	}
	f.pending <- content
}

// run writes each pending content until Close is called, and then makes one attempt to write what is still pending. If
// Close ends the retries of a failed write, run makes no further attempt.
func (f *cacheFile) run() {
	defer close(f.stopped)
	for {
		select {
		case content := <-f.pending:
			if !f.writeWithRetries(content) {
				return
			}
		case <-f.stop:
			select {
			case content := <-f.pending:
				if err := f.write(content); err != nil {
					f.onError(err)
				}
			default:
			}
			return
		}
	}
}

// writeWithRetries retries until the content, or content that replaced it meanwhile, is written. It returns false if
// Close ended the retries.
func (f *cacheFile) writeWithRetries(content []byte) bool {
	reported := false
	for {
		err := f.write(content)
		if err == nil {
			return true
		}
		if !reported {
			f.onError(err)
			reported = true
		}
		select {
		case content = <-f.pending:
		case <-time.After(cacheRetryInterval):
		case <-f.stop:
			return false
		}
	}
}

// write makes one attempt to replace the content of the file.
func (f *cacheFile) write(content []byte) error {
	if f.keepPrevious {
		// The rename fails if there is no file yet or the last write failed. In both cases the previous copy stays.
		_ = os.Rename(f.path, f.path+previousSuffix)
	}
	return replaceFile(f.path, content)
}

// Close stops the goroutine. Unless a failed write is being retried, the goroutine first makes one attempt to write
// pending content. Close waits for at most cacheCloseTimeout.
func (f *cacheFile) Close() {
	close(f.stop)
	select {
	case <-f.stopped:
	case <-time.After(cacheCloseTimeout):
	}
}

// replaceFile atomically replaces the content of a file, and creates the folder of the file if necessary.
func replaceFile(path string, content []byte) error {
	temporary := path + ".part"
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("folder of %s: %w", path, err)
	}
	if err := os.WriteFile(temporary, content, 0o600); err != nil {
		_ = os.Remove(temporary) // a partial file would take up space on a disk that may be full
		return fmt.Errorf("write %s: %w", path, err)
	}
	return os.Rename(temporary, path)
}
