package scheduler

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
)

// sent is an Orders that keeps where each request went last, and nothing else.
type sent struct {
	at  map[RequestID]EndpointID
	leg map[RequestID]AttemptNo
	n   int
}

func (s *sent) Send(g RequestID, h EndpointID, _ Micros) {
	if _, again := s.at[g]; again {
		s.leg[g]++
	}
	s.at[g] = h
	s.n++
}
func (s *sent) Reject(g RequestID, _ Micros) { delete(s.at, g) }
func (s *sent) Fail(g RequestID)             { delete(s.at, g) }
func (s *sent) Cancel(RequestID, AttemptNo)  {}
func (s *sent) Release(RequestID)            {}
func (s *sent) WatchEndpoints()              {}
func (s *sent) SetTimer(Micros, TimerID)     {}
func (s *sent) Log(string)                   {}

// town is one instance in a fleet of the grown size, or a multiple of it: readers, writers, dispatchers and what is under way.
type town struct {
	*sent
	d     *Scheduler
	now   Micros
	scale int
	last  RequestID
}

const (
	townReaders, townWriters, townOthers = 22, 44, 160
	townFlying                           = 48 // requests under way at the instance
)

func (t *town) hosts(cond EndpointState) {
	for i := range (townReaders + townWriters) * t.scale {
		kind, since := KindID(1), Micros(0)
		if i%3 == 0 {
			kind = 0
		}
		if i%10 == 4 { // some have just started
			since = 1000*sec - 3*sec
		}
		t.d.EndpointUpdated(t.now, EndpointStatus{ID: EndpointID(i + 1), Zone: ZoneID(i / 6 % 3), Kind: kind, Cell: CellID(i / 6),
			State: cond, StartedAt: since})
	}
	t.d.EndpointUpdateEnded(t.now, true)
}

func newTown(scale int, jammed bool) *town {
	t := &town{sent: &sent{at: map[RequestID]EndpointID{}, leg: map[RequestID]AttemptNo{}}, now: 1000 * sec, scale: scale}
	place := two(Idempotent)
	place.Dispatchers, place.IdleTimeout, place.WarmUp, place.MaxAttempts = townOthers*scale, 30*sec, 14*sec, 6
	place.Classes = append(place.Classes, Class{SLO: sec, TokenSLO: 50 * ms, Revenue: 6, LateRevenueShare: 0.2, Effect: NonIdempotent})
	t.d = New(t.now, 1, place, t)
	t.hosts(Ready)
	for _, h := range t.d.hosts { // each has done something lately
		h.done, h.doneAt, h.heard, h.readTok, h.readTime = 9000, t.now, t.now, 20000, 1
	}
	for range townFlying * scale {
		id := t.arrive(0)
		t.now += 100
		t.read(id)
		if id%2 == 0 {
			t.begin(id)
		}
	}
	if jammed {
		t.jam(true)
		for range townFlying * scale {
			t.arrive(0)
		}
	}
	return t
}

// jam has no writer fit any more, so that what comes is held.
func (t *town) jam(on bool) {
	for _, h := range t.d.hosts {
		if h.fullUntil = 0; on && h.role == Decode {
			h.fullUntil = t.now + 3600*sec
		}
	}
}

func (t *town) arrive(product ClassID) RequestID {
	t.last++
	t.d.RequestArrived(t.now, Arrival{ID: t.last, Session: SessionID(t.last), Prefix: PrefixID(1 + t.last%40), Class: product,
		PromptTokens: 2000, PrefixTokens: 1000, MaxOutputTokens: 200, Deadline: t.now + 60*sec})
	return t.last
}
func (t *town) read(id RequestID) {
	t.d.AttemptEnded(t.now, id, t.leg[id], AttemptResult{Outcome: PrefillDone, CachedTokens: 500, MemoryUsage: NoLoadReport})
}
func (t *town) begin(id RequestID) { t.d.AttemptStarted(t.now, id, t.leg[id]) }
func (t *town) end(id RequestID, how Outcome) {
	t.d.AttemptEnded(t.now, id, t.leg[id], AttemptResult{Outcome: how, RequestClosed: how == Completed, MemoryUsage: NoLoadReport})
	if how == Completed {
		delete(t.at, id)
	}
}

// cost is what one event of a kind took, on average.
type cost struct{ ns, bytes, allocs, looked float64 }

const batch = 24

