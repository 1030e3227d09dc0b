package scheduler

import (
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"
)

// sendRecorder is an Executor that records the endpoint and the number of each request's last attempt.
type sendRecorder struct {
	endpoints map[RequestID]EndpointID
	attempts  map[RequestID]AttemptNumber
}

func (r *sendRecorder) Send(request RequestID, ep EndpointID, _ Micros) {
	if _, again := r.endpoints[request]; again {
		r.attempts[request]++
	}
	r.endpoints[request] = ep
}
func (r *sendRecorder) Reject(request RequestID, _ Micros) { delete(r.endpoints, request) }
func (r *sendRecorder) Fail(request RequestID)             { delete(r.endpoints, request) }
func (r *sendRecorder) Cancel(RequestID, AttemptNumber)    {}
func (r *sendRecorder) Release(RequestID)                  {}
func (r *sendRecorder) WatchEndpoints()                    {}
func (r *sendRecorder) SetTimer(Micros, TimerID)           {}
func (r *sendRecorder) Log(Event)                          {}

// The size of the deployment at scale 1.
const (
	costPrefillEndpoints = 22
	costDecodeEndpoints  = 44
	costDispatchers      = 160
	costInFlight         = 48 // requests in flight at the dispatcher that is measured
)

// costFleet is one dispatcher in a fleet of the deployment's size times scale.
type costFleet struct {
	*sendRecorder
	scheduler *Scheduler
	now       Micros
	scale     int
	last      RequestID
}

// fleetState is the state of the fleet in which decisions are measured. Its value is appended to the names of events.
type fleetState string

const (
	normalLoad     fleetState = ""
	saturated      fleetState = ", saturated"       // no decode endpoint fits, so requests are queued
	linksCongested fleetState = ", links congested" // states from all cells are late
)

func newCostFleet(scale int, state fleetState) *costFleet {
	recorder := &sendRecorder{endpoints: map[RequestID]EndpointID{}, attempts: map[RequestID]AttemptNumber{}}
	fleet := &costFleet{sendRecorder: recorder, now: 1000 * sec, scale: scale}
	config := testConfig(Idempotent)
	config.Dispatchers, config.IdleTimeout, config.WarmUp = costDispatchers*scale, 30*sec, 14*sec
	config.MaxAttempts = 6
	config.Classes = append(config.Classes,
		Class{SLO: sec, TokenSLO: 50 * ms, Revenue: 6, LateRevenueShare: 0.2, Effect: NonIdempotent})
	fleet.scheduler = New(fleet.now, 1, config, fleet)
	fleet.updateEndpoints()
	for _, ep := range fleet.scheduler.endpoints.all { // each has recently completed requests
		ep.slowStart.completedTokens, ep.slowStart.decayedAt = 9000, fleet.now
		ep.outlier.lastReplyAt = fleet.now
		ep.prefillRate = prefillRate{tokens: 20000, seconds: 1}
	}
	for range costInFlight * scale {
		id := fleet.arrive()
		fleet.now += 100
		fleet.endPrefill(id)
		if id%2 == 0 {
			fleet.startAnswer(id)
		}
	}
	if state == saturated {
		fleet.blockDecode()
		for range costInFlight * scale {
			fleet.arrive()
		}
	}
	return fleet
}

// updateEndpoints sends the complete endpoint list. A third of the endpoints prefill, and some have just started.
func (fleet *costFleet) updateEndpoints() {
	for i := range (costPrefillEndpoints + costDecodeEndpoints) * fleet.scale {
		kind, startedAt := decodeKind, Micros(0)
		if i%3 == 0 {
			kind = prefillKind
		}
		if i%10 == 4 {
			startedAt = 1000*sec - 3*sec
		}
		fleet.scheduler.EndpointUpdated(fleet.now, EndpointStatus{
			ID: EndpointID(i + 1), Zone: ZoneID(i / 6 % 3), Kind: kind, Cell: CellID(i / 6), StartedAt: startedAt,
		})
	}
	fleet.scheduler.EndpointUpdateEnded(fleet.now, true)
}

