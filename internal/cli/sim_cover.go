package cli

import (
	"context"
	"sync"

	"plumspindle/internal/faultsearch"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/testbed/scenarios"
)

type simCover struct {
	Seeds string `default:"1-300" help:"Range of seeds, as FIRST-LAST."`
}

// Run runs a scenario for each seed and prints the lifecycle transitions that no scenario reached.
func (c *simCover) Run(ctx context.Context, env *environment) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var reached lifecycle.Coverage
	pairs := map[string]bool{}
	err = seeds.forEach(ctx, 0, func(seed int64) error {
		script := faultsearch.Draw(seed, faultsearch.DefaultSize)
		outcome, err := faultsearch.Run(script, nil)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		for state := range reached {
			for event := range reached[state] {
				reached[state][event] += outcome.Reached[state][event]
			}
		}
		for _, pair := range concurrentFaultPairs(script) {
			pairs[pair] = true
		}
		return nil
	})
	if err != nil {
		return err
	}
	defined, covered := printUnreached(env, reached)
	kinds := len(scenarios.FaultKinds())
	env.printf("%d of %d lifecycle transitions covered; %d of %d pairs of faults within a second covered\n",
		covered, defined, len(pairs), kinds*(kinds+1)/2)
	return nil
}

// printUnreached prints the lifecycle transitions that were never taken, and returns how many are defined and how many
// were taken.
func printUnreached(env *environment, reached lifecycle.Coverage) (defined, covered int) {
	for state := range lifecycle.Transitions {
		for event, transition := range lifecycle.Transitions[state] {
			switch {
			case !transition.Defined:
				continue
			case reached[state][event] > 0:
				covered++
			default:
				env.printf("not reached: event %v in state %v\n", lifecycle.Event(event), lifecycle.State(state))
			}
			defined++
		}
	}
	return defined, covered
}
