package scenarios

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/load"
	"plumspindle/internal/testbed/record"
)

const (
	startTimeout      = 15 * time.Second
	startPollInterval = 10 * time.Millisecond
	stopTimeout       = 20 * time.Second
	quotedLogBytes    = 2000

	exitCodeSignalled = -1 // what os.ProcessState reports for a process that was terminated by a signal
)

// process is one dispatcher as a separate process, with all its incarnations. Once the load has started, its fields are
// changed on the fleet's loop only, except that the target's fields are changed on the clients' loop.
type process struct {
	run          *Run
	target       *load.Target
	number       int // counts from 1
	incarnations int
	command      *exec.Cmd
	exited       chan struct{} // closed once the current process has exited
}

// start starts the next incarnation and waits until it serves. The incarnation listens on the address of the previous
// one, if there was one.
func (d *process) start(ctx context.Context) error {
	d.incarnations++
	name := fmt.Sprintf("d%d.%d", d.number, d.incarnations)
	readyPath, logPath := d.path(name+".ready"), d.path(name+".log")
	logs, err := os.Create(logPath)
	if err != nil {
		return fmt.Errorf("dispatcher %s: %w", name, err)
	}
	defer func() { _ = logs.Close() }() // the process has its own file descriptor for the file
	d.command = exec.CommandContext(ctx, d.run.Binary, d.arguments(name, readyPath)...)
	d.command.Stdout, d.command.Stderr = logs, logs
	if err := d.command.Start(); err != nil {
		return fmt.Errorf("dispatcher %s: %w", name, err)
	}
	d.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait() // waitStopped reads the exit code from ProcessState
		close(exited)
	}(d.command, d.exited)
	ready, err := d.waitReady(readyPath, logPath)
	if err != nil {
		return fmt.Errorf("dispatcher %s %w", name, err)
	}
	d.target.Addr, d.target.Name = strings.TrimPrefix(ready.API, "http://"), name
	return nil
}

// path returns the path of a file in the run's temporary folder.
func (d *process) path(name string) string { return filepath.Join(d.run.sockets.dir, name) }

// arguments returns the command line of the next incarnation.
func (d *process) arguments(name, readyPath string) []string {
	run := d.run
	seed := run.Seed*100 + int64(d.number*10+d.incarnations)
	args := []string{"serve", "--deployment", d.path(deploymentFile),
		"--roster", run.fleet.Discovery.Addr, "--zone", d.target.Zone, "--listen", d.target.Addr, "--name", name,
		"--ready-file", readyPath, "--list-file", d.path(fmt.Sprintf("list%d", d.number)),
		"--seed", strconv.FormatInt(seed, 10)}
	if run.StoreIntents {
		args = append(args, "--state-dir", d.path(fmt.Sprintf("state%d", d.number)))
	}
	return args
}

// waitReady waits for the ready file. It fails if the process exits without writing one, or writes none in time.
func (d *process) waitReady(readyPath, logPath string) (ready Ready, err error) {
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	deadline := time.NewTimer(startTimeout)
	defer deadline.Stop()
	for {
		if content, err := os.ReadFile(readyPath); err == nil {
			if err := json.Unmarshal(content, &ready); err != nil {
				return ready, fmt.Errorf("wrote an invalid ready file: %w", err)
			}
			return ready, nil
		}
		select {
		case <-d.exited:
			text, _ := os.ReadFile(logPath)
			return ready, fmt.Errorf("exited during startup: %s", text)
		case <-deadline.C:
			return ready, fmt.Errorf("was not ready within %v", startTimeout)
		case <-ticker.C:
		}
	}
}

// crash kills the process with SIGKILL and starts the next incarnation after the downtime.
func (d *process) crash(ctx context.Context, downtime eventloop.Micros) {
	run, name, exited := d.run, d.target.Name, d.exited
	recordKilled := func() {
		run.recorder.Add(record.Event{At: int64(run.fleetLoop.Now()), Type: record.DispatcherKilled, Dispatcher: name})
	}
	recordKilled()
	_ = d.command.Process.Kill() // it may have exited already
	run.sockets.restarts.Go(func() {
		<-exited
		recordKilled() // once more, because on a busy machine the exit follows the signal by more than the audit's slack
		select {
		case <-ctx.Done():
		case <-run.sockets.stopping:
		case <-time.After(time.Duration(downtime) * time.Microsecond):
			d.restart(ctx)
		}
	})
}

// restart starts the next incarnation. Clients see the incarnation's name only once it serves.
func (d *process) restart(ctx context.Context) {
	run := d.run
	target := *d.target
	next := &process{run: run, number: d.number, incarnations: d.incarnations, target: &target}
	if err := next.start(ctx); err != nil {
		run.report("%v", err)
		return
	}
	run.clientLoop.Do(func() { *d.target = target })
	run.fleetLoop.Do(func() { d.command, d.exited, d.incarnations = next.command, next.exited, next.incarnations })
}

// limitDescriptors limits the process to the file descriptors that it has open plus some spare ones.
func (d *process) limitDescriptors(spare int) (undo func()) {
	pid := d.command.Process.Pid
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	var before unix.Rlimit
	if err != nil || unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before) != nil {
		return func() {} // the process has just exited
	}
	limit := unix.Rlimit{Cur: min(uint64(len(open)+spare), before.Max), Max: before.Max}
	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil) // fails only if the process has just exited
	return func() { _ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil) }
}

// stopProcesses stops the dispatchers gracefully, with SIGTERM, and returns the errors of those that fail to stop.
func (r *Run) stopProcesses() error {
	close(r.sockets.stopping)
	var stopping []process
	r.fleetLoop.Do(func() {
		for _, dispatcher := range r.sockets.processes {
			if dispatcher.exited != nil {
				stopping = append(stopping, *dispatcher)
			}
		}
	})
	for _, dispatcher := range stopping {
		_ = dispatcher.command.Process.Signal(syscall.SIGTERM) // it may have exited already
	}
	var failures []error
	for _, dispatcher := range stopping {
		failures = append(failures, dispatcher.waitStopped())
	}
	return errors.Join(failures...)
}

// waitStopped waits for a process that was sent SIGTERM and checks its exit code. A process that a signal terminated is
// accepted, as a fault may have killed it.
func (d *process) waitStopped() error {
	select {
	case <-d.exited:
	case <-time.After(stopTimeout):
		_ = d.command.Process.Kill()
		return fmt.Errorf("dispatcher %s did not exit after SIGTERM", d.target.Name)
	}
	code := d.command.ProcessState.ExitCode()
	if code == 0 || code == exitCodeSignalled {
		return nil
	}
	text, _ := os.ReadFile(d.path(d.target.Name + ".log"))
	return fmt.Errorf("dispatcher %s exited with code %d: %s",
		d.target.Name, code, text[max(len(text)-quotedLogBytes, 0):])
}
