package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"plumspindle/internal/testbed/syscallfaults"
)

// stopTimeout returns how long a dispatcher may take to exit after SIGTERM. The requests that it accepted are answered
// by their deadlines, but a stream that has begun by its deadline may stall, and is ended 4.2 s later.
func (p Plan) stopTimeout() time.Duration { return p.Deadline + stopGrace + 5*time.Second }

const (
	// stopGrace is a span that begins at SIGTERM. A request that arrives within it may still be unanswered at SIGKILL.
	stopGrace = 700 * time.Millisecond
	// maxDeadlineBeforeKill is the longest time that requests get to reach their deadlines before SIGKILL.
	maxDeadlineBeforeKill = 3 * time.Second
)

// killAfter returns the shortest time after SIGTERM at which SIGKILL may follow.
func (p Plan) killAfter() time.Duration {
	return min(p.Deadline, maxDeadlineBeforeKill) + stopGrace
}

// signalHandlerTime is how long after its start a process may have no signal handlers yet.
const signalHandlerTime = 100 * time.Millisecond

// Limits on the signals that follow a SIGTERM.
const (
	maxFollowUpSignals = 3
	maxSignalPause     = 150 * time.Millisecond // between two signals
)

// Rates of system call faults per thousand calls, and the share of the dispatchers that get them.
const (
	shortPerThousand       = 30
	interruptedPerThousand = 20
	failedPerThousand      = 5
	syscallFaultsOneIn     = 2 // one dispatcher in so many gets system call faults
	clockStepsOneIn        = 4 // one dispatcher in so many gets a step of its wall clock
)

// dispatcher is a dispatcher under test. Whenever it is restarted, a new process replaces the previous one.
type dispatcher struct {
	number      int // from 0
	address     string
	configPath  string
	environment []string // in addition to the test's own
	logs        *timestampedLog

	mu        sync.Mutex // held while the process is stopped, killed or started
	process   *process
	startedAt int64
}

// start starts the program under test as the platform does. The caller holds the lock.
func (d *dispatcher) start(binary string) error {
	cmd := exec.Command(binary, "--log-level", "debug", "platform")
	cmd.Env = append(append(os.Environ(), "BALANCER_CONFIG="+d.configPath), d.environment...)
	cmd.Stderr = d.logs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start dispatcher %d: %w", d.number, err)
	}
	d.process, d.startedAt = &process{cmd: cmd, exited: make(chan struct{})}, now()
	go d.process.wait()
	return nil
}

// signal sends a signal to the current process, which may have ended already.
func (d *dispatcher) signal(s syscall.Signal) { _ = d.process.cmd.Process.Signal(s) }

// addDispatcher adds a dispatcher and starts it.
func (r *run) addDispatcher(number int) error {
	logs, err := newTimestampedLog(filepath.Join(r.Dir, fmt.Sprintf("n%d.log", number)))
	if err != nil {
		return err
	}
	added := &dispatcher{number: number, address: r.address(dispatcherAddress, number, dispatcherPort),
		configPath: filepath.Join(r.Dir, fmt.Sprintf("n%d.json", number)), logs: logs}
	r.dispatchers, r.agentOf = append(r.dispatchers, added), append(r.agentOf, 0)
	if r.SyscallFaults && number%syscallFaultsOneIn == 0 {
		added.environment = r.drawSyscallFaults(number).Environment(r.Library)
	}
	if err := r.writeConfig(added); err != nil {
		return err
	}
	added.mu.Lock()
	defer added.mu.Unlock()
	return added.start(r.Binary)
}

// drawSyscallFaults returns the system call faults of a dispatcher, with a random clock step for some of them.
func (r *run) drawSyscallFaults(number int) syscallfaults.Faults {
	faults := syscallfaults.Faults{Seed: r.Seed + int64(number),
		Short: shortPerThousand, Interrupted: interruptedPerThousand, Errors: failedPerThousand}
	if r.ClockSteps && number%clockStepsOneIn == 0 {
		steps := []time.Duration{-time.Hour, time.Hour, -3 * time.Second, 3 * time.Second}
		faults.ClockStep = steps[r.random.Intn(len(steps))]
		faults.ClockStepAfter = time.Duration(r.random.Int63n(int64(r.Duration)))
	}
	return faults
}

