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
		w := newWorld(t, two(Idempotent), seed)
		w.fleet(4, 0, 1)
		at[w.written(1, 1000).out().host.id] = true
	}
	if len(at) < 3 {
		t.Errorf("twelve fresh dispatchers write at %v", at)
	}
}

// Most writers stand with the reader, so they are the median; the margin alone never sent anything past them.
func TestNearWritersDrown(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.list(&seen{id: 1, kind: 0}, &seen{id: 11, kind: 1}, &seen{id: 12, kind: 1},
		&seen{id: 13, kind: 1, zone: 1, cell: 1})
	far := 0
	for i := range 40 {
		g := w.written(RequestID(i+1), 4000)
		if g.out().host.zone == 1 {
			far++
		}
		w.start(g)
	}
	if first := w.gens[1].out().host; first.zone != 0 {
		t.Error("the first answer left its reader's zone")
	}
	if far == 0 {
		t.Error("the idle writer in the other zone got nothing")
	}
}

// Answers that begin late show that a writer is full, whoever filled it: then reads are held, in overload
// as well.
func TestSlowStartHolds(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(1, 0, 1)
	g := w.written(1, 20000)
	w.pass(400 * ms)
	held := w.arrive(2, 0, 1000, 6*sec)
	if held.out() != nil {
		t.Fatal("read while the only writer keeps an answer waiting")
	}
	w.start(g)
	if h := w.d.byID[11]; w.d.learntCap(h) >= h.held {
		t.Errorf("cap %v with %v held when an answer began late", w.d.learntCap(h), h.held)
	}
	w.end(g, Completed, 0)
	w.pass(sec)
	if held.out() == nil && len(held.answers) == 0 {
		t.Error("still held when the writer is free")
	}
}

// States that come late out of a cell show a jammed link, not a jammed writer, where the writer begins
// others in time.
func TestJammedLink(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.list(&seen{id: 1, kind: 0}, &seen{id: 2, kind: 0, cell: 1}, &seen{id: 11, kind: 1, cell: 1})
	far, near := w.arrive(1, 0, 1000, 6*sec), w.arrive(2, 0, 1000, 6*sec)
	if far.out().host.cell == near.out().host.cell {
		t.Fatal("both prompts are read in one cell")
	} else if far.out().host.cell == 1 {
		far, near = near, far
	}
	w.end(far, PrefillDone, 0)
	w.pass(10 * ms)
	w.end(near, PrefillDone, 0)
	w.pass(20 * ms)
	w.start(near)
	w.pass(300 * ms)
	writer, g := w.d.byID[11], &request{arrived: w.now, slo: w.now + sec}
	if w.d.jammed(writer) || !w.d.linkJammed(0, g, w.d.lateCells()) || w.d.linkJammed(1, g, w.d.lateCells()) {
		t.Error("the late state is not put down to its cell's link")
	}
	w.start(far)
	if _, late := w.d.links[0]; !late || writer.cutAt != 0 {
		t.Error("the writer was blamed for its late start")
	}
}

// When all hosts of a role restart together no warm one is left to go by.
func TestAllColdAtOnce(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(2, 0, 1)
	w.d.warm[Prefill] = 20000
	before := slices.Repeat([]Micros{w.now}, 16) // what they answered when they were warm
	w.list(&seen{id: 1, since: w.now, done: before}, &seen{id: 2, since: w.now, done: before})
	reads := 0
	for i := range 60 {
		g := w.arrive(RequestID(i+1), 0, 2000, 6*sec)
		w.pass(30 * ms)
		if g.out() != nil {
			reads++
			w.end(g, PrefillDone, 0)
			w.start(g)
			w.end(g, Completed, 0)
		}
	}
	if reads < 8 {
		t.Errorf("%d of 60 read", reads)
	}
}

// Full readers once burnt all attempts of a request within milliseconds.
func TestFullReaderBurnsNoLegs(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(1, 0, 1)
	g := w.arrive(1, 0, 1000, 6*sec)
	w.end(g, NoCapacity, 0)
	if len(g.legs) != 1 {
		t.Fatalf("%d legs at once", len(g.legs))
	}
	w.pass(20 * ms)
	other := w.arrive(2, 0, 1000, 6*sec)
	if other.out() != nil {
		t.Error("sent to a reader that was full a moment ago")
	}
	w.pass(300 * ms)
	if other.out() == nil {
		t.Error("never tried again")
	}
}

