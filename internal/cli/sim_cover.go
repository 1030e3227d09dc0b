package cli

import (
	"context"
	"sync"

	"plumspindle/internal/faultsearch"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/testbed/scenarios"
)

type simCover struct {
	Seeds string `default:"1-300" help:"Seeds, as FIRST-LAST."`
}

// Run runs a scenario for each seed and prints the transitions that none reached.
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
		for _, pair := range pairsOfFaults(script) {
			pairs[pair] = true
		}
		return nil
	})
	if err != nil {
		return err
	}
	defined, covered := printUnreached(env, reached)
	kinds := len(scenarios.FaultKinds())
	env.printf("%d of the path's %d cells reached; %d of %d pairs of troubles within a second played\n",
		covered, defined, len(pairs), kinds*(kinds+1)/2)
	return nil
}

// printUnreached prints the transitions that were never taken, and counts those that exist and those that were taken.
func printUnreached(env *environment, reached lifecycle.Coverage) (defined, covered int) {
	for state := range lifecycle.Transitions {
		for event, transition := range lifecycle.Transitions[state] {
			switch {
			case !transition.Defined:
				continue
			case reached[state][event] > 0:
				covered++
			default:
				env.printf("never: %v in %v\n", lifecycle.Event(event), lifecycle.State(state))
			}
			defined++
		}
	}
	return defined, covered
}
