// Package timerqueue provides a queue of function calls that run at or after a due time. Calls run in the order of
// their due times, and calls with the same due time in the order in which they were added. The package reads no clock
// and starts no goroutine: the owner of a queue calls Run.
package timerqueue

import "container/heap"

// Micros is a time or a duration in whole microseconds.
type Micros int64

// Item is one call in a Queue.
type Item struct {
	at       Micros
	sequence uint64
	index    int // position in the heap; negative once the call has run or was dropped
	run      func()
}

// Queue is a priority queue of calls. Its zero value is ready for use.
type Queue struct {
	items    itemHeap
	sequence uint64 // number of calls that were ever added
}

// Set adds a call that is due at the given time. The first Run at or after that time runs it.
func (q *Queue) Set(at Micros, run func()) *Item {
	q.sequence++
	item := &Item{at: at, sequence: q.sequence, run: run}
	heap.Push(&q.items, item)
	return item
}

// Drop removes an item from the queue. It does nothing if the item is nil, has run or was dropped before.
func (q *Queue) Drop(item *Item) {
	if item != nil && item.index >= 0 {
		heap.Remove(&q.items, item.index)
	}
}

// Next returns the earliest due time and reports whether the queue has any call.
func (q *Queue) Next() (Micros, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// RunOne removes the earliest call and runs it. It does nothing if the queue is empty.
func (q *Queue) RunOne() {
	if len(q.items) > 0 {
		heap.Pop(&q.items).(*Item).run()
	}
}

// Run runs all calls that are due by now, in order, including due calls that these calls add.
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
