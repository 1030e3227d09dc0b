package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// After a restart all hosts look alike: ties must not all fall on one.
func TestTiesAreSpread(t *testing.T) {
	at := map[EndpointID]bool{}
	for seed := range int64(12) {
		sim := newFleetSim(t, testConfig(Idempotent), seed)
		sim.addEndpoints(4, 0, 1)
		at[sim.prefilled(1, 1000).inFlight().endpoint.id] = true
	}
	if len(at) < 3 {
		t.Errorf("twelve fresh dispatchers write at %v", at)
	}
}

// Most writers stand with the reader, so they are the median; the margin alone never sent anything past them.
func TestNearWritersDrown(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.updateEndpoints(&simEndpoint{id: 1, kind: 0}, &simEndpoint{id: 11, kind: 1}, &simEndpoint{id: 12, kind: 1},
		&simEndpoint{id: 13, kind: 1, zone: 1, cell: 1})
	far := 0
	for i := range 40 {
		req := sim.prefilled(RequestID(i+1), 4000)
		if req.inFlight().endpoint.zone == 1 {
			far++
		}
		sim.startAnswer(req)
	}
	if first := sim.requests[1].inFlight().endpoint; first.zone != 0 {
		t.Error("the first answer left its reader's zone")
	}
	if far == 0 {
		t.Error("the idle writer in the other zone got nothing")
	}
}

// Answers that begin late show that a writer is full, whoever filled it: then reads are held, in overload
// as well.
func TestSlowStartHolds(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, 0, 1)
	req := sim.prefilled(1, 20000)
	sim.advance(400 * ms)
	held := sim.arrive(2, 0, 1000, 6*sec)
	if held.inFlight() != nil {
		t.Fatal("read while the only writer keeps an answer waiting")
	}
	sim.startAnswer(req)
	if ep := sim.scheduler.byID[11]; sim.scheduler.reservationLimit(ep) >= ep.reservedTokens {
		t.Errorf("cap %v with %v held when an answer began late", sim.scheduler.reservationLimit(ep), ep.reservedTokens)
	}
	sim.endAttempt(req, Completed, 0)
	sim.advance(sec)
	if held.inFlight() == nil && len(held.answers) == 0 {
		t.Error("still held when the writer is free")
	}
}

// States that come late out of a cell show a jammed link, not a jammed writer, where the writer begins
// others in time.
func TestJammedLink(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.updateEndpoints(&simEndpoint{id: 1, kind: 0}, &simEndpoint{id: 2, kind: 0, cell: 1}, &simEndpoint{id: 11, kind: 1, cell: 1})
	far, near := sim.arrive(1, 0, 1000, 6*sec), sim.arrive(2, 0, 1000, 6*sec)
	if far.inFlight().endpoint.cell == near.inFlight().endpoint.cell {
		t.Fatal("both prompts are read in one cell")
	} else if far.inFlight().endpoint.cell == 1 {
		far, near = near, far
	}
	sim.endAttempt(far, PrefillDone, 0)
	sim.advance(10 * ms)
	sim.endAttempt(near, PrefillDone, 0)
	sim.advance(20 * ms)
	sim.startAnswer(near)
	sim.advance(300 * ms)
	writer, req := sim.scheduler.byID[11], &request{arrivedAt: sim.now, sloAt: sim.now + sec}
	if sim.scheduler.stalled(writer) || !sim.scheduler.linkCongested(0, req, sim.scheduler.congestedCells()) || sim.scheduler.linkCongested(1, req, sim.scheduler.congestedCells()) {
		t.Error("the late state is not put down to its cell's link")
	}
	sim.startAnswer(far)
	if _, late := sim.scheduler.links[0]; !late || writer.limitCutAt != 0 {
		t.Error("the writer was blamed for its late start")
	}
}

