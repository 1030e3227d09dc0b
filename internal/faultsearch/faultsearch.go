// Package faultsearch looks for failures that no test was written for. It runs scenarios in virtual time whose faults
// are drawn from a seed, checks the rules and the dispatchers' own state, and reduces a scenario that fails to the
// least that still does.
//
// It owns the drawing, the reduction, the search over orders of delivery, and the mutants by which the checks
// themselves are tested. It relies on testbed/scenarios to run and judge a scenario. It never reads a clock or a random
// source but that of the seed: a seed is always the same scenario, and a scenario always has the same outcome.
package faultsearch

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/scenarios"
)

const (
	// stepsBetweenChecks is how many steps of the world lie between two checks of the dispatchers' own state.
	stepsBetweenChecks = 16

	recoveryMs          = 2500 // after the last fault, until service must be back
	extraHangMs         = 200  // that a silent endpoint is away beyond its fault's duration
	minRecoveryRequests = 5    // in the last second, below which nothing is said of recovery
	recoveryDivisor     = 5    // one in so many of them has to be completed
)

// Outcome is what running a scenario showed.
type Outcome struct {
	Script  *pb.Day
	Faults  []string // each begins with what was broken
	Trace   uint64   // hash of all that happened
	Steps   int
	Reached lifecycle.Coverage
	Verdict *audit.Verdict
	Run     *scenarios.Run
}

// FailureClass returns what was broken first, without its numbers: two scenarios that fail alike have it alike. It is
// empty for a scenario that does not fail.
func (o *Outcome) FailureClass() string {
	if len(o.Faults) == 0 {
		return ""
	}
	name, _, _ := strings.Cut(o.Faults[0], ":")
	return name
}

// Run runs a scenario, with a mutant or, where that is nil, without.
func Run(script *pb.Day, mutant *scenarios.Mutant) (*Outcome, error) {
	outcome := &Outcome{Script: script}
	run := &scenarios.Run{Script: proto.CloneOf(script), Deployment: deployment.Standard(),
		Dispatchers: int(max(script.World.GetDispatchers(), 1)), Seed: script.World.GetSeed(),
		Keyed: script.World.GetKeyed(), Intents: script.World.GetIntents(), Mutant: mutant}
	if mutant != nil && mutant.Run != nil {
		mutant.Run(run)
	}
	steps := 0
	run.AfterStep = func() {
		if steps++; steps%stepsBetweenChecks == 0 && len(outcome.Faults) == 0 {
			if err := run.Check(); err != nil {
				outcome.addFault("own state: %v", err)
			}
		}
	}
	result, err := run.RunVirtual(0)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", script.Name, err)
	}
	outcome.Verdict, outcome.Trace, outcome.Steps, outcome.Run = result.Verdict, result.Trace, run.Steps, run
	outcome.addViolations(result.Verdict)
	if result.OpenRequests > 0 {
		outcome.addFault("left over: %d generations", result.OpenRequests)
	}
	for _, clients := range run.BatchClients {
		if clients.Wrong > 0 {
			outcome.addFault("wrong vectors: %d calls", clients.Wrong)
		}
	}
	outcome.checkRecovery(script, run)
	outcome.addCoverage(run)
	return outcome, nil
}

func (o *Outcome) addFault(format string, args ...any) {
	o.Faults = append(o.Faults, fmt.Sprintf(format, args...))
}

func (o *Outcome) addViolations(verdict *audit.Verdict) {
	for i, rule := range verdict.Rules {
		if len(rule.Violations) > 0 {
			first := rule.Violations[0]
			o.addFault("rule %d: %s (generation %s, line %d; %d in all)",
				i+1, first.Text, first.Request, first.Line, len(rule.Violations))
		}
	}
}

func (o *Outcome) addCoverage(run *scenarios.Run) {
	for _, coverage := range run.Reached {
		for state := range coverage {
			for event, count := range coverage[state] {
				o.Reached[state][event] += count
			}
		}
	}
}

// checkRecovery checks that service has come back: of what was asked in the last second, when no fault has been under
// way for a while, a share must be completed.
func (o *Outcome) checkRecovery(script *pb.Day, run *scenarios.Run) {
	lastFaultEnd := uint32(0)
	for _, fault := range script.Troubles {
		duration := fault.ForMs
		if fault.Kind == "vanish" || fault.Kind == "hang" {
			duration += extraHangMs
		}
		lastFaultEnd = max(lastFaultEnd, fault.AtMs+duration)
	}
	if lastFaultEnd+recoveryMs > script.Seconds*1000 {
		return
	}
	asked, completed := run.CompletedInSecond(int(script.Seconds) - 1)
	if asked >= minRecoveryRequests && completed*recoveryDivisor < asked {
		o.addFault("service does not return: %d of %d streamed in the last second, %d ms after the last trouble",
			completed, asked, script.Seconds*1000-lastFaultEnd)
	}
}
