package faultsearch

import (
	"fmt"
	"strings"
	"testing"

	"plumspindle/internal/deployment/pb"
)

// coldDay has all readers restart under so much traffic that only the rule on cold hosts holds it back.
func coldDay(seed int64) *pb.Day {
	return &pb.Day{Name: "cold", Seconds: 6, Rate: 200, World: &pb.World{Seed: seed, Dispatchers: 4, LatencyUs: 300},
		Troubles: []*pb.Day_Trouble{{Kind: "mass_restart", AtMs: 3000, ForMs: 300, HostKind: "prefill", Share: 1}}}
}

// rejected are planted faults by the rule that they break, each with the seed at which it was seen to break that rule alone.
var rejected = []struct {
	rule  int
	plant string
	seed  int64
	day   func(seed int64) *pb.Day
}{
	{1, "a termination is forgotten", 12, usualDay},
	{1, "a throttling is forgotten", 14, usualDay},
	{2, "throttled in place of terminated", 12, usualDay},
	{2, "side effects are taken for none", 23, usualDay},
	{3, "drains are not heard", 12, usualDay},
	{4, "cold credit is ten times as much", 8, coldDay},
	{5, "a state is never let go", 12, usualDay},
}

func usualDay(seed int64) *pb.Day { return Draw(seed, DefaultSize) }

// only tells whether a day broke one rule and nothing else.
func only(o *Outcome, rule int) bool {
	for _, f := range o.Faults {
		if !strings.HasPrefix(f, fmt.Sprintf("rule %d:", rule)) {
			return false
		}
	}
	return len(o.Faults) > 0
}

// For each rule there are days of the real code with one fault planted that are rejected for that rule and for nothing else; the
// same day without the fault passes, and the rule was looked at in both. A change of the program moves what a seed meets, so the
// next seeds are tried too.
func TestRejectedForTheRuleAlone(t *testing.T) {
	several(0, int64(len(rejected)-1), func(i int64) {
		c := rejected[i]
		for tried := int64(0); tried < 25; tried++ {
			seed := c.seed
			if tried > 0 {
				seed = tried
			}
			for _, p := range Mutants() {
				if p.Name != c.plant {
					continue
				}
				bad, err := Run(c.day(seed), p)
				if err != nil || !only(bad, c.rule) {
					continue
				}
				good, err := Run(c.day(seed), nil)
				if err != nil || len(good.Faults) > 0 || good.Verdict.Rules[c.rule-1].Checked == 0 || bad.Verdict.Rules[c.rule-1].Checked == 0 {
					continue
				}
				t.Logf("rule %d, %s, seed %d: %s", c.rule, c.plant, seed, bad.Faults[0])
				return
			}
		}
		t.Errorf("rule %d: with %q no day was rejected for that rule alone", c.rule, c.plant)
	})
}
