// Package soak tests the platform's dispatcher as it is released, in a few dozen real processes on loopback, under
// overlapping faults that are drawn from a seed: stops, restarts, new configurations, clients and endpoints that
// misbehave, connections that break or stall, system calls that fail, wall clocks that are stepped.
//
// It owns the processes, their addresses, the faults, and an audit that checks the rules against the events that the
// processes recorded. Endpoints, discovery, clients and proxies are stand-ins, which run in processes of their own. It
// relies on syscallfaults, and on the guard's messages in the dispatchers' logs. It uses no other knowledge of a
// dispatcher's internal state.
package soak

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Plan describes a run.
type Plan struct {
	Seed              int64
	Dispatchers       int
	Prefills          int
	Decodes           int
	Clients           int // processes
	Duration          time.Duration
	Deadline          time.Duration // of each request
	FloodOnStop       bool          // clients open many idle connections to each dispatcher that is stopped
	MeanFaultInterval time.Duration
	Binary            string // path of the program under test
	Library           string // path of the library that injects system call faults
	Dir               string // for records, logs and configurations
	SyscallFaults     bool
	ClockSteps        bool
}

// Report is the result of a run.
type Report struct {
	Findings   []Finding
	Requests   int
	Processes  int
	Faults     map[string]int // number of each, by name
	Violations []string       // log lines of the dispatchers' own guards
}

// Kinds of addresses. The kind is the third number of each IP address of a run.
const (
	endpointAddress = iota
	proxyAddress
	agentAddress
	sourceAddress // from which a proxy connects to the endpoints
	dispatcherAddress
)

// Ports. The proxies listen for connections to an endpoint at endpointPort plus its number. An agent listens at
// agentPort plus its own number.
const (
	endpointPort   = 7000
	agentPort      = 8500
	dispatcherPort = 7070
)

const agentCount = 2 // number of discovery agents

// run is the state of a run in progress.
type run struct {
	Plan
	random           *rand.Rand
	block            int // second number of the run's loopback addresses
	record           *Record
	records          []string // paths of the records of all processes
	report           Report
	reportMu         sync.Mutex // guards the report's findings
	pendingStops     sync.WaitGroup
	endpointRestarts int
	startedMs        map[int]int64 // by endpoint; when the endpoint was last restarted, by the wall clock

	dispatchers  []*dispatcher
	agentOf      []int // by dispatcher; the agent that its configuration names
	proxies      []*process
	endpoints    []*process
	agents       []*process
	clients      []*process
	drained      map[int]bool   // by endpoint
	drainsByKind map[string]int // number of drained endpoints, by kind
}

// Run runs a plan with faults that are drawn from its seed, and reports what the audit found.
func (p Plan) Run() (*Report, error) { return p.runWith((*run).injectFaults) }

// runWith runs a plan with the faults that inject injects, and reports what the audit found.
func (p Plan) runWith(inject func(*run)) (*Report, error) {
	current := &run{Plan: p, random: rand.New(rand.NewSource(p.Seed)), block: 2 + os.Getpid()%250,
		startedMs: map[int]int64{}, drained: map[int]bool{}, drainsByKind: map[string]int{}}
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
	current.pendingStops.Wait()
	time.Sleep(p.Deadline + answerGrace + time.Second) // for the last requests to be answered
	if err := current.shutDownAll(); err != nil {
		return nil, err
	}
	return &current.report, current.evaluate()
}

// address returns one of the run's loopback addresses. The number of the endpoint, proxy, agent or dispatcher counts
// from 0.
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

// kindOf returns the kind of an endpoint.
func (r *run) kindOf(endpoint int) string {
	if endpoint < r.Prefills {
		return prefillKind
	}
	return decodeKind
}

func endpointName(endpoint int) string { return fmt.Sprint("h", endpoint) }

// addFinding adds a finding to the report. It is safe for concurrent use.
func (r *run) addFinding(rule, format string, arguments ...any) {
	r.reportMu.Lock()
	defer r.reportMu.Unlock()
	r.report.Findings = append(r.report.Findings, Finding{Rule: rule, Text: fmt.Sprintf(format, arguments...)})
}

// shutDownAll stops all processes gracefully, the dispatchers first.
func (r *run) shutDownAll() error {
	for _, d := range r.dispatchers {
		r.pendingStops.Go(func() { r.shutDown(d) })
	}
	r.pendingStops.Wait()
	for _, stopping := range r.standIns() {
		stopping.shutDown()
	}
	return r.record.close()
}

// killAll kills all processes that are still running, as after a failed run.
func (r *run) killAll() {
	for _, d := range r.dispatchers {
		if d.process != nil {
			d.process.kill()
		}
	}
	for _, remaining := range r.standIns() {
		remaining.kill()
	}
}

// standIns returns all stand-ins, the clients first.
func (r *run) standIns() (all []*process) {
	for _, list := range [][]*process{r.clients, r.endpoints, r.proxies, r.agents} {
		all = append(all, list...)
	}
	return all
}

// String returns a summary of the report, with one line for each finding.
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
