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

// TestMain is also every stand-in that the runs start.
func TestMain(m *testing.M) {
	if Main() {
		return
	}
	os.Exit(m.Run())
}

// number reads one from the environment.
func number(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// build makes the program as it is released, and the library that has system calls fail.
func build(t *testing.T) (binary, library string) {
	t.Helper()
	folder := t.TempDir()
	library, err := syscallfaults.Build(folder)
	if err != nil {
		t.Fatal(err)
	}
	if other := os.Getenv("SOAK_BINARY"); other != "" { // a build to compare with
		return other, library
	}
	binary = filepath.Join(folder, "plumspindle")
	cmd := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", binary, "plumspindle/cmd/plumspindle")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return binary, library
}

// TestSoak plays SOAK_SEEDS runs of SOAK_SECONDS from SOAK_SEED on; a short one where nothing is said. Logs and records stay in
// SOAK_FOLDER, if there is one.
func TestSoak(t *testing.T) {
	binary, library := build(t)
	for i := range number("SOAK_SEEDS", 1) {
		seed := number("SOAK_SEED", 1) + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			folder := t.TempDir()
			if to := os.Getenv("SOAK_FOLDER"); to != "" {
				folder = filepath.Join(to, fmt.Sprint(seed))
				if err := os.MkdirAll(folder, 0o700); err != nil {
					t.Fatal(err)
				}
			}
			plan := Plan{Seed: int64(seed), MeanFaultInterval: time.Duration(number("SOAK_PAUSE_MS", 350)) * time.Millisecond, Dispatchers: 6, Prefills: 6, Decodes: 8, Clients: 8, Duration: time.Duration(number("SOAK_SECONDS", 8)) * time.Second,
				Binary: binary, Library: library, Dir: folder, SyscallFaults: true, ClockSteps: true}
			report, err := plan.Run()
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			if len(report.Findings)+len(report.Violations) > 0 {
				t.Error("rules were broken")
			}
			if report.Requests < 100 {
				t.Errorf("only %d requests", report.Requests)
			}
		})
	}
}
