package scenarios

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"plumspindle/internal/sockets"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/load"
	"plumspindle/internal/testbed/record"
)

const (
	drainTimeout     = 30 * time.Second // limit for the calls that are in flight when the load stops
	loadPollInterval = 500 * time.Millisecond
	pollsPerReport   = 10
)

// socketRun is the additional state of a run over sockets.
type socketRun struct {
	dir       string // for temporary files
	processes []*process
	stopping  chan struct{} // closed when the dispatchers are to be stopped
	restarts  sync.WaitGroup
}

// Run runs the scenario over sockets, with one process for each dispatcher, and audits it.
func (r *Run) Run(ctx context.Context) (verdict *audit.Verdict, err error) {
	for i, fault := range r.Script.Troubles {
		if virtualInjectors[fault.Kind] != nil {
			return nil, fmt.Errorf("scenario %s: troubles[%d]: %s can be injected in virtual time only",
				r.Script.Name, i, fault.Kind)
		}
	}
	text, err := r.prepare()
	if err != nil {
		return nil, err
	}
	r.sockets = &socketRun{stopping: make(chan struct{})}
	if r.sockets.dir, err = os.MkdirTemp("", "plumspindle-day"); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(r.sockets.dir)) }()
	if err := os.WriteFile(filepath.Join(r.sockets.dir, deploymentFile), text, 0o600); err != nil {
		return nil, err
	}
	if err := r.runOverSockets(ctx); err != nil {
		_, _ = r.recorder.Close() // the error of the run is more useful
		return nil, err
	}
	return r.closeAndAudit()
}

// runOverSockets starts loops, endpoints, dispatchers and clients, waits for the end of the load and stops them.
func (r *Run) runOverSockets(ctx context.Context) error {
	fleetLoop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer fleetLoop.Stop()
	clientLoop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer clientLoop.Stop()
	r.fleetLoop, r.clientLoop = fleetLoop, clientLoop
	if err := r.startFleet(); err != nil {
		return err
	}
	defer r.fleetLoop.Do(r.fleet.Close)
	r.fleetLoop.Do(func() { recordDelays(r.fleetLoop, r.recorder, record.EndpointsLoop) })
	r.clientLoop.Do(func() { recordDelays(r.clientLoop, r.recorder, record.ClientsLoop) })
	ctx, cancel := context.WithCancel(ctx)
	defer r.sockets.restarts.Wait()
	defer cancel() // kills dispatchers whose restart completes after the end of the scenario
	err = r.runLoad(ctx)
	return errors.Join(err, r.stopProcesses())
}

// runLoad starts the dispatchers and the load, and waits for the end of the load.
func (r *Run) runLoad(ctx context.Context) error {
	var targets []*load.Target
	for i := range r.Dispatchers {
		dispatcher := &process{run: r, number: i + 1, target: r.newTarget(i)}
		r.sockets.processes = append(r.sockets.processes, dispatcher)
		r.faultTargets = append(r.faultTargets, dispatcher)
		targets = append(targets, dispatcher.target)
		if err := dispatcher.start(ctx); err != nil {
			return err
		}
	}
	r.startLoad(ctx, targets)
	if r.OnLoadStarted != nil {
		var addresses []string
		for _, target := range targets {
			addresses = append(addresses, target.Addr)
		}
		r.OnLoadStarted(addresses)
	}
	return r.waitForLoad(ctx, time.Now())
}

// waitForLoad waits for the duration of the scenario, and then for the calls in flight, at most for drainTimeout.
func (r *Run) waitForLoad(ctx context.Context, startedAt time.Time) error {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	duration := time.Duration(r.Script.Seconds) * time.Second
	for polls := 1; ; polls++ {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
		elapsed := time.Since(startedAt)
		var started, open int
		r.clientLoop.Do(func() {
			if elapsed >= duration {
				r.stopLoad()
			}
			started, open = r.generator.RequestsStarted, r.openCalls()
		})
		if polls%pollsPerReport == 0 {
			r.report("%s: %d of %d s, %d requests started, %d open",
				r.Script.Name, int(elapsed.Seconds()), r.Script.Seconds, started, open)
		}
		if elapsed > duration && (open == 0 || elapsed > duration+drainTimeout) {
			return nil
		}
	}
}

// report writes a line to the progress output, if there is one.
func (r *Run) report(format string, args ...any) {
	if r.Progress != nil {
		_, _ = fmt.Fprintf(r.Progress, format+"\n", args...) // a failed write must not stop the run
	}
}
