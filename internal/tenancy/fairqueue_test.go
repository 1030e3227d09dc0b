package tenancy

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func always(int) bool { return true }

// The served cost of tenants is proportional to their weights, whatever single items cost. The queue skips removed
// items and deletes tenants without queued items.
func TestFairQueueServesByWeight(t *testing.T) {
	const queuedPerTenant = 3 // all tenants always have items queued
	weights := map[ID]float64{1: 1, 2: 2, 3: 4}
	rapid.Check(t, func(t *rapid.T) {
		queue := newFairQueue[int](100)
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		type queued struct {
			tenant ID
			cost   float64
		}
		var items []queued
		served := map[ID]float64{}
		for range 6000 {
			for id, weight := range weights {
				for queue.LenOf(id) < queuedPerTenant {
					item := queued{id, float64(1 + random.Intn(300))}
					queue.Add(id, weight, len(items), item.cost)
					items = append(items, item)
				}
			}
			if i, found := queue.Next(always); found {
				served[items[i].tenant] += items[i].cost
			}
		}
		unit := served[1] / weights[1]
		for id, weight := range weights {
			if ratio := served[id] / weight / unit; ratio < 0.9 || ratio > 1.1 {
				t.Fatalf("tenant %d of weight %v got %.2f of its fair share", id, weight, ratio)
			}
		}
		before := queue.Len()
		if !queue.Remove(2, always) || queue.Len() != before-1 {
			t.Fatal("no item was removed")
		}
		for left := queue.Len(); left > 0; left-- {
			if _, found := queue.Next(always); !found {
				t.Fatalf("%d items are queued, but Next returns none", left)
			}
		}
		if _, found := queue.Next(always); found || queue.Len() != 0 || len(queue.tenants) != 0 {
			t.Fatal("the empty queue still has items or tenants")
		}
	})
}

// sortedQueue is the simple alternative to a fairQueue: it sorts all items by the total served cost of their tenants.
type sortedQueue struct {
	items  []sortedItem
	served map[ID]float64
}

type sortedItem struct {
	id   ID
	cost float64
}

func (s *sortedQueue) add(id ID, cost float64) { s.items = append(s.items, sortedItem{id, cost}) }

func (s *sortedQueue) next() ID {
	slices.SortStableFunc(s.items, func(a, b sortedItem) int { return int(s.served[a.id] - s.served[b.id]) })
	first := s.items[0]
	s.items = s.items[1:]
	s.served[first.id] += first.cost
	return first.id
}

// BenchmarkFairQueue measures one Next and one Add on a fairQueue and, for comparison, on a sortedQueue, which is
// sorted for each item.
func BenchmarkFairQueue(b *testing.B) {
	const quantum, cost = 2000, 1500
	for _, tenants := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("ring/%d", tenants), func(b *testing.B) {
			queue := newFairQueue[int](quantum)
			for i := range tenants {
				queue.Add(ID(i), 1, i, cost)
			}
			for b.Loop() {
				item, _ := queue.Next(always)
				queue.Add(ID(item), 1, item, cost)
			}
		})
		if tenants > 1000 {
			continue // sorting 100,000 items takes tens of milliseconds, and 1,000 items already show the difference
		}
		b.Run(fmt.Sprintf("sorted/%d", tenants), func(b *testing.B) {
			queue := &sortedQueue{served: map[ID]float64{}}
			for i := range tenants {
				queue.add(ID(i), cost)
			}
			for b.Loop() {
				queue.add(queue.next(), cost)
			}
		})
	}
}
