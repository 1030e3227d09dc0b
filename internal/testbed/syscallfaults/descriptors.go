package syscallfaults

import (
	"fmt"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// maxDescriptors is the hard limit that a process keeps, so that its limit can be raised again.
const maxDescriptors = 20000

// NoDescriptors leaves a process no descriptor beyond those that it has open.
func NoDescriptors(pid int) error {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return fmt.Errorf("open descriptors: %w", err)
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

// LimitDescriptors sets how many descriptors a process may have.
func LimitDescriptors(pid int, limit uint64) error {
	err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: maxDescriptors}, nil)
	if err != nil {
		return fmt.Errorf("limit of descriptors: %w", err)
	}
	return nil
}
