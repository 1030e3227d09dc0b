package store

import (
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/btree"
)

// BenchmarkCommit is durable commits by so many writers that each wait for their own.
func BenchmarkCommit(b *testing.B) {
	for _, writers := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(writers), func(b *testing.B) {
			posted := make(chan func(), 4096)
			f, err := OpenFiles(b.TempDir(), func(g func()) { posted <- g })
			if err != nil {
				b.Fatal(err)
			}
			defer f.Close()
			s, err := Open(f, DefaultLimits)
			if err != nil {
				b.Fatal(err)
			}
			left, out := b.N, 0
			value := make([]byte, 100)
			var next func(error)
			next = func(error) {
				out--
				if left > 0 {
					left--
					out++
					_ = s.Commit([]Op{{fmt.Sprint("key", left%100000), value}}, nil, false, next)
				}
			}
			b.ResetTimer()
			for range min(writers, b.N) {
				left--
				out++
				_ = s.Commit([]Op{{fmt.Sprint("key", left%100000), value}}, nil, false, next)
			}
			for out > 0 {
				(<-posted)()
			}
			b.ReportMetric(float64(s.Stats.Records)/float64(max(s.Stats.GroupCommits, 1)), "records/sync")
			b.ReportMetric(float64(s.Stats.BytesWritten)/float64(max(s.Stats.UserBytes, 1)), "written/user")
		})
	}
}

// BenchmarkRecovery opens a store of so many records.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{10_000, 1_000_000, 10_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newMemory()
			bounds := DefaultLimits
			bounds.MaxKeys, bounds.MaxBytes = 20_000_000, 4<<30
			s, err := Open(m, bounds)
			if err != nil {
				b.Fatal(err)
			}
			for i := range n {
				_ = s.Commit([]Op{{fmt.Sprintf("key%09d", i), make([]byte, 50)}}, nil, true, nil)
				m.out(1)
				m.past = nil
			}
			s.Flush()
			for len(m.answer) > 0 {
				m.out(100)
			}
			for b.Loop() {
				back, err := Open(m, bounds)
				if err != nil || back.Len() != n {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
			b.ReportMetric(float64(s.Stats.BytesWritten)/float64(s.Stats.UserBytes), "written/user")
		})
	}
}

type item struct {
	key   string
	value []byte
}

// BenchmarkIndex sets random keys and scans prefixes, beside a plain map that is sorted for each scan and a registry's tree.
func BenchmarkIndex(b *testing.B) {
	const n = 200_000
	chance := rand.New(rand.NewSource(1))
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("%08x", chance.Uint32())
	}
	value := make([]byte, 32)
	b.Run("set/blocks", func(b *testing.B) {
		x := &Index{}
		for i := 0; b.Loop(); i++ {
			x.Set(keys[i%n], value)
		}
	})
	b.Run("set/map", func(b *testing.B) {
		x := map[string][]byte{}
		for i := 0; b.Loop(); i++ {
			x[keys[i%n]] = value
		}
	})
	tree := btree.NewG(64, func(a, b item) bool { return a.key < b.key })
	b.Run("set/btree", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			tree.ReplaceOrInsert(item{keys[i%n], value})
		}
	})
	x, plain := &Index{}, map[string][]byte{}
	for _, k := range keys {
		x.Set(k, value)
		plain[k] = value
		tree.ReplaceOrInsert(item{k, value})
	}
	b.Run("scan/blocks", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			x.Scan(keys[i%n][:4], func(string, []byte) bool { return true })
		}
	})
	b.Run("scan/map", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			var some []string
			for k := range plain {
				if k[:4] == keys[i%n][:4] {
					some = append(some, k)
				}
			}
			slices.Sort(some)
		}
	})
	b.Run("scan/btree", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			from := keys[i%n][:4]
			tree.AscendGreaterOrEqual(item{key: from}, func(x item) bool { return x.key[:4] == from })
		}
	})
	b.Run("snapshot+set/blocks", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			if i%1000 == 0 {
				x.Snapshot()
			}
			x.Set(keys[i%n], value)
		}
	})
}

// TestCompactionBlocksNoWrite commits beside snapshots of a large store and looks at the longest commit's call.
func TestCompactionBlocksNoWrite(t *testing.T) {
	var mu sync.Mutex
	var todo []func()
	f, err := OpenFiles(t.TempDir(), func(g func()) { mu.Lock(); todo = append(todo, g); mu.Unlock() })
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := Open(f, DefaultLimits)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100_000 {
		_ = s.Commit([]Op{{fmt.Sprint("key", i), make([]byte, 100)}}, nil, true, nil)
	}
	snapped := false
	s.Compact(func(err error) { snapped = err == nil })
	longest, n := time.Duration(0), 0
	for deadline := time.Now().Add(20 * time.Second); !snapped && time.Now().Before(deadline); n++ {
		began := time.Now()
		_ = s.Commit([]Op{{fmt.Sprint("key", n%100_000), []byte("new")}}, nil, true, nil)
		longest = max(longest, time.Since(began))
		mu.Lock()
		now := todo
		todo = nil
		mu.Unlock()
		for _, g := range now {
			g()
		}
	}
	if !snapped || longest > 100*time.Millisecond {
		t.Errorf("snapshot %v, %d commits beside it, the longest took %v", snapped, n, longest)
	}
	t.Logf("%d commits beside a snapshot of 100,000 keys, the longest took %v", n, longest)
}

// BenchmarkRead reads keys at random, and tells the memory that a key of 12 bytes with a value of 32 takes beside its own bytes.
func BenchmarkRead(b *testing.B) {
	const n = 1_000_000
	memory := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := memory()
	x := &Index{}
	for i := range n {
		x.Set(fmt.Sprintf("key%09d", i), make([]byte, 32))
	}
	beside := float64(memory()-before)/n - 12 - 32
	chance := rand.New(rand.NewSource(1))
	keys := make([]string, 4096)
	for i := range keys {
		keys[i] = fmt.Sprintf("key%09d", chance.Intn(n))
	}
	for i := 0; b.Loop(); i++ {
		if _, some := x.Get(keys[i%len(keys)]); !some {
			b.Fatal("lost")
		}
	}
	b.ReportMetric(beside, "B_beside/key")
}
