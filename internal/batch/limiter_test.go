package batch

import (
	"fmt"
	"slices"
	"testing"
)

// endpointPool is a number of endpoints that each serve one part at a time, and a limiter that decides how many parts
// they are sent.
type endpointPool struct {
	limiter *Limiter
	now     Micros
	freeAt  []Micros // of each endpoint
	endsAt  []Micros // of each part in flight
}

func newEndpointPool(endpoints int) *endpointPool {
	return &endpointPool{limiter: NewLimiter(0), freeAt: make([]Micros, endpoints)}
}

// serveOne sends what the limiter allows, parts that take a time each, and waits for the first to complete.
func (p *endpointPool) serveOne(cost Micros) {
	for p.limiter.HasCapacity() {
		p.limiter.Acquire()
		first := slices.Index(p.freeAt, slices.Min(p.freeAt))
		p.freeAt[first] = max(p.freeAt[first], p.now) + cost
		p.endsAt = append(p.endsAt, p.freeAt[first])
	}
	first := slices.Index(p.endsAt, slices.Min(p.endsAt))
	p.now = max(p.now, p.endsAt[first])
	p.endsAt = slices.Delete(p.endsAt, first, first+1)
}

// run serves parts for a duration. It returns how many, and the longest time that the last part in flight had to wait.
func (p *endpointPool) run(cost, duration Micros) (served int, longestWait Micros) {
	const tokens = 256
	endpoints := len(p.freeAt)
	for end := p.now + duration; p.now < end; served++ {
		before := len(p.endsAt)
		p.serveOne(cost)
		if len(p.endsAt) > 0 {
			longestWait = max(longestWait, slices.Max(p.endsAt)-p.now)
		}
		took := cost * Micros(max(before, endpoints)) / Micros(endpoints)
		p.limiter.Completed(p.now, tokens, took, true)
	}
	return served, longestWait
}

// The limiter fills endpoints of a fixed capacity, yields while chat is late, and learns that endpoints are slower.
func TestLimiterFindsTheCapacity(t *testing.T) {
	const (
		cost     = 20 * millisecond
		slowCost = 60 * millisecond
		maxWait  = 150 * millisecond
	)
	for _, endpoints := range []int{1, 6, 40} {
		t.Run(fmt.Sprintf("%d endpoints", endpoints), func(t *testing.T) {
			p := newEndpointPool(endpoints)
			p.run(cost, 10*second)
			served, wait := p.run(cost, 10*second)
			if capacity := endpoints * 500; served < capacity*9/10 {
				t.Errorf("%d parts in 10 s of %d", served, capacity)
			}
			if wait > maxWait {
				t.Errorf("the last part of a queue waits for %d ms", wait/millisecond)
			}
			limit := p.limiter.Limit()
			for range 5 {
				p.now += second
				p.limiter.ChatStarted(p.now, second, second)
			}
			if p.limiter.Limit() > max(limit/8, 1) {
				t.Errorf("with chat late the limit is %d, was %d", p.limiter.Limit(), limit)
			}
			p.run(slowCost, 20*second)
			served, _ = p.run(slowCost, 10*second)
			if capacity := endpoints * 166; served < capacity*8/10 {
				t.Errorf("slower: %d parts in 10 s of %d", served, capacity)
			}
		})
	}
}

func TestFixedLimitIsKept(t *testing.T) {
	l := NewLimiter(7)
	for now := Micros(0); now < 10*second; now += second {
		if l.Limit() != 7 {
			t.Fatalf("the limit is %d", l.Limit())
		}
		l.Acquire()
		l.Completed(now, 1, second, false)
	}
}
