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
	logLines     = 4096        // that may wait to be written; past it the oldest are dropped
	logFlushTime = time.Second // for those that wait when the program ends
)

// logWriter writes log lines from a goroutine of its own: a slow reader of the log must not block the program.
type logWriter struct{ diode.Writer }

// newLogWriter also keeps the program alive where the reader of its logs is gone, as by itself it would die of SIGPIPE.
func newLogWriter(out io.Writer) logWriter {
	signal.Ignore(syscall.SIGPIPE)
	dropped := func(lines int) {
		_, _ = fmt.Fprintf(out, "{\"level\":\"error\",\"lines\":%d,\"message\":\"log lines dropped\"}\n", lines)
	}
	withoutClose := struct{ io.Writer }{out}
	return logWriter{diode.NewWriter(withoutClose, logLines, 0, dropped)}
}

// flush writes the lines that wait and ends the goroutine; it waits for logFlushTime at most.
func (w logWriter) flush() {
	flushed := make(chan struct{})
	go func() {
		_ = w.Close()
		close(flushed)
	}()
	select {
	case <-flushed:
	case <-time.After(logFlushTime):
	}
}