// costs measures each kind of event, in a town that flows and in one that is jammed.
func costs(scale, rounds int) (all map[string]cost, state float64) {
	var before, after runtime.MemStats
	var kept [4]*town
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range kept {
		kept[i] = newTown(scale, true)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	state = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(len(kept))
	runtime.KeepAlive(kept)
	all = map[string]cost{}
	for _, name := range []string{"", ", jammed", ", links late"} {
		jammed := name == ", jammed"
		t := newTown(scale, jammed)
		for range rounds {
			note := func(what string, n int, do func(i int)) {
				var a, b runtime.MemStats
				runtime.ReadMemStats(&a)
				looked, begun := t.d.looked, time.Now()
				for i := range n {
					t.now += 50
					do(i)
				}
				took := time.Since(begun)
				runtime.ReadMemStats(&b)
				c := all[what+name]
				per := 1 / float64(n*rounds)
				c.ns += float64(took.Nanoseconds()) * per
				c.bytes += float64(b.TotalAlloc-a.TotalAlloc) * per
				c.allocs += float64(b.Mallocs-a.Mallocs) * per
				c.looked += float64(t.d.looked-looked) * per
				all[what+name] = c
			}
			var ids, flying [batch]RequestID
			if jammed { // some are written while others are held
				held := t.d.held
				t.d.held = nil
				t.jam(false)
				for i := range flying {
					flying[i] = t.arrive(0)
					t.read(flying[i])
					t.begin(flying[i])
				}
				t.jam(true)
				t.d.held = held
			}
			if name == ", links late" {
				for _, h := range t.d.hosts {
					t.d.links[h.cell] = t.now
				}
			}
			note("arrival", batch, func(i int) { ids[i] = t.arrive(0) })
			if jammed {
				note("outcome", batch, func(i int) { t.end(flying[i], Completed) })
			} else {
				note("read done", batch, func(i int) { t.read(ids[i]) })
				note("begun", batch, func(i int) { t.begin(ids[i]) })
				note("outcome", batch, func(i int) { t.end(ids[i], Completed) })
			}
			note("beat", 2, func(int) { t.d.TimerFired(t.now, PeriodicTimer) })
			note("list", 1, func(int) { t.hosts(Ready) })
			for _, id := range ids {
				t.d.ClientDisconnected(t.now, id) // those that were held
			}
			note("left", 1, func(int) { t.d.ClientDisconnected(t.now, t.arrive(0)) })
		}
	}
	return all, state
}

// What a decision costs grows with the fleet and no faster, and what it allocates hardly: counted, not timed.
func TestCostGrowsWithTheFleet(t *testing.T) {
	small, held := costs(1, 4)
	large, heldLarge := costs(10, 4)
	for what, s := range small {
		l := large[what]
		exponent := func(a, b float64) float64 { return math.Log10(max(b, 1) / max(a, 1)) }
		t.Logf("%-18s hosts looked at %7.0f -> %8.0f (%.2f), allocations %6.1f -> %6.1f, bytes %7.0f -> %8.0f (%.2f)", what, s.looked, l.looked,
			exponent(s.looked, l.looked), s.allocs, l.allocs, s.bytes, l.bytes, exponent(s.bytes, l.bytes))
		if l.looked > 13*s.looked+200 {
			t.Errorf("%s: looks at %.0f hosts, and at ten times the fleet at %.0f", what, s.looked, l.looked)
		}
		if l.allocs > 2*s.allocs+6 {
			t.Errorf("%s: %.1f allocations, and at ten times the fleet %.1f", what, s.allocs, l.allocs)
		}
		if l.bytes > 13*s.bytes+4000 {
			t.Errorf("%s: %.0f bytes, and at ten times the fleet %.0f", what, s.bytes, l.bytes)
		}
	}
	t.Logf("state of an instance: %.0f -> %.0f bytes (%.2f)", held, heldLarge, math.Log10(heldLarge/held))
	if heldLarge > 13*held {
		t.Errorf("the state of an instance grows from %.0f to %.0f bytes", held, heldLarge)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, scale := range []int{1, 10} {
		b.Run(fmt.Sprintf("%d readers, %d writers, %d dispatchers", townReaders*scale, townWriters*scale, townOthers*scale), func(b *testing.B) {
			for b.Loop() {
				all, state := costs(scale, 10)
				for what, c := range all {
					b.Logf("%-18s %9.0f ns %9.0f B %6.1f allocations %8.0f hosts looked at", what, c.ns, c.bytes, c.allocs, c.looked)
				}
				b.ReportMetric(state, "B-state")
			}
		})
	}
}
