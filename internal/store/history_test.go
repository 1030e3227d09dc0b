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

// Three keys are all that the clients of a history use; a transaction may change several.
type image [3]string

type step struct {
	reads   bool
	compare int // a key that must have the value old, or -1
	old     string
	sets    map[int]string // "" deletes
}

type seen struct {
	unknown  bool // the process died, or the store failed, before it was answered
	conflict bool
	image    image
}

// sequential is what a store is to be taken for: one step at a time, each whole; a step that was not answered has
// happened or has not.
var sequential = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{image{}} },
	Step: func(state, input, output any) []any {
		was, in, out := state.(image), input.(step), output.(seen)
		holds := in.compare < 0 || was[in.compare] == in.old
		next := was
		for k, v := range in.sets {
			next[k] = v
		}
		switch {
		case out.unknown && holds:
			return []any{was, next}
		case out.unknown:
			return []any{was}
		case in.reads && out.image != was, !in.reads && out.conflict == holds:
			return nil
		case out.conflict:
			return []any{was}
		}
		return []any{next}
	},
}).ToModel()

// crash gives the disk as a power cut leaves it: what was answered is there, what was not is there up to some byte.
func (m *memory) crash(before map[string][]byte, chance *rand.Rand) *memory {
	torn := newMemory()
	for name, b := range before {
		torn.files[name] = b
	}
	through := m.told + chance.Intn(len(m.past)-m.told+1)
	for i, o := range m.past {
		if i < through {
			o.to(torn.files, len(o.data))
		} else if i == through && len(o.data) > 0 {
			o.to(torn.files, chance.Intn(len(o.data)))
		}
	}
	return torn
}

// history plays clients against a store that dies now and then, and gives what they saw. With waits off, a client takes a
// read for answered although what it read may not be durable yet.
func history(t *testing.T, seed int64, waits bool) []porcupine.Operation {
	chance := rand.New(rand.NewSource(seed))
	var all []porcupine.Operation
	at := int64(0)
	m := newMemory()
	for life := range 5 {
		s, err := Open(m, small)
		if err != nil {
			t.Fatalf("seed %d, life %d: %v", seed, life, err)
		}
		before := map[string][]byte{}
		for name, b := range m.files {
			before[name] = b
		}
		out := map[int]*porcupine.Operation{}
		var cut []*porcupine.Operation
		answered := func(client int, o *porcupine.Operation) func(error) {
			return func(err error) {
				if err == nil {
					at++
					o.Return = at
					all = append(all, *o)
					delete(out, client)
				} // an error tells nothing: it counts as open until the process is gone
			}
		}
		for range 60 {
			client := chance.Intn(5)
			if chance.Intn(3) == 0 || out[client] != nil {
				m.out(1)
				continue
			}
			in := step{compare: -1, sets: map[int]string{}}
			var ops []Op
			var conditions []Condition
			switch chance.Intn(4) {
			case 0:
				in.reads = true
			case 1:
				in.compare = chance.Intn(3)
				if v, some := s.Get(fmt.Sprint("k", in.compare)); some && chance.Intn(3) > 0 {
					in.old = string(v)
				}
				conditions = []Condition{{Key: fmt.Sprint("k", in.compare)}}
				if in.old != "" {
					conditions[0].Value = []byte(in.old)
				}
				fallthrough
			default:
				for range 1 + chance.Intn(2) {
					k, v := chance.Intn(3), fmt.Sprint(at)
					if chance.Intn(4) == 0 {
						v = ""
					}
					in.sets[k] = v
				}
				for k, v := range in.sets {
					o := Op{Key: fmt.Sprint("k", k)}
					if v != "" {
						o.Value = []byte(v)
					}
					ops = append(ops, o)
				}
			}
			at++
			o := &porcupine.Operation{ClientId: client, Input: in, Call: at}
			var got seen
			for k := range got.image {
				if v, some := s.Get(fmt.Sprint("k", k)); in.reads && some {
					got.image[k] = string(v)
				}
			}
			out[client] = o
			if in.reads {
				o.Output = got
				if !waits {
					answered(client, o)(nil)
					continue
				}
			}
			o.Output = got
			err := s.Commit(ops, conditions, chance.Intn(4) == 0, answered(client, o))
			if errors.Is(err, ErrConflict) {
				o.Output = seen{conflict: true}
				// What it was refused for may not be durable itself: the refusal is told behind it.
				err = s.Commit(nil, nil, false, answered(client, o))
			}
			if err != nil && !errors.Is(err, ErrFailed) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			switch {
			case chance.Intn(150) == 0:
				m.fault = []error{syscall.ENOSPC, syscall.EIO}[chance.Intn(2)]
			case s.Err() != nil && chance.Intn(5) == 0:
				m.fault = nil                                          // there is room again
				for _, client := range slices.Sorted(maps.Keys(out)) { // what has failed stays unanswered; its client goes on
					cut = append(cut, out[client])
					delete(out, client)
				}
				s.Repair(func(error) {})
			}
		}
		if chance.Intn(3) == 0 {
			s.Flush()
		}
		at++
		for _, client := range slices.Sorted(maps.Keys(out)) {
			cut = append(cut, out[client])
		}
		for _, o := range cut {
			if !o.Input.(step).reads {
				o.Output, o.Return = seen{unknown: true}, at
				all = append(all, *o)
			}
		}
		at++
		m = m.crash(before, chance)
	}
	return all
}

// Five clients at once, four crashes at any byte, full disks: what they saw is what a store would show that does one
// thing at a time and forgets nothing that it has answered. The check can fail: where a client trusts a read before
// what it read is durable, it does.
func TestConcurrentHistories(t *testing.T) {
	seeds, steps, open := 400, 0, 0
	for seed := range int64(seeds) {
		all := history(t, seed, true)
		steps += len(all)
		for _, o := range all {
			if o.Output.(seen).unknown {
				open++
			}
		}
		if got := porcupine.CheckOperationsTimeout(sequential, all, 20*time.Second); got != porcupine.Ok {
			t.Fatalf("seed %d: the history of %d steps is %v", seed, len(all), got)
		}
	}
	t.Logf("%d histories, %d steps, %d of them cut off", seeds, steps, open)
	for seed := range int64(200) {
		if porcupine.CheckOperationsTimeout(sequential, history(t, seed, false), 20*time.Second) == porcupine.Illegal {
			return
		}
	}
	t.Error("reads that trust what is not durable yet were never found out")
}
