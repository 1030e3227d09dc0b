package faultsearch

import (
	"fmt"
	"strings"
	"testing"

	"plumspindle/internal/deployment/pb"
)

// massRestart has all prefill endpoints restart under so much traffic that only the rule on slow start limits it.
func massRestart(seed int64) *pb.Day {
	return &pb.Day{Name: "cold", Seconds: 6, Rate: 200, World: &pb.World{Seed: seed, Dispatchers: 4, LatencyUs: 300},
		Troubles: []*pb.Day_Trouble{{Kind: "mass_restart", AtMs: 3000, ForMs: 300, HostKind: "prefill", Share: 1}}}
}

func drawDefault(seed int64) *pb.Day { return Draw(seed, DefaultSize) }

// breaksOnly is true if a scenario broke one rule and nothing else.
func breaksOnly(outcome *Outcome, rule int) bool {
	for _, fault := range outcome.Faults {
		if !strings.HasPrefix(fault, fmt.Sprintf("rule %d:", rule)) {
			return false
		}
	}
	return len(outcome.Faults) > 0
}

// For each rule there are scenarios of the real code with one mutant that are rejected for that rule and for nothing
// else; the same scenario without the mutant passes, and the rule was checked in both. A change of the program moves
// what a seed meets, so the next seeds are tried too.
func TestMutantsAreRejectedForTheirRuleAlone(t *testing.T) {
	const maxSeeds = 25
	tests := []struct {
		rule   int
		mutant string
		seed   int64 // at which it was seen to break that rule alone
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
			if fault := rejection(test.script(seed), test.mutant, test.rule); fault != "" {
				t.Logf("rule %d, %s, seed %d: %s", test.rule, test.mutant, seed, fault)
				return
			}
		}
		t.Errorf("rule %d: with %q no scenario was rejected for that rule alone", test.rule, test.mutant)
	})
}

// rejection is the fault for which a mutant's scenario is rejected; it is empty unless the mutant breaks that rule
// alone, and the scenario without it passes.
func rejection(script *pb.Day, mutantName string, rule int) string {
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
		if checked && len(good.Faults) == 0 {
			return bad.Faults[0]
		}
	}
	return ""
}
