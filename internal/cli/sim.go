package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/faultsearch"
	"plumspindle/internal/testbed/scenarios"
)

type simCommand struct {
	Run     simRun           `cmd:"" help:"Run scenarios whose faults are generated from seeds, and check every rule."`
	Replay  simReplay        `cmd:"" help:"Run one scenario again from its seed or its script."`
	Shrink  simShrink        `cmd:"" help:"Reduce a failing scenario to the smallest found that still fails in the same way, and write its script."`
	Cover   simCover         `cmd:"" help:"Run scenarios and report which transitions of the request lifecycle, and how many pairs of faults within a second, they covered."`
	Orders  simInterleavings `cmd:"" name:"orders" help:"Run a small simulated deployment in all orders of its first message deliveries."`
	Large   simLarge         `cmd:"" help:"Run a large simulated deployment and report its speed."`
	Mutants simMutants       `cmd:"" name:"plants" help:"Test the checks by mutants: run scenarios with one deliberate bug at a time, and count the seeds until a scenario detects it."`
}

// progressInterval is the minimum time between progress reports of a long search on standard error.
const progressInterval = 5 * time.Second

// scenarioSelection holds the arguments that select a scenario, by its seed or its script, and the mutant to run it
// with.
type scenarioSelection struct {
	Scenario string  `arg:"" name:"day" help:"Seed, or file with a script."`
	Mutant   string  `name:"plant" help:"Mutant to run with, by its name or number."`
	Rate     float64 `default:"12" help:"Approximate requests a second, if a seed is given."`
	Seconds  int     `name:"for" default:"7" help:"Length of the scenario in seconds, if a seed is given."`
}

// load generates the scenario from its seed or reads its script, and finds the mutant, which is nil if none is named.
func (s scenarioSelection) load() (*pb.Day, *scenarios.Mutant, error) {
	script, err := s.script()
	if err != nil {
		return nil, nil, err
	}
	mutant, err := findMutant(s.Mutant)
	if err != nil {
		return nil, nil, err
	}
	return script, mutant, nil
}

// script generates the scenario if the argument is a number, and reads its script from a file otherwise.
func (s scenarioSelection) script() (*pb.Day, error) {
	if seed, err := strconv.ParseInt(s.Scenario, 10, 64); err == nil {
		return faultsearch.Draw(seed, faultsearch.Size{Seconds: s.Seconds, Rate: s.Rate}), nil
	}
	text, err := os.ReadFile(s.Scenario)
	if err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	return scenarios.ReadScript(filepath.Base(s.Scenario), text)
}

// findMutant returns the mutant with the given name or number, or nil for an empty string.
func findMutant(nameOrNumber string) (*scenarios.Mutant, error) {
	if nameOrNumber == "" {
		return nil, nil
	}
	for i, mutant := range faultsearch.Mutants() {
		if mutantMatches(nameOrNumber, mutant, i+1) {
			return mutant, nil
		}
	}
	return nil, fmt.Errorf("there is no mutant %q", nameOrNumber)
}

// mutantMatches reports whether a name or number given by the user refers to a mutant. Numbers start at 1.
func mutantMatches(nameOrNumber string, mutant *scenarios.Mutant, number int) bool {
	return nameOrNumber == mutant.Name || nameOrNumber == strconv.Itoa(number)
}

// parseSeeds parses a range of seeds, as FIRST-LAST, or a single seed.
func parseSeeds(text string) (seedRange, error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	var seeds seedRange
	var errFirst, errLast error
	seeds.first, errFirst = strconv.ParseInt(first, 10, 64)
	seeds.last, errLast = strconv.ParseInt(last, 10, 64)
	if errFirst != nil || errLast != nil || seeds.first < 0 || seeds.last < seeds.first {
		return seedRange{}, fmt.Errorf("seeds %q: want FIRST-LAST or a single seed", text)
	}
	return seeds, nil
}

// scriptText returns the script of a scenario in the format of script files.
func scriptText(script *pb.Day) string {
	return prototext.MarshalOptions{Multiline: true}.Format(script)
}

// concurrentFaultPairs returns the pairs of kinds of faults that begin within a second of each other, without
// duplicates. The faults of the script must be sorted by their times, as faultsearch.Draw returns them.
func concurrentFaultPairs(script *pb.Day) (pairs []string) {
	const maxGapMs = 1000
	for i, first := range script.Troubles {
		for _, second := range script.Troubles[i+1:] {
			if second.AtMs-first.AtMs > maxGapMs {
				continue
			}
			kinds := []string{first.Kind, second.Kind}
			slices.Sort(kinds)
			if pair := strings.Join(kinds, " + "); !slices.Contains(pairs, pair) {
				pairs = append(pairs, pair)
			}
		}
	}
	return pairs
}
