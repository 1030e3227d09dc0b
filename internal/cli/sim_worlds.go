package cli

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/faultsearch"
	"plumspindle/internal/testbed/scenarios"
)

type simInterleavings struct {
	Depth int    `default:"12" help:"Deliveries whose order is tried both ways."`
	Late  int64  `default:"4000" help:"By how much one of them is late, µs."`
	Fault string `name:"trouble" help:"Fault on top, such as crash, drain or kill_at; none if not given."`
}

const (
	maxInterleavingDepth = 24
	maxPrintedFaults     = 5
)

// Run runs a small world in all orders of its first deliveries.
func (c *simInterleavings) Run(env *environment) error {
	if c.Depth < 1 || c.Depth > maxInterleavingDepth || c.Late < 1 {
		return fmt.Errorf("sim: a depth of 1 to %d, and a delay above 0", maxInterleavingDepth)
	}
	var faults []*pb.Day_Trouble
	if c.Fault != "" {
		if !slices.Contains(scenarios.FaultKinds(), c.Fault) {
			return fmt.Errorf("sim: there is no trouble %q", c.Fault)
		}
		faults = append(faults, &pb.Day_Trouble{Kind: c.Fault, AtMs: 300, ForMs: 200, Share: 0.4, Factor: 0.5, Step: 30})
	}
	began, reported := time.Now(), time.Now()
	result, err := faultsearch.Explore(c.Depth, eventloop.Micros(c.Late), faults, func(result *faultsearch.Interleavings) {
		if time.Since(reported) > progressInterval {
			reported = time.Now()
			env.reportf("%d days, %d states, %d faults\n", result.Runs, result.States, len(result.Faults))
		}
	})
	if err != nil {
		return err
	}
	env.printf("%d days in %.1f s, %d states told apart, %d choices not followed as their state was known; %d faults\n",
		result.Runs, time.Since(began).Seconds(), result.States, result.Pruned, len(result.Faults))
	for _, fault := range result.Faults[:min(len(result.Faults), maxPrintedFaults)] {
		env.print(fault, "\n")
	}
	if len(result.Faults) > 0 {
		return errRuleBroken
	}
	return nil
}

type simLarge struct {
	Dispatchers int     `default:"160" help:"Dispatchers."`
	Rate        float64 `default:"160" help:"Requests a second."`
	For         int     `default:"10" help:"Seconds of the scenario."`
	Restart     bool    `help:"All prefill endpoints restart at once halfway."`
}

// largeEndpointsPerZone is the grown size of each group, by its kind.
var largeEndpointsPerZone = map[string]uint32{"prefill": 11, "decode": 11, "mixed": 5}

// Run runs a world of the grown size.
func (c *simLarge) Run(env *environment) error {
	if c.Dispatchers < 1 || c.Rate <= 0 || c.For < 1 {
		return errors.New("sim: the numbers must be above 0")
	}
	dep := deployment.Standard()
	for _, group := range dep.Fleet.Groups {
		group.HostsPerZone = largeEndpointsPerZone[group.Kind]
	}
	script := &pb.Day{Name: "large", Seconds: uint32(c.For), Rate: c.Rate}
	if c.Restart {
		const shareOfRun = 300 // ms of each second
		script.Troubles = append(script.Troubles, &pb.Day_Trouble{Kind: "mass_restart", HostKind: "prefill", Share: 1,
			AtMs: uint32(c.For) * shareOfRun, ForMs: 1000})
	}
	run := &scenarios.Run{Script: script, Deployment: dep, Dispatchers: c.Dispatchers, Seed: 1}
	began := time.Now()
	outcome, err := run.RunVirtual(0)
	if err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	env.print(outcome.Verdict.Text())
	env.printf("%d dispatchers, 54 hosts, %.0f generations a second for %d s: %.1f s, %.1f times as fast as real; "+
		"%d steps, %.0f a second; %d left over\n", c.Dispatchers, c.Rate, c.For, took, float64(c.For)/took,
		run.Steps, float64(run.Steps)/took, outcome.OpenRequests)
	if !outcome.Passed() {
		return errRuleBroken
	}
	return nil
}
