package launch

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"plumspindle/internal/eventloop"
)

// A call at the start that fails for want of something that may be there a moment later is retried for so long.
const (
	startPatience = 3 * eventloop.Second
	startPause    = 20 * eventloop.Millisecond
)

// transientErrors are those that Linux documents for a shortage that passes, and for an address in use, which the
// process before may keep for a moment.
var transientErrors = []syscall.Errno{
	syscall.EINTR,
	syscall.EAGAIN,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EIO,
	syscall.ENOSPC,
	syscall.EADDRINUSE,
	syscall.EADDRNOTAVAIL,
}

// transient reports whether a call that failed with an error may succeed a moment later.
func transient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// retry calls f until it succeeds, fails for good, or has been retried for long enough. It blocks, and is for the time
// before there is a loop.
func retry(f func() error) error {
	for began := time.Now(); ; time.Sleep(duration(startPause)) {
		err := f()
		if !transient(err) || time.Since(began) > duration(startPatience) {
			return err
		}
	}
}

func duration(span eventloop.Micros) time.Duration { return time.Duration(span) * time.Microsecond }
