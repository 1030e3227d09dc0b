package vectors

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"math/rand"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

func key(n uint64) (k Key) {
	binary.LittleEndian.PutUint64(k[:], n*0x9e3779b97f4a7c15)
	binary.LittleEndian.PutUint64(k[8:], n)
	return k
}

// Against a plain map: what it gives was put there last under that key, it never holds more than it may, and what was asked
// for since the hand passed is not what goes.
func TestAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(t, "size")
		c := New(size, rapid.IntRange(1, 40).Draw(t, "values")*(size+perValue))
		plain := map[Key]string{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			k := key(uint64(rapid.IntRange(0, 60).Draw(t, "key")))
			k[0] &= 3 // many homes alike
			if rapid.Bool().Draw(t, "put") {
				v := make([]byte, size)
				v[0] = byte(rapid.IntRange(0, 255).Draw(t, "value"))
				c.Put(k, v)
				plain[k] = string(v)
				if got, some := c.Get(k); !some || string(got) != string(v) {
					t.Fatalf("what was put is not there")
				}
			} else if got, some := c.Get(k); some && string(got) != plain[k] {
				t.Fatalf("%x: %q, want %q", k, got, plain[k])
			}
			if c.Len() > c.Capacity() {
				t.Fatalf("%d values, %d at most", c.Len(), c.Capacity())
			}
			n := 0
			for s := c.old; s >= 0; s = c.next[s] {
				if _, at := c.find(c.keys[s]); at != s {
					t.Fatalf("slot %d is not found", s)
				}
				n++
			}
			if n != c.Len() {
				t.Fatalf("%d in order, %d counted", n, c.Len())
			}
		}
		c.Put(key(1), make([]byte, size+1)) // not its size: not kept, no crash
	})
}

// lru is the plain structure: a list and a map.
type lru struct {
	most int
	at   map[Key]*list.Element
	all  list.List
}

type entry struct {
	k Key
	v []byte
}

func (l *lru) get(k Key) bool {
	e := l.at[k]
	if e != nil {
		l.all.MoveToFront(e)
	}
	return e != nil
}

func (l *lru) put(k Key, v []byte) {
	if l.all.Len() >= l.most {
		last := l.all.Back()
		delete(l.at, last.Value.(entry).k)
		l.all.Remove(last)
	}
	l.at[k] = l.all.PushFront(entry{k, append([]byte(nil), v...)})
}

// BenchmarkCache asks for texts of which few are asked for often, with a run over many that come once now and then, as when
// a collection is embedded; it gives the share of hits and the memory of each value.
func BenchmarkCache(b *testing.B) {
	const size, most = 1536 * 4, 4000
	asks := func() func() uint64 {
		chance := rand.New(rand.NewSource(1))
		often := rand.NewZipf(chance, 1.1, 8, 100_000)
		once, run := uint64(1<<40), 0
		return func() uint64 {
			if run == 0 && chance.Intn(2000) == 0 {
				run = 3000
			}
			if run > 0 {
				run--
				once++
				return once
			}
			return often.Uint64()
		}
	}
	value := make([]byte, size)
	memory := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	report := func(b *testing.B, before uint64, hits int, keep any) {
		b.ReportMetric(float64(hits)/float64(b.N), "hits/ask")
		b.ReportMetric(float64(memory()-before)/most-size, "B_beside/value")
		runtime.KeepAlive(keep)
	}
	b.Run("hand", func(b *testing.B) {
		before := memory()
		c := New(size, most*(size+perValue))
		next, hits := asks(), 0
		for range b.N {
			k := key(next())
			if _, some := c.Get(k); some {
				hits++
			} else {
				c.Put(k, value)
			}
		}
		b.StopTimer()
		report(b, before, hits, c)
	})
	b.Run("lru", func(b *testing.B) {
		before := memory()
		c := &lru{most: most, at: map[Key]*list.Element{}}
		next, hits := asks(), 0
		for range b.N {
			k := key(next())
			if c.get(k) {
				hits++
			} else {
				c.put(k, value)
			}
		}
		b.StopTimer()
		report(b, before, hits, c)
	})
}

// The bound counts all that it takes.
func TestBytes(t *testing.T) {
	c := New(400, 1<<20)
	for n := range uint64(20_000) {
		c.Put(key(n), make([]byte, 400))
	}
	if c.Bytes() > 1<<20+pageSlots*400 || c.Len() < 1<<20/(400+perValue) {
		t.Error(fmt.Sprint(c.Bytes(), " bytes, ", c.Len(), " values"))
	}
}
