package store

import (
	"math"
	"slices"
	"sort"
	"strings"
)

// maxBlockKeys is the largest number of keys in a block; a block with more is split.
const maxBlockKeys = 256

// Index is an ordered map with cheap copy-on-write snapshots. It holds its keys in order, in a sequence of blocks. A
// snapshot shares the blocks with its index, which copies a shared block before it changes it.
type Index struct {
	blocks []*block
	size   int // number of keys

	// version is the number of snapshots taken. A block whose version is not above this number may be shared with a
	// snapshot. In a snapshot, version is MaxUint64, so all blocks count as shared.
	version uint64

	sharedBlocks bool // the array behind the slice blocks is shared with a snapshot
}

type block struct {
	keys    []string
	values  [][]byte
	version uint64 // the index's version when the block was created, plus 1
}

// Len returns the number of keys.
func (x *Index) Len() int { return x.size }

// blockPosition returns the position of the block that a key belongs to. The index must have at least one block.
func (x *Index) blockPosition(key string) int {
	after := sort.Search(len(x.blocks), func(i int) bool { return x.blocks[i].keys[0] > key })
	return max(after-1, 0)
}

// Get returns the value of a key.
func (x *Index) Get(key string) ([]byte, bool) {
	if len(x.blocks) == 0 {
		return nil, false
	}
	b := x.blocks[x.blockPosition(key)]
	position, found := slices.BinarySearch(b.keys, key)
	if !found {
		return nil, false
	}
	return b.values[position], true
}

// writableBlock returns block i, which the caller may change. A block that a snapshot may share is first replaced by a
// copy.
func (x *Index) writableBlock(i int) *block {
	if x.sharedBlocks {
		x.blocks = slices.Clone(x.blocks)
		x.sharedBlocks = false
	}
	b := x.blocks[i]
	if b.version <= x.version {
		b = x.newBlock(b.keys, b.values)
		x.blocks[i] = b
	}
	return b
}

// newBlock returns an unshared block with copies of the slices keys and values.
func (x *Index) newBlock(keys []string, values [][]byte) *block {
	return &block{keys: slices.Clone(keys), values: slices.Clone(values), version: x.version + 1}
}

// Set sets the value of a key and reports whether the key is new.
func (x *Index) Set(key string, value []byte) (added bool) {
	if len(x.blocks) == 0 {
		x.blocks = []*block{x.newBlock([]string{key}, [][]byte{value})}
		x.sharedBlocks = false
		x.size++
		return true
	}
	i := x.blockPosition(key)
	b := x.writableBlock(i)
	position, found := slices.BinarySearch(b.keys, key)
	if found {
		b.values[position] = value
		return false
	}
	b.keys = slices.Insert(b.keys, position, key)
	b.values = slices.Insert(b.values, position, value)
	x.size++
	if len(b.keys) > maxBlockKeys {
		x.split(i, position)
	}
	return true
}

// split splits block i, into which a key was just inserted at the position inserted. If the key is the last of the
// block, keys probably arrive in ascending order. In this case only the new key moves to the new block, to leave full
// blocks behind.
func (x *Index) split(i, inserted int) {
	b := x.blocks[i]
	middle := len(b.keys) / 2
	if inserted == len(b.keys)-1 {
		middle = inserted
	}
	right := x.newBlock(b.keys[middle:], b.values[middle:])
	clear(b.values[middle:])
	b.keys, b.values = b.keys[:middle], b.values[:middle]
	x.blocks = slices.Insert(x.blocks, i+1, right)
}

// Delete deletes a key and reports whether it was present.
func (x *Index) Delete(key string) bool {
	if len(x.blocks) == 0 {
		return false
	}
	i := x.blockPosition(key)
	position, found := slices.BinarySearch(x.blocks[i].keys, key)
	if !found {
		return false
	}
	b := x.writableBlock(i)
	b.keys = slices.Delete(b.keys, position, position+1)
	b.values = slices.Delete(b.values, position, position+1)
	x.size--
	if len(b.keys) == 0 {
		x.blocks = slices.Delete(x.blocks, i, i+1)
	}
	return true
}

// Snapshot returns an immutable copy of the current index.
func (x *Index) Snapshot() *Index {
	x.version++
	x.sharedBlocks = true
	return &Index{blocks: x.blocks, size: x.size, version: math.MaxUint64, sharedBlocks: true}
}

// Scan calls visit for every key with the prefix, in order, until visit returns false.
func (x *Index) Scan(prefix string, visit func(key string, value []byte) bool) {
	x.ScanFrom(prefix, prefix, visit)
}

// ScanFrom is like Scan but skips the keys below from, which must itself begin with the prefix.
func (x *Index) ScanFrom(from, prefix string, visit func(key string, value []byte) bool) {
	if len(x.blocks) == 0 {
		return
	}
	first := x.blockPosition(from)
	position, _ := slices.BinarySearch(x.blocks[first].keys, from)
	for _, b := range x.blocks[first:] {
		for ; position < len(b.keys); position++ {
			if !strings.HasPrefix(b.keys[position], prefix) || !visit(b.keys[position], b.values[position]) {
				return
			}
		}
		position = 0
	}
}
