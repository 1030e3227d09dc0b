package store

import (
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	historyKeys     = 3 // number of keys that all clients share; a transaction may change several
	historyClients  = 5
	historyRestarts = 5
	checkTimeout    = 20 * time.Second
)

func historyKey(i int) string { return fmt.Sprint("k", i) }

// keyValues holds the values of all keys; the value of an absent key is empty.
type keyValues [historyKeys]string

const noCondition = -1

// historyStep is an operation of a client: a read of all keys, or a transaction.
type historyStep struct {
	reads    bool
	compared int // index of the key whose value must equal expected; noCondition for none
	expected string
	sets     map[int]string // new values by index of the key; an empty value deletes the key
}

// outcome is the result of a step as its client sees it.
type outcome struct {
	unknown  bool // the process died, or the store failed, before the client got an answer
	conflict bool
	values   keyValues // that a read returned
}

// sequential is the model of a linearizable store: it executes one step at a time and each step atomically. A step
// without an answer may or may not have been executed.
var sequential = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyValues{}} },
	Step: func(state, input, output any) []any {
		before, step, got := state.(keyValues), input.(historyStep), output.(outcome)
		holds := step.compared == noCondition || before[step.compared] == step.expected
		after := before
		for key, value := range step.sets {
			after[key] = value
		}
		switch {
		case got.unknown && holds:
			return []any{before, after}
		case got.unknown:
			return []any{before}
		case step.reads && got.values != before, !step.reads && got.conflict == holds:
			return nil
		case got.conflict:
			return []any{before}
		}
		return []any{after}
	},
}).ToModel()

// crash returns the disk after a power cut. It contains all operations whose success was reported, a random number of
// the later ones, and the next one up to a random byte. before is the content of the disk when it was opened.
func (m *memoryDisk) crash(before map[string][]byte, random *rand.Rand) *memoryDisk {
	crashed := diskWith(before)
	complete := m.succeeded + random.Intn(len(m.history)-m.succeeded+1)
	for i, operation := range m.history {
		if i < complete {
			operation.applyTo(crashed.files, len(operation.data))
		} else if i == complete && len(operation.data) > 0 {
			operation.applyTo(crashed.files, random.Intn(len(operation.data)))
		}
	}
	return crashed
}

// clientSimulation simulates concurrent clients of a store that crashes at random times.
type clientSimulation struct {
	t      *testing.T
	seed   int64
	random *rand.Rand
	reads  readMode

	time        int64
	disk        *memoryDisk
	store       *Store
	outstanding map[int]*porcupine.Operation // by client
	abandoned   []*porcupine.Operation       // operations whose clients no longer wait for an answer
	history     []porcupine.Operation
}

// readMode determines when a client's read is answered.
type readMode int

const (
	durableReads   readMode = iota // once the values that were read are durable
	immediateReads                 // immediately, which is not linearizable across crashes
)

// simulateClients runs one simulation and returns the operations of its clients.
func simulateClients(t *testing.T, seed int64, reads readMode) []porcupine.Operation {
	t.Helper()
	s := &clientSimulation{
		t: t, seed: seed, random: rand.New(rand.NewSource(seed)), reads: reads, disk: newMemoryDisk(),
	}
	for range historyRestarts {
		s.runUntilCrash()
	}
	return s.history
}

func (s *clientSimulation) runUntilCrash() {
	s.t.Helper()
	var err error
	if s.store, err = Open(s.disk, smallLimits); err != nil {
		s.t.Fatalf("seed %d: %v", s.seed, err)
	}
	before := maps.Clone(s.disk.files)
	s.outstanding, s.abandoned = map[int]*porcupine.Operation{}, nil
	for range 60 {
		client := s.random.Intn(historyClients)
		if s.random.Intn(3) == 0 || s.outstanding[client] != nil {
			s.disk.answer(1)
			continue
		}
		step := s.randomStep()
		if s.run(client, step) {
			s.failOrRepairDisk()
		}
	}
	if s.random.Intn(3) == 0 {
		s.store.Flush()
	}
	s.time++
	s.abandonOutstanding()
	for _, operation := range s.abandoned {
		if !operation.Input.(historyStep).reads {
			operation.Output, operation.Return = outcome{unknown: true}, s.time
			s.history = append(s.history, *operation)
		}
	}
	s.time++
	s.disk = s.disk.crash(before, s.random)
}