// blockDecode marks all decode endpoints as having no capacity. Arriving requests are then queued.
func (fleet *costFleet) blockDecode() { fleet.setNoCapacityUntil(fleet.now + 3600*sec) }

// unblockDecode removes the marks that blockDecode has set.
func (fleet *costFleet) unblockDecode() { fleet.setNoCapacityUntil(0) }

func (fleet *costFleet) setNoCapacityUntil(until Micros) {
	for _, ep := range fleet.scheduler.endpoints.all {
		ep.memory.noCapacityUntil = 0
		if ep.role == Decode {
			ep.memory.noCapacityUntil = until
		}
	}
}

func (fleet *costFleet) arrive() RequestID {
	fleet.last++
	fleet.scheduler.RequestArrived(fleet.now, Arrival{
		ID: fleet.last, Session: SessionID(fleet.last), Prefix: PrefixID(1 + fleet.last%40), PromptTokens: 2000,
		PrefixTokens: 1000, MaxOutputTokens: 200, Deadline: fleet.now + 60*sec,
	})
	return fleet.last
}

func (fleet *costFleet) endPrefill(id RequestID) {
	fleet.scheduler.AttemptEnded(fleet.now, id, fleet.attempts[id],
		AttemptResult{Outcome: PrefillDone, CachedTokens: 500, MemoryUsage: NoLoadReport})
}

func (fleet *costFleet) startAnswer(id RequestID) {
	fleet.scheduler.AttemptStarted(fleet.now, id, fleet.attempts[id])
}

func (fleet *costFleet) complete(id RequestID) {
	fleet.scheduler.AttemptEnded(fleet.now, id, fleet.attempts[id],
		AttemptResult{Outcome: Completed, RequestClosed: true, MemoryUsage: NoLoadReport})
	delete(fleet.endpoints, id)
}

// eventCost is the mean cost of an event of one kind.
type eventCost struct{ nanoseconds, bytes, allocations, examined float64 }

const costBatch = 24 // number of events of a kind in a round

// costMeter sums the costs of events by their kind.
type costMeter struct {
	fleet  *costFleet
	state  fleetState
	rounds int
	costs  map[string]eventCost
}

// measure calls do count times and adds the mean cost of a call.
func (meter *costMeter) measure(event string, count int, do func(i int)) {
	fleet := meter.fleet
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	examined, begun := fleet.scheduler.examined, time.Now()
	for i := range count {
		fleet.now += 50
		do(i)
	}
	took := time.Since(begun)
	runtime.ReadMemStats(&after)
	key := event + string(meter.state)
	cost, share := meter.costs[key], 1/float64(count*meter.rounds)
	cost.nanoseconds += float64(took.Nanoseconds()) * share
	cost.bytes += float64(after.TotalAlloc-before.TotalAlloc) * share
	cost.allocations += float64(after.Mallocs-before.Mallocs) * share
	cost.examined += float64(fleet.scheduler.examined-examined) * share
	meter.costs[key] = cost
}

// round measures a batch of events of each kind.
func (meter *costMeter) round() {
	fleet := meter.fleet
	var ids, decoding [costBatch]RequestID
	if meter.state == saturated {
		decoding = fleet.decodeBesideQueue()
	}
	if meter.state == linksCongested {
		for _, ep := range fleet.scheduler.endpoints.all {
			fleet.scheduler.links.lastLateAt[ep.cell] = fleet.now
		}
	}
	meter.measure("arrival", costBatch, func(i int) { ids[i] = fleet.arrive() })
	if meter.state == saturated {
		meter.measure("end of answer", costBatch, func(i int) { fleet.complete(decoding[i]) })
	} else {
		meter.measure("end of prefill", costBatch, func(i int) { fleet.endPrefill(ids[i]) })
		meter.measure("start of answer", costBatch, func(i int) { fleet.startAnswer(ids[i]) })
		meter.measure("end of answer", costBatch, func(i int) { fleet.complete(ids[i]) })
	}
	meter.measure("tick", 2, func(int) { fleet.scheduler.TimerFired(fleet.now, PeriodicTimer) })
	meter.measure("endpoint list", 1, func(int) { fleet.updateEndpoints() })
	for _, id := range ids {
		fleet.scheduler.ClientDisconnected(fleet.now, id) // ends the requests that are still queued
	}
	meter.measure("disconnect", 1, func(int) { fleet.scheduler.ClientDisconnected(fleet.now, fleet.arrive()) })
}

