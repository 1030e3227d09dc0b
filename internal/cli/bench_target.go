package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/sockets"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/scenarios"
)

const (
	benchKey               = "sk-bench"
	benchStartTimeout      = 10 * time.Second
	benchStartPollInterval = 10 * time.Millisecond
	endpointListPause      = 200 * time.Millisecond // time for the first endpoint list to reach the dispatcher
	clockTick              = 10 * time.Millisecond  // the unit of CPU times in /proc
)

// benchTarget is a dispatcher process under measurement, with the endpoints and the clients that it serves.
type benchTarget struct {
	deployment deployment.Deployment
	dir        string
	fleetLoop  *sockets.Loop
	fleet      *modelserver.Fleet
	clients    *sockets.Loop
	process    *exec.Cmd
	address    string
	logPath    string
}

// finalCounters are the counters that the dispatcher logs when it ends.
type finalCounters struct {
	events, allocations, accepted float64
}

// startTarget starts the endpoints, the clients' event loop and the program's dispatcher.
func (c *benchCommand) startTarget(ctx context.Context, binary string, dep deployment.Deployment) (_ *benchTarget,
	err error) {
	digest := sha256.Sum256([]byte(benchKey))
	dep.Tenants = []*pb.Tenant{{Name: "bench", KeySha256: []string{hex.EncodeToString(digest[:])}}}
	t := &benchTarget{deployment: dep}
	defer func() {
		if err != nil {
			t.cleanUp()
		}
	}()
	if t.dir, err = os.MkdirTemp("", "plumspindle-bench"); err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	if t.fleetLoop, err = sockets.Start(); err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	if t.fleet, err = startFleet(t.fleetLoop, dep, c.Seed, anyLocalPort); err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	if t.clients, err = sockets.Start(); err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	if err = c.startProcess(ctx, t, binary); err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	return t, nil
}

// startProcess starts the dispatcher process and waits until it is ready to serve.
func (c *benchCommand) startProcess(ctx context.Context, t *benchTarget, binary string) error {
	deploymentPath, readyPath := filepath.Join(t.dir, "deployment.textproto"), filepath.Join(t.dir, "ready")
	if err := os.WriteFile(deploymentPath, t.deployment.Text(), 0o600); err != nil {
		return err
	}
	args := []string{"serve", "--deployment", deploymentPath, "--roster", t.fleet.Discovery.Addr, "--listen", anyLocalPort,
		"--ready-file", readyPath, "--seed", strconv.FormatInt(c.Seed, 10)}
	if c.Intents {
		args = append(args, "--state-dir", filepath.Join(t.dir, "state"))
	}
	if c.Profile != "" {
		args = append(args, "--profile", c.Profile)
		c.Profile = "" // profile only the first dispatcher
	}
	t.logPath = filepath.Join(t.dir, "log")
	logs, err := os.Create(t.logPath)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }() // the process has its own copy of the descriptor
	process := exec.CommandContext(ctx, binary, args...)
	process.Stdout, process.Stderr = logs, logs
	if err := process.Start(); err != nil {
		return err
	}
	t.process = process
	var ready scenarios.Ready
	if err := pollFor(ctx, benchStartTimeout, benchStartPollInterval, func() bool {
		content, err := os.ReadFile(readyPath)
		return err == nil && json.Unmarshal(content, &ready) == nil
	}); err != nil {
		text, _ := os.ReadFile(t.logPath)
		return fmt.Errorf("the dispatcher was not ready: %w; its log:\n%s", err, text)
	}
	t.address = strings.TrimPrefix(ready.API, "http://")
	return pause(ctx, endpointListPause)
}

// shutDown stops the dispatcher gracefully, cleans up, and returns its final counters and its CPU time.
func (t *benchTarget) shutDown() (finalCounters, time.Duration) {
	_ = t.process.Process.Signal(syscall.SIGTERM)
	_ = t.process.Wait()
	cpu := t.process.ProcessState.UserTime() + t.process.ProcessState.SystemTime()
	t.process = nil
	text, _ := os.ReadFile(t.logPath)
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	last := gjson.ParseBytes(lines[len(lines)-1])
	t.cleanUp()
	return finalCounters{events: last.Get("events").Float(), allocations: last.Get("allocations").Float(),
		accepted: last.Get("taken").Float()}, cpu
}

// cleanUp stops the dispatcher, the clients and the endpoints, and removes the files. It may be called more than once.
func (t *benchTarget) cleanUp() {
	if t.process != nil {
		_ = t.process.Process.Kill()
		_ = t.process.Wait()
		t.process = nil
	}
	if t.clients != nil {
		t.clients.Stop()
		t.clients = nil
	}
	if t.fleetLoop != nil {
		t.fleetLoop.Stop()
		t.fleetLoop = nil
	}
	if t.dir != "" {
		_ = os.RemoveAll(t.dir) // files left in the temporary folder do no harm
	}
}

// residentBytes returns the resident memory of the dispatcher process, or 0 if it can't be read.
func (t *benchTarget) residentBytes() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", t.process.Process.Pid))
	if err != nil {
		return 0
	}
	var total, pages int64
	_, _ = fmt.Sscan(string(text), &total, &pages)
	return pages * int64(os.Getpagesize())
}

// cpuTime returns the CPU time of the dispatcher process, with the resolution of the kernel's clock tick, or 0 if it
// can't be read.
func (t *benchTarget) cpuTime() time.Duration {
	const userField, systemField = 11, 12 // indices of the fields that follow the command name
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", t.process.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * clockTick
}

// binary returns the path of the program under measurement.
func (c *benchCommand) binary() (string, error) {
	if c.Binary != "" {
		return c.Binary, nil
	}
	return os.Executable()
}
