package faultsearch

import (
	"fmt"
	"strings"
	"testing"

	"plumspindle/internal/deployment/pb"
)

// massRestart returns a script in which all prefill endpoints restart under so much traffic that only the rule on slow
// start limits what they get.
func massRestart(seed int64) *pb.Day {
	return &pb.Day{Name: "cold", Seconds: 6, Rate: 200, World: &pb.World{Seed: seed, Dispatchers: 4, LatencyUs: 300},
		Troubles: []*pb.Day_Trouble{{Kind: "mass_restart", AtMs: 3000, ForMs: 300, HostKind: "prefill", Share: 1}}}
}

// drawDefault returns the script of a seed in the default size.
func drawDefault(seed int64) *pb.Day { return Draw(seed, DefaultSize) }

// breaksOnly reports whether a scenario failed for one rule and for nothing else.
func breaksOnly(outcome *Outcome, rule int) bool {
	for _, failure := range outcome.Failures {
		if !strings.HasPrefix(failure, fmt.Sprintf("rule %d:", rule)) {
			return false
		}
	}
	return len(outcome.Failures) > 0
}

// TestMutantsAreRejectedForTheirRuleAlone checks that the audit can reject a run for each of the rules alone: some
// scenario with a mutant breaks that rule and nothing else, passes without the mutant, and has the rule checked in both
// runs. A change of the program can change which seeds do that, so the test tries others after the known one.
func TestMutantsAreRejectedForTheirRuleAlone(t *testing.T) {
	const maxSeeds = 25
	tests := []struct {
		rule   int
		mutant string
		seed   int64 // known to break that rule alone
		script func(seed int64) *pb.Day
	}{
		{1, "a termination is forgotten", 12, drawDefault},
		{1, "a throttling is forgotten", 14, drawDefault},
		{2, "throttled in place of terminated", 12, drawDefault},
		{2, "side effects are taken for none", 23, drawDefault},
		{3, "drains are not heard", 12, drawDefault},
		{4, "cold credit is ten times as much", 8, massRestart},
		{5, "a state is never let go", 12, drawDefault},
	}
	forEach(0, int64(len(tests)-1), func(index int64) {
		test := tests[index]
		for tried := range int64(maxSeeds) {
			seed := test.seed
			if tried > 0 {
				seed = tried
			}
			if failure := failureOfRuleAlone(test.script(seed), test.mutant, test.rule); failure != "" {
				t.Logf("rule %d, %s, seed %d: %s", test.rule, test.mutant, seed, failure)
				return
			}
		}
		t.Errorf("rule %d: with the mutant %q no scenario broke that rule alone", test.rule, test.mutant)
	})
}

// failureOfRuleAlone returns the failure of a scenario with a mutant. It returns an empty string unless the mutant
// breaks that rule alone, the scenario passes without it, and the audit checked the rule in both runs.
func failureOfRuleAlone(script *pb.Day, mutantName string, rule int) string {
	for _, mutant := range Mutants() {
		if mutant.Name != mutantName {
			continue
		}
		bad, err := Run(script, mutant)
		if err != nil || !breaksOnly(bad, rule) {
			return ""
		}
		good, err := Run(script, nil)
		checked := err == nil && good.Verdict.Rules[rule-1].Checked > 0 && bad.Verdict.Rules[rule-1].Checked > 0
		if checked && len(good.Failures) == 0 {
			return bad.Failures[0]
		}
	}
	return ""
}
