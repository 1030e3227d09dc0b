package tenancy

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func always(int) bool { return true }

// Turns follow the weights, whatever the items cost. A tenant without queued items leaves nothing behind, and
// removed items are skipped.
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
				t.Fatalf("tenant %d of weight %v got %.2f of its part", id, weight, ratio)
			}
		}
		before := queue.Len()
		if !queue.Remove(2, always) || queue.Len() != before-1 {
			t.Fatal("not removed")
		}
		for left := queue.Len(); left > 0; left-- {
			if _, found := queue.Next(always); !found {
				t.Fatalf("%d are queued, and none is next", left)
			}
		}
		if _, found := queue.Next(always); found || queue.Len() != 0 || len(queue.tenants) != 0 {
			t.Fatal("something is left")
		}
	})
}

// sortedQueue is the plain way to give fair turns: all items in one order, by what their tenants have been served.
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

// BenchmarkFairQueue measures a turn, beside a queue that is sorted for each.
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
			continue // a sort of 100,000 for each turn takes tens of milliseconds; 1,000 says enough
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
