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

// stopTimeout is how long a dispatcher may take to end after SIGTERM: what it accepted is answered by its deadline; a
// stream that had begun may fall silent then, and is ended 4.2 s later.
func (p Plan) stopTimeout() time.Duration { return p.Deadline + answeredAfterStop + 5*time.Second }

const (
	// answeredAfterStop is how long after SIGTERM a request may come that need not be answered by the time of SIGKILL.
	answeredAfterStop = 700 * time.Millisecond
	// maxDeadlineToKill is the longest deadline that SIGKILL waits for.
	maxDeadlineToKill = 3 * time.Second
)

// killAfter is the earliest time after SIGTERM at which SIGKILL may follow.
func (p Plan) killAfter() time.Duration {
	return min(p.Deadline, maxDeadlineToKill) + answeredAfterStop
}

// signalHandlerTime is how long after its start a process may have no signal handler.
const signalHandlerTime = 100 * time.Millisecond

// Signals that follow a SIGTERM.
const (
	maxLaterSignals = 3
	maxSignalPause  = 150 * time.Millisecond // between two of them
)

// Rates of faults of system calls, in a thousand calls, and which dispatchers have them.
const (
	shortCalls         = 30
	interruptedCalls   = 20
	failedCalls        = 5
	dispatchersByFault = 2 // one of so many has system calls that fail
	dispatchersByClock = 4 // one of so many has a wall clock that is stepped
)

// dispatcher is a place where a dispatcher runs, one process after the other.
type dispatcher struct {
	number      int // from 0
	address     string
	configPath  string
	environment []string // beside the program's own
	logs        *stampedLog

	mu        sync.Mutex // held while the process is stopped, killed or started
	process   *process
	startedAt int64
}

// start starts the program that was built, with the platform's environment; the lock is held.
func (d *dispatcher) start(binary string) error {
	command := exec.Command(binary, "--log-level", "debug", "platform")
	command.Env = append(append(os.Environ(), "BALANCER_CONFIG="+d.configPath), d.environment...)
	command.Stderr = d.logs
	if err := command.Start(); err != nil {
		return fmt.Errorf("start dispatcher %d: %w", d.number, err)
	}
	d.process, d.startedAt = &process{command: command, exited: make(chan struct{})}, now()
	go d.process.wait()
	return nil
}

// signal sends a signal to the current process, which may have ended already.
func (d *dispatcher) signal(s syscall.Signal) { _ = d.process.command.Process.Signal(s) }

// addDispatcher adds a dispatcher and starts it.
func (r *run) addDispatcher(number int) error {
	logs, err := newStampedLog(filepath.Join(r.Dir, fmt.Sprintf("n%d.log", number)))
	if err != nil {
		return err
	}
	added := &dispatcher{number: number, address: r.address(dispatcherAddress, number, dispatcherPort),
		configPath: filepath.Join(r.Dir, fmt.Sprintf("n%d.json", number)), logs: logs}
	r.dispatchers, r.agentOf = append(r.dispatchers, added), append(r.agentOf, 0)
	if r.SyscallFaults && number%dispatchersByFault == 0 {
		added.environment = r.drawSyscallFaults(number).Environment(r.Library)
	}
	if err := r.writeConfig(added); err != nil {
		return err
	}
	added.mu.Lock()
	defer added.mu.Unlock()
	return added.start(r.Binary)
}

func (r *run) drawSyscallFaults(number int) syscallfaults.Faults {
	faults := syscallfaults.Faults{Seed: r.Seed + int64(number),
		Short: shortCalls, Interrupted: interruptedCalls, Errors: failedCalls}
	if r.ClockSteps && number%dispatchersByClock == 0 {
		steps := []time.Duration{-time.Hour, time.Hour, -3 * time.Second, 3 * time.Second}
		faults.ClockStep = steps[r.random.Intn(len(steps))]
		faults.ClockStepAfter = time.Duration(r.random.Int63n(int64(r.Duration)))
	}
	return faults
}

// laterSignal is a signal that follows SIGTERM.
type laterSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// drawLaterSignals draws what follows a SIGTERM: signals come in series.
func (r *run) drawLaterSignals() (later []laterSignal) {
	for range r.random.Intn(maxLaterSignals + 1) {
		later = append(later, laterSignal{
			after:  time.Duration(r.random.Int63n(int64(maxSignalPause))),
			signal: pick(r.random, []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}),
		})
	}
	return later
}

// stop asks a dispatcher to stop, kills it at the earliest time at which that is allowed, and starts it again.
func (r *run) stop(stopping *dispatcher, later []laterSignal) {
	stopping.mu.Lock()
	defer stopping.mu.Unlock()
	stoppedAt := now()
	r.record.add(Event{Kind: Stopped, Dispatcher: stopping.address})
	kill := time.After(r.killAfter())
	stopping.signal(syscall.SIGTERM)
	for _, next := range later {
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

// end asks a dispatcher to stop at the end of a run, and gives it the time that it needs.
func (r *run) end(stopping *dispatcher) {
	stopping.mu.Lock()
	defer stopping.mu.Unlock()
	stoppedAt := now()
	r.record.add(Event{Kind: Stopped, Dispatcher: stopping.address})
	stopping.signal(syscall.SIGTERM)
	select {
	case <-stopping.process.exited:
		r.checkExit(stopping, stoppedAt)
	case <-time.After(r.stopTimeout()):
		r.addFinding(ruleOneAnswer, "dispatcher %d has not ended %v after SIGTERM", stopping.number, r.stopTimeout())
		r.kill(stopping)
	}
	r.record.add(Event{Kind: Ended, Dispatcher: stopping.address})
}

// checkExit checks how a dispatcher has ended that was asked to stop. One that had only just been started ends by the
// signal itself: no program has a handler from its first instant on, and it has not listened yet.
func (r *run) checkExit(stopped *dispatcher, stoppedAt int64) {
	err := stopped.process.err
	if err == nil {
		return
	}
	status, known := stopped.process.command.ProcessState.Sys().(syscall.WaitStatus)
	uptime := time.Duration(stoppedAt-stopped.startedAt) * time.Microsecond
	if known && status.Signal() == syscall.SIGTERM && uptime < signalHandlerTime {
		return
	}
	r.addFinding(ruleCrash, "dispatcher %d ended with %v, %v after its start", stopped.number, err, uptime)
}

// kill ends a dispatcher at once; its lock is held.
func (r *run) kill(d *dispatcher) {
	r.record.add(Event{Kind: Killed, Dispatcher: d.address})
	d.process.kill()
}

// restart starts a dispatcher that has ended; its lock is held.
func (r *run) restart(d *dispatcher) {
	if err := d.start(r.Binary); err != nil {
		r.addFinding(ruleCrash, "dispatcher %d was not started again: %v", d.number, err)
	}
}
