// Package soak runs the platform's dispatcher as it is built and released, a few dozen real processes on loopback,
// through overlapping faults that are drawn from a seed: stops, restarts, new configurations, clients and endpoints
// that misbehave, connections that break or fall silent, system calls that fail, wall clocks that are stepped.
//
// It owns the processes, their addresses, the faults, and an audit that checks the rules against what each process
// recorded. Endpoints, discovery, clients and proxies are stand-ins, processes of their own too. It relies on
// syscallfaults, and on the guard's messages in the dispatchers' logs. It never looks into a dispatcher.
package soak

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Plan is what a run is to be.
type Plan struct {
	Seed              int64
	Dispatchers       int
	Prefills          int
	Decodes           int
	Clients           int // processes
	Duration          time.Duration
	Deadline          time.Duration // of each request
	Crowd             bool          // clients crowd in wherever a dispatcher is stopped
	MeanFaultInterval time.Duration
	Binary            string // of the program
	Library           string // that has system calls fail
	Dir               string // for records, logs and configurations
	SyscallFaults     bool
	ClockSteps        bool
}

// Report is what came of a run.
type Report struct {
	Findings   []Finding
	Requests   int
	Processes  int
	Faults     map[string]int // by name
	Violations []string       // lines of the dispatchers' own guards
}

// Kinds of addresses in a run's block.
const (
	endpointAddress = iota
	proxyAddress
	agentAddress
	sourceAddress
	dispatcherAddress
)

// Ports; each endpoint's proxies listen at endpointPort plus its number, each agent at agentPort plus its own.
const (
	endpointPort   = 7000
	agentPort      = 8500
	dispatcherPort = 7070
)

const agents = 2 // of discovery

// run is a run that is under way.
type run struct {
	Plan
	random    *rand.Rand
	block     int // of loopback's addresses
	record    *Record
	records   []string // paths of all records
	report    Report
	reportMu  sync.Mutex // guards the report's findings
	stops     sync.WaitGroup
	restarts  int
	startedMs map[int]int64 // when an endpoint was started again, by the wall clock

	dispatchers []*dispatcher
	agentOf     []int // the agent that each dispatcher's configuration names
	proxies     []*process
	endpoints   []*process
	agents      []*process
	clients     []*process
	drained     map[int]bool   // by endpoint
	drains      map[string]int // by the endpoints' kind
}

// Run runs a plan with faults that are drawn from its seed, and judges it.
func (p Plan) Run() (*Report, error) { return p.play((*run).injectFaults) }

// play runs a plan with the faults that inject brings about, and judges it.
func (p Plan) play(inject func(*run)) (*Report, error) {
	current := &run{Plan: p, random: rand.New(rand.NewSource(p.Seed)), block: 2 + os.Getpid()%250,
		startedMs: map[int]int64{}, drained: map[int]bool{}, drains: map[string]int{}}
	current.report.Faults = map[string]int{}
	var err error
	if current.record, err = newRecord(current.newRecordPath("conductor")); err != nil {
		return nil, err
	}
	defer current.killAll()
	if err := current.startAll(); err != nil {
		return nil, err
	}
	inject(current)
	current.stops.Wait()
	time.Sleep(p.Deadline + answerGrace + time.Second) // for the last requests to be answered
	if err := current.endAll(); err != nil {
		return nil, err
	}
	return &current.report, current.judge()
}

// address is one of the run's addresses on loopback; endpoints, proxies' dispatchers and so on are numbered from 0.
func (r *run) address(kind, number, port int) string {
	return fmt.Sprintf("%s:%d", r.ip(kind, number), port)
}

func (r *run) ip(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.block, kind, number+1)
}

func (r *run) newRecordPath(name string) string {
	path := filepath.Join(r.Dir, name+".jsonl")
	r.records = append(r.records, path)
	return path
}

// kindOf is the kind of an endpoint.
func (r *run) kindOf(endpoint int) string {
	if endpoint < r.Prefills {
		return prefillKind
	}
	return decodeKind
}

func endpointName(endpoint int) string { return fmt.Sprint("h", endpoint) }

// addFinding adds a finding; it may be called from several goroutines.
func (r *run) addFinding(rule, format string, arguments ...any) {
	r.reportMu.Lock()
	defer r.reportMu.Unlock()
	r.report.Findings = append(r.report.Findings, Finding{Rule: rule, Text: fmt.Sprintf(format, arguments...)})
}

// endAll ends everything gracefully.
func (r *run) endAll() error {
	for _, d := range r.dispatchers {
		r.stops.Go(func() { r.end(d) })
	}
	r.stops.Wait()
	for _, stopping := range r.standIns() {
		stopping.end()
	}
	return r.record.close()
}

// killAll ends what is left of a run that broke off.
func (r *run) killAll() {
	for _, d := range r.dispatchers {
		if d.process != nil {
			d.process.kill()
		}
	}
	for _, left := range r.standIns() {
		left.kill()
	}
}

// standIns are all stand-ins, the clients first.
func (r *run) standIns() (all []*process) {
	for _, list := range [][]*process{r.clients, r.endpoints, r.proxies, r.agents} {
		all = append(all, list...)
	}
	return all
}

// String describes a report in a few lines.
func (r *Report) String() string {
	text := fmt.Sprintf("%d requests over %d processes, faults %v", r.Requests, r.Processes, r.Faults)
	for _, finding := range r.Findings {
		text += "\n  " + finding.String()
	}
	for _, violation := range r.Violations {
		text += "\n  guard: " + violation
	}
	return text
}
