package syscallfaults

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// maxDescriptors is the hard limit that a process keeps, so that its limit can be raised again.
const maxDescriptors = 20000

// NoDescriptors leaves a process without any descriptor but those that it has.
func NoDescriptors(pid int) error {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return err
	}
	in := map[string]bool{}
	for _, e := range entries {
		in[e.Name()] = true
	}
	free := uint64(0)
	for in[fmt.Sprint(free)] {
		free++
	}
	return LimitDescriptors(pid, free)
}

// LimitDescriptors sets how many descriptors a process may have.
func LimitDescriptors(pid int, most uint64) error {
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: maxDescriptors}, nil)
}
