// Package timerqueue keeps the due times of one instance in order: by time, then by the order of their setting.
package timerqueue

import "container/heap"

// Micros is a time or a span in whole microseconds.
type Micros int64

// Item is one thing that falls due.
type Item struct {
	at    Micros
	seq   uint64
	place int
	run   func()
}

// Queue is the ordered structure. Its zero value is ready for use.
type Queue struct {
	items order
	seq   uint64
}

// Set has run called at the first Run that is not before at.
func (t *Queue) Set(at Micros, run func()) *Item {
	t.seq++
	it := &Item{at: at, seq: t.seq, run: run}
	heap.Push(&t.items, it)
	return it
}

// Drop takes an item back; one that has run or was dropped, or nil, is left alone.
func (t *Queue) Drop(it *Item) {
	if it != nil && it.place >= 0 {
		heap.Remove(&t.items, it.place)
	}
}

// Next tells the earliest due time, and whether there is any.
func (t *Queue) Next() (Micros, bool) {
	if len(t.items) == 0 {
		return 0, false
	}
	return t.items[0].at, true
}

// RunOne calls the earliest, if there is any.
func (t *Queue) RunOne() {
	if len(t.items) > 0 {
		heap.Pop(&t.items).(*Item).run()
	}
}

// Run calls all that is due by now, in order, also what these calls add.
func (t *Queue) Run(now Micros) {
	for len(t.items) > 0 && t.items[0].at <= now {
		t.RunOne()
	}
}

type order []*Item

func (o order) Len() int { return len(o) }
func (o order) Less(i, j int) bool {
	if o[i].at != o[j].at {
		return o[i].at < o[j].at
	}
	return o[i].seq < o[j].seq
}
func (o order) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].place, o[j].place = i, j
}
func (o *order) Push(x any) {
	it := x.(*Item)
	it.place = len(*o)
	*o = append(*o, it)
}
func (o *order) Pop() any {
	last := len(*o) - 1
	it := (*o)[last]
	(*o)[last] = nil
	*o = (*o)[:last]
	it.place = -1
	return it
}
