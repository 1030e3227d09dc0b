package vectors

import (
	"container/list"
	"encoding/binary"
	"math/rand"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

func testKey(n uint64) (key Key) {
	binary.LittleEndian.PutUint64(key[:], n*0x9e3779b97f4a7c15)
	binary.LittleEndian.PutUint64(key[8:], n)
	return key
}

// The cache returns the value that was stored last under a key, and never holds more values than its capacity.
func TestCacheMatchesAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(t, "size")
		c := New(size, rapid.IntRange(1, 40).Draw(t, "capacity")*(size+overheadBytes))
		stored := map[Key]string{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			key := testKey(uint64(rapid.IntRange(0, 60).Draw(t, "key")))
			key[0] &= 3 // so that many keys share a bucket
			if rapid.Bool().Draw(t, "put") {
				value := make([]byte, size)
				value[0] = byte(rapid.IntRange(0, 255).Draw(t, "value"))
				c.Put(key, value)
				stored[key] = string(value)
				if got, found := c.Get(key); !found || string(got) != string(value) {
					t.Fatalf("%x: %q right after it was stored, want %q", key, got, value)
				}
			} else if got, found := c.Get(key); found && string(got) != stored[key] {
				t.Fatalf("%x: %q, want %q", key, got, stored[key])
			}
			checkInvariants(t, c)
		}
		c.Put(testKey(1), make([]byte, size+1)) // ignored because of its size
		checkInvariants(t, c)
	})
}

// checkInvariants checks that the cache keeps to its capacity, and that the table finds each value of the list in
// insertion order.
func checkInvariants(t *rapid.T, c *Cache) {
	t.Helper()
	if c.Len() > c.Capacity() {
		t.Fatalf("%d values, capacity is %d", c.Len(), c.Capacity())
	}
	listed := 0
	for slot := c.oldest; slot != noSlot; slot = c.newer[slot] {
		if _, found := c.find(c.keys[slot]); found != slot {
			t.Fatalf("slot %d is not found", slot)
		}
		listed++
	}
	if listed != c.Len() {
		t.Fatalf("%d values in the list, Len is %d", listed, c.Len())
	}
}

// A cache of values of 400 bytes exceeds its limit by one page at most, and is filled to its capacity.
func TestCacheStaysWithinItsBytes(t *testing.T) {
	const size, maxBytes = 400, 1 << 20
	c := New(size, maxBytes)
	for n := range uint64(20_000) {
		c.Put(testKey(n), make([]byte, size))
	}
	if c.Bytes() > maxBytes+pageSlots*size || c.Len() < maxBytes/(size+overheadBytes) {
		t.Errorf("%d bytes, %d values, limit is %d bytes", c.Bytes(), c.Len(), maxBytes)
	}
}

// lru is a cache made of a list and a map, which evicts the least recently used value. It is for comparison.
type lru struct {
	capacity int
	elements map[Key]*list.Element
	order    list.List
}

type lruEntry struct {
	key   Key
	value []byte
}

func (l *lru) Get(key Key) ([]byte, bool) {
	element := l.elements[key]
	if element == nil {
		return nil, false
	}
	l.order.MoveToFront(element)
	return element.Value.(lruEntry).value, true
}

func (l *lru) Put(key Key, value []byte) {
	if l.order.Len() >= l.capacity {
		last := l.order.Back()
		delete(l.elements, last.Value.(lruEntry).key)
		l.order.Remove(last)
	}
	l.elements[key] = l.order.PushFront(lruEntry{key, append([]byte(nil), value...)})
}

// skewedKeys returns a source of keys with a Zipf distribution, in which few keys are requested often. Now and then the
// source returns a run of keys that occur only once, as when a collection of documents is embedded.
func skewedKeys() func() uint64 {
	random := rand.New(rand.NewSource(1))
	popular := rand.NewZipf(random, 1.1, 8, 100_000)
	unique, run := uint64(1<<40), 0
	return func() uint64 {
		if run == 0 && random.Intn(2000) == 0 {
			run = 3000
		}
		if run > 0 {
			run--
			unique++
			return unique
		}
		return popular.Uint64()
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCache reports the hit ratio and the memory overhead of each value.
func BenchmarkCache(b *testing.B) {
	const size, capacity = 1536 * 4, 4000
	type cache interface {
		Get(key Key) ([]byte, bool)
		Put(key Key, value []byte)
	}
	value := make([]byte, size)
	for _, run := range []struct {
		name string
		make func() cache
	}{
		{"sieve", func() cache { return New(size, capacity*(size+overheadBytes)) }},
		{"lru", func() cache { return &lru{capacity: capacity, elements: map[Key]*list.Element{}} }},
	} {
		b.Run(run.name, func(b *testing.B) {
			before := heapBytes()
			tested, next, hits := run.make(), skewedKeys(), 0
			for range b.N {
				key := testKey(next())
				if _, found := tested.Get(key); found {
					hits++
				} else {
					tested.Put(key, value)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(hits)/float64(b.N), "hits/get")
			b.ReportMetric(float64(heapBytes()-before)/capacity-size, "B_overhead/value")
			runtime.KeepAlive(tested)
		})
	}
}
