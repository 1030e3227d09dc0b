package soak

import (
	"bytes"
	"fmt"
	"os"
	"sync"
)

// stampedLog puts the machine's monotonic time before each line, as a process's own clock may be stepped.
type stampedLog struct {
	mu      sync.Mutex
	file    *os.File
	partial []byte // of a line that has not come completely
}

func newStampedLog(path string) (*stampedLog, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return &stampedLog{file: file}, nil
}

// Write implements io.Writer.
func (l *stampedLog) Write(data []byte) (int, error) {
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
