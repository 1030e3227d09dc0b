package faultsearch

import (
	"fmt"
	"hash/fnv"
	"strings"

	"google.golang.org/protobuf/proto"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/scenarios"
)

// Interleavings are what a bounded search over the orders of deliveries found.
type Interleavings struct {
	Runs   int // scenarios that were run
	States int // that were distinguished
	Pruned int // choices not followed, as their state had been met at that depth
	Faults []string
}

// Choices for one delivery.
const (
	onTime = 0
	late   = 1
)

// stateKey distinguishes states by what dispatchers and endpoints have in flight, after so many choices.
type stateKey struct {
	depth   int
	summary uint64
}

// exploration is a depth-first search over the choices for the first deliveries.
type exploration struct {
	depth       int
	lateness    eventloop.Micros
	deployment  deployment.Deployment
	script      *pb.Day
	seen        map[stateKey]bool
	choices     []int // of the current run
	result      *Interleavings
	runChoices  int // how many choices the current run has made
	runMaxDepth int // at which the current run stops choosing
}

// smallWorld returns two dispatchers, three endpoints and a few requests.
func smallWorld() (deployment.Deployment, *pb.Day) {
	d := deployment.Standard()
	d.Zones = d.Zones[:1]
	d.Kinds = d.Kinds[:2]
	d.Fleet.CellsPerZone = 1
	d.Fleet.Groups = []*pb.Fleet_Group{
		{Kind: "prefill", HostsPerZone: 1, ReadTokensPerS: 18000, Slots: 8, Queue: 40, StepUs: 5000},
		{Kind: "decode", HostsPerZone: 2, Slots: 100, Queue: 30, StepUs: 16000},
	}
	for _, product := range d.Products {
		product.MostTokens = 3
	}
	return d, &pb.Day{Name: "orders", Seconds: 1, Rate: 3, World: &pb.World{Seed: 3, Dispatchers: 2, LatencyUs: 200}}
}

// Explore runs all orders in which the first segments arrive on time or late, depth choices deep, each of them late by
// lateness, with faults on top. progress, if it is not nil, is called after each run.
//
// A choice whose state was met before at that depth is not followed further. States are distinguished by what
// dispatchers and endpoints have in flight, so that two that differ in anything else count as one.
func Explore(depth int, lateness eventloop.Micros, faults []*pb.Day_Trouble, progress func(*Interleavings)) (
	*Interleavings, error) {
	e := &exploration{depth: depth, lateness: lateness, seen: map[stateKey]bool{}, result: &Interleavings{}}
	e.deployment, e.script = smallWorld()
	e.script.Troubles = faults
	for {
		if err := e.run(); err != nil {
			return e.result, err
		}
		if progress != nil {
			progress(e.result)
		}
		if !e.next() {
			return e.result, nil
		}
	}
}

// run runs the world with the current choices, and new ones on time.
func (e *exploration) run() error {
	e.runChoices, e.runMaxDepth = 0, e.depth
	world := &scenarios.Run{Script: proto.CloneOf(e.script),
		Deployment:  deployment.Deployment{Deployment: proto.CloneOf(e.deployment.Deployment)},
		Dispatchers: int(e.script.World.Dispatchers), Seed: e.script.World.Seed}
	world.Delay = func() eventloop.Micros { return e.choose(world) }
	outcome, err := world.RunVirtual(0)
	if err != nil {
		return err
	}
	e.result.Runs++
	e.result.States = len(e.seen)
	for i, rule := range outcome.Verdict.Rules {
		if len(rule.Violations) > 0 {
			e.addFault("rule %d: %s", i+1, rule.Violations[0].Text)
		}
	}
	if outcome.OpenRequests > 0 {
		e.addFault("left over: %d generations", outcome.OpenRequests)
	}
	return nil
}

func (e *exploration) addFault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.result.Faults = append(e.result.Faults, fmt.Sprintf("%s (choices %v)", text, e.choices))
}

// choose returns how late the next delivery is.
func (e *exploration) choose(world *scenarios.Run) eventloop.Micros {
	if e.runChoices >= e.runMaxDepth {
		return 0
	}
	if e.runChoices == len(e.choices) {
		e.choices = append(e.choices, onTime)
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(strings.Join(world.Summary(), "\n"))) // never fails
		state := stateKey{depth: e.runChoices, summary: hash.Sum64()}
		if e.seen[state] {
			e.result.Pruned++
			e.runMaxDepth = e.runChoices // deeper choices are not made
		}
		e.seen[state] = true
	}
	e.runChoices++
	return eventloop.Micros(e.choices[e.runChoices-1]) * e.lateness
}

// next changes the last choice that was on time to late; it returns false if there is none.
func (e *exploration) next() bool {
	last := len(e.choices)
	for last > 0 && e.choices[last-1] == late {
		last--
	}
	if last == 0 {
		return false
	}
	e.choices = append(e.choices[:last-1], late)
	return true
}
