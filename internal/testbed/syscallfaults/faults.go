// Package syscallfaults has the system calls of a process fail, be interrupted and fall short, and its wall clock be stepped. It does so from
// outside, by a library that the process is started with, so that the program under test is the one that is built and released.
package syscallfaults

import (
	_ "embed"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"
)

//go:embed shim/faults.c
var source []byte

// Faults are what a process meets. Rates are in a thousand calls.
type Faults struct {
	Seed        int64
	Short       int // reads and writes of TCP sockets that take only a part of what they could
	Interrupted int // reads, writes and waits that return EINTR
	Errors      int // calls of accept, socket and connect that fail
	// ClockStep is added to the wall clock from ClockStepAfter on; the monotonic clock runs on.
	ClockStep, ClockStepAfter time.Duration
}

// Build compiles the library into a folder and returns its path. It needs the C compiler that the program's own build needs.
func Build(folder string) (string, error) {
	file, library := filepath.Join(folder, "faults.c"), filepath.Join(folder, "faults.so")
	if err := os.WriteFile(file, source, 0o600); err != nil {
		return "", fmt.Errorf("system call faults: %w", err)
	}
	if output, err := exec.Command("cc", "-shared", "-fPIC", "-O2", "-Wall", "-o", library, file).CombinedOutput(); err != nil {
		return "", fmt.Errorf("system call faults: %w: %s", err, output)
	}
	return library, nil
}

// Environment is what a process is started with to meet the faults.
func (f Faults) Environment(library string) []string {
	number := func(name string, n int64) string { return name + "=" + strconv.FormatInt(n, 10) }
	return []string{"LD_PRELOAD=" + library, number("FAULTS_SEED", f.Seed), number("FAULTS_SHORT", int64(f.Short)),
		number("FAULTS_INTERRUPTED", int64(f.Interrupted)), number("FAULTS_ERRORS", int64(f.Errors)),
		number("FAULTS_CLOCK_STEP_MS", f.ClockStep.Milliseconds()), number("FAULTS_CLOCK_STEP_AFTER_MS", f.ClockStepAfter.Milliseconds())}
}
