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
)

const (
	drainTimeout       = 30 * time.Second // after the load, for the calls that are in flight
	loadPollInterval   = 500 * time.Millisecond
	pollsBetweenReport = 10
)

// socketRun is what a run over sockets has beyond Run.
type socketRun struct {
	dir       string // for temporary files
	processes []*process
	ended     chan struct{} // closed once the dispatchers are asked to stop
	restarts  sync.WaitGroup
}

// Run runs the scenario over sockets, with a process for each dispatcher, and judges it.
func (p *Run) Run(ctx context.Context) (verdict *audit.Verdict, err error) {
	for i, fault := range p.Script.Troubles {
		if virtualInjectors[fault.Kind] != nil {
			return nil, fmt.Errorf("day %s: troubles[%d]: %s can be played in virtual time only", p.Script.Name, i, fault.Kind)
		}
	}
	text, err := p.prepare()
	if err != nil {
		return nil, err
	}
	p.sockets = &socketRun{ended: make(chan struct{})}
	if p.sockets.dir, err = os.MkdirTemp("", "plumspindle-day"); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(p.sockets.dir)) }()
	if err := os.WriteFile(filepath.Join(p.sockets.dir, deploymentFile), text, 0o600); err != nil {
		return nil, err
	}
	if err := p.runOverSockets(ctx); err != nil {
		_, _ = p.recorder.Close() // the run's own error says more
		return nil, err
	}
	return p.judge()
}

// runOverSockets starts everything, waits until the load is over and ends everything.
func (p *Run) runOverSockets(ctx context.Context) error {
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
	p.fleetLoop, p.clientLoop = fleetLoop, clientLoop
	if err := p.startFleet(); err != nil {
		return err
	}
	defer p.fleetLoop.Do(p.fleet.Close)
	ctx, cancel := context.WithCancel(ctx)
	defer p.sockets.restarts.Wait()
	defer cancel() // a dispatcher that comes back too late for the scenario's end goes with it
	err = p.runLoad(ctx)
	return errors.Join(err, p.stopProcesses())
}

// runLoad starts the dispatchers and waits until the load is over.
func (p *Run) runLoad(ctx context.Context) error {
	var targets []*load.Target
	for i := range p.Dispatchers {
		dispatcher := &process{run: p, number: i + 1, target: p.newTarget(i)}
		p.sockets.processes = append(p.sockets.processes, dispatcher)
		p.servers = append(p.servers, dispatcher)
		targets = append(targets, dispatcher.target)
		if err := dispatcher.start(ctx); err != nil {
			return err
		}
	}
	p.startLoad(ctx, targets)
	if p.OnLoadStarted != nil {
		var addresses []string
		for _, target := range targets {
			addresses = append(addresses, target.Addr)
		}
		p.OnLoadStarted(addresses)
	}
	return p.waitForLoad(ctx, time.Now())
}

// waitForLoad waits for the scenario's time, and then for the calls that are in flight.
func (p *Run) waitForLoad(ctx context.Context, started time.Time) error {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	duration := time.Duration(p.Script.Seconds) * time.Second
	for polls := 1; ; polls++ {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
		elapsed := time.Since(started)
		var asked, open int
		p.clientLoop.Do(func() {
			if elapsed >= duration {
				p.stopLoad()
			}
			asked, open = p.generator.Asked, p.openCalls()
		})
		if polls%pollsBetweenReport == 0 {
			p.report("%s: %d of %d s, %d asked, %d open", p.Script.Name, int(elapsed.Seconds()), p.Script.Seconds, asked, open)
		}
		if elapsed > duration && (open == 0 || elapsed > duration+drainTimeout) {
			return nil
		}
	}
}

// report writes a line of progress, if anyone wants it.
func (p *Run) report(format string, args ...any) {
	if p.Progress != nil {
		_, _ = fmt.Fprintf(p.Progress, format+"\n", args...) // progress that nobody reads ends nothing
	}
}
