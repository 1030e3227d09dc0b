package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	cacheRetryInterval = time.Second     // after a failed write, until the newest content is tried again
	cacheCloseTimeout  = 2 * time.Second // on Close, for content that is still to be written
	previousSuffix     = ".1"            // of the copy of the content before the last
)

// cacheFile writes the newest content that it was given to one small file, atomically and on a goroutine of its own: a
// disk that stalls must not block the event loop. A failed write is retried until it succeeds.
type cacheFile struct {
	cacheOptions
	path    string
	pending chan []byte
	stop    chan struct{}
	stopped chan struct{}
}

// cacheOptions say how a cacheFile is written.
type cacheOptions struct {
	keepPrevious bool        // the content before the last stays under previousSuffix
	onError      func(error) // called from the writer's goroutine, once for each content that can't be written at first
}

// newCacheFile starts the writer; Close ends it.
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

// Put replaces the content. It never blocks; only the event loop may call it.
func (f *cacheFile) Put(content []byte) {
	select {
	case <-f.pending: // older content whose write has not begun
	default:
	}
	f.pending <- content
}

func (f *cacheFile) run() {
	defer close(f.stopped)
	for {
		select {
		case content := <-f.pending:
			if !f.writeUntilDone(content) {
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

// writeUntilDone retries until the content, or newer content, is written; it returns false if Close ended that.
func (f *cacheFile) writeUntilDone(content []byte) bool {
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

func (f *cacheFile) write(content []byte) error {
	if f.keepPrevious {
		// Fails where there is no file yet or the last write failed; the older copy then stays.
		_ = os.Rename(f.path, f.path+previousSuffix)
	}
	return replaceFile(f.path, content)
}

// Close ends the writer, after a last attempt to write content that is still pending; it waits for cacheCloseTimeout.
func (f *cacheFile) Close() {
	close(f.stop)
	select {
	case <-f.stopped:
	case <-time.After(cacheCloseTimeout):
	}
}

// replaceFile writes a file atomically.
func replaceFile(path string, content []byte) error {
	part := path + ".part"
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("folder of %s: %w", path, err)
	}
	if err := os.WriteFile(part, content, 0o600); err != nil {
		_ = os.Remove(part) // half a file would occupy the disk space that is missing
		return fmt.Errorf("write %s: %w", path, err)
	}
	return os.Rename(part, path)
}
