package scheduler

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
)

// sendRecorder is an Orders that keeps where each request went last, and nothing else.
type sendRecorder struct {
	endpoints map[RequestID]EndpointID
	attempts  map[RequestID]AttemptNo
	sends     int
}

func (s *sendRecorder) Send(req RequestID, ep EndpointID, _ Micros) {
	if _, again := s.endpoints[req]; again {
		s.attempts[req]++
	}
	s.endpoints[req] = ep
	s.sends++
}
func (s *sendRecorder) Reject(req RequestID, _ Micros) { delete(s.endpoints, req) }
func (s *sendRecorder) Fail(req RequestID)             { delete(s.endpoints, req) }
func (s *sendRecorder) Cancel(RequestID, AttemptNo)    {}
func (s *sendRecorder) Release(RequestID)              {}
func (s *sendRecorder) WatchEndpoints()                {}
func (s *sendRecorder) SetTimer(Micros, TimerID)       {}
func (s *sendRecorder) Log(Event)                      {}

// costFleet is one instance in a fleet of the grown size, or a multiple of it: readers, writers, dispatchers and what is under way.
type costFleet struct {
	*sendRecorder
	scheduler *Scheduler
	now       Micros
	scale     int
	last      RequestID
}

const (
	costPrefillEndpoints, costDecodeEndpoints, costDispatchers = 22, 44, 160
	costInFlight                                               = 48 // requests under way at the instance
)

func (t *costFleet) updateEndpoints(cond EndpointState) {
	for i := range (costPrefillEndpoints + costDecodeEndpoints) * t.scale {
		kind, since := KindID(1), Micros(0)
		if i%3 == 0 {
			kind = 0
		}
		if i%10 == 4 { // some have just started
			since = 1000*sec - 3*sec
		}
		t.scheduler.EndpointUpdated(t.now, EndpointStatus{ID: EndpointID(i + 1), Zone: ZoneID(i / 6 % 3), Kind: kind, Cell: CellID(i / 6),
			State: cond, StartedAt: since})
	}
	t.scheduler.EndpointUpdateEnded(t.now, true)
}

func newCostFleet(scale int, jammed bool) *costFleet {
	t := &costFleet{sendRecorder: &sendRecorder{endpoints: map[RequestID]EndpointID{}, attempts: map[RequestID]AttemptNo{}}, now: 1000 * sec, scale: scale}
	config := testConfig(Idempotent)
	config.Dispatchers, config.IdleTimeout, config.WarmUp, config.MaxAttempts = costDispatchers*scale, 30*sec, 14*sec, 6
	config.Classes = append(config.Classes, Class{SLO: sec, TokenSLO: 50 * ms, Revenue: 6, LateRevenueShare: 0.2, Effect: NonIdempotent})
	t.scheduler = New(t.now, 1, config, t)
	t.updateEndpoints(Ready)
	for _, ep := range t.scheduler.endpoints { // each has done something lately
		ep.completedTokens, ep.completedAt, ep.lastHeard, ep.prefillTokens, ep.prefillSeconds = 9000, t.now, t.now, 20000, 1
	}
	for range costInFlight * scale {
		id := t.arrive(0)
		t.now += 100
		t.endPrefill(id)
		if id%2 == 0 {
			t.startAnswer(id)
		}
	}
	if jammed {
		t.blockDecode(true)
		for range costInFlight * scale {
			t.arrive(0)
		}
	}
	return t
}

// blockDecode has no writer fit any more, so that what comes is held.
func (t *costFleet) blockDecode(on bool) {
	for _, ep := range t.scheduler.endpoints {
		if ep.noCapacityUntil = 0; on && ep.role == Decode {
			ep.noCapacityUntil = t.now + 3600*sec
		}
	}
}

func (t *costFleet) arrive(class ClassID) RequestID {
	t.last++
	t.scheduler.RequestArrived(t.now, Arrival{ID: t.last, Session: SessionID(t.last), Prefix: PrefixID(1 + t.last%40), Class: class,
		PromptTokens: 2000, PrefixTokens: 1000, MaxOutputTokens: 200, Deadline: t.now + 60*sec})
	return t.last
}
func (t *costFleet) endPrefill(id RequestID) {
	t.scheduler.AttemptEnded(t.now, id, t.attempts[id], AttemptResult{Outcome: PrefillDone, CachedTokens: 500, MemoryUsage: NoLoadReport})
}
func (t *costFleet) startAnswer(id RequestID) { t.scheduler.AttemptStarted(t.now, id, t.attempts[id]) }
func (t *costFleet) endAttempt(id RequestID, how Outcome) {
	t.scheduler.AttemptEnded(t.now, id, t.attempts[id], AttemptResult{Outcome: how, RequestClosed: how == Completed, MemoryUsage: NoLoadReport})
	if how == Completed {
		delete(t.endpoints, id)
	}
}