// A writer that errs quickly frees its memory, looks emptiest and would draw every send.
func TestQuickErrorsRestTheHost(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(2, 0, 1)
	bad := w.written(1, 3000).out().host
	w.end(w.gens[1], Errored, 0)
	for i := range 6 {
		g := w.written(RequestID(i+2), 3000)
		if g.out().host == bad {
			t.Fatalf("gen %d went to the host that erred", i+2)
		}
		w.start(g)
		w.pass(10 * ms)
	}
}

// A jammed writer looks silent for a while: it rests at once, its attempts are taken back only if it stays
// silent.
func TestSilentHost(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(2, 0, 1)
	g := w.written(1, 3000)
	quiet := g.out().host
	w.pass(600 * ms)
	if w.d.byID[quiet.id].ill == 0 {
		t.Error("the silent writer does not rest")
	}
	if w.cancelled(1) {
		t.Error("its leg was taken back at once")
	}
	w.pass(1200 * ms)
	if !w.cancelled(1) {
		t.Error("its leg was never taken back")
	}
}

// A dead mixed host, the only one there is, once drew 45 sends in five seconds.
func TestOnlyMixedHostIsDead(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(1, 0, 1, 2)
	w.d.blame(w.d.byID[21], "test")
	for id := RequestID(1); id < 5; id++ {
		if g := w.arrive(id, 0, 1000, 6*sec); g.out() != nil && g.out().host.id == 21 {
			t.Error("sent to the host that looks ill while others do not")
		}
	}
}

// All readers were released at once, and the mixed hosts that could read stood by.
func TestNoReaderLeft(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(1, 0, 1, 2)
	w.list(&seen{id: 1, cond: Draining})
	for id := RequestID(1); id < 4; id++ {
		if g := w.arrive(id, 0, 1000*float64(id), 6*sec); g.out() == nil || g.out().host.id != 21 {
			t.Errorf("gen %d is not read at the mixed host", id)
		}
	}
}

// When every host looks ill, no verdict is trusted: it may be the network, or this dispatcher.
func TestAllIllMeansNone(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(2, 0, 1)
	for _, h := range w.d.hosts {
		w.d.blame(h, "test")
	}
	if w.arrive(1, 0, 1000, 4*sec).out() == nil {
		t.Error("held though nothing better is to be had")
	}
}

