package faultsearch

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/testbed/scenarios"
)

// maxShrinkRuns bounds the runs of one reduction, about.
const maxShrinkRuns = 400

// simplifications are tried one after another, each as long as the scenario still fails.
var simplifications = []func(*pb.Day){
	func(script *pb.Day) { script.Batches = nil },
	func(script *pb.Day) { script.World.Segment = 0 },
	func(script *pb.Day) { script.World.Dispatchers = min(script.World.Dispatchers, 1) },
	func(script *pb.Day) { script.World.Dispatchers = max(script.World.Dispatchers, 2) - 1 },
	func(script *pb.Day) { script.World.Intents = false },
	func(script *pb.Day) { script.World.Keyed, script.World.Intents = false, false },
	func(script *pb.Day) { script.Seconds = max(script.Seconds/2, 1) },
	func(script *pb.Day) { script.Seconds = max(script.Seconds-1, 1) },
	func(script *pb.Day) { script.Rate = max(script.Rate/2, min(script.Rate, 1)) },
}

// reduction is a scenario on its way to the least that still fails in the same way.
type reduction struct {
	best     *pb.Day
	class    string // of the failure
	mutant   *scenarios.Mutant
	runs     int
	progress func(runs int, script *pb.Day)
}

// Shrink reduces a scenario that fails: faults, batches, options, the length and the load go as far as it still fails
// in the same way. progress, if it is not nil, is called with each smaller scenario. The number is that of the runs.
func Shrink(script *pb.Day, mutant *scenarios.Mutant, progress func(runs int, script *pb.Day)) (*pb.Day, int, error) {
	first, err := Run(script, mutant)
	if err != nil {
		return nil, 0, err
	}
	if first.FailureClass() == "" {
		return nil, 1, fmt.Errorf("%s does not fail", script.Name)
	}
	r := &reduction{best: proto.CloneOf(script), class: first.FailureClass(), mutant: mutant, runs: 1, progress: progress}
	for smaller := true; smaller && r.runs < maxShrinkRuns; {
		smaller = r.dropFaults()
		for _, change := range simplifications {
			smaller = r.try(change) || smaller
		}
	}
	r.best.Name += "-shrunk"
	return r.best, r.runs, nil
}

// dropFaults leaves out faults, first many at once, then fewer.
func (r *reduction) dropFaults() (smaller bool) {
	for size := len(r.best.Troubles); size >= 1; size /= 2 {
		for at := 0; at+size <= len(r.best.Troubles); {
			dropped := r.try(func(script *pb.Day) {
				script.Troubles = append(script.Troubles[:at], script.Troubles[at+size:]...)
			})
			if dropped {
				smaller = true
			} else {
				at += size
			}
		}
	}
	return smaller
}

// try takes a change over if the scenario then still fails in the same way.
func (r *reduction) try(change func(*pb.Day)) bool {
	next := proto.CloneOf(r.best)
	change(next)
	if proto.Equal(next, r.best) {
		return false
	}
	r.runs++
	outcome, err := Run(next, r.mutant)
	if err != nil || outcome.FailureClass() != r.class {
		return false
	}
	r.best = next
	if r.progress != nil {
		r.progress(r.runs, r.best)
	}
	return true
}