// When all hosts of a role restart together no warm one is left to go by.
func TestAllColdAtOnce(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, 0, 1)
	sim.scheduler.warmThroughput[Prefill] = 20000
	before := slices.Repeat([]Micros{sim.now}, 16) // what they answered when they were warm
	sim.updateEndpoints(&simEndpoint{id: 1, startedAt: sim.now, done: before}, &simEndpoint{id: 2, startedAt: sim.now, done: before})
	reads := 0
	for i := range 60 {
		req := sim.arrive(RequestID(i+1), 0, 2000, 6*sec)
		sim.advance(30 * ms)
		if req.inFlight() != nil {
			reads++
			sim.endAttempt(req, PrefillDone, 0)
			sim.startAnswer(req)
			sim.endAttempt(req, Completed, 0)
		}
	}
	if reads < 8 {
		t.Errorf("%d of 60 read", reads)
	}
}

// Full readers once burnt all attempts of a request within milliseconds.
func TestFullReaderBurnsNoLegs(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, 0, 1)
	req := sim.arrive(1, 0, 1000, 6*sec)
	sim.endAttempt(req, NoCapacity, 0)
	if len(req.attempts) != 1 {
		t.Fatalf("%d legs at once", len(req.attempts))
	}
	sim.advance(20 * ms)
	other := sim.arrive(2, 0, 1000, 6*sec)
	if other.inFlight() != nil {
		t.Error("sent to a reader that was full a moment ago")
	}
	sim.advance(300 * ms)
	if other.inFlight() == nil {
		t.Error("never tried again")
	}
}

// A writer that errs quickly frees its memory, looks emptiest and would draw every send.
func TestQuickErrorsRestTheHost(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, 0, 1)
	bad := sim.prefilled(1, 3000).inFlight().endpoint
	sim.endAttempt(sim.requests[1], Errored, 0)
	for i := range 6 {
		req := sim.prefilled(RequestID(i+2), 3000)
		if req.inFlight().endpoint == bad {
			t.Fatalf("gen %d went to the host that erred", i+2)
		}
		sim.startAnswer(req)
		sim.advance(10 * ms)
	}
}

// A jammed writer looks silent for a while: it rests at once, its attempts are taken back only if it stays
// silent.
func TestSilentHost(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, 0, 1)
	req := sim.prefilled(1, 3000)
	quiet := req.inFlight().endpoint
	sim.advance(600 * ms)
	if sim.scheduler.byID[quiet.id].failureScore == 0 {
		t.Error("the silent writer does not rest")
	}
	if sim.cancelled(1) {
		t.Error("its leg was taken back at once")
	}
	sim.advance(1200 * ms)
	if !sim.cancelled(1) {
		t.Error("its leg was never taken back")
	}
}

// A dead mixed host, the only one there is, once drew 45 sends in five seconds.
func TestOnlyMixedHostIsDead(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, 0, 1, 2)
	sim.scheduler.recordFailure(sim.scheduler.byID[21], AttemptFailed)
	for id := RequestID(1); id < 5; id++ {
		if req := sim.arrive(id, 0, 1000, 6*sec); req.inFlight() != nil && req.inFlight().endpoint.id == 21 {
			t.Error("sent to the host that looks ill while others do not")
		}
	}
}

// All readers were released at once, and the mixed hosts that could read stood by.
func TestNoReaderLeft(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, 0, 1, 2)
	sim.updateEndpoints(&simEndpoint{id: 1, state: Draining})
	for id := RequestID(1); id < 4; id++ {
		if req := sim.arrive(id, 0, 1000*float64(id), 6*sec); req.inFlight() == nil || req.inFlight().endpoint.id != 21 {
			t.Errorf("gen %d is not read at the mixed host", id)
		}
	}
}

// When every host looks ill, no verdict is trusted: it may be the network, or this dispatcher.
func TestAllIllMeansNone(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, 0, 1)
	for _, ep := range sim.scheduler.endpoints {
		sim.scheduler.recordFailure(ep, AttemptFailed)
	}
	if sim.arrive(1, 0, 1000, 4*sec).inFlight() == nil {
		t.Error("held though nothing better is to be had")
	}
}

