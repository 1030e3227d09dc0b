package batch

import (
	"fmt"
	"slices"
	"testing"
)

// endpointPool simulates endpoints that each serve one part at a time, and a limiter that decides how many parts are
// sent to them.
type endpointPool struct {
	limiter *Limiter
	now     Micros
	freeAt  []Micros // when each endpoint becomes idle
	endsAt  []Micros // when each part in flight completes
}

func newEndpointPool(endpoints int) *endpointPool {
	return &endpointPool{limiter: NewLimiter(0), freeAt: make([]Micros, endpoints)}
}

// serveOne sends as many parts as the limiter allows, and waits for the first part in flight to complete. The cost is
// the time that an endpoint takes for one part.
func (p *endpointPool) serveOne(cost Micros) {
	for p.limiter.HasCapacity() {
		p.limiter.Acquire()
		endpoint := slices.Index(p.freeAt, slices.Min(p.freeAt))
		p.freeAt[endpoint] = max(p.freeAt[endpoint], p.now) + cost
		p.endsAt = append(p.endsAt, p.freeAt[endpoint])
	}
	first := slices.Index(p.endsAt, slices.Min(p.endsAt))
	p.now = max(p.now, p.endsAt[first])
	p.endsAt = slices.Delete(p.endsAt, first, first+1)
}

// run serves parts for a duration. It returns how many completed, and the longest time until the last part in flight
// was due to complete.
func (p *endpointPool) run(cost, duration Micros) (served int, longestWait Micros) {
	const tokens = 256
	endpoints := len(p.freeAt)
	for end := p.now + duration; p.now < end; served++ {
		inFlight := len(p.endsAt)
		p.serveOne(cost)
		if len(p.endsAt) > 0 {
			longestWait = max(longestWait, slices.Max(p.endsAt)-p.now)
		}
		took := cost * Micros(max(inFlight, endpoints)) / Micros(endpoints)
		p.limiter.Completed(p.now, tokens, took, true)
	}
	return served, longestWait
}

// The limiter uses the full capacity of the endpoints, lowers its limit while chat requests start late, and adapts when
// the endpoints become slower.
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
				t.Errorf("%d parts served in 10 s, capacity is %d", served, capacity)
			}
			if wait > maxWait {
				t.Errorf("the last part in flight waits for %d ms", wait/millisecond)
			}
			limit := p.limiter.Limit()
			for range 5 {
				p.now += second
				p.limiter.ChatStarted(p.now, second, second)
			}
			if p.limiter.Limit() > max(limit/8, 1) {
				t.Errorf("limit is %d after late chat requests, was %d", p.limiter.Limit(), limit)
			}
			p.run(slowCost, 20*second)
			served, _ = p.run(slowCost, 10*second)
			if capacity := endpoints * 166; served < capacity*8/10 {
				t.Errorf("slower endpoints: %d parts served in 10 s, capacity is %d", served, capacity)
			}
		})
	}
}

func TestFixedLimitIsKept(t *testing.T) {
	l := NewLimiter(7)
	for now := Micros(0); now < 10*second; now += second {
		if l.Limit() != 7 {
			t.Fatalf("limit is %d, want 7", l.Limit())
		}
		l.Acquire()
		l.Completed(now, 1, second, false)
	}
}
