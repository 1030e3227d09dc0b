package store

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"
)

// TestNothingIsAcknowledgedAfterDiskFailure checks that the store acknowledges nothing after a failed write and does
// not retry it, and that records acknowledged before the failure are recovered after a restart.
func TestNothingIsAcknowledgedAfterDiskFailure(t *testing.T) {
	for round := range 60 {
		disk := newMemoryDisk()
		s := openStore(t, disk)
		acknowledged := 0
		for i := range 200 {
			if i == round*3 {
				disk.fault = errNoSpace
			}
			err := put(s, fmt.Sprint("k", i%20), fmt.Sprint(i), func(err error) {
				if err != nil {
					return
				}
				if disk.fault != nil && s.Err() != nil {
					t.Fatal("acknowledged after the failure")
				}
				acknowledged = i + 1
			})
			if err != nil && !errors.Is(err, ErrFailed) {
				t.Fatal(err)
			}
			disk.answer(1)
		}
		disk.answer(allAnswers)
		s.Repair(func(error) {})
		if s.Err() == nil {
			t.Fatal("the store reports no error after a failed write")
		}
		disk.answer(allAnswers) // the repair fails too
		disk.fault = nil
		disk.answer(allAnswers)
		if again, err := Open(disk, smallLimits); err != nil || int(again.lastSeq) < acknowledged {
			t.Fatalf("fault at %d: %v, %d acknowledged", round*3, err, acknowledged)
		}
	}
}

// TestRepairsOnceDiskAcceptsWrites repeatedly makes the disk fail, with writes cut short, and repairs the store once
// the disk works again. The store must accept writes again without being reopened. It must have lost no acknowledged
// write and contain no rejected one. A restart must recover the same content, whatever the torn end of the log
// contains.
func TestRepairsOnceDiskAcceptsWrites(t *testing.T) {
	for seed := range int64(60) {
		disk := newMemoryDisk()
		r := &repairRun{
			t: t, seed: seed, random: rand.New(rand.NewSource(seed)),
			disk: disk, store: openStore(t, disk), want: map[string]string{},
		}
		for r.round = range 12 {
			r.commitRandomKeys()
			r.failWrites()
			r.repairWithoutSpace()
			disk.fault = nil
			if r.random.Intn(4) == 0 {
				r.restart()
			} else {
				r.repair()
			}
		}
	}
}

// repairRun is a test of one store on a disk that fails repeatedly.
type repairRun struct {
	t      *testing.T
	seed   int64
	round  int
	random *rand.Rand
	disk   *memoryDisk
	store  *Store
	want   map[string]string // the acknowledged values
}

const rejectedValue = "never"

func (r *repairRun) fatalf(format string, args ...any) {
	r.t.Helper()
	r.t.Fatalf("seed %d, round %d: %s", r.seed, r.round, fmt.Sprintf(format, args...))
}

func (r *repairRun) commitRandomKeys() {
	r.t.Helper()
	for range 1 + r.random.Intn(60) {
		key, value := fmt.Sprint("k", r.random.Intn(30)), fmt.Sprint(r.random.Intn(1000))
		err := put(r.store, key, value, func(err error) {
			if err == nil {
				r.want[key] = value
			}
		})
		if err != nil {
			r.fatalf("%v", err)
		}
		if r.random.Intn(3) == 0 {
			r.disk.answer(1 + r.random.Intn(4))
		}
	}
	r.disk.answer(allAnswers)
}

func (r *repairRun) failWrites() {
	r.t.Helper()
	r.disk.tornBytes, r.disk.fault = r.random.Intn(40), errNoSpace
	rejected := 0
	for i := range 3 {
		ops := []Op{
			{Key: fmt.Sprint("k", i), Value: []byte(rejectedValue)},
			{Key: "new", Value: []byte(rejectedValue)},
		}
		err := r.store.Commit(ops, nil, WriteMode(r.random.Intn(2) == 0), func(err error) {
			if err != nil {
				rejected++
			}
		})
		if err != nil && !errors.Is(err, ErrFailed) {
			r.fatalf("%v", err)
		}
		r.disk.answer(r.random.Intn(2))
	}
	r.store.Flush()
	r.disk.answer(allAnswers)
	if rejected == 0 {
		r.fatalf("nothing was rejected")
	}
}

func (r *repairRun) repairWithoutSpace() {
	r.t.Helper()
	for range r.random.Intn(3) {
		r.store.Repair(func(err error) {
			if err == nil {
				r.t.Error("repaired on a disk without space")
			}
		})
		r.disk.answer(10)
	}
}

// restart reopens the store instead of repairing it. The recovered store may contain rejected writes. It must contain
// all acknowledged values, except those that a rejected write has replaced.
func (r *repairRun) restart() {
	r.t.Helper()
	r.store = openStore(r.t, r.disk)
	if r.store.Len() < len(r.want) {
		r.fatalf("%d keys of %d", r.store.Len(), len(r.want))
	}
	for key, want := range r.want {
		value, found := r.store.Get(key)
		if !found || string(value) != want && string(value) != rejectedValue {
			r.fatalf("%s is %q, not %q", key, value, want)
		}
	}
	r.want = map[string]string{}
	r.store.Scan("", func(key string, value []byte) bool {
		r.want[key] = string(value)
		return true
	})
}

func (r *repairRun) repair() {
	r.t.Helper()
	r.store.Repair(func(err error) {
		if err != nil {
			r.t.Error(err)
		}
	})
	r.disk.answer(allAnswers)
	recovered := reopened(r.t, r.disk)
	for _, s := range []*Store{r.store, recovered} {
		if s.Len() != len(r.want) || s.Err() != nil {
			r.fatalf("%d keys, not %d; failed: %v", s.Len(), len(r.want), s.Err())
		}
		for key, want := range r.want {
			if value, _ := s.Get(key); string(value) != want {
				r.fatalf("%s is %q, not %q", key, value, want)
			}
		}
	}
	if r.store.usedBytes != recovered.usedBytes {
		r.fatalf("%d bytes are counted, %d after a restart", r.store.usedBytes, recovered.usedBytes)
	}
}
