// Package vectors keeps vectors that were computed before, for one tenant each, in bounded memory. It is made for many values
// of one size under keys that are digests: values lie side by side in pages, an open table of indices finds them, and one
// bit for each tells whether it was asked for since the hand last passed it. There is nothing to follow and nothing for the
// collector to walk.
package vectors

import "encoding/binary"

// Key is a digest of all that a vector depends on.
type Key [16]byte

const pageSlots = 256

// Cache holds so many values of one size. The hand passes over them from the oldest on and drops the first that was not
// asked for since it last came by; what is new begins without its bit, so that what is asked for once goes first.
type Cache struct {
	size     int // bytes of a value
	capacity int // values
	keys     []Key
	asked    []bool
	pages    [][]byte
	next     []int32 // of the order in which they came, toward the newer
	prev     []int32
	free     []int32
	table    []int32 // slot+1; 0 is none
	old      int32   // -1: none
	young    int32
	hand     int32
	n        int

	Hits, Misses uint64
}

// New makes one for values of a size within so many bytes, all that it takes counted.
func New(size, bytes int) *Cache {
	c := &Cache{size: size, old: -1, young: -1, hand: -1}
	c.capacity = max(bytes/(size+perValue), 1)
	return c
}

// perValue is what a value takes beside itself: its key, its bit, two links, and its part of the table.
const perValue = 16 + 1 + 8 + 8

// Bytes is what the cache takes now, about.
func (c *Cache) Bytes() int {
	return len(c.pages)*pageSlots*c.size + cap(c.keys)*16 + cap(c.asked) + (cap(c.next)+cap(c.prev)+cap(c.table)+cap(c.free))*4
}

// Len is how many values it holds, Most how many it may.
func (c *Cache) Len() int      { return c.n }
func (c *Cache) Capacity() int { return c.capacity }

func (c *Cache) home(k Key) int {
	return int(binary.LittleEndian.Uint64(k[:]) & uint64(len(c.table)-1))
}

// find gives the place in the table, and the slot or -1.
func (c *Cache) find(k Key) (at int, slot int32) {
	if len(c.table) == 0 {
		return 0, -1
	}
	for at = c.home(k); c.table[at] != 0; at = (at + 1) & (len(c.table) - 1) {
		if s := c.table[at] - 1; c.keys[s] == k {
			return at, s
		}
	}
	return at, -1
}

func (c *Cache) value(slot int32) []byte {
	at := int(slot) % pageSlots * c.size
	return c.pages[int(slot)/pageSlots][at : at+c.size]
}

// Get gives a value; it is good until the next Put.
func (c *Cache) Get(k Key) ([]byte, bool) {
	_, s := c.find(k)
	if s < 0 {
		c.Misses++
		return nil, false
	}
	c.Hits++
	c.asked[s] = true
	return c.value(s), true
}

// Put keeps a value of the cache's size; others are not kept.
func (c *Cache) Put(k Key, value []byte) {
	if len(value) != c.size {
		return
	}
	if _, s := c.find(k); s >= 0 {
		copy(c.value(s), value)
		return
	}
	if c.n >= c.capacity {
		c.evict()
	}
	if 2*(c.n+1) > len(c.table) {
		c.grow()
	}
	s := c.slot()
	copy(c.value(s), value)
	c.keys[s], c.asked[s] = k, false
	c.next[s], c.prev[s] = -1, c.young
	if c.young >= 0 {
		c.next[c.young] = s
	} else {
		c.old = s
	}
	c.young = s
	at, _ := c.find(k)
	c.table[at] = s + 1
	c.n++
}

func (c *Cache) slot() int32 {
	if n := len(c.free); n > 0 {
		s := c.free[n-1]
		c.free = c.free[:n-1]
		return s
	}
	s := int32(len(c.keys))
	c.keys, c.asked = append(c.keys, Key{}), append(c.asked, false)
	c.next, c.prev = append(c.next, -1), append(c.prev, -1)
	if int(s)/pageSlots == len(c.pages) {
		c.pages = append(c.pages, make([]byte, pageSlots*c.size))
	}
	return s
}

func (c *Cache) grow() {
	c.table = make([]int32, max(2*len(c.table), 64))
	for s := c.old; s >= 0; s = c.next[s] {
		at, _ := c.find(c.keys[s])
		c.table[at] = s + 1
	}
}

// evict moves the hand on, from the old to the young and round, to the first that nobody asked for.
func (c *Cache) evict() {
	s := c.hand
	if s < 0 {
		s = c.old
	}
	for c.asked[s] {
		c.asked[s] = false
		if s = c.next[s]; s < 0 {
			s = c.old
		}
	}
	c.hand = c.next[s]
	c.drop(s)
}

func (c *Cache) drop(s int32) {
	if p := c.prev[s]; p >= 0 {
		c.next[p] = c.next[s]
	} else {
		c.old = c.next[s]
	}
	if n := c.next[s]; n >= 0 {
		c.prev[n] = c.prev[s]
	} else {
		c.young = c.prev[s]
	}
	at, _ := c.find(c.keys[s])
	c.table[at] = 0
	// Those behind it that were pushed on by it move up, so that no mark of what is gone has to stay.
	mask := len(c.table) - 1
	for j := (at + 1) & mask; c.table[j] != 0; j = (j + 1) & mask {
		home := c.home(c.keys[c.table[j]-1])
		if (j-home)&mask >= (j-at)&mask {
			c.table[at], c.table[j] = c.table[j], 0
			at = j
		}
	}
	c.free = append(c.free, s)
	c.n--
}
