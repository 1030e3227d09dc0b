package cli

import (
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	maxBufferedLogLines = 4096        // if more lines wait to be written, the oldest are dropped
	logFlushTimeout     = time.Second // limit for writing the buffered lines when the program ends
)

// logWriter buffers log lines and writes them from its own goroutine, so that a slow reader of the log does not block
// the program.
type logWriter struct{ diode.Writer }

// newLogWriter returns a logWriter that writes to out. It makes the process ignore SIGPIPE, which would otherwise kill
// the program once the reader of its logs has gone away.
func newLogWriter(out io.Writer) logWriter {
	signal.Ignore(syscall.SIGPIPE)
	dropped := func(lines int) {
		_, _ = fmt.Fprintf(out, "{\"level\":\"error\",\"lines\":%d,\"message\":\"log lines dropped\"}\n", lines)
	}
	withoutClose := struct{ io.Writer }{out}
	return logWriter{diode.NewWriter(withoutClose, maxBufferedLogLines, 0, dropped)}
}

// flush writes the buffered lines and stops the goroutine. It waits for at most logFlushTimeout.
func (w logWriter) flush() {
	flushed := make(chan struct{})
	go func() {
		_ = w.Close()
		close(flushed)
	}()
	select {
	case <-flushed:
	case <-time.After(logFlushTimeout):
	}
}
