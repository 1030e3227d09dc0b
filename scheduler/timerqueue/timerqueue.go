// Package timerqueue is a queue of calls that are due at a time. They run by due time, then in the order in which they
// were set. It reads no clock and starts no goroutine: the owner of a queue calls Run.
package timerqueue

import "container/heap"

// Micros is a time or a span in whole microseconds.
type Micros int64

// Item is one call that falls due.
type Item struct {
	at       Micros
	sequence uint64
	index    int // in the heap; negative once it has run or was dropped
	run      func()
}

// Queue is an ordered queue of calls. Its zero value is ready for use.
type Queue struct {
	items    itemHeap
	sequence uint64
}

// Set adds a call. The first Run at or after its due time runs it.
func (q *Queue) Set(at Micros, run func()) *Item {
	q.sequence++
	item := &Item{at: at, sequence: q.sequence, run: run}
	heap.Push(&q.items, item)
	return item
}

// Drop removes an item. It does nothing for nil and for one that has run or was dropped.
func (q *Queue) Drop(item *Item) {
	if item != nil && item.index >= 0 {
		heap.Remove(&q.items, item.index)
	}
}

// Next is the earliest due time, and whether there is any.
func (q *Queue) Next() (Micros, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// RunOne calls the earliest item, if there is any.
func (q *Queue) RunOne() {
	if len(q.items) > 0 {
		heap.Pop(&q.items).(*Item).run()
	}
}

// Run calls all that is due by now in order, including what these calls add.
func (q *Queue) Run(now Micros) {
	for len(q.items) > 0 && q.items[0].at <= now {
		q.RunOne()
	}
}

// itemHeap implements heap.Interface.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	item.index = -1
	return item
}
