package store

import (
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// smallLimits cause many segments and snapshots in a short test.
var smallLimits = Limits{MaxKeys: 1000, MaxBytes: 1 << 20, SegmentBytes: 1500, CompactAfterBytes: 4000}

// allAnswers is above the number of answers that a disk ever has outstanding in these tests.
const allAnswers = 1000

var errNoSpace = errors.New("no space left on device")

// memoryDisk is an in-memory Disk that records every successful append, write and removal, so that a test can simulate
// a crash at any byte of any of them afterwards. It queues the done callbacks until the test calls answer.
type memoryDisk struct {
	files     map[string][]byte
	history   []diskOperation
	answers   []func() // queued done callbacks
	fault     error    // error of all appends, writes and removals from now on
	tornBytes int      // how many bytes a failing append writes at most
	succeeded int      // number of operations whose success was reported
}

type operationKind string

const (
	appendOperation operationKind = "append"
	writeOperation  operationKind = "write"
	removeOperation operationKind = "remove"
)

type diskOperation struct {
	kind operationKind
	name string
	data []byte
}

func newMemoryDisk() *memoryDisk { return &memoryDisk{files: map[string][]byte{}} }

// diskWith returns a disk with files. It shares their data, as no operation changes data in place.
func diskWith(files map[string][]byte) *memoryDisk { return &memoryDisk{files: maps.Clone(files)} }

func (m *memoryDisk) List() (names []string, err error) {
	for name := range m.files {
		names = append(names, name)
	}
	return names, nil
}

func (m *memoryDisk) Read(name string) ([]byte, error) {
	data, found := m.files[name]
	if !found {
		return nil, errors.New("no such file")
	}
	return slices.Clone(data), nil
}

func (m *memoryDisk) Truncate(name string, size int64) error {
	m.files[name] = m.files[name][:size]
	return nil
}

func (m *memoryDisk) Append(name string, data []byte, done func(error)) {
	m.do(diskOperation{kind: appendOperation, name: name, data: slices.Clone(data)}, done)
}

func (m *memoryDisk) Write(name string, build func() []byte, done func(error)) {
	m.do(diskOperation{kind: writeOperation, name: name, data: build()}, done)
}

func (m *memoryDisk) Remove(name string, done func(error)) {
	m.do(diskOperation{kind: removeOperation, name: name}, done)
}

func (m *memoryDisk) do(operation diskOperation, done func(error)) {
	err := m.fault
	if err == nil {
		m.history = append(m.history, operation)
		operation.applyTo(m.files, len(operation.data))
	} else if size := min(m.tornBytes, len(operation.data)); operation.kind == appendOperation && size > 0 {
		operation.applyTo(m.files, size)
	}
	m.answers = append(m.answers, func() {
		if err == nil {
			m.succeeded++
		}
		done(err)
	})
}

// answer runs up to count queued done callbacks.
func (m *memoryDisk) answer(count int) {
	for ; count > 0 && len(m.answers) > 0; count-- {
		deliver := m.answers[0]
		m.answers = m.answers[1:]
		deliver()
	}
}

// applyTo applies the first size bytes of an operation to files.
func (o diskOperation) applyTo(files map[string][]byte, size int) {
	switch o.kind {
	case appendOperation:
		files[o.name] = append(slices.Clone(files[o.name]), o.data[:size]...)
	case writeOperation:
		if size < len(o.data) {
			files[o.name+partialSuffix] = o.data[:size]
			return
		}
		delete(files, o.name+partialSuffix)
		files[o.name] = o.data
	case removeOperation:
		delete(files, o.name)
	}
}

// openStore opens the store of a disk with small limits.
func openStore(t testing.TB, disk Disk) *Store {
	t.Helper()
	s, err := Open(disk, smallLimits)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// reopened returns the store that a restart would recover now. It does not change the disk.
func reopened(t testing.TB, disk *memoryDisk) *Store {
	t.Helper()
	return openStore(t, diskWith(disk.files))
}

// put commits one key.
func put(s *Store, key, value string, done func(error)) error {
	return s.Commit([]Op{{Key: key, Value: []byte(value)}}, nil, WriteNow, done)
}

// contents returns all keys and values of a store as a text.
func contents(s *Store) string { return scanned(&s.index, "") }

// scanned returns the keys with a prefix and their values as a text.
func scanned(index *Index, prefix string) string {
	var text strings.Builder
	index.Scan(prefix, func(key string, value []byte) bool {
		fmt.Fprintf(&text, "%s=%s;", key, value)
		return true
	})
	return text.String()
}

// randomRun holds what runRandomChanges has observed.
type randomRun struct {
	contents     []string // of the store after each record; the first element is that of the empty store
	acknowledged []int    // for each operation of the disk, how many records had been acknowledged before it
	submitted    []int    // for each operation of the disk, how many records had been submitted when it started
}

// runRandomChanges commits random records to a new store on a disk.
func runRandomChanges(t testing.TB, disk *memoryDisk, records int, seed int64) randomRun {
	t.Helper()
	s := openStore(t, disk)
	random := rand.New(rand.NewSource(seed))
	run := randomRun{contents: []string{contents(s)}}
	acknowledged := 0
	recordOperations := func() {
		for len(run.acknowledged) < len(disk.history) {
			run.acknowledged = append(run.acknowledged, acknowledged)
			run.submitted = append(run.submitted, len(run.contents)-1)
		}
	}
	for record := 1; record <= records; record++ {
		ops := randomOps(random, record)
		lazy := WriteMode(random.Intn(5) == 0)
		err := s.Commit(ops, nil, lazy, func(err error) {
			if err == nil {
				acknowledged = record
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		run.contents = append(run.contents, contents(s))
		recordOperations() // operations that Commit started above contain this record
		for random.Intn(3) == 0 && len(disk.answers) > 0 {
			disk.answer(1)
			recordOperations()
		}
	}
	s.Flush()
	for len(disk.answers) > 0 {
		disk.answer(1)
		recordOperations()
	}
	if acknowledged != records || s.Stats.Snapshots < 3 {
		t.Fatalf("%d of %d acknowledged, %d snapshots", acknowledged, records, s.Stats.Snapshots)
	}
	return run
}

// randomOps returns one to three changes of 60 possible keys; a quarter of the changes are deletions.
func randomOps(random *rand.Rand, record int) (ops []Op) {
	for range 1 + random.Intn(3) {
		op := Op{Key: fmt.Sprintf("k%02d\xff", random.Intn(60))}
		if random.Intn(4) > 0 {
			op.Value = fmt.Appendf(nil, "%d.%d", record-1, random.Intn(1000))
		}
		ops = append(ops, op)
	}
	return ops
}
