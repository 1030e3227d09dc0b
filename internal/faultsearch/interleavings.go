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

// Interleavings is the result of a bounded search over the orders in which messages are delivered.
type Interleavings struct {
	Runs     int      // runs of the scenario
	States   int      // distinct pairs of a depth and a state
	Pruned   int      // runs that made no further choices because they came to a known state at a known depth
	Failures []string // failures that the checks found, each with the choices that lead to it
}

// These are the choices for the delivery of one segment, or of one close of a connection.
const (
	onTime = 0
	late   = 1
)

// stateKey identifies a state of the search by the number of choices made so far and by what dispatchers and endpoints
// have in flight.
type stateKey struct {
	depth   int
	summary uint64 // hash of the text that describes what is in flight
}

// exploration is a depth-first search over the choices for the first deliveries of a scenario.
type exploration struct {
	depth       int
	delay       eventloop.Micros
	deployment  deployment.Deployment
	script      *pb.Day
	seen        map[stateKey]bool
	choices     []int // choices of the current run, in order
	result      *Interleavings
	choicesMade int // number of choices that the current run has made
	runDepth    int // number of choices after which the current run makes all deliveries on time
}

// smallScenario returns a deployment with three endpoints, and a script with two dispatchers and a few requests.
func smallScenario() (deployment.Deployment, *pb.Day) {
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

// Explore runs a small scenario, with the given faults, once for each combination of choices for its first depth
// segments and closes: each arrives on time or late by delay. If progress is not nil, Explore calls it after each run.
//
// If a run comes to a state that another run has met at the same depth, it makes this delivery and all later ones on
// time. The search still tries this delivery late, but it tries no alternatives to the later deliveries of that run.
// Explore compares states only by what dispatchers and endpoints have in flight. States that differ only in other
// respects count as the same.
func Explore(depth int, delay eventloop.Micros, faults []*pb.Day_Trouble, progress func(*Interleavings)) (
	*Interleavings, error) {
	e := &exploration{depth: depth, delay: delay, seen: map[stateKey]bool{}, result: &Interleavings{}}
	e.deployment, e.script = smallScenario()
	e.script.Troubles = faults
	for {
		if err := e.run(); err != nil {
			return e.result, err
		}
		if progress != nil {
			progress(e.result)
		}
		if !e.advance() {
			return e.result, nil
		}
	}
}

// run runs the scenario with the current choices; deliveries beyond them are on time.
func (e *exploration) run() error {
	e.choicesMade, e.runDepth = 0, e.depth
	run := &scenarios.Run{Script: proto.CloneOf(e.script),
		Deployment:  deployment.Deployment{Deployment: proto.CloneOf(e.deployment.Deployment)},
		Dispatchers: int(e.script.World.Dispatchers), Seed: e.script.World.Seed}
	run.ExtraLatency = func() eventloop.Micros { return e.choose(run) }
	outcome, err := run.RunVirtual(0)
	if err != nil {
		return err
	}
	e.result.Runs++
	e.result.States = len(e.seen)
	for i, rule := range outcome.Verdict.Rules {
		if len(rule.Violations) > 0 {
			e.addFailure("rule %d: %s", i+1, rule.Violations[0].Text)
		}
	}
	if outcome.OpenRequests > 0 {
		e.addFailure("requests still open: %d", outcome.OpenRequests)
	}
	return nil
}

func (e *exploration) addFailure(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.result.Failures = append(e.result.Failures, fmt.Sprintf("%s (choices %v)", text, e.choices))
}

// choose returns the delay of the next delivery. At the first delivery beyond the current choices it adds a choice. If
// the state is known, the added choice is the last one of this run.
func (e *exploration) choose(run *scenarios.Run) eventloop.Micros {
	if e.choicesMade >= e.runDepth {
		return 0
	}
	if e.choicesMade == len(e.choices) {
		e.choices = append(e.choices, onTime)
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(strings.Join(run.Summary(), "\n"))) // never fails
		state := stateKey{depth: e.choicesMade, summary: hash.Sum64()}
		if e.seen[state] {
			e.result.Pruned++
			e.runDepth = e.choicesMade // this choice is the last one of the run
		}
		e.seen[state] = true
	}
	e.choicesMade++
	return eventloop.Micros(e.choices[e.choicesMade-1]) * e.delay
}

// advance sets up the choices of the next run: it drops the trailing choices that are late, and changes the last choice
// that is on time to late. It returns false if no choice is on time, because in that case the search is complete.
func (e *exploration) advance() bool {
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
