package faultsearch

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/testbed/scenarios"
)

// maxShrinkRuns limits the runs of one reduction. A reduction may exceed this limit, because it completes the last pass
// over all changes.
const maxShrinkRuns = 400

// simplifications are the changes that Shrink tries in this order, in each pass, after it has dropped faults.
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

// reduction is the state of one call of Shrink.
type reduction struct {
	smallest *pb.Day // the smallest script so far that fails in the same way
	class    string  // failure class that a change must preserve
	mutant   *scenarios.Mutant
	runs     int
	progress func(runs int, script *pb.Day)
}

// Shrink reduces a scenario that fails: it drops faults, batches and options, and lowers the length and the load, as
// long as the failure class stays the same. It returns the smallest script that it found, and how many runs it made. If
// progress is not nil, Shrink calls it with each smaller script.
func Shrink(script *pb.Day, mutant *scenarios.Mutant, progress func(runs int, script *pb.Day)) (*pb.Day, int, error) {
	first, err := Run(script, mutant)
	if err != nil {
		return nil, 0, err
	}
	if first.FailureClass() == "" {
		return nil, 1, fmt.Errorf("%s does not fail", script.Name)
	}
	r := &reduction{smallest: proto.CloneOf(script), class: first.FailureClass(), mutant: mutant, runs: 1,
		progress: progress}
	for smaller := true; smaller && r.runs < maxShrinkRuns; {
		smaller = r.dropFaults()
		for _, change := range simplifications {
			smaller = r.try(change) || smaller
		}
	}
	r.smallest.Name += "-shrunk"
	return r.smallest, r.runs, nil
}

// dropFaults tries to drop groups of faults, first all of them at once, then groups of half the size each time, down to
// single faults. It reports whether it dropped any.
func (r *reduction) dropFaults() (smaller bool) {
	for size := len(r.smallest.Troubles); size >= 1; size /= 2 {
		for at := 0; at+size <= len(r.smallest.Troubles); {
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

// try applies a change and keeps it if the scenario still fails in the same way. It reports whether it kept the change.
func (r *reduction) try(change func(*pb.Day)) bool {
	next := proto.CloneOf(r.smallest)
	change(next)
	if proto.Equal(next, r.smallest) {
		return false
	}
	r.runs++
	outcome, err := Run(next, r.mutant)
	if err != nil || outcome.FailureClass() != r.class {
		return false
	}
	r.smallest = next
	if r.progress != nil {
		r.progress(r.runs, r.smallest)
	}
	return true
}
