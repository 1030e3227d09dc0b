// Package syscallfaults injects faults into the system calls of another process: errors, interruptions, and reads and
// writes that transfer only a part. It also steps that process's wall clock.
//
// It works from outside the process, with a library that is preloaded into it and with its resource limits, so that the
// program under test is the one that is released. It owns the library's source and the environment variables that
// configure it, and relies on a C compiler. It never affects the system calls of the process that uses it.
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

// Faults describes the faults that are injected into a process. Rates are per thousand calls.
type Faults struct {
	Seed        int64
	Short       int // reads and writes of TCP sockets that transfer only a part
	Interrupted int // reads, writes and waits that return EINTR
	Errors      int // calls of accept, socket and connect that fail

	// ClockStep is added to the wall clock once the process has run for ClockStepAfter; the monotonic clock is not
	// changed.
	ClockStep      time.Duration
	ClockStepAfter time.Duration
}

// Build compiles the library into a folder and returns its path. It needs the same C compiler as the build of the
// program itself.
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

// Environment returns the environment variables that inject the faults into a process that is started with them.
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
