package cli

import (
	"os"
	"strconv"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/faultsearch"
	"plumspindle/internal/testbed/record"
)

type simReplay struct {
	scenarioSelection
	Trace string `help:"Request (such as g17) or endpoint (such as host:104) whose events are printed."`
}

// Run runs one scenario and prints its script and verdict.
func (c *simReplay) Run(env *environment) error {
	script, mutant, err := c.load()
	if err != nil {
		return err
	}
	outcome, err := faultsearch.Run(script, mutant)
	if err != nil {
		return err
	}
	if c.Trace != "" {
		c.printEvents(env, outcome.Run.Events())
	}
	env.print(scriptText(script), outcome.Verdict.Text())
	env.printf("%d steps, all that happened: %016x\n", outcome.Steps, outcome.TraceHash)
	for _, failure := range outcome.Failures {
		env.print(failure, "\n")
	}
	if len(outcome.Failures) > 0 {
		return errRuleViolated
	}
	return nil
}

// printEvents prints the events of the request or endpoint that --trace names, all injected faults and all kills of
// dispatchers.
func (c *simReplay) printEvents(env *environment, events []record.Event) {
	if len(events) == 0 {
		return
	}
	begin := events[0].At
	for i, event := range events {
		isFault := event.Type == record.FaultInjected || event.Type == record.DispatcherKilled
		if isFault || event.Request == c.Trace || "host:"+strconv.Itoa(int(event.Endpoint)) == c.Trace {
			env.printf("%6d %10.3f ms  %s\n", i+1, float64(event.At-begin)/1000, event.Text())
		}
	}
}

type simShrink struct {
	scenarioSelection
	Out string `type:"path" help:"File that the script is written to; without it the script is printed."`
}

// Run shrinks a failing scenario and writes its script.
func (c *simShrink) Run(env *environment) error {
	script, mutant, err := c.load()
	if err != nil {
		return err
	}
	shrunk, runs, err := faultsearch.Shrink(script, mutant, func(runs int, script *pb.Day) {
		env.reportf("%d runs: %d faults, %d s, %.1f requests a second\n",
			runs, len(script.Troubles), script.Seconds, script.Rate)
	})
	if err != nil {
		return err
	}
	env.reportf("%d runs; %d of %d faults are left\n", runs, len(shrunk.Troubles), len(script.Troubles))
	if c.Out != "" {
		return os.WriteFile(c.Out, []byte(scriptText(shrunk)), 0o644)
	}
	env.print(scriptText(shrunk))
	return nil
}
