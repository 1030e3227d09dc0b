package cli

import (
	"context"
	"fmt"
	"sync"

	"plumspindle/internal/faultsearch"
)

type simMutants struct {
	MaxSeeds int    `name:"most" default:"1000" help:"Maximum number of seeds to try for each mutant."`
	Mutant   string `name:"only" help:"Run this mutant only, by its name or number."`
	Shrink   bool   `name:"small" help:"Shrink the scenario that detects each mutant, and print the number of faults left in it."`
}

// detection is the lowest seed whose scenario detects a mutant, and the failure that shows it. The seed is 0 if no
// scenario detects the mutant.
type detection struct {
	seed    int64
	failure string
}

// Run prints the lowest seed that detects each mutant. A mutant that no seed detects is an error.
func (c *simMutants) Run(ctx context.Context, env *environment) error {
	missed := 0
	for i, mutant := range faultsearch.Mutants() {
		if c.Mutant != "" && !mutantMatches(c.Mutant, mutant, i+1) {
			continue
		}
		found, err := c.search(ctx, i)
		if err != nil {
			return err
		}
		if found.seed == 0 {
			missed++
			env.printf("%2d %-46s not detected in %d seeds\n", i+1, mutant.Name, c.MaxSeeds)
			continue
		}
		env.printf("%2d %-46s seed %d: %.110s\n", i+1, mutant.Name, found.seed, found.failure)
		if c.Shrink {
			if err := shrinkDetection(env, i, found.seed); err != nil {
				return err
			}
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d mutants were not detected", missed)
	}
	return nil
}

// search returns the lowest seed that detects a mutant. Each run gets its own instance of the mutant, because mutants
// keep counters.
func (c *simMutants) search(ctx context.Context, index int) (detection, error) {
	var mu sync.Mutex
	var found detection
	seeds := seedRange{first: 1, last: int64(c.MaxSeeds)}
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
		if len(outcome.Failures) > 0 && (found.seed == 0 || seed < found.seed) {
			found = detection{seed: seed, failure: outcome.Failures[0]}
		}
		return nil
	})
	return found, err
}

// shrinkDetection shrinks the scenario that detects a mutant and prints its size.
func shrinkDetection(env *environment, index int, seed int64) error {
	script := faultsearch.Draw(seed, faultsearch.DefaultSize)
	shrunk, runs, err := faultsearch.Shrink(script, faultsearch.Mutants()[index], nil)
	if err != nil {
		return err
	}
	env.printf("   shrunk in %d runs to %d faults, %d s, %.1f requests a second\n",
		runs, len(shrunk.Troubles), shrunk.Seconds, shrunk.Rate)
	return nil
}
