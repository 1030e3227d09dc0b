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
	Seeds   string  `default:"1-300" help:"Range of seeds, as FIRST-LAST."`
	Jobs    int     `default:"0" help:"Scenarios that run at once; 0 for one for each processor."`
	Twice   bool    `help:"Run each scenario twice and compare the trace hashes."`
	Rate    float64 `default:"12" help:"Approximate requests a second."`
	Seconds int     `name:"for" default:"7" help:"Length of each scenario in seconds."`
	Save    string  `type:"path" help:"Folder that the scripts of failing scenarios are written to."`
}

const (
	minSimSeconds    = 4
	maxPrintedPairs  = 12
	scriptFileSuffix = ".day.textproto"
)

// pairCount counts the scenarios in which a pair of faults began within a second of each other, and those that failed.
type pairCount struct{ run, failed int }

// simTotals holds the totals of all scenarios of a search. mu guards them while scenarios run.
type simTotals struct {
	mu           sync.Mutex
	startTime    time.Time
	lastReport   time.Time
	seeds        seedRange
	scenarios    int
	failed       int
	steps        int
	requests     int
	combinedHash uint64 // of the traces of all scenarios; it does not depend on the order in which they end
	pairs        map[string]*pairCount
}

// Run runs a scenario for each seed.
func (c *simRun) Run(ctx context.Context, env *environment) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	if c.Seconds < minSimSeconds || c.Rate <= 0 {
		return fmt.Errorf("sim: a scenario must last at least %d s and have a rate above 0", minSimSeconds)
	}
	totals := &simTotals{startTime: time.Now(), lastReport: time.Now(), seeds: seeds, pairs: map[string]*pairCount{}}
	err = seeds.forEach(ctx, c.Jobs, func(seed int64) error {
		outcome, err := c.runSeed(seed)
		if err != nil {
			return err
		}
		totals.mu.Lock()
		defer totals.mu.Unlock()
		totals.add(seed, outcome)
		if len(outcome.Failures) > 0 {
			env.printf("seed %d: %s\n", seed, outcome.Failures[0])
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
	totals.print(env, c.Seconds)
	if totals.failed > 0 {
		return errRuleViolated
	}
	return nil
}

// runSeed runs the scenario of a seed. With --twice it runs the scenario again, and different trace hashes count as a
// failure.
func (c *simRun) runSeed(seed int64) (*faultsearch.Outcome, error) {
	script := faultsearch.Draw(seed, faultsearch.Size{Seconds: c.Seconds, Rate: c.Rate})
	outcome, err := faultsearch.Run(script, nil)
	if err != nil || !c.Twice {
		return outcome, err
	}
	again, err := faultsearch.Run(script, nil)
	if err != nil {
		return nil, err
	}
	if again.TraceHash != outcome.TraceHash {
		outcome.Failures = append(outcome.Failures,
			fmt.Sprintf("two runs differ: traces %x and %x", outcome.TraceHash, again.TraceHash))
	}
	return outcome, nil
}

// save writes the script of a failed scenario to the folder that --save names, if any.
func (c *simRun) save(script *pb.Day) error {
	if c.Save == "" {
		return nil
	}
	path := filepath.Join(c.Save, script.Name+scriptFileSuffix)
	return errors.Join(os.MkdirAll(c.Save, 0o755), os.WriteFile(path, []byte(scriptText(script)), 0o644))
}

// add adds the outcome of a scenario. The caller holds the mutex.
func (t *simTotals) add(seed int64, outcome *faultsearch.Outcome) {
	t.scenarios++
	t.steps += outcome.Steps
	t.combinedHash ^= outcome.TraceHash * uint64(seed*2+1)
	failed := len(outcome.Failures) > 0
	if failed {
		t.failed++
	}
	for _, row := range outcome.Verdict.Rows {
		if row.Name == "all" {
			t.requests += row.Requests
		}
	}
	for _, pair := range concurrentFaultPairs(outcome.Script) {
		if t.pairs[pair] == nil {
			t.pairs[pair] = &pairCount{}
		}
		t.pairs[pair].run++
		if failed {
			t.pairs[pair].failed++
		}
	}
}

// reportProgress prints the progress unless it did so within progressInterval. The caller holds the mutex.
func (t *simTotals) reportProgress(env *environment) {
	if time.Since(t.lastReport) <= progressInterval {
		return
	}
	t.lastReport = time.Now()
	env.reportf("%d of %d scenarios, %d failed, %.0f s\n",
		t.scenarios, t.seeds.count(), t.failed, time.Since(t.startTime).Seconds())
}

// print prints the totals and the pairs of faults with the most failed scenarios. CI scripts parse the hash in its
// first line.
func (t *simTotals) print(env *environment, seconds int) {
	elapsedSeconds := time.Since(t.startTime).Seconds()
	env.printf("%d scenarios, %d requests, %d steps in %.1f s (%.0f times real time, %.0f steps a second); "+
		"%d failed; all that happened: %016x\n", t.scenarios, t.requests, t.steps, elapsedSeconds,
		float64(t.scenarios*seconds)/elapsedSeconds, float64(t.steps)/elapsedSeconds, t.failed, t.combinedHash)
	env.printf("%d pairs of faults within a second occurred\n", len(t.pairs))
	failing := t.failingPairs()
	for _, name := range failing[:min(len(failing), maxPrintedPairs)] {
		env.printf("  %-34s in %4d scenarios, of which %d failed\n", name, t.pairs[name].run, t.pairs[name].failed)
	}
}

// failingPairs returns the pairs of faults with failed scenarios, those with the most failures first.
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