// In overload, what can't be in time any more makes way at once for what can, and the newest goes first.
func TestUntimelyMakeWay(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, 0)
	old := sim.arrive(1, 0, 1000, 6*sec)
	sim.advance(950 * ms)
	fresh := sim.arrive(2, 0, 1000, 6*sec)
	sim.advance(100 * ms)
	if len(old.answers) != 1 || len(fresh.answers) != 0 {
		t.Fatalf("old %v, fresh %v", old.answers, fresh.answers)
	}
	sim.arrive(3, 0, 1000, 6*sec)
	sim.addEndpoints(1, 1)
	var at, gen int
	for _, l := range sim.log {
		if n, _ := fmt.Sscanf(l, "%d send %d", &at, &gen); n == 2 {
			break
		}
	}
	if gen != 3 {
		t.Errorf("gen %d went first, not the newest", gen)
	}
}

// A dispatcher keeps to its part of what the fall rule leaves of a cold host, though that looks emptiest.
func TestColdHostGetsLittle(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, 0)
	sim.addEndpoints(2, 1)
	id := RequestID(0)
	run := func(n int) map[EndpointID]int {
		at := map[EndpointID]int{}
		for range n {
			id++
			req := sim.prefilled(id, 2000)
			at[req.inFlight().endpoint.id]++
			sim.startAnswer(req)
			sim.advance(90 * ms)
			sim.endAttempt(req, Completed, 0)
		}
		return at
	}
	run(60)
	sim.updateEndpoints(&simEndpoint{id: 13, kind: 1, startedAt: sim.now})
	part := sim.config.OverloadFactor * sim.config.SlowStartFactor * slowStartShare
	if at := run(40); at[13] == 0 || float64(at[13]) > part*float64(min(at[11], at[12]))+1 {
		t.Errorf("legs by host in the first four seconds: %v", at)
	}
}

// Hosts that forget what they kept at once show it by the tokens found kept.
func TestForgottenTexts(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, 0, 1)
	sim.prefilled(1, 4000)
	ep := sim.scheduler.endpoints[0]
	if req := sim.arrive(4, 0, 4000, 6*sec); sim.scheduler.tokensToPrefill(ep, sim.scheduler.requests[4]) != 2000 {
		t.Errorf("expects to read %v of a known text", sim.scheduler.tokensToPrefill(ep, sim.scheduler.requests[4]))
	} else {
		sim.advance(10 * ms)
		sim.endAttempt(req, PrefillDone, 0)
	}
	sim.arrive(7, 0, 4000, 6*sec)
	if len(ep.cachedPrefixes) != 1 {
		t.Errorf("still counts on %d texts", len(ep.cachedPrefixes))
	}
}

// Reads under way must be written somewhere at once: they count against the room left, a cold writer's for
// one more.
func TestReadsUnderWayCount(t *testing.T) {
	for cold, want := range map[bool]int{false: 2, true: 3} {
		sim := newFleetSim(t, testConfig(Idempotent), 1)
		sim.addEndpoints(4, 0)
		sim.updateEndpoints(&simEndpoint{id: 11, kind: 1})
		sim.scheduler.byID[11].limit, sim.scheduler.byID[11].limitCutAt = 9000, sim.now
		if cold {
			sim.updateEndpoints(&simEndpoint{id: 11, kind: 1, startedAt: sim.now})
			sim.scheduler.byID[11].creditAt = sim.now // its part may begin at once
		}
		for i := range 4 {
			sim.arrive(RequestID(i+1), 0, 4000, 6*sec)
		}
		if len(sim.scheduler.queued) != want {
			t.Errorf("cold %v: %d of 4 held, want %d", cold, len(sim.scheduler.queued), want)
		}
	}
}

// The only writer finds no state: it is not to blame, and what is read anew is written there. (It once counted as tried, and the
// request was held until its time limit.)
func TestStateLostIsNotTheWritersFault(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, 0, 1)
	req := sim.prefilled(1, 2000)
	sim.endAttempt(req, NoCapacity, 1)
	sim.advance(10 * ms)
	if req.inFlight() == nil || req.inFlight().endpoint.id != 1 {
		t.Fatal("it is not read anew")
	}
	sim.endAttempt(req, PrefillDone, 0)
	if req.inFlight() == nil || req.inFlight().endpoint.id != 11 {
		t.Error("it is not written at the only writer")
	}
}

