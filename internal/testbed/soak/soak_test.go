package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"plumspindle/internal/testbed/syscallfaults"
)

// TestMain also serves as the main function of each stand-in process that a run starts.
func TestMain(m *testing.M) {
	if Main() {
		return
	}
	os.Exit(m.Run())
}

// numberFromEnvironment returns the value of an environment variable as a number, or a default.
func numberFromEnvironment(name string, fallback int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return fallback
}

// build builds the program as it is released, and the library that injects system call faults.
func build(t *testing.T) (binary, library string) {
	t.Helper()
	dir := t.TempDir()
	library, err := syscallfaults.Build(dir)
	if err != nil {
		t.Fatal(err)
	}
	if other := os.Getenv("SOAK_BINARY"); other != "" { // another build, for comparison
		return other, library
	}
	binary = filepath.Join(dir, "plumspindle")
	cmd := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", binary, "plumspindle/cmd/plumspindle")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return binary, library
}

// recordDir returns the folder for a run's logs and records: one in SOAK_FOLDER if that is set, or else a temporary
// one.
func recordDir(t *testing.T, seed int) string {
	t.Helper()
	parent := os.Getenv("SOAK_FOLDER")
	if parent == "" {
		return t.TempDir()
	}
	dir := filepath.Join(parent, strconv.Itoa(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestSoak runs SOAK_SEEDS plans of SOAK_SECONDS each, with seeds from SOAK_SEED on; by default, it runs four short
// plans. Logs and records are written to SOAK_FOLDER, if that is set, and stay there.
func TestSoak(t *testing.T) {
	const (
		minRequests = 100
		shortOneIn  = 3 // one plan in so many has short deadlines
		floodOneIn  = 4 // one plan in so many has connection floods
	)
	binary, library := build(t)
	for i := range numberFromEnvironment("SOAK_SEEDS", 4) {
		seed := numberFromEnvironment("SOAK_SEED", 1) + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			deadline := 3 * time.Second
			if seed%shortOneIn == shortOneIn-1 {
				deadline = time.Second
			}
			plan := Plan{
				Seed:              int64(seed),
				Dispatchers:       6,
				Prefills:          6,
				Decodes:           8,
				Clients:           8,
				Duration:          time.Duration(numberFromEnvironment("SOAK_SECONDS", 8)) * time.Second,
				Deadline:          deadline,
				FloodOnStop:       seed%floodOneIn == 0,
				MeanFaultInterval: time.Duration(numberFromEnvironment("SOAK_PAUSE_MS", 350)) * time.Millisecond,
				Binary:            binary,
				Library:           library,
				Dir:               recordDir(t, seed),
				SyscallFaults:     true,
				ClockSteps:        true,
			}
			report, err := plan.Run()
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			if len(report.Findings)+len(report.Violations) > 0 {
				t.Error("rules were broken")
			}
			if report.Requests < minRequests {
				t.Errorf("only %d requests, want at least %d", report.Requests, minRequests)
			}
		})
	}
}