// followUpSignal is a signal that is sent after SIGTERM.
type followUpSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// drawFollowUpSignals draws up to maxFollowUpSignals signals that are sent after a SIGTERM.
func (r *run) drawFollowUpSignals() (followUps []followUpSignal) {
	for range r.random.Intn(maxFollowUpSignals + 1) {
		followUps = append(followUps, followUpSignal{
			after:  time.Duration(r.random.Int63n(int64(maxSignalPause))),
			signal: pick(r.random, []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}),
		})
	}
	return followUps
}

// stopAndRestart sends SIGTERM to a dispatcher and waits until it exits. If it has not exited after killAfter,
// stopAndRestart kills it. In both cases stopAndRestart starts the dispatcher again.
func (r *run) stopAndRestart(stopping *dispatcher, followUps []followUpSignal) {
	stopping.mu.Lock()
	defer stopping.mu.Unlock()
	stoppedAt := now()
	r.record.add(Event{Kind: Stopped, Dispatcher: stopping.address})
	kill := time.After(r.killAfter())
	stopping.signal(syscall.SIGTERM)
	for _, next := range followUps {
		time.Sleep(next.after)
		stopping.signal(next.signal)
	}
	select {
	case <-stopping.process.exited:
		r.checkExit(stopping, stoppedAt)
	case <-kill:
		r.record.add(Event{Kind: Killed, Dispatcher: stopping.address, Value: stoppedAt})
		stopping.process.kill()
	}
	r.record.add(Event{Kind: Ended, Dispatcher: stopping.address})
	r.restart(stopping)
}

// shutDown sends SIGTERM to a dispatcher at the end of a run, and kills it only after stopTimeout.
func (r *run) shutDown(stopping *dispatcher) {
	stopping.mu.Lock()
	defer stopping.mu.Unlock()
	stoppedAt := now()
	r.record.add(Event{Kind: Stopped, Dispatcher: stopping.address})
	stopping.signal(syscall.SIGTERM)
	select {
	case <-stopping.process.exited:
		r.checkExit(stopping, stoppedAt)
	case <-time.After(r.stopTimeout()):
		r.addFinding(ruleOneAnswer, "dispatcher %d has not exited %v after SIGTERM", stopping.number, r.stopTimeout())
		r.kill(stopping)
	}
	r.record.add(Event{Kind: Ended, Dispatcher: stopping.address})
}

// checkExit checks that a dispatcher exited without an error after SIGTERM. If the process had only just been started,
// SIGTERM may terminate it directly, because its signal handler is not installed yet. Such a process does not listen
// yet either.
func (r *run) checkExit(stopped *dispatcher, stoppedAt int64) {
	err := stopped.process.err
	if err == nil {
		return
	}
	status, known := stopped.process.cmd.ProcessState.Sys().(syscall.WaitStatus)
	uptime := time.Duration(stoppedAt-stopped.startedAt) * time.Microsecond
	if known && status.Signal() == syscall.SIGTERM && uptime < signalHandlerTime {
		return
	}
	r.addFinding(ruleCrash, "dispatcher %d exited with %v after an uptime of %v", stopped.number, err, uptime)
}

// kill kills a dispatcher. The caller holds its lock.
func (r *run) kill(d *dispatcher) {
	r.record.add(Event{Kind: Killed, Dispatcher: d.address})
	d.process.kill()
}

// restart starts a dispatcher that has ended. The caller holds its lock.
func (r *run) restart(d *dispatcher) {
	if err := d.start(r.Binary); err != nil {
		r.addFinding(ruleCrash, "dispatcher %d could not be restarted: %v", d.number, err)
	}
}