// Which cells' writers take a state is found by one walk for all readers; it must say what asking for each reader's writer said.
func TestCellsThatTake(t *testing.T) {
	both := map[bool]int{}
	for seed := range int64(300) {
		chance := rand.New(rand.NewSource(seed))
		sim := newFleetSim(t, testConfig(Idempotent), seed)
		for i := range 4 + chance.Intn(20) {
			cell := CellID(chance.Intn(5))
			sim.updateEndpoints(&simEndpoint{id: EndpointID(i + 1), kind: KindID(chance.Intn(3)), zone: ZoneID(cell / 2), cell: cell})
		}
		for _, ep := range sim.scheduler.endpoints {
			ep.streams, ep.reservedTokens, ep.reportedUsage, ep.reportedAt = chance.Intn(5), float64(chance.Intn(150000)), -1, sim.now
			if chance.Intn(3) == 0 {
				ep.reportedUsage = chance.Float64()
			}
			ep.reservedAtReport = ep.reservedTokens
		}
		req := &request{promptTokens: 2000, answerTokens: 100, sloAt: sim.now + sec, arrivedAt: sim.now}
		for cell := range CellID(5) {
			if sim.scheduler.links[cell] = sim.now; chance.Intn(2) == 0 {
				delete(sim.scheduler.links, cell)
			}
		}
		takes := slices.Clone(sim.scheduler.cellsAcceptingState(req))
		for _, r := range sim.scheduler.endpoints {
			if _, jammed := sim.scheduler.links[r.cell]; r.role != Prefill || !jammed {
				continue
			}
			asked, fits := sim.scheduler.pickDecode(req, r)
			if want := fits && asked.cell == r.cell; slices.Contains(takes, r.cell) != want {
				t.Fatalf("seed %d: cells %v take a state, the writer of a reader in %d says %v", seed, takes, r.cell, want)
			} else {
				both[want]++
			}
		}
	}
	if both[true] < 50 || both[false] < 50 {
		t.Errorf("seen: %v", both)
	}
}

// Hosts are replaced for months: what is gone is forgotten, and what a decision looks at does not grow. One that drains and comes
// back before that is known as before.
func TestReplacedHostsAreForgotten(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(3, 0, 1)
	most := 0
	for i := range 30000 {
		old, next := sim.endpoints[EndpointID(i*7+1)], &simEndpoint{id: EndpointID(i*7 + 8), kind: KindID(i / 2 % 2), startedAt: sim.now}
		if old == nil {
			old = &simEndpoint{id: EndpointID(i*7 + 1)}
		}
		old.state = Removed
		sim.now += 2 * sec
		sim.updateEndpoints(next, old)
		delete(sim.endpoints, old.id)
		most = max(most, len(sim.scheduler.endpoints))
	}
	if most > 400 || len(sim.scheduler.byID) != len(sim.scheduler.endpoints) {
		t.Errorf("%d hosts are kept, %d by id", most, len(sim.scheduler.byID))
	}
	ep := sim.scheduler.endpoints[len(sim.scheduler.endpoints)-1]
	sim.now += 7200 * sec // with no list
	sim.updateEndpoints(&simEndpoint{id: ep.id, kind: ep.kind, state: Draining})
	sim.now += 60 * sec
	sim.updateEndpoints(&simEndpoint{id: ep.id, kind: ep.kind, startedAt: ep.startedAt})
	if sim.scheduler.byID[ep.id] != ep || !ep.ready {
		t.Error("one that came back is not known any more")
	}
}

