package cli

import (
	"context"
	"fmt"
	"sync"

	"plumspindle/internal/faultsearch"
)

type simMutants struct {
	Most  int    `default:"1000" help:"Seeds to try for each."`
	Only  string `help:"One fault only, by its name or number."`
	Small bool   `help:"Shrink the scenario that finds each, and say how many faults are left."`
}

// detection is the first seed whose scenario finds a mutant, and how that scenario fails; the seed is 0 where none
// does.
type detection struct {
	seed    int64
	failure string
}

// Run counts the seeds until each mutant is found.
func (c *simMutants) Run(ctx context.Context, env *environment) error {
	missed := 0
	for i, mutant := range faultsearch.Mutants() {
		if c.Only != "" && !isMutant(c.Only, mutant, i+1) {
			continue
		}
		found, err := c.search(ctx, i)
		if err != nil {
			return err
		}
		if found.seed == 0 {
			missed++
			env.printf("%2d %-46s not found in %d seeds\n", i+1, mutant.Name, c.Most)
			continue
		}
		env.printf("%2d %-46s seed %d: %.110s\n", i+1, mutant.Name, found.seed, found.failure)
		if c.Small {
			if err := shrinkDetection(env, i, found.seed); err != nil {
				return err
			}
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d planted faults were not found", missed)
	}
	return nil
}

// search returns the lowest seed that finds a mutant. Each run gets a mutant of its own, as mutants count what they
// meet.
func (c *simMutants) search(ctx context.Context, index int) (detection, error) {
	var mu sync.Mutex
	var found detection
	seeds := seedRange{first: 1, last: int64(c.Most)}
	err := seeds.forEach(ctx, 0, func(seed int64) error {
		mu.Lock()
		superseded := found.seed > 0 && found.seed < seed
		mu.Unlock()
		if superseded {
			return nil
		}
		outcome, err := faultsearch.Run(faultsearch.Draw(seed, faultsearch.DefaultSize), faultsearch.Mutants()[index])
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		if len(outcome.Faults) > 0 && (found.seed == 0 || seed < found.seed) {
			found = detection{seed: seed, failure: outcome.Faults[0]}
		}
		return nil
	})
	return found, err
}

func shrinkDetection(env *environment, index int, seed int64) error {
	script := faultsearch.Draw(seed, faultsearch.DefaultSize)
	least, tried, err := faultsearch.Shrink(script, faultsearch.Mutants()[index], nil)
	if err != nil {
		return err
	}
	env.printf("   shrunk in %d days to %d troubles, %d s, %.1f generations a second\n",
		tried, len(least.Troubles), least.Seconds, least.Rate)
	return nil
}
