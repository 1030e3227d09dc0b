package launch

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"plumspindle/internal/eventloop"
)

const (
	// A call at the start that fails for want of something that may be there a moment later is tried again for so long.
	startPatience = 3 * eventloop.Second
	startPause    = 20 * eventloop.Millisecond
	// A new configuration that can't be read is tried again after a pause, so often: what discovery tells counts as told 4 s after SIGHUP.
	reloadPause    = 100 * eventloop.Millisecond
	maxReloadTries = 30
)

// transientErrors are those that Linux documents for a want that passes. An address may be held for a moment by the process before.
var transientErrors = []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EIO,
	syscall.ENOSPC, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL}

// transient tells whether a call that failed so may succeed a moment later.
func transient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(e syscall.Errno) bool { return errors.Is(err, e) })
}

// retry calls f until it succeeds, fails for good, or has been tried for long enough.
func retry(f func() error) error {
	for begun := time.Now(); ; time.Sleep(duration(startPause)) {
		if err := f(); !transient(err) || time.Since(begun) > duration(startPatience) {
			return err
		}
	}
}

func duration(span eventloop.Micros) time.Duration { return time.Duration(span) * time.Microsecond }