// A prefix is read in its dispatcher's own zone, at the same reader by all dispatchers there; where that one is busy it is read at
// the home of all zones, which keeps the text too, before any other reader.
func TestHomeInTheOwnZone(t *testing.T) {
	homes := map[ZoneID]EndpointID{}
	for seed := range int64(8) {
		zone := ZoneID(seed % 2)
		config := testConfig(Idempotent)
		config.Zone = zone
		sim := newFleetSim(t, config, seed)
		var all []*simEndpoint
		for i := range 4 {
			all = append(all, &simEndpoint{id: EndpointID(i + 1), zone: ZoneID(i % 2)}, &simEndpoint{id: EndpointID(i + 11), kind: 1, zone: ZoneID(i % 2)})
		}
		sim.updateEndpoints(all...)
		home := sim.arrive(1, 0, 9000, 6*sec).inFlight().endpoint
		if home.zone != zone {
			t.Errorf("read in zone %d by a dispatcher of zone %d", home.zone, zone)
		}
		if before, some := homes[zone]; some && before != home.id {
			t.Errorf("zone %d: read at %d and at %d", zone, before, home.id)
		}
		homes[zone] = home.id
		next := sim.arrive(4, 0, 2000, 6*sec).inFlight().endpoint
		common := sim.scheduler.affinityEndpoint(sim.scheduler.requests[4], 1, []*endpoint{sim.scheduler.byID[1], sim.scheduler.byID[2], sim.scheduler.byID[3], sim.scheduler.byID[4]})
		if common.id != home.id && next.id != common.id {
			t.Errorf("with its home busy it is read at %d and not at %d", next.id, common.id)
		}
	}
}

// On an easy day nothing is gained by passing over near writers, whose states need no link: they are passed over once they hold much.
func TestNearWritersWhileLittleIsHeld(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.updateEndpoints(&simEndpoint{id: 1, kind: 0}, &simEndpoint{id: 11, kind: 1}, &simEndpoint{id: 12, kind: 1}, &simEndpoint{id: 13, kind: 1, zone: 1, cell: 1})
	for i := range 10 {
		req := sim.prefilled(RequestID(i+1), 4000)
		if ep := req.inFlight().endpoint; ep.zone == 1 {
			t.Fatalf("the %dth left its zone, with %v and %v held of 140000 near", i+1, sim.scheduler.byID[11].reservedTokens, sim.scheduler.byID[12].reservedTokens)
		}
		sim.startAnswer(req)
	}
}

// What warm hosts do has to be known before all of a role come back cold at once: with the first cold host it is too late to look.
func TestWarmIsSeenBeforeAnyIsCold(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, 0, 1)
	for i := range 20 {
		req := sim.prefilled(RequestID(i+1), 2000)
		sim.startAnswer(req)
		sim.endAttempt(req, Completed, 0)
		sim.advance(50 * ms)
	}
	before := sim.scheduler.warmThroughput[Decode]
	if before == 0 {
		t.Fatal("nothing was seen of the warm writers")
	}
	// Dead ones that the list still names do not make it look small.
	for _, id := range []EndpointID{11, 12} {
		sim.scheduler.byID[id].failureScore = 1
	}
	sim.advance(5 * sec)
	if sim.scheduler.warmThroughput[Decode] < before {
		t.Errorf("%v was seen, and %v is left while all are dead", before, sim.scheduler.warmThroughput[Decode])
	}
}

// That a state is gone may be known without a word from its writer, which is not taken for one that spoke.
func TestStateGoneSaysNothingOfTheHost(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(2, 0, 1)
	req := sim.prefilled(1, 2000)
	ep := sim.scheduler.byID[req.inFlight().endpoint.id]
	if sim.endAttempt(req, NoCapacity, 1); ep.lastHeard != 0 || ep.noCapacityUntil != 0 {
		t.Errorf("heard at %d, full until %d", ep.lastHeard, ep.noCapacityUntil)
	}
}

// A home that turns out not to keep a text that only others had read there has forgotten nothing that this dispatcher knows of.
func TestHomeThatNeverKeptForgetsNothing(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 11, kind: 1})
	sim.scheduler.byID[1].cachedPrefixes[77] = true
	req := sim.arriveWithPrefix(1, 0, 5, 6000, 5000, 6*sec)
	sim.endAttempt(req, PrefillDone, 0)
	if !sim.scheduler.byID[1].cachedPrefixes[77] || !sim.scheduler.byID[1].cachedPrefixes[5] {
		t.Errorf("known texts: %v", sim.scheduler.byID[1].cachedPrefixes)
	}
}
