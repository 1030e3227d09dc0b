package launch

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"plumspindle/internal/eventloop"
)

// During the start, a call that fails with a transient error is retried every startRetryInterval until
// startRetryTimeout has passed.
const (
	startRetryTimeout  = 3 * eventloop.Second
	startRetryInterval = 20 * eventloop.Millisecond
)

// transientErrors are the errors that Linux documents for an interrupted call, a temporary shortage of resources and an
// I/O error. The last two are for an address that can't be used yet because a previous process may hold it for a
// moment.
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

// isTransient reports whether a call that failed with this error may succeed a moment later.
func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// retry calls f until it succeeds, fails with an error that is not transient, or startRetryTimeout has passed. It
// blocks, so it is only for use before the event loop runs.
func retry(f func() error) error {
	for began := time.Now(); ; time.Sleep(toDuration(startRetryInterval)) {
		err := f()
		if !isTransient(err) || time.Since(began) > toDuration(startRetryTimeout) {
			return err
		}
	}
}

func toDuration(micros eventloop.Micros) time.Duration {
	return time.Duration(micros) * time.Microsecond
}
