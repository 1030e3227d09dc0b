package cli

import (
	"context"
	"fmt"
	"os"

	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/scenarios"
)

// maxLocalDispatchers is how many dispatcher processes one machine can run.
const maxLocalDispatchers = 64

type scenarioCommand struct {
	Name        string `arg:"" help:"A built-in scenario (${days}) or a file with a scenario's script. Faults that a script may name: ${troubles}."`
	Seed        int64  `default:"1" help:"Seed of all random choices."`
	Record      string `type:"path" help:"Folder that the record of the scenario is written to."`
	Dispatchers int    `default:"3" help:"Number of dispatchers, each a process of its own."`
	Virtual     bool   `help:"Run in virtual time, in this one process: the same code, no real waiting, the same run from the same seed."`
	Keyed       bool   `help:"Clients send Idempotency-Keys and repeat what was cut off, at the same dispatcher."`
	Intents     bool   `help:"Dispatchers record intents across their incarnations."`
	Segment     int    `help:"With --virtual: bytes that arrive in one segment at most, cut at random; 0 for no cuts."`
	Deployment  string `type:"existingfile" help:"Deployment with a fleet; the built-in one if none is given. Its tenants are replaced by three of the scenario's own."`
}

// Run runs the scenario; a broken rule is an error.
func (c *scenarioCommand) Run(ctx context.Context, env *environment) error {
	script, err := scenarios.Find(c.Name)
	if err != nil {
		return err
	}
	if c.Dispatchers < 1 || c.Dispatchers > maxLocalDispatchers {
		return fmt.Errorf("day: %d dispatchers; from 1 to %d can be played on one machine", c.Dispatchers,
			maxLocalDispatchers)
	}
	dep, err := loadDeployment(c.Deployment)
	if err != nil {
		return err
	}
	binary, err := os.Executable()
	if err != nil {
		return fmt.Errorf("path of this program: %w", err)
	}
	run := &scenarios.Run{Script: script, Deployment: dep, Dispatchers: c.Dispatchers, Seed: c.Seed, Binary: binary,
		RecordDir: c.Record, Progress: env.stderr, Keyed: c.Keyed, Intents: c.Intents}
	if c.Virtual {
		return c.runVirtual(env, run)
	}
	verdict, err := run.Run(ctx)
	return printVerdict(env, verdict, err)
}

func (c *scenarioCommand) runVirtual(env *environment, run *scenarios.Run) error {
	outcome, err := run.RunVirtual(c.Segment)
	if err != nil {
		return err
	}
	env.printf("in virtual time, trace %016x\n", outcome.Trace)
	if outcome.OpenRequests > 0 {
		err = fmt.Errorf("%d generations were left over in the dispatchers", outcome.OpenRequests)
	}
	return printVerdict(env, outcome.Verdict, err)
}

// printVerdict prints a verdict, if there is one; the run's own error goes before a broken rule.
func printVerdict(env *environment, verdict *audit.Verdict, err error) error {
	if verdict != nil {
		env.print(verdict.Text())
	}
	if err != nil {
		return err
	}
	if !verdict.Passed() {
		return errRuleBroken
	}
	return nil
}

type auditCommand struct {
	Dir string `arg:"" type:"existingdir" help:"Folder that a scenario was recorded in."`
}

// Run audits the record.
func (c *auditCommand) Run(env *environment) error {
	verdict, err := scenarios.JudgeRecorded(c.Dir)
	return printVerdict(env, verdict, err)
}
