package store

import (
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/google/btree"
)

// BenchmarkCommit measures durable commits by concurrent writers, each of which waits for its commit before the next.
func BenchmarkCommit(b *testing.B) {
	for _, writers := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(writers), func(b *testing.B) {
			posted := make(chan func(), 4096)
			files, err := OpenFiles(b.TempDir(), func(answer func()) { posted <- answer })
			if err != nil {
				b.Fatal(err)
			}
			defer files.Close()
			s, err := Open(files, DefaultLimits)
			if err != nil {
				b.Fatal(err)
			}
			left, outstanding := b.N, 0
			value := make([]byte, 100)
			var done func(error)
			commit := func() {
				left--
				outstanding++
				op := Op{Key: fmt.Sprint("key", left%100000), Value: value}
				if err := s.Commit([]Op{op}, nil, WriteNow, done); err != nil {
					b.Fatal(err)
				}
			}
			done = func(error) {
				outstanding--
				if left > 0 {
					commit()
				}
			}
			b.ResetTimer()
			for range min(writers, b.N) {
				commit()
			}
			for outstanding > 0 {
				(<-posted)()
			}
			b.ReportMetric(float64(s.Stats.Records)/float64(max(s.Stats.GroupCommits, 1)), "records/sync")
			b.ReportMetric(float64(s.Stats.BytesWritten)/float64(max(s.Stats.UserBytes, 1)), "written/user")
		})
	}
}

// BenchmarkRecovery measures how long it takes to open a store.
func BenchmarkRecovery(b *testing.B) {
	for _, records := range []int{10_000, 1_000_000, 10_000_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			disk := newMemoryDisk()
			limits := DefaultLimits
			limits.MaxKeys, limits.MaxBytes = 20_000_000, 4<<30
			s, err := Open(disk, limits)
			if err != nil {
				b.Fatal(err)
			}
			for i := range records {
				op := Op{Key: fmt.Sprintf("key%09d", i), Value: make([]byte, 50)}
				if err := s.Commit([]Op{op}, nil, WriteLazy, nil); err != nil {
					b.Fatal(err)
				}
				disk.answer(1)
				disk.history = nil
			}
			s.Flush()
			for len(disk.answers) > 0 {
				disk.answer(100)
			}
			for b.Loop() {
				recovered, err := Open(disk, limits)
				if err != nil || recovered.Len() != records {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(records)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
			b.ReportMetric(float64(s.Stats.BytesWritten)/float64(s.Stats.UserBytes), "written/user")
		})
	}
}

const (
	indexKeys        = 200_000
	scanPrefixLength = 4    // characters
	snapshotEvery    = 1000 // calls of Set
)

type treeItem struct {
	key   string
	value []byte
}

func randomKeys() []string {
	random := rand.New(rand.NewSource(1))
	keys := make([]string, indexKeys)
	for i := range keys {
		keys[i] = fmt.Sprintf("%08x", random.Uint32())
	}
	return keys
}

func newTree() *btree.BTreeG[treeItem] {
	return btree.NewG(64, func(a, b treeItem) bool { return a.key < b.key })
}

// BenchmarkIndexSet sets random keys in an Index and, for comparison, in a plain map and a B-tree.
func BenchmarkIndexSet(b *testing.B) {
	keys, value := randomKeys(), make([]byte, 32)
	b.Run("blocks", func(b *testing.B) {
		index := &Index{}
		for i := 0; b.Loop(); i++ {
			index.Set(keys[i%indexKeys], value)
		}
	})
	b.Run("map", func(b *testing.B) {
		plain := map[string][]byte{}
		for i := 0; b.Loop(); i++ {
			plain[keys[i%indexKeys]] = value
		}
	})
	b.Run("btree", func(b *testing.B) {
		tree := newTree()
		for i := 0; b.Loop(); i++ {
			tree.ReplaceOrInsert(treeItem{keys[i%indexKeys], value})
		}
	})
	b.Run("blocks+snapshots", func(b *testing.B) {
		index := &Index{}
		for _, key := range keys {
			index.Set(key, value)
		}
		for i := 0; b.Loop(); i++ {
			if i%snapshotEvery == 0 {
				index.Snapshot()
			}
			index.Set(keys[i%indexKeys], value)
		}
	})
}

// BenchmarkIndexScan scans prefixes in an Index and, for comparison, in a B-tree and a plain map, whose matching keys
// are sorted in each scan.
func BenchmarkIndexScan(b *testing.B) {
	keys, value := randomKeys(), make([]byte, 32)
	index, plain, tree := &Index{}, map[string][]byte{}, newTree()
	for _, key := range keys {
		index.Set(key, value)
		plain[key] = value
		tree.ReplaceOrInsert(treeItem{key, value})
	}
	b.Run("blocks", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			index.Scan(keys[i%indexKeys][:scanPrefixLength], func(string, []byte) bool { return true })
		}
	})
	b.Run("map", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			prefix := keys[i%indexKeys][:scanPrefixLength]
			var found []string
			for key := range plain {
				if strings.HasPrefix(key, prefix) {
					found = append(found, key)
				}
			}
			slices.Sort(found)
		}
	})
	b.Run("btree", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			prefix := keys[i%indexKeys][:scanPrefixLength]
			tree.AscendGreaterOrEqual(treeItem{key: prefix}, func(item treeItem) bool {
				return strings.HasPrefix(item.key, prefix)
			})
		}
	})
}

// BenchmarkRead reads random keys. It also reports the memory overhead of a key of 12 bytes with a value of 32 bytes.
func BenchmarkRead(b *testing.B) {
	const keys, keyBytes, valueBytes = 1_000_000, 12, 32
	heapBytes := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heapBytes()
	index := &Index{}
	for i := range keys {
		index.Set(fmt.Sprintf("key%09d", i), make([]byte, valueBytes))
	}
	overhead := float64(heapBytes()-before)/keys - keyBytes - valueBytes
	random := rand.New(rand.NewSource(1))
	reads := make([]string, 4096)
	for i := range reads {
		reads[i] = fmt.Sprintf("key%09d", random.Intn(keys))
	}
	for i := 0; b.Loop(); i++ {
		if _, found := index.Get(reads[i%len(reads)]); !found {
			b.Fatal("a key is missing")
		}
	}
	b.ReportMetric(overhead, "B_beside/key")
}
