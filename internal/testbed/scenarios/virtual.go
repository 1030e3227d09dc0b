package scenarios

import (
	"context"
	"errors"
	"fmt"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/load"
	"plumspindle/internal/testbed/record"
	"plumspindle/internal/virtual"
)

const (
	settlingTime  = 100 * eventloop.Millisecond // for the first endpoint lists
	releaseTime   = eventloop.Second            // after the last answer, for what is still to be released
	recoveryGrace = 100 * eventloop.Millisecond // after a dispatcher was unavailable, until its state is checked
)

// virtualRun is what a run in virtual time has beyond Run.
type virtualRun struct {
	network     *virtual.Network
	dispatchers []*virtualDispatcher
	failure     error // of what should have come back
}

// RunVirtual runs the scenario in virtual time, in this one process: the dispatchers' own code, the same stand-ins, the
// same clients. It returns the verdict, how many requests are left over in the dispatchers, and the hash of all that
// happened.
func (p *Run) RunVirtual(segment int) (verdict *audit.Verdict, leftOver int, trace uint64, err error) {
	if _, err := p.prepare(); err != nil {
		return nil, 0, 0, err
	}
	network := virtual.NewNetwork(p.Seed)
	network.MaxSegment = segment
	if world := p.Script.World; world != nil {
		network.Latency, network.MaxSegment = max(eventloop.Micros(world.LatencyUs), 1), int(world.Segment)
	}
	p.recorder.Add(record.Event{At: int64(network.Now()), Type: record.NetworkLatency, Count: int64(network.Latency)})
	if err := p.startWorld(network); err != nil {
		return nil, 0, 0, err
	}
	network.Run(settlingTime)
	network.AfterStep, network.ExtraLatency = p.AfterStep, p.Delay
	leftOver = p.runVirtualLoad()
	verdict, err = p.judge()
	if err = errors.Join(err, p.world.failure); err != nil {
		return nil, leftOver, network.TraceHash, err
	}
	return verdict, leftOver, network.TraceHash, nil
}

// startWorld starts the endpoints and dispatchers on loops in virtual time.
func (p *Run) startWorld(network *virtual.Network) error {
	p.world = &virtualRun{network: network}
	p.fleetLoop, p.clientLoop = network.NewLoop("fleet"), network.NewLoop("crowd")
	if err := p.startFleet(); err != nil {
		return err
	}
	for i := range p.Dispatchers {
		dispatcher := &virtualDispatcher{run: p, number: i + 1, disk: network.NewDisk(), target: p.newTarget(i)}
		if err := dispatcher.start(); err != nil {
			return err
		}
		p.world.dispatchers = append(p.world.dispatchers, dispatcher)
		p.servers = append(p.servers, dispatcher)
	}
	return nil
}

// runVirtualLoad runs the load to its last answer and returns how many requests are left over in the dispatchers.
func (p *Run) runVirtualLoad() (leftOver int) {
	var targets []*load.Target
	for _, dispatcher := range p.world.dispatchers {
		targets = append(targets, dispatcher.target)
	}
	network := p.world.network
	p.startLoad(context.Background(), targets)
	network.Run(eventloop.Micros(p.Script.Seconds) * eventloop.Second)
	p.clientLoop.Do(p.stopLoad)
	network.RunUntil(eventloop.Micros(drainTimeout.Microseconds()), func() bool { return p.openCalls() == 0 })
	network.Run(releaseTime)
	p.Steps = network.Steps
	for _, d := range p.world.dispatchers {
		p.Reached = append(p.Reached, d.dispatcher.Coverage)
		p.Usage = append(p.Usage, d.dispatcher.Usage()...)
		leftOver += d.dispatcher.OpenRequests()
		for _, line := range d.dispatcher.DescribeOpenRequests() {
			p.report("%s", line)
		}
	}
	return leftOver
}

// Check checks the own state of each dispatcher that is up.
func (p *Run) Check() error {
	for _, d := range p.world.dispatchers {
		if d.down || p.world.network.Now() < d.unavailableUntil+recoveryGrace {
			continue
		}
		if err := d.dispatcher.CheckInvariants(); err != nil {
			return fmt.Errorf("dispatcher %s: %w", d.target.Name, err)
		}
	}
	return nil
}

// Summary is what is in flight in the dispatchers and at the endpoints.
func (p *Run) Summary() (lines []string) {
	for _, d := range p.world.dispatchers {
		lines = append(lines, d.target.Name)
		if !d.down {
			lines = append(lines, d.dispatcher.DescribeOpenRequests()...)
		}
	}
	return append(lines, p.fleet.Summary()...)
}
