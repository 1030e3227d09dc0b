// Package faultsearch looks for failures that no test was written for. It generates scenarios with random faults from
// seeds, runs them in virtual time, checks the audit's rules and the dispatchers' invariants, and shrinks a scenario
// that fails to a minimal one that fails in the same way.
//
// The package contains the generator, the shrinker, a search over the orders in which messages are delivered, and the
// mutants that test the checks themselves. Package testbed/scenarios runs and judges the scenarios. Everything here is
// deterministic: no code reads a clock or a random source other than that of the seed, so that a seed always gives the
// same scenario and a scenario always has the same outcome.
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
	// stepsBetweenChecks is the number of simulation steps between two checks of the dispatchers' invariants.
	stepsBetweenChecks = 16

	// recoveryMs is how long after the end of the last fault the dispatchers may take to serve again.
	recoveryMs = 2500
	// restartAllowanceMs is added to the duration of a vanish or hang fault, as the endpoint restarts after it.
	restartAllowanceMs = 200
	// minRecoveryRequests is how many requests of the last second the recovery check needs. With fewer, the check passes.
	minRecoveryRequests = 5
	// recoveryDivisor sets the share of the last second's requests that must be completed: one in recoveryDivisor.
	recoveryDivisor = 5
)

// Outcome is the result of running a scenario.
type Outcome struct {
	Script    *pb.Day
	Failures  []string // failures that the checks found, each as the name of its class, a colon and the details
	TraceHash uint64   // hash of the times and receivers of all segments that arrived
	Steps     int
	Reached   lifecycle.Coverage
	Verdict   *audit.Verdict
	Run       *scenarios.Run
}

// FailureClass returns the class of the first failure, which is its text up to the colon. Two scenarios fail in the
// same way if their classes are equal. It returns an empty string if the scenario passed.
func (o *Outcome) FailureClass() string {
	if len(o.Failures) == 0 {
		return ""
	}
	name, _, _ := strings.Cut(o.Failures[0], ":")
	return name
}

// Run runs a scenario and checks it. If mutant is not nil, Run applies it to the program under test.
func Run(script *pb.Day, mutant *scenarios.Mutant) (*Outcome, error) {
	outcome := &Outcome{Script: script}
	run := &scenarios.Run{Script: proto.CloneOf(script), Deployment: deployment.Standard(),
		Dispatchers: int(max(script.World.GetDispatchers(), 1)), Seed: script.World.GetSeed(),
		UseIdempotencyKeys: script.World.GetKeyed(), StoreIntents: script.World.GetIntents(), Mutant: mutant}
	if mutant != nil && mutant.Run != nil {
		mutant.Run(run)
	}
	steps := 0
	run.AfterStep = func() {
		if steps++; steps%stepsBetweenChecks == 0 && len(outcome.Failures) == 0 {
			if err := run.CheckInvariants(); err != nil {
				outcome.addFailure("invariant violated: %v", err)
			}
		}
	}
	result, err := run.RunVirtual(0)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", script.Name, err)
	}
	outcome.Verdict, outcome.TraceHash, outcome.Steps, outcome.Run = result.Verdict, result.Trace, run.Steps, run
	outcome.addViolations(result.Verdict)
	if result.OpenRequests > 0 {
		outcome.addFailure("requests still open: %d", result.OpenRequests)
	}
	for _, clients := range run.BatchClients {
		if clients.WrongAnswers > 0 {
			outcome.addFailure("wrong batch answers: %d calls", clients.WrongAnswers)
		}
	}
	outcome.checkRecovery(script, run)
	outcome.addCoverage(run)
	return outcome, nil
}

func (o *Outcome) addFailure(format string, args ...any) {
	o.Failures = append(o.Failures, fmt.Sprintf(format, args...))
}

func (o *Outcome) addViolations(verdict *audit.Verdict) {
	for i, rule := range verdict.Rules {
		if len(rule.Violations) > 0 {
			first := rule.Violations[0]
			o.addFailure("rule %d: %s (request %s, line %d of the record; %d violations)",
				i+1, first.Text, first.Request, first.Line, len(rule.Violations))
		}
	}
}

func (o *Outcome) addCoverage(run *scenarios.Run) {
	for _, coverage := range run.LifecycleCoverage {
		for state := range coverage {
			for event, count := range coverage[state] {
				o.Reached[state][event] += count
			}
		}
	}
}

// checkRecovery checks that the dispatchers serve again after the last fault: if that fault ended at least recoveryMs
// before the end of the scenario, a share of the requests that clients sent in the last second must be completed.
func (o *Outcome) checkRecovery(script *pb.Day, run *scenarios.Run) {
	lastFaultEnd := uint32(0)
	for _, fault := range script.Troubles {
		duration := fault.ForMs
		if fault.Kind == "vanish" || fault.Kind == "hang" {
			duration += restartAllowanceMs
		}
		lastFaultEnd = max(lastFaultEnd, fault.AtMs+duration)
	}
	if lastFaultEnd+recoveryMs > script.Seconds*1000 {
		return
	}
	asked, completed := run.CompletedInSecond(int(script.Seconds) - 1)
	if asked >= minRecoveryRequests && completed*recoveryDivisor < asked {
		o.addFailure("no recovery: %d of %d requests of the last second completed, %d ms after the last fault",
			completed, asked, script.Seconds*1000-lastFaultEnd)
	}
}
