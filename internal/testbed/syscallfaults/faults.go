// Package syscallfaults has the system calls of a process fail, be interrupted and fall short, and steps its wall
// clock.
//
// It does so from outside, by a library that the process is preloaded with and by its limits, so that the program under
// test is the one that is built and released. It owns that library's source and the variables that configure it; it
// relies on a C compiler. It never changes the calls of the process that uses it.
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
	Short       int // reads and writes of TCP sockets that transfer only a part of what they could
	Interrupted int // reads, writes and waits that return EINTR
	Errors      int // calls of accept, socket and connect that fail

	// ClockStep is added to the wall clock from ClockStepAfter on; the monotonic clock goes on evenly.
	ClockStep      time.Duration
	ClockStepAfter time.Duration
}

// Build compiles the library into a folder and returns its path. It needs the C compiler that the program's own build
// needs.
func Build(dir string) (string, error) {
	file, library := filepath.Join(dir, "faults.c"), filepath.Join(dir, "faults.so")
	if err := os.WriteFile(file, source, 0o600); err != nil {
		return "", fmt.Errorf("system call faults: %w", err)
	}
	compile := exec.Command("cc", "-shared", "-fPIC", "-O2", "-Wall", "-o", library, file)
	if output, err := compile.CombinedOutput(); err != nil {
		return "", fmt.Errorf("system call faults: %w: %s", err, output)
	}
	return library, nil
}

// Environment is what a process is started with to meet the faults.
func (f Faults) Environment(library string) []string {
	variable := func(name string, value int64) string { return name + "=" + strconv.FormatInt(value, 10) }
	return []string{
		"LD_PRELOAD=" + library,
		variable("FAULTS_SEED", f.Seed),
		variable("FAULTS_SHORT", int64(f.Short)),
		variable("FAULTS_INTERRUPTED", int64(f.Interrupted)),
		variable("FAULTS_ERRORS", int64(f.Errors)),
		variable("FAULTS_CLOCK_STEP_MS", f.ClockStep.Milliseconds()),
		variable("FAULTS_CLOCK_STEP_AFTER_MS", f.ClockStepAfter.Milliseconds()),
	}
}