// decodeBesideQueue starts some answers while other requests remain in the queue.
func (fleet *costFleet) decodeBesideQueue() (ids [costBatch]RequestID) {
	queued := fleet.scheduler.queue.requests
	fleet.scheduler.queue.requests = nil
	fleet.unblockDecode()
	for i := range ids {
		ids[i] = fleet.arrive()
		fleet.endPrefill(ids[i])
		fleet.startAnswer(ids[i])
	}
	fleet.blockDecode()
	fleet.scheduler.queue.requests = queued
	return ids
}

// measureCosts measures each kind of event in each state of the fleet, and the memory that one scheduler's state takes.
func measureCosts(scale, rounds int) (costs map[string]eventCost, stateBytes float64) {
	stateBytes = measureState(scale)
	costs = map[string]eventCost{}
	for _, state := range []fleetState{normalLoad, saturated, linksCongested} {
		meter := &costMeter{fleet: newCostFleet(scale, state), state: state, rounds: rounds, costs: costs}
		for range rounds {
			meter.round()
		}
	}
	return costs, stateBytes
}

func measureState(scale int) float64 {
	var before, after runtime.MemStats
	var fleets [4]*costFleet
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range fleets {
		fleets[i] = newCostFleet(scale, saturated)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(fleets)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(len(fleets))
}

// The cost of a decision must grow at most in proportion to the fleet, and its number of allocations must hardly grow.
// The cost is measured by the endpoints that are examined and the bytes allocated, not by time, because the result must
// not depend on the machine.
func TestCostGrowsWithTheFleet(t *testing.T) {
	small, smallState := measureCosts(1, 4)
	large, largeState := measureCosts(10, 4)
	exponent := func(a, b float64) float64 { return math.Log10(max(b, 1) / max(a, 1)) }
	for event, cost := range small {
		l := large[event]
		t.Logf("%-32s endpoints examined %7.0f -> %8.0f (%.2f), allocations %6.1f -> %6.1f, bytes %7.0f -> %8.0f (%.2f)",
			event, cost.examined, l.examined, exponent(cost.examined, l.examined), cost.allocations, l.allocations,
			cost.bytes, l.bytes, exponent(cost.bytes, l.bytes))
		if l.examined > 13*cost.examined+200 {
			t.Errorf("%s: examines %.0f endpoints, and at ten times the fleet %.0f", event, cost.examined, l.examined)
		}
		if l.allocations > 2*cost.allocations+6 {
			t.Errorf("%s: %.1f allocations, and at ten times the fleet %.1f", event, cost.allocations, l.allocations)
		}
		if l.bytes > 13*cost.bytes+4000 {
			t.Errorf("%s: %.0f bytes, and at ten times the fleet %.0f", event, cost.bytes, l.bytes)
		}
	}
	t.Logf("state of an instance: %.0f -> %.0f bytes (%.2f)", smallState, largeState, math.Log10(largeState/smallState))
	if largeState > 13*smallState {
		t.Errorf("at ten times the fleet, the state of an instance grows from %.0f to %.0f bytes", smallState, largeState)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, scale := range []int{1, 10} {
		name := fmt.Sprintf("%d prefill endpoints, %d decode endpoints, %d dispatchers",
			costPrefillEndpoints*scale, costDecodeEndpoints*scale, costDispatchers*scale)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				costs, stateBytes := measureCosts(scale, 10)
				for _, event := range slices.Sorted(maps.Keys(costs)) {
					cost := costs[event]
					b.Logf("%-32s %9.0f ns %9.0f B %6.1f allocations %8.0f endpoints examined",
						event, cost.nanoseconds, cost.bytes, cost.allocations, cost.examined)
				}
				b.ReportMetric(stateBytes, "B-state")
			}
		})
	}
}
