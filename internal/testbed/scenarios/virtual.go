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
	initialListTime = 100 * eventloop.Millisecond // for dispatchers to receive their first endpoint list
	releaseTime     = eventloop.Second            // after the last answer, for releases that are still under way
	recoveryGrace   = 100 * eventloop.Millisecond // after an unavailability, before invariants are checked again
)

// virtualRun is the additional state of a run in virtual time.
type virtualRun struct {
	network        *virtual.Network
	dispatchers    []*virtualDispatcher
	restartFailure error // of dispatchers that failed to restart
}

// VirtualOutcome is the result of a run in virtual time.
type VirtualOutcome struct {
	Verdict      *audit.Verdict
	OpenRequests int    // open in the dispatchers at the end; 0 if none was leaked
	Trace        uint64 // hash of the times and receivers of all segments that arrived, in their order
}

// Passed reports whether the audit found no violation and no request was left open.
func (o *VirtualOutcome) Passed() bool { return o.Verdict.Passed() && o.OpenRequests == 0 }

// RunVirtual runs the scenario in virtual time, within this process, with the code of the dispatchers, simulated
// endpoints and clients that also runs over sockets. The network splits data into segments of at most the given number
// of bytes. With 0 bytes there is no limit. If the script defines a world, the limit of the world applies instead.
func (r *Run) RunVirtual(segment int) (*VirtualOutcome, error) {
	if _, err := r.prepare(); err != nil {
		return nil, err
	}
	network := virtual.NewNetwork(r.Seed)
	network.MaxSegment = segment
	if world := r.Script.World; world != nil {
		network.Latency, network.MaxSegment = max(eventloop.Micros(world.LatencyUs), 1), int(world.Segment)
	}
	r.recorder.Add(record.Event{At: int64(network.Now()), Type: record.NetworkLatency, Count: int64(network.Latency)})
	if err := r.startVirtual(network); err != nil {
		return nil, err
	}
	network.Run(initialListTime)
	network.AfterStep, network.ExtraLatency = r.AfterStep, r.ExtraLatency
	return r.finishVirtual()
}

// finishVirtual runs the load on the endpoints and dispatchers that have started, and audits the run.
func (r *Run) finishVirtual() (*VirtualOutcome, error) {
	openRequests := r.runVirtualLoad()
	verdict, err := r.closeAndAudit()
	if err = errors.Join(err, r.virtual.restartFailure); err != nil {
		return nil, err
	}
	return &VirtualOutcome{Verdict: verdict, OpenRequests: openRequests, Trace: r.virtual.network.TraceHash}, nil
}

// startVirtual starts the endpoints and dispatchers on event loops in virtual time.
func (r *Run) startVirtual(network *virtual.Network) error {
	r.virtual = &virtualRun{network: network}
	r.fleetLoop, r.clientLoop = network.NewLoop("fleet"), network.NewLoop("crowd")
	if err := r.startFleet(); err != nil {
		return err
	}
	for i := range r.Dispatchers {
		dispatcher := &virtualDispatcher{run: r, number: i + 1, disk: network.NewDisk(), target: r.newTarget(i)}
		if err := dispatcher.start(); err != nil {
			return err
		}
		r.virtual.dispatchers = append(r.virtual.dispatchers, dispatcher)
		r.faultTargets = append(r.faultTargets, dispatcher)
	}
	return nil
}

// runVirtualLoad runs the load until its last answer and returns how many requests the dispatchers still have open.
func (r *Run) runVirtualLoad() (openRequests int) {
	var targets []*load.Target
	for _, dispatcher := range r.virtual.dispatchers {
		targets = append(targets, dispatcher.target)
	}
	network := r.virtual.network
	r.startLoad(context.Background(), targets)
	network.Run(eventloop.Micros(r.Script.Seconds) * eventloop.Second)
	r.clientLoop.Do(r.stopLoad)
	network.RunUntil(eventloop.Micros(drainTimeout.Microseconds()), func() bool { return r.openCalls() == 0 })
	network.Run(releaseTime)
	r.Steps = network.Steps
	for _, d := range r.virtual.dispatchers {
		r.LifecycleCoverage = append(r.LifecycleCoverage, d.dispatcher.Coverage)
		r.Usage = append(r.Usage, d.dispatcher.Usage()...)
		openRequests += d.dispatcher.OpenRequests()
		for _, line := range d.dispatcher.DescribeOpenRequests() {
			r.report("%s", line)
		}
	}
	return openRequests
}

// CheckInvariants checks the invariants of each dispatcher that is running and has had time to recover from a fault.
func (r *Run) CheckInvariants() error {
	for _, d := range r.virtual.dispatchers {
		if d.down || r.virtual.network.Now() < d.unavailableUntil+recoveryGrace {
			continue
		}
		if err := d.dispatcher.CheckInvariants(); err != nil {
			return fmt.Errorf("dispatcher %s: %w", d.target.Name, err)
		}
	}
	return nil
}

// Summary returns lines that describe what is in flight in the dispatchers and at the endpoints.
func (r *Run) Summary() (lines []string) {
	for _, d := range r.virtual.dispatchers {
		lines = append(lines, d.target.Name)
		if !d.down {
			lines = append(lines, d.dispatcher.DescribeOpenRequests()...)
		}
	}
	return append(lines, r.fleet.Summary()...)
}
