package soak

import (
	"bytes"
	"fmt"
	"os"
	"sync"
)

// stampedLog puts the machine's monotonic time before each line, as a process's own clock may be stepped.
type stampedLog struct {
	mu   sync.Mutex
	file *os.File
	rest []byte // of a line that has not come whole
}

func newStampedLog(path string) (*stampedLog, error) {
	f, err := os.Create(path)
	return &stampedLog{file: f}, err
}

// Write implements io.Writer.
func (l *stampedLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rest = append(l.rest, b...)
	for {
		line, rest, whole := bytes.Cut(l.rest, []byte("\n"))
		if !whole {
			return len(b), nil
		}
		if _, err := fmt.Fprintf(l.file, "%d %s\n", now(), line); err != nil {
			return 0, err
		}
		l.rest = rest
	}
}
