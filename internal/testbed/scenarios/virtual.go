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
func (r *Run) RunVirtual(segment int) (verdict *audit.Verdict, leftOver int, trace uint64, err error) {
	if _, err := r.prepare(); err != nil {
		return nil, 0, 0, err
	}
	network := virtual.NewNetwork(r.Seed)
	network.MaxSegment = segment
	if world := r.Script.World; world != nil {
		network.Latency, network.MaxSegment = max(eventloop.Micros(world.LatencyUs), 1), int(world.Segment)
	}
	r.recorder.Add(record.Event{At: int64(network.Now()), Type: record.NetworkLatency, Count: int64(network.Latency)})
	if err := r.startWorld(network); err != nil {
		return nil, 0, 0, err
	}
	network.Run(settlingTime)
	network.AfterStep, network.ExtraLatency = r.AfterStep, r.Delay
	leftOver = r.runVirtualLoad()
	verdict, err = r.judge()
	if err = errors.Join(err, r.world.failure); err != nil {
		return nil, leftOver, network.TraceHash, err
	}
	return verdict, leftOver, network.TraceHash, nil
}

// startWorld starts the endpoints and dispatchers on loops in virtual time.
func (r *Run) startWorld(network *virtual.Network) error {
	r.world = &virtualRun{network: network}
	r.fleetLoop, r.clientLoop = network.NewLoop("fleet"), network.NewLoop("crowd")
	if err := r.startFleet(); err != nil {
		return err
	}
	for i := range r.Dispatchers {
		dispatcher := &virtualDispatcher{run: r, number: i + 1, disk: network.NewDisk(), target: r.newTarget(i)}
		if err := dispatcher.start(); err != nil {
			return err
		}
		r.world.dispatchers = append(r.world.dispatchers, dispatcher)
		r.servers = append(r.servers, dispatcher)
	}
	return nil
}

// runVirtualLoad runs the load to its last answer and returns how many requests are left over in the dispatchers.
func (r *Run) runVirtualLoad() (leftOver int) {
	var targets []*load.Target
	for _, dispatcher := range r.world.dispatchers {
		targets = append(targets, dispatcher.target)
	}
	network := r.world.network
	r.startLoad(context.Background(), targets)
	network.Run(eventloop.Micros(r.Script.Seconds) * eventloop.Second)
	r.clientLoop.Do(r.stopLoad)
	network.RunUntil(eventloop.Micros(drainTimeout.Microseconds()), func() bool { return r.openCalls() == 0 })
	network.Run(releaseTime)
	r.Steps = network.Steps
	for _, d := range r.world.dispatchers {
		r.Reached = append(r.Reached, d.dispatcher.Coverage)
		r.Usage = append(r.Usage, d.dispatcher.Usage()...)
		leftOver += d.dispatcher.OpenRequests()
		for _, line := range d.dispatcher.DescribeOpenRequests() {
			r.report("%s", line)
		}
	}
	return leftOver
}

// Check checks the own state of each dispatcher that is up.
func (r *Run) Check() error {
	for _, d := range r.world.dispatchers {
		if d.down || r.world.network.Now() < d.unavailableUntil+recoveryGrace {
			continue
		}
		if err := d.dispatcher.CheckInvariants(); err != nil {
			return fmt.Errorf("dispatcher %s: %w", d.target.Name, err)
		}
	}
	return nil
}

// Summary returns what is in flight in the dispatchers and at the endpoints.
func (r *Run) Summary() (lines []string) {
	for _, d := range r.world.dispatchers {
		lines = append(lines, d.target.Name)
		if !d.down {
			lines = append(lines, d.dispatcher.DescribeOpenRequests()...)
		}
	}
	return append(lines, r.fleet.Summary()...)
}
