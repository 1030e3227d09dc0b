package syscallfaults

import (
	"fmt"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// maxDescriptors is the hard limit that a process is given, so that its soft limit can be raised again.
const maxDescriptors = 20000

// PreventNewDescriptors lowers a process's limit on file descriptors so that it can open no further ones.
func PreventNewDescriptors(pid int) error {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return fmt.Errorf("list open descriptors: %w", err)
	}
	open := map[string]bool{}
	for _, entry := range entries {
		open[entry.Name()] = true
	}
	lowestFree := uint64(0)
	for open[strconv.FormatUint(lowestFree, 10)] {
		lowestFree++
	}
	return LimitDescriptors(pid, lowestFree)
}

// LimitDescriptors sets a process's soft limit on file descriptors.
func LimitDescriptors(pid int, limit uint64) error {
	err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: maxDescriptors}, nil)
	if err != nil {
		return fmt.Errorf("set the limit on descriptors: %w", err)
	}
	return nil
}
