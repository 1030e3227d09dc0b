package soak

import (
	"bytes"
	"fmt"
	"os"
	"sync"
)

// timestampedLog writes a log with the machine's monotonic time before each line, as the logging process's own wall
// clock may be stepped.
type timestampedLog struct {
	mu      sync.Mutex
	file    *os.File
	partial []byte // the beginning of a line that is not complete yet
}

func newTimestampedLog(path string) (*timestampedLog, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return &timestampedLog{file: file}, nil
}

// Write implements io.Writer.
func (l *timestampedLog) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial = append(l.partial, data...)
	for {
		line, rest, complete := bytes.Cut(l.partial, []byte("\n"))
		if !complete {
			return len(data), nil
		}
		if _, err := fmt.Fprintf(l.file, "%d %s\n", now(), line); err != nil {
			return 0, err
		}
		l.partial = rest
	}
}
