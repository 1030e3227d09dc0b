package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/faultsearch"
)

type simRun struct {
	Seeds string  `default:"1-300" help:"Seeds, as FIRST-LAST."`
	Jobs  int     `default:"0" help:"Scenarios at once; 0: as many as there are processors."`
	Twice bool    `help:"Run each scenario twice and compare all that happened."`
	Rate  float64 `default:"12" help:"Requests a second, about."`
	For   int     `default:"7" help:"Seconds of a scenario."`
	Save  string  `type:"path" help:"Folder that the scripts of scenarios that fail are written to."`
}

const (
	minSimSeconds    = 4
	maxPrintedPairs  = 12
	scriptFileSuffix = ".day.textproto"
)

// pairCount counts the scenarios in which two kinds of faults began close together.
type pairCount struct{ run, failed int }

// simTotals sums up the scenarios of a search; its methods may be called from several goroutines.
type simTotals struct {
	mu           sync.Mutex
	began        time.Time
	reported     time.Time
	seeds        seedRange
	scenarios    int
	failed       int
	steps        int
	requests     int
	combinedHash uint64 // of all that happened, whatever the order in which scenarios ended
	pairs        map[string]*pairCount
}

// Run runs a scenario for each seed.
func (c *simRun) Run(ctx context.Context, env *environment) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	if c.For < minSimSeconds || c.Rate <= 0 {
		return fmt.Errorf("sim: a day has %d s at least, and a rate above 0", minSimSeconds)
	}
	totals := &simTotals{began: time.Now(), reported: time.Now(), seeds: seeds, pairs: map[string]*pairCount{}}
	err = seeds.forEach(ctx, c.Jobs, func(seed int64) error {
		outcome, err := c.runSeed(seed)
		if err != nil {
			return err
		}
		totals.mu.Lock()
		defer totals.mu.Unlock()
		totals.add(seed, outcome)
		if len(outcome.Faults) > 0 {
			env.printf("seed %d: %s\n", seed, outcome.Faults[0])
			if err := c.save(outcome.Script); err != nil {
				return err
			}
		}
		totals.reportProgress(env)
		return nil
	})
	if err != nil {
		return err
	}
	totals.print(env, c.For)
	if totals.failed > 0 {
		return errRuleBroken
	}
	return nil
}

// runSeed runs the scenario of a seed, and with --twice compares it with a second run.
func (c *simRun) runSeed(seed int64) (*faultsearch.Outcome, error) {
	script := faultsearch.Draw(seed, faultsearch.Size{Seconds: c.For, Rate: c.Rate})
	outcome, err := faultsearch.Run(script, nil)
	if err != nil || !c.Twice {
		return outcome, err
	}
	again, err := faultsearch.Run(script, nil)
	if err != nil {
		return nil, err
	}
	if again.Trace != outcome.Trace {
		outcome.Faults = append(outcome.Faults, fmt.Sprintf("not the same twice: %x and %x", outcome.Trace, again.Trace))
	}
	return outcome, nil
}

// save writes the script of a scenario that failed, if a folder is named.
func (c *simRun) save(script *pb.Day) error {
	if c.Save == "" {
		return nil
	}
	path := filepath.Join(c.Save, script.Name+scriptFileSuffix)
	return errors.Join(os.MkdirAll(c.Save, 0o755), os.WriteFile(path, []byte(scriptText(script)), 0o644))
}

// add counts a scenario; the caller holds the mutex.
func (t *simTotals) add(seed int64, outcome *faultsearch.Outcome) {
	t.scenarios++
	t.steps += outcome.Steps
	t.combinedHash ^= outcome.Trace * uint64(seed*2+1)
	failed := len(outcome.Faults) > 0
	if failed {
		t.failed++
	}
	for _, row := range outcome.Verdict.Rows {
		if row.Name == "all" {
			t.requests += row.Asked
		}
	}
	for _, pair := range pairsOfFaults(outcome.Script) {
		if t.pairs[pair] == nil {
			t.pairs[pair] = &pairCount{}
		}
		t.pairs[pair].run++
		if failed {
			t.pairs[pair].failed++
		}
	}
}

func (t *simTotals) reportProgress(env *environment) {
	if time.Since(t.reported) <= progressInterval {
		return
	}
	t.reported = time.Now()
	env.reportf("%d of %d days, %d failed, %.0f s\n",
		t.scenarios, t.seeds.count(), t.failed, time.Since(t.began).Seconds())
}

// print prints the totals, and the pairs of faults in whose scenarios most failed. Scripts read its first line.
func (t *simTotals) print(env *environment, seconds int) {
	took := time.Since(t.began).Seconds()
	env.printf("%d days, %d generations, %d steps in %.1f s (%.0f times as fast as real, %.0f steps a second); "+
		"%d failed; all that happened: %016x\n", t.scenarios, t.requests, t.steps, took,
		float64(t.scenarios*seconds)/took, float64(t.steps)/took, t.failed, t.combinedHash)
	env.printf("%d pairs of troubles within a second were played\n", len(t.pairs))
	failing := t.failingPairs()
	for _, name := range failing[:min(len(failing), maxPrintedPairs)] {
		env.printf("  %-34s in %4d days, of which %d failed\n", name, t.pairs[name].run, t.pairs[name].failed)
	}
}

// failingPairs returns the pairs in whose scenarios any failed, those with most failures first.
func (t *simTotals) failingPairs() (names []string) {
	for name, count := range t.pairs {
		if count.failed > 0 {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		first, second := t.pairs[names[i]].failed, t.pairs[names[j]].failed
		return first > second || first == second && names[i] < names[j]
	})
	return names
}
