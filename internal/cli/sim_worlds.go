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
	Depth       int    `default:"12" help:"Number of deliveries that are tried both on time and late."`
	DelayMicros int64  `name:"late" default:"4000" help:"Delay of a late delivery in µs."`
	Fault       string `name:"trouble" help:"Fault to inject as well, such as crash, drain or kill_at; none if not given."`
}

const (
	maxInterleavingDepth = 24
	maxPrintedFailures   = 5
)

// Run runs a small simulated deployment in all orders of its first message deliveries and prints the failures.
func (c *simInterleavings) Run(env *environment) error {
	if c.Depth < 1 || c.Depth > maxInterleavingDepth || c.DelayMicros < 1 {
		return fmt.Errorf("sim: --depth must be from 1 to %d and --late above 0", maxInterleavingDepth)
	}
	var faults []*pb.Day_Trouble
	if c.Fault != "" {
		if !slices.Contains(scenarios.FaultKinds(), c.Fault) {
			return fmt.Errorf("sim: there is no fault %q", c.Fault)
		}
		faults = append(faults, &pb.Day_Trouble{Kind: c.Fault, AtMs: 300, ForMs: 200, Share: 0.4, Factor: 0.5, Step: 30})
	}
	startTime, lastReport := time.Now(), time.Now()
	reportProgress := func(result *faultsearch.Interleavings) {
		if time.Since(lastReport) > progressInterval {
			lastReport = time.Now()
			env.reportf("%d runs, %d states, %d failures\n", result.Runs, result.States, len(result.Failures))
		}
	}
	result, err := faultsearch.Explore(c.Depth, eventloop.Micros(c.DelayMicros), faults, reportProgress)
	if err != nil {
		return err
	}
	env.printf("%d runs in %.1f s, %d distinct states, %d choices pruned because their state was known; %d failures\n",
		result.Runs, time.Since(startTime).Seconds(), result.States, result.Pruned, len(result.Failures))
	for _, failure := range result.Failures[:min(len(result.Failures), maxPrintedFailures)] {
		env.print(failure, "\n")
	}
	if len(result.Failures) > 0 {
		return errRuleViolated
	}
	return nil
}

type simLarge struct {
	Dispatchers int     `default:"160" help:"Number of dispatchers."`
	Rate        float64 `default:"160" help:"Requests a second."`
	Seconds     int     `name:"for" default:"10" help:"Length of the scenario in seconds."`
	Restart     bool    `help:"Restart all prefill endpoints at once, after three tenths of the run."`
}

// largeEndpointsPerZone is the number of endpoints in each zone of the large deployment, by the kind of their group.
var largeEndpointsPerZone = map[string]uint32{"prefill": 11, "decode": 11, "mixed": 5}

// Run runs a large simulated deployment and prints the verdict and the speed of the simulation.
func (c *simLarge) Run(env *environment) error {
	if c.Dispatchers < 1 || c.Rate <= 0 || c.Seconds < 1 {
		return errors.New("sim: --dispatchers, --rate and --for must be above 0")
	}
	dep := deployment.Standard()
	for _, group := range dep.Fleet.Groups {
		group.HostsPerZone = largeEndpointsPerZone[group.Kind]
	}
	script := &pb.Day{Name: "large", Seconds: uint32(c.Seconds), Rate: c.Rate}
	if c.Restart {
		const restartMsPerSecond = 300 // the restart begins after this many ms for each second of the run
		script.Troubles = append(script.Troubles, &pb.Day_Trouble{Kind: "mass_restart", HostKind: "prefill", Share: 1,
			AtMs: uint32(c.Seconds) * restartMsPerSecond, ForMs: 1000})
	}
	run := &scenarios.Run{Script: script, Deployment: dep, Dispatchers: c.Dispatchers, Seed: 1}
	startTime := time.Now()
	outcome, err := run.RunVirtual(0)
	if err != nil {
		return err
	}
	elapsedSeconds := time.Since(startTime).Seconds()
	env.print(outcome.Verdict.Text())
	env.printf("%d dispatchers, 54 endpoints, %.0f requests a second for %d s: %.1f s, %.1f times real time; "+
		"%d steps, %.0f a second; %d requests left open\n",
		c.Dispatchers, c.Rate, c.Seconds, elapsedSeconds, float64(c.Seconds)/elapsedSeconds,
		run.Steps, float64(run.Steps)/elapsedSeconds, outcome.OpenRequests)
	if !outcome.Passed() {
		return errRuleViolated
	}
	return nil
}