func (s *clientSimulation) randomStep() historyStep {
	step := historyStep{compared: noCondition, sets: map[int]string{}}
	switch s.random.Intn(4) {
	case 0:
		step.reads = true
		return step
	case 1:
		step.compared = s.random.Intn(historyKeys)
		if value, found := s.store.Get(historyKey(step.compared)); found && s.random.Intn(3) > 0 {
			step.expected = string(value)
		}
	}
	for range 1 + s.random.Intn(2) {
		key, value := s.random.Intn(historyKeys), fmt.Sprint(s.time)
		if s.random.Intn(4) == 0 {
			value = ""
		}
		step.sets[key] = value
	}
	return step
}

// run executes a client's step on the store. It returns false for a read that was answered immediately.
func (s *clientSimulation) run(client int, step historyStep) bool {
	s.t.Helper()
	s.time++
	operation := &porcupine.Operation{ClientId: client, Input: step, Call: s.time}
	s.outstanding[client] = operation
	var got outcome
	if step.reads {
		for key := range got.values {
			value, _ := s.store.Get(historyKey(key))
			got.values[key] = string(value)
		}
	}
	operation.Output = got
	answered := func(err error) {
		if err != nil {
			return // the step may have been executed or not; it counts as outstanding until the process dies
		}
		s.time++
		operation.Return = s.time
		s.history = append(s.history, *operation)
		delete(s.outstanding, client)
	}
	if step.reads && s.reads == immediateReads {
		answered(nil)
		return false
	}
	ops, conditions := step.transaction()
	err := s.store.Commit(ops, conditions, WriteMode(s.random.Intn(4) == 0), answered)
	if errors.Is(err, ErrConflict) {
		operation.Output = outcome{conflict: true}
		// The value that caused the conflict may not be durable yet, so the client waits until the value is durable.
		err = s.store.Commit(nil, nil, WriteNow, answered)
	}
	if err != nil && !errors.Is(err, ErrFailed) {
		s.t.Fatalf("seed %d: %v", s.seed, err)
	}
	return true
}

func (step historyStep) transaction() (ops []Op, conditions []Condition) {
	if step.compared != noCondition {
		condition := Condition{Key: historyKey(step.compared)}
		if step.expected != "" {
			condition.Value = []byte(step.expected)
		}
		conditions = append(conditions, condition)
	}
	for key, value := range step.sets {
		op := Op{Key: historyKey(key)}
		if value != "" {
			op.Value = []byte(value)
		}
		ops = append(ops, op)
	}
	return ops, conditions
}

// failOrRepairDisk makes the disk fail at random times, and repairs a store that has failed.
func (s *clientSimulation) failOrRepairDisk() {
	switch {
	case s.random.Intn(150) == 0:
		s.disk.fault = []error{syscall.ENOSPC, syscall.EIO}[s.random.Intn(2)]
	case s.store.Err() != nil && s.random.Intn(5) == 0:
		s.disk.fault = nil
		s.abandonOutstanding()
		s.store.Repair(func(error) {})
	}
}

// abandonOutstanding makes all clients continue without an answer to their outstanding operations.
func (s *clientSimulation) abandonOutstanding() {
	for _, client := range slices.Sorted(maps.Keys(s.outstanding)) {
		s.abandoned = append(s.abandoned, s.outstanding[client])
		delete(s.outstanding, client)
	}
}

// TestConcurrentHistories checks that the results that five concurrent clients see are linearizable, despite crashes at
// any byte and a disk that is full or fails. No step that was answered may be lost. To prove that the check can fail,
// the test also runs histories in which reads return values that are not durable yet, and expects the check to reject
// one of these histories.
func TestConcurrentHistories(t *testing.T) {
	const seeds = 400
	steps, unanswered := 0, 0
	for seed := range int64(seeds) {
		history := simulateClients(t, seed, durableReads)
		steps += len(history)
		for _, operation := range history {
			if operation.Output.(outcome).unknown {
				unanswered++
			}
		}
		if got := porcupine.CheckOperationsTimeout(sequential, history, checkTimeout); got != porcupine.Ok {
			t.Fatalf("seed %d: the history of %d steps is %v", seed, len(history), got)
		}
	}
	t.Logf("%d histories, %d steps, %d of them not answered", seeds, steps, unanswered)
	for seed := range int64(200) {
		history := simulateClients(t, seed, immediateReads)
		if porcupine.CheckOperationsTimeout(sequential, history, checkTimeout) == porcupine.Illegal {
			return
		}
	}
	t.Error("no history with reads of values that are not durable was rejected")
}
