// Package vectors caches computed embedding vectors in bounded memory. It is designed for many values of one size, with
// digests as keys: values are stored contiguously in pages, an open-addressing hash table of indices finds them, and
// the SIEVE algorithm evicts them, with one flag for each value. This layout leaves the garbage collector few pointers
// to follow.
//
// A Cache owns its memory. It may exceed its limit by the page that is being filled, and by what the hash table and the
// other index slices reserve when they grow, which matters only for small values. It has no lock and must be used from
// one goroutine only. The caller isolates tenants from each other by making a Cache for each.
package vectors

import "encoding/binary"

// Key is a digest of everything that a vector depends on.
type Key [16]byte

const (
	pageSlots    = 256 // values in a page
	minTableSize = 64  // entries
	noSlot       = -1
	// overheadBytes is the memory for each value in addition to the value itself: its key, its visited flag, two links
	// and two entries of the table.
	overheadBytes = 16 + 1 + 8 + 8
)

// Cache holds values of one size. To evict a value, SIEVE's hand moves from older to newer values, and from the newest
// value back to the oldest, and stops at the first value that was not read since the hand last passed it. A new value
// counts as not read, so that values that are requested only once are evicted first.
type Cache struct {
	Hits, Misses uint64

	valueSize int // bytes
	capacity  int // values
	count     int
	pages     [][]byte
	freeSlots []int32
	table     []int32 // slot+1 of each entry, or 0 for an empty entry

	// These slices are indexed by slot, the position of a value in the pages.
	keys    []Key
	visited []bool  // whether the value was read since the hand last passed it
	newer   []int32 // the slot that was inserted next, or noSlot
	older   []int32 // the slot that was inserted before, or noSlot

	oldest int32
	newest int32
	hand   int32 // the slot at which the next eviction begins; noSlot: at the oldest
}

// New returns a cache for values of valueSize bytes. Its capacity is as many values as fit into maxBytes, with
// overheadBytes added to each, but at least one.
func New(valueSize, maxBytes int) *Cache {
	capacity := max(maxBytes/(valueSize+overheadBytes), 1)
	return &Cache{valueSize: valueSize, capacity: capacity, oldest: noSlot, newest: noSlot, hand: noSlot}
}

// Bytes returns approximately how much memory the cache takes now.
func (c *Cache) Bytes() int {
	indices := cap(c.newer) + cap(c.older) + cap(c.table) + cap(c.freeSlots)
	return len(c.pages)*pageSlots*c.valueSize + cap(c.keys)*len(Key{}) + cap(c.visited) + indices*4
}

// Len returns how many values the cache holds.
func (c *Cache) Len() int { return c.count }

// Capacity returns how many values the cache may hold.
func (c *Cache) Capacity() int { return c.capacity }

// Get returns the value of a key and whether there is one. The value is valid until the next Put.
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

// Put stores a copy of a value. It ignores a value whose size is not that of the cache.
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
	slot := c.allocateSlot()
	copy(c.value(slot), value)
	c.keys[slot], c.visited[slot] = key, false
	c.linkNewest(slot)
	index, _ := c.find(key)
	c.table[index] = slot + 1
	c.count++
}

// bucket returns the index in the table at which the search for a key begins.
func (c *Cache) bucket(key Key) int {
	return int(binary.LittleEndian.Uint64(key[:]) & uint64(len(c.table)-1))
}

// find returns a key's index in the table and its slot. For an unknown key it returns the index of the empty entry at
// which the key is to be inserted, and noSlot.
func (c *Cache) find(key Key) (index int, slot int32) {
	if len(c.table) == 0 {
		return 0, noSlot
	}
	for index = c.bucket(key); c.table[index] != 0; index = (index + 1) & (len(c.table) - 1) {
		if slot := c.table[index] - 1; c.keys[slot] == key {
			return index, slot
		}
	}
	return index, noSlot
}

func (c *Cache) value(slot int32) []byte {
	offset := int(slot) % pageSlots * c.valueSize
	return c.pages[int(slot)/pageSlots][offset : offset+c.valueSize]
}

// allocateSlot returns a free slot, or appends a new one.
func (c *Cache) allocateSlot() int32 {
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

// linkNewest appends a slot to the list of slots in insertion order.
func (c *Cache) linkNewest(slot int32) {
	c.newer[slot], c.older[slot] = noSlot, c.newest
	if c.newest != noSlot {
		c.newer[c.newest] = slot
	} else {
		c.oldest = slot
	}
	c.newest = slot
}

// unlink removes a slot from the list of slots in insertion order.
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

// growTable doubles the table and inserts all keys anew.
func (c *Cache) growTable() {
	c.table = make([]int32, max(2*len(c.table), minTableSize))
	for slot := c.oldest; slot != noSlot; slot = c.newer[slot] {
		index, _ := c.find(c.keys[slot])
		c.table[index] = slot + 1
	}
}

// evict moves the hand to the next value that was not visited, and removes that value.
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
	index, _ := c.find(c.keys[slot])
	c.table[index] = 0
	c.fillGap(index)
	c.freeSlots = append(c.freeSlots, slot)
	c.count--
}

// fillGap restores the probe sequences after an entry was removed from the table, by backward shift deletion: it moves
// back the later entries that the removed one had displaced. Searches for them then don't end at the gap, and no
// tombstone is needed.
func (c *Cache) fillGap(gap int) {
	mask := len(c.table) - 1
	for index := (gap + 1) & mask; c.table[index] != 0; index = (index + 1) & mask {
		bucket := c.bucket(c.keys[c.table[index]-1])
		if (index-bucket)&mask >= (index-gap)&mask {
			c.table[gap], c.table[index] = c.table[index], 0
			gap = index
		}
	}
}
