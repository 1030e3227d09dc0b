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
	Run     simRun           `cmd:"" help:"Run scenarios whose faults are drawn from seeds, and check every rule."`
	Replay  simReplay        `cmd:"" help:"Run one scenario again, from its seed or its script."`
	Shrink  simShrink        `cmd:"" help:"Reduce a scenario that fails to the least that still fails in the same way, and write its script."`
	Cover   simCover         `cmd:"" help:"Run scenarios and say which transitions of the request lifecycle, and which pairs of faults within a second, they reached."`
	Orders  simInterleavings `cmd:"" name:"orders" help:"Run a small world in all orders of its first deliveries."`
	Large   simLarge         `cmd:"" help:"Run a world of the grown size, and say how fast."`
	Mutants simMutants       `cmd:"" name:"plants" help:"Inject faults on purpose, one after another, and count the seeds until each is found."`
}

// progressInterval is how often a long search reports on standard error.
const progressInterval = 5 * time.Second

// drawnScenario names a scenario by its seed or by its script, and a mutant that it is run with.
type drawnScenario struct {
	Scenario string  `arg:"" name:"day" help:"Seed, or file of a script."`
	Mutant   string  `name:"plant" help:"Fault that is injected, by its name or number."`
	Rate     float64 `default:"12" help:"Requests a second, about, where a seed is given."`
	For      int     `default:"7" help:"Seconds of a scenario, where a seed is given."`
}

// load draws or reads the scenario, and finds the mutant; that is nil where none is named.
func (d drawnScenario) load() (*pb.Day, *scenarios.Mutant, error) {
	script, err := d.script()
	if err != nil {
		return nil, nil, err
	}
	mutant, err := findMutant(d.Mutant)
	if err != nil {
		return nil, nil, err
	}
	return script, mutant, nil
}

func (d drawnScenario) script() (*pb.Day, error) {
	if seed, err := strconv.ParseInt(d.Scenario, 10, 64); err == nil {
		return faultsearch.Draw(seed, faultsearch.Size{Seconds: d.For, Rate: d.Rate}), nil
	}
	text, err := os.ReadFile(d.Scenario)
	if err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	return scenarios.ReadScript(filepath.Base(d.Scenario), text)
}

func findMutant(nameOrNumber string) (*scenarios.Mutant, error) {
	if nameOrNumber == "" {
		return nil, nil
	}
	for i, mutant := range faultsearch.Mutants() {
		if isMutant(nameOrNumber, mutant, i+1) {
			return mutant, nil
		}
	}
	return nil, fmt.Errorf("there is no plant %q", nameOrNumber)
}

func isMutant(nameOrNumber string, mutant *scenarios.Mutant, number int) bool {
	return nameOrNumber == mutant.Name || nameOrNumber == strconv.Itoa(number)
}

// parseSeeds reads FIRST-LAST, or a single seed.
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
		return seedRange{}, fmt.Errorf("seeds %q: want FIRST-LAST", text)
	}
	return seeds, nil
}

// scriptText returns a scenario's script as it is written to a file.
func scriptText(script *pb.Day) string {
	return prototext.MarshalOptions{Multiline: true}.Format(script)
}

// pairsOfFaults returns the kinds of faults that began within a second of each other.
func pairsOfFaults(script *pb.Day) (pairs []string) {
	const within = 1000 // ms
	for i, first := range script.Troubles {
		for _, second := range script.Troubles[i+1:] {
			if second.AtMs-first.AtMs > within {
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