// eventCost is what one event of a kind took, on average.
type eventCost struct{ ns, bytes, allocs, examined float64 }

const batch = 24

// measureCosts measures each kind of event, in a town that flows and in one that is jammed.
func measureCosts(scale, rounds int) (all map[string]eventCost, state float64) {
	var before, after runtime.MemStats
	var kept [4]*costFleet
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range kept {
		kept[i] = newCostFleet(scale, true)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	state = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(len(kept))
	runtime.KeepAlive(kept)
	all = map[string]eventCost{}
	for _, name := range []string{"", ", jammed", ", links late"} {
		jammed := name == ", jammed"
		t := newCostFleet(scale, jammed)
		for range rounds {
			note := func(what string, n int, do func(i int)) {
				var a, b runtime.MemStats
				runtime.ReadMemStats(&a)
				looked, begun := t.scheduler.examined, time.Now()
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
				c.examined += float64(t.scheduler.examined-looked) * per
				all[what+name] = c
			}
			var ids, flying [batch]RequestID
			if jammed { // some are written while others are held
				held := t.scheduler.queued
				t.scheduler.queued = nil
				t.blockDecode(false)
				for i := range flying {
					flying[i] = t.arrive(0)
					t.endPrefill(flying[i])
					t.startAnswer(flying[i])
				}
				t.blockDecode(true)
				t.scheduler.queued = held
			}
			if name == ", links late" {
				for _, ep := range t.scheduler.endpoints {
					t.scheduler.links[ep.cell] = t.now
				}
			}
			note("arrival", batch, func(i int) { ids[i] = t.arrive(0) })
			if jammed {
				note("outcome", batch, func(i int) { t.endAttempt(flying[i], Completed) })
			} else {
				note("read done", batch, func(i int) { t.endPrefill(ids[i]) })
				note("begun", batch, func(i int) { t.startAnswer(ids[i]) })
				note("outcome", batch, func(i int) { t.endAttempt(ids[i], Completed) })
			}
			note("beat", 2, func(int) { t.scheduler.TimerFired(t.now, PeriodicTimer) })
			note("list", 1, func(int) { t.updateEndpoints(Ready) })
			for _, id := range ids {
				t.scheduler.ClientDisconnected(t.now, id) // those that were held
			}
			note("left", 1, func(int) { t.scheduler.ClientDisconnected(t.now, t.arrive(0)) })
		}
	}
	return all, state
}

// What a decision costs grows with the fleet and no faster, and what it allocates hardly: counted, not timed.
func TestCostGrowsWithTheFleet(t *testing.T) {
	small, held := measureCosts(1, 4)
	large, heldLarge := measureCosts(10, 4)
	for what, s := range small {
		l := large[what]
		exponent := func(a, b float64) float64 { return math.Log10(max(b, 1) / max(a, 1)) }
		t.Logf("%-18s hosts looked at %7.0f -> %8.0f (%.2f), allocations %6.1f -> %6.1f, bytes %7.0f -> %8.0f (%.2f)", what, s.examined, l.examined,
			exponent(s.examined, l.examined), s.allocs, l.allocs, s.bytes, l.bytes, exponent(s.bytes, l.bytes))
		if l.examined > 13*s.examined+200 {
			t.Errorf("%s: looks at %.0f hosts, and at ten times the fleet at %.0f", what, s.examined, l.examined)
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
		b.Run(fmt.Sprintf("%d readers, %d writers, %d dispatchers", costPrefillEndpoints*scale, costDecodeEndpoints*scale, costDispatchers*scale), func(b *testing.B) {
			for b.Loop() {
				all, state := measureCosts(scale, 10)
				for what, c := range all {
					b.Logf("%-18s %9.0f ns %9.0f B %6.1f allocations %8.0f hosts looked at", what, c.ns, c.bytes, c.allocs, c.examined)
				}
				b.ReportMetric(state, "B-state")
			}
		})
	}
}
