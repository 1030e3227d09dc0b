// Package vectors caches embedding vectors that were computed before, in bounded memory. It is made for many values of
// one size under keys that are digests: values lie side by side in pages, an open-addressing hash table of indices
// finds them, and eviction is by SIEVE, with one flag for each value. There are few pointers for the garbage collector
// to follow.
//
// A Cache owns its memory. It may exceed its limit by the page that is being filled, and by what the hash table and the
// other index slices reserve when they grow, which matters only for small values. It has no lock: it relies on being
// used from one goroutine. What tenant may see which vector is up to the caller, who makes a Cache for each.
package vectors

import "encoding/binary"

// Key is a digest of everything that a vector depends on.
type Key [16]byte

const (
	pageSlots    = 256 // values of a page
	minTableSize = 64
	noSlot       = -1
	// overheadBytes is what a value takes beside itself: its key, its visited flag, two links and its part of the table.
	overheadBytes = 16 + 1 + 8 + 8
)

// Cache holds values of one size. A hand passes over them from the oldest to the newest and round, and evicts the first
// that was not read since it last passed; a new value counts as not read, so that what is read only once goes first.
type Cache struct {
	Hits, Misses uint64

	valueSize int // bytes
	capacity  int // values
	count     int
	pages     [][]byte
	freeSlots []int32
	table     []int32 // slot+1, or 0 for none

	// Of each slot.
	keys    []Key
	visited []bool
	newer   []int32 // the next in the order of their insertion, or noSlot
	older   []int32

	oldest int32
	newest int32
	hand   int32
}

// New makes a cache for values of a size within a number of bytes, overheadBytes for each value counted.
func New(valueSize, maxBytes int) *Cache {
	capacity := max(maxBytes/(valueSize+overheadBytes), 1)
	return &Cache{valueSize: valueSize, capacity: capacity, oldest: noSlot, newest: noSlot, hand: noSlot}
}

// Bytes returns about how much memory the cache takes now.
func (c *Cache) Bytes() int {
	indices := cap(c.newer) + cap(c.older) + cap(c.table) + cap(c.freeSlots)
	return len(c.pages)*pageSlots*c.valueSize + cap(c.keys)*len(Key{}) + cap(c.visited) + indices*4
}

// Len returns how many values the cache holds.
func (c *Cache) Len() int { return c.count }

// Capacity returns how many values the cache may hold.
func (c *Cache) Capacity() int { return c.capacity }

// Get returns a value; it is valid until the next Put.
func (c *Cache) Get(key Key) ([]byte, bool) {
	_, slot := c.find(key)
	if slot == noSlot {
		c.Misses++
		return nil, false
	}
	c.Hits++
	c.visited[slot] = true
	return c.value(slot), true
}

// Put stores a copy of a value of the cache's size; others are ignored.
func (c *Cache) Put(key Key, value []byte) {
	if len(value) != c.valueSize {
		return
	}
	if _, slot := c.find(key); slot != noSlot {
		copy(c.value(slot), value)
		return
	}
	if c.count >= c.capacity {
		c.evict()
	}
	if 2*(c.count+1) > len(c.table) {
		c.growTable()
	}
	slot := c.takeSlot()
	copy(c.value(slot), value)
	c.keys[slot], c.visited[slot] = key, false
	c.linkNewest(slot)
	at, _ := c.find(key)
	c.table[at] = slot + 1
	c.count++
}

// bucket returns the place in the table where the search for a key begins.
func (c *Cache) bucket(key Key) int {
	return int(binary.LittleEndian.Uint64(key[:]) & uint64(len(c.table)-1))
}

// find returns the place of a key in the table, and its slot or noSlot.
func (c *Cache) find(key Key) (at int, slot int32) {
	if len(c.table) == 0 {
		return 0, noSlot
	}
	for at = c.bucket(key); c.table[at] != 0; at = (at + 1) & (len(c.table) - 1) {
		if slot := c.table[at] - 1; c.keys[slot] == key {
			return at, slot
		}
	}
	return at, noSlot
}

func (c *Cache) value(slot int32) []byte {
	offset := int(slot) % pageSlots * c.valueSize
	return c.pages[int(slot)/pageSlots][offset : offset+c.valueSize]
}

// takeSlot returns a free slot, or adds one.
func (c *Cache) takeSlot() int32 {
	if n := len(c.freeSlots); n > 0 {
		slot := c.freeSlots[n-1]
		c.freeSlots = c.freeSlots[:n-1]
		return slot
	}
	slot := int32(len(c.keys))
	c.keys, c.visited = append(c.keys, Key{}), append(c.visited, false)
	c.newer, c.older = append(c.newer, noSlot), append(c.older, noSlot)
	if int(slot)/pageSlots == len(c.pages) {
		c.pages = append(c.pages, make([]byte, pageSlots*c.valueSize))
	}
	return slot
}

func (c *Cache) linkNewest(slot int32) {
	c.newer[slot], c.older[slot] = noSlot, c.newest
	if c.newest != noSlot {
		c.newer[c.newest] = slot
	} else {
		c.oldest = slot
	}
	c.newest = slot
}

func (c *Cache) unlink(slot int32) {
	if older := c.older[slot]; older != noSlot {
		c.newer[older] = c.newer[slot]
	} else {
		c.oldest = c.newer[slot]
	}
	if newer := c.newer[slot]; newer != noSlot {
		c.older[newer] = c.older[slot]
	} else {
		c.newest = c.older[slot]
	}
}

func (c *Cache) growTable() {
	c.table = make([]int32, max(2*len(c.table), minTableSize))
	for slot := c.oldest; slot != noSlot; slot = c.newer[slot] {
		at, _ := c.find(c.keys[slot])
		c.table[at] = slot + 1
	}
}

// evict moves the hand on to the first value that was not visited, and removes that.
func (c *Cache) evict() {
	slot := c.hand
	if slot == noSlot {
		slot = c.oldest
	}
	for c.visited[slot] {
		c.visited[slot] = false
		if slot = c.newer[slot]; slot == noSlot {
			slot = c.oldest
		}
	}
	c.hand = c.newer[slot]
	c.remove(slot)
}

func (c *Cache) remove(slot int32) {
	c.unlink(slot)
	at, _ := c.find(c.keys[slot])
	c.table[at] = 0
	c.closeGap(at)
	c.freeSlots = append(c.freeSlots, slot)
	c.count--
}

// closeGap moves the entries behind a gap in the table back that were displaced by what was there, so that searches
// for them don't end at the gap and no tombstone is needed.
func (c *Cache) closeGap(gap int) {
	mask := len(c.table) - 1
	for at := (gap + 1) & mask; c.table[at] != 0; at = (at + 1) & mask {
		bucket := c.bucket(c.keys[c.table[at]-1])
		if (at-bucket)&mask >= (at-gap)&mask {
			c.table[gap], c.table[at] = c.table[at], 0
			gap = at
		}
	}
}
