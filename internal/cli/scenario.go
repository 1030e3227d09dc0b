package cli

import (
	"context"
	"fmt"
	"os"

	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/scenarios"
)

// maxLocalDispatchers is the largest number of dispatcher processes that a scenario may run on one machine.
const maxLocalDispatchers = 64

type scenarioCommand struct {
	Name        string `arg:"" help:"Built-in scenario (${days}) or file with the script of a scenario. Kinds of faults for scripts: ${troubles}."`
	Seed        int64  `default:"1" help:"Seed of all random choices."`
	Record      string `type:"path" help:"Folder that the record of the scenario is written to."`
	Dispatchers int    `default:"3" help:"Number of dispatchers, each in its own process."`
	Virtual     bool   `help:"Run the same code in virtual time and in this process, without real waiting; the same seed gives the same run."`
	Keyed       bool   `help:"Clients send Idempotency-Keys and retry broken streams at the same dispatcher."`
	Intents     bool   `help:"Dispatchers keep an intent store across their incarnations."`
	Segment     int    `help:"With --virtual: maximum size of a segment in bytes; segments are split at random. 0 for no splitting."`
	Deployment  string `type:"existingfile" help:"File with a deployment that has a fleet; the built-in deployment if none is given. Three tenants of the scenario replace those of the deployment."`
}

// Run runs the scenario and prints the verdict of its audit. A violated rule is an error.
func (c *scenarioCommand) Run(ctx context.Context, env *environment) error {
	script, err := scenarios.Find(c.Name)
	if err != nil {
		return err
	}
	if c.Dispatchers < 1 || c.Dispatchers > maxLocalDispatchers {
		return fmt.Errorf("day: %d dispatchers; one machine can run from 1 to %d", c.Dispatchers,
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
		RecordDir: c.Record, Progress: env.stderr, UseIdempotencyKeys: c.Keyed, StoreIntents: c.Intents}
	if c.Virtual {
		return c.runVirtual(env, run)
	}
	verdict, err := run.Run(ctx)
	return printVerdict(env, verdict, err)
}

// runVirtual runs the scenario in virtual time and prints its trace hash and verdict. A request left open is an error.
func (c *scenarioCommand) runVirtual(env *environment, run *scenarios.Run) error {
	outcome, err := run.RunVirtual(c.Segment)
	if err != nil {
		return err
	}
	env.printf("in virtual time, trace %016x\n", outcome.Trace)
	if outcome.OpenRequests > 0 {
		err = fmt.Errorf("%d requests were left open in the dispatchers", outcome.OpenRequests)
	}
	return printVerdict(env, outcome.Verdict, err)
}

// printVerdict prints a verdict, if there is one. It returns err if that is not nil, or errRuleViolated if the run did
// not pass its audit.
func printVerdict(env *environment, verdict *audit.Verdict, err error) error {
	if verdict != nil {
		env.print(verdict.Text())
	}
	if err != nil {
		return err
	}
	if !verdict.Passed() {
		return errRuleViolated
	}
	return nil
}

type auditCommand struct {
	Dir string `arg:"" type:"existingdir" help:"Folder with the record of a scenario."`
}

// Run audits the record of a scenario and prints the verdict.
func (c *auditCommand) Run(env *environment) error {
	verdict, err := scenarios.JudgeRecorded(c.Dir)
	return printVerdict(env, verdict, err)
}
