package scenarios

import (
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/testbed/audit"
)

// parseScript parses the script of a scenario.
func parseScript(t *testing.T, text string) *pb.Day {
	t.Helper()
	script, err := ReadScript(t.Name(), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return script
}

// runCleanly runs a scenario in virtual time and fails the test on any audit violation or request left open.
func runCleanly(t *testing.T, run *Run, segment int) (verdict *audit.Verdict, trace uint64) {
	t.Helper()
	outcome, err := run.RunVirtual(segment)
	if err != nil {
		t.Fatal(err)
	}
	if !outcome.Passed() {
		t.Errorf("scenario %s, seed %d, %d dispatchers: %d requests open\n%s",
			run.Script.Name, run.Seed, run.Dispatchers, outcome.OpenRequests, outcome.Verdict.Text())
	}
	return outcome.Verdict, outcome.Trace
}

// runBuiltin runs a built-in scenario and returns the hash of the run. The test fails if there was too little traffic
// or service for the audit to be meaningful.
func runBuiltin(t *testing.T, name string, seed int64, segment int) uint64 {
	t.Helper()
	const minAsked, minService = 200, 0.2
	script, err := Find(name)
	if err != nil {
		t.Fatal(err)
	}
	run := &Run{Script: script, Deployment: deployment.Standard(), Dispatchers: 3, Seed: seed}
	verdict, trace := runCleanly(t, run, segment)
	if verdict.Rows[0].Requests < minAsked || verdict.RevenueShare < minService {
		t.Errorf("scenario %s, seed %d: too little traffic or service for the audit\n%s", name, seed, verdict.Text())
	}
	return trace
}

// Each built-in scenario, in virtual time, must pass the audit and leave no request open.
func TestBuiltinScenariosKeepTheRules(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runBuiltin(t, name, 1, 0)
			runBuiltin(t, name, 2, 700)
		})
	}
}

// Two runs with the same seed must have the same trace hash, which covers the arrival of every segment.
func TestSameSeedIsTheSameRun(t *testing.T) {
	first, second := runBuiltin(t, combinedFaultsScenario, 5, 300), runBuiltin(t, combinedFaultsScenario, 5, 300)
	if first != second {
		t.Errorf("two runs of one seed differ: %x, %x", first, second)
	}
}