// In overload, what can't be in time any more makes way at once for what can, and the newest goes first.
func TestUntimelyMakeWay(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(1, 0)
	old := w.arrive(1, 0, 1000, 6*sec)
	w.pass(950 * ms)
	fresh := w.arrive(2, 0, 1000, 6*sec)
	w.pass(100 * ms)
	if len(old.answers) != 1 || len(fresh.answers) != 0 {
		t.Fatalf("old %v, fresh %v", old.answers, fresh.answers)
	}
	w.arrive(3, 0, 1000, 6*sec)
	w.fleet(1, 1)
	var at, gen int
	for _, l := range w.log {
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
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(1, 0)
	w.fleet(2, 1)
	id := RequestID(0)
	run := func(n int) map[EndpointID]int {
		at := map[EndpointID]int{}
		for range n {
			id++
			g := w.written(id, 2000)
			at[g.out().host.id]++
			w.start(g)
			w.pass(90 * ms)
			w.end(g, Completed, 0)
		}
		return at
	}
	run(60)
	w.list(&seen{id: 13, kind: 1, since: w.now})
	part := w.place.OverloadFactor * w.place.SlowStartFactor * coldShare
	if at := run(40); at[13] == 0 || float64(at[13]) > part*float64(min(at[11], at[12]))+1 {
		t.Errorf("legs by host in the first four seconds: %v", at)
	}
}

// Hosts that forget what they kept at once show it by the tokens found kept.
func TestForgottenTexts(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(1, 0, 1)
	w.written(1, 4000)
	h := w.d.hosts[0]
	if g := w.arrive(4, 0, 4000, 6*sec); w.d.toRead(h, w.d.gens[4]) != 2000 {
		t.Errorf("expects to read %v of a known text", w.d.toRead(h, w.d.gens[4]))
	} else {
		w.pass(10 * ms)
		w.end(g, PrefillDone, 0)
	}
	w.arrive(7, 0, 4000, 6*sec)
	if len(h.texts) != 1 {
		t.Errorf("still counts on %d texts", len(h.texts))
	}
}

// Reads under way must be written somewhere at once: they count against the room left, a cold writer's for
// one more.
func TestReadsUnderWayCount(t *testing.T) {
	for cold, want := range map[bool]int{false: 2, true: 3} {
		w := newWorld(t, two(Idempotent), 1)
		w.fleet(4, 0)
		w.list(&seen{id: 11, kind: 1})
		w.d.byID[11].mayHold, w.d.byID[11].cutAt = 9000, w.now
		if cold {
			w.list(&seen{id: 11, kind: 1, since: w.now})
			w.d.byID[11].creditAt = w.now // its part may begin at once
		}
		for i := range 4 {
			w.arrive(RequestID(i+1), 0, 4000, 6*sec)
		}
		if len(w.d.held) != want {
			t.Errorf("cold %v: %d of 4 held, want %d", cold, len(w.d.held), want)
		}
	}
}

// The only writer finds no state: it is not to blame, and what is read anew is written there. (It once counted as tried, and the
// request was held until its time limit.)
func TestStateLostIsNotTheWritersFault(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(1, 0, 1)
	g := w.written(1, 2000)
	w.end(g, NoCapacity, 1)
	w.pass(10 * ms)
	if g.out() == nil || g.out().host.id != 1 {
		t.Fatal("it is not read anew")
	}
	w.end(g, PrefillDone, 0)
	if g.out() == nil || g.out().host.id != 11 {
		t.Error("it is not written at the only writer")
	}
}

// Which cells' writers take a state is found by one walk for all readers; it must say what asking for each reader's writer said.
func TestCellsThatTake(t *testing.T) {
	both := map[bool]int{}
	for seed := range int64(300) {
		chance := rand.New(rand.NewSource(seed))
		w := newWorld(t, two(Idempotent), seed)
		for i := range 4 + chance.Intn(20) {
			cell := CellID(chance.Intn(5))
			w.list(&seen{id: EndpointID(i + 1), kind: KindID(chance.Intn(3)), zone: ZoneID(cell / 2), cell: cell})
		}
		for _, h := range w.d.hosts {
			h.streams, h.held, h.memory, h.reportedAt = chance.Intn(5), float64(chance.Intn(150000)), -1, w.now
			if chance.Intn(3) == 0 {
				h.memory = chance.Float64()
			}
			h.heldThen = h.held
		}
		g := &request{prompt: 2000, growth: 100, slo: w.now + sec, arrived: w.now}
		for cell := range CellID(5) {
			if w.d.links[cell] = w.now; chance.Intn(2) == 0 {
				delete(w.d.links, cell)
			}
		}
		takes := slices.Clone(w.d.cellsThatTake(g))
		for _, r := range w.d.hosts {
			if _, jammed := w.d.links[r.cell]; r.role != Prefill || !jammed {
				continue
			}
			asked, fits := w.d.pickWriter(g, r)
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
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(3, 0, 1)
	most := 0
	for i := range 30000 {
		old, next := w.hosts[EndpointID(i*7+1)], &seen{id: EndpointID(i*7 + 8), kind: KindID(i / 2 % 2), since: w.now}
		if old == nil {
			old = &seen{id: EndpointID(i*7 + 1)}
		}
		old.cond = Removed
		w.now += 2 * sec
		w.list(next, old)
		delete(w.hosts, old.id)
		most = max(most, len(w.d.hosts))
	}
	if most > 400 || len(w.d.byID) != len(w.d.hosts) {
		t.Errorf("%d hosts are kept, %d by id", most, len(w.d.byID))
	}
	h := w.d.hosts[len(w.d.hosts)-1]
	w.now += 7200 * sec // with no list
	w.list(&seen{id: h.id, kind: h.kind, cond: Draining})
	w.now += 60 * sec
	w.list(&seen{id: h.id, kind: h.kind, since: h.since})
	if w.d.byID[h.id] != h || !h.ready {
		t.Error("one that came back is not known any more")
	}
}

// A prefix is read in its dispatcher's own zone, at the same reader by all dispatchers there; where that one is busy it is read at
// the home of all zones, which keeps the text too, before any other reader.
func TestHomeInTheOwnZone(t *testing.T) {
	homes := map[ZoneID]EndpointID{}
	for seed := range int64(8) {
		zone := ZoneID(seed % 2)
		place := two(Idempotent)
		place.Zone = zone
		w := newWorld(t, place, seed)
		var all []*seen
		for i := range 4 {
			all = append(all, &seen{id: EndpointID(i + 1), zone: ZoneID(i % 2)}, &seen{id: EndpointID(i + 11), kind: 1, zone: ZoneID(i % 2)})
		}
		w.list(all...)
		home := w.arrive(1, 0, 9000, 6*sec).out().host
		if home.zone != zone {
			t.Errorf("read in zone %d by a dispatcher of zone %d", home.zone, zone)
		}
		if before, some := homes[zone]; some && before != home.id {
			t.Errorf("zone %d: read at %d and at %d", zone, before, home.id)
		}
		homes[zone] = home.id
		next := w.arrive(4, 0, 2000, 6*sec).out().host
		common := w.d.home(w.d.gens[4], 1, []*host{w.d.byID[1], w.d.byID[2], w.d.byID[3], w.d.byID[4]})
		if common.id != home.id && next.id != common.id {
			t.Errorf("with its home busy it is read at %d and not at %d", next.id, common.id)
		}
	}
}

// On an easy day nothing is gained by passing over near writers, whose states need no link: they are passed over once they hold much.
func TestNearWritersWhileLittleIsHeld(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.list(&seen{id: 1, kind: 0}, &seen{id: 11, kind: 1}, &seen{id: 12, kind: 1}, &seen{id: 13, kind: 1, zone: 1, cell: 1})
	for i := range 10 {
		g := w.written(RequestID(i+1), 4000)
		if h := g.out().host; h.zone == 1 {
			t.Fatalf("the %dth left its zone, with %v and %v held of 140000 near", i+1, w.d.byID[11].held, w.d.byID[12].held)
		}
		w.start(g)
	}
}

// What warm hosts do has to be known before all of a role come back cold at once: with the first cold host it is too late to look.
func TestWarmIsSeenBeforeAnyIsCold(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(2, 0, 1)
	for i := range 20 {
		g := w.written(RequestID(i+1), 2000)
		w.start(g)
		w.end(g, Completed, 0)
		w.pass(50 * ms)
	}
	before := w.d.warm[Decode]
	if before == 0 {
		t.Fatal("nothing was seen of the warm writers")
	}
	// Dead ones that the list still names do not make it look small.
	for _, id := range []EndpointID{11, 12} {
		w.d.byID[id].ill = 1
	}
	w.pass(5 * sec)
	if w.d.warm[Decode] < before {
		t.Errorf("%v was seen, and %v is left while all are dead", before, w.d.warm[Decode])
	}
}

// That a state is gone may be known without a word from its writer, which is not taken for one that spoke.
func TestStateGoneSaysNothingOfTheHost(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(2, 0, 1)
	g := w.written(1, 2000)
	h := w.d.byID[g.out().host.id]
	if w.end(g, NoCapacity, 1); h.heard != 0 || h.fullUntil != 0 {
		t.Errorf("heard at %d, full until %d", h.heard, h.fullUntil)
	}
}

// A home that turns out not to keep a text that only others had read there has forgotten nothing that this dispatcher knows of.
func TestHomeThatNeverKeptForgetsNothing(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.list(&seen{id: 1}, &seen{id: 11, kind: 1})
	w.d.byID[1].texts[77] = true
	g := w.arriveIn(1, 0, 5, 6000, 5000, 6*sec)
	w.end(g, PrefillDone, 0)
	if !w.d.byID[1].texts[77] || !w.d.byID[1].texts[5] {
		t.Errorf("known texts: %v", w.d.byID[1].texts)
	}
}
