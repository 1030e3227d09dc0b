package scheduler

import (
	"math/rand"
	"slices"
	"testing"
)

// FuzzRules plays generated days: the model in world_test.go stops at the first order that the rules
// forbid. The same day twice must give the same orders.
func FuzzRules(f *testing.F) {
	for seed := range int64(60) {
		f.Add(seed, uint8(seed%5))
	}
	f.Fuzz(func(t *testing.T, seed int64, shape uint8) {
		place := two(Idempotent)
		for i, p := range []Class{{Effect: NonIdempotent}, {Effect: Deduplicated},
			{Effect: Deduplicated, Group: SameZone}, {Effect: Deduplicated, Group: SameCell}} {
			p.SLO, p.Window, p.Revenue, p.TokenSLO = sec, 2*sec, float64(i+1), 50*ms
			place.Classes = append(place.Classes, p)
		}
		place.Classes = append(place.Classes, Class{SLO: 2 * sec, Revenue: 1, LateRevenueShare: 0.5, PrefillOnly: true})
		place.Kinds = append(place.Kinds, Kind{Embedder, 100000})
		place.CancelAllowed, place.DecodePrefills = shape&1 == 0, shape&2 == 0
		place.WatchOnDemand = shape&1 == 1
		place.MaxAttempts = 2 + int(shape%5)
		place.Quotas, place.OverQuotaWeight = []float64{3}, 0.1
		var logs [2][]string
		for i := range logs {
			w := newWorld(t, place, seed)
			w.play(rand.New(rand.NewSource(seed)), 1500)
			logs[i] = w.log
		}
		if !slices.Equal(logs[0], logs[1]) {
			t.Fatal("the same events gave other orders")
		}
	})
}

// A read that is out has not been seen to do nothing: throttling a non-idempotent request then broke a
// rule.
func TestNoThrottleWhileReadIsOut(t *testing.T) {
	w := newWorld(t, two(NonIdempotent), 1)
	w.fleet(1, 0, 1)
	g := w.arrive(1, 0, 3000, sec)
	w.pass(sec)
	if g.out() == nil || g.answers[0] != "terminate" {
		t.Fatalf("answers %v", g.answers)
	}
	w.end(g, PrefillDone, 0)
	if g.waiting != 0 {
		t.Error("the read that ended after the answer keeps its state")
	}
}

// A writer cut off from the reader says that there is no state; the reader holds it all the same.
func TestStateNotFoundIsLetGo(t *testing.T) {
	w := newWorld(t, two(NonIdempotent), 1)
	w.fleet(2, 0, 1)
	g := w.written(1, 3000)
	w.end(g, NoCapacity, 1)
	if g.waiting != 0 {
		t.Error("the state was not let go")
	}
	if g.out() == nil || g.out().host.kind != 0 {
		t.Error("not read again")
	}
}

// A cancel may cross the start of its stream: an end without closing is still owed an answer.
func TestStreamEndsUnclosed(t *testing.T) {
	w := newWorld(t, two(NonIdempotent), 1)
	w.fleet(1, 0, 1)
	g := w.written(1, 3000)
	w.start(g)
	g.out().out, g.out().how = false, Cancelled
	w.d.AttemptEnded(w.now, 1, 1, AttemptResult{Outcome: Cancelled, MemoryUsage: NoLoadReport})
	if len(g.answers) != 1 {
		t.Errorf("answers %v", g.answers)
	}
}

func TestUnknownProductAndKind(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.place.Kinds = append(w.place.Kinds, Kind{}) // the model knows a kind that the module was not told
	w.list(&seen{id: 1, kind: 3})
	if g := w.arrive(1, 9, 3000, 4*sec); len(g.answers) != 1 {
		t.Errorf("unknown product: answers %v", g.answers)
	}
	if g := w.arrive(2, 0, 3000, 4*sec); len(g.legs) != 0 {
		t.Error("sent to a host of an unknown kind")
	}
}

// What is complete with its read needs no writer, leaves no state, and is not sent where chat alone is answered; and hosts
// that only embed are never sent chat, even where they are all that is left.
func TestReadOnly(t *testing.T) {
	place := two(Idempotent)
	place.Classes = append(place.Classes, Class{SLO: sec, Revenue: 1, PrefillOnly: true})
	place.Kinds = append(place.Kinds, Kind{Embedder, 100000})
	for _, c := range []struct {
		kinds   []KindID
		product ClassID
		sent    bool
	}{{[]KindID{0}, 1, true}, {[]KindID{3}, 1, true}, {[]KindID{2}, 1, true}, {[]KindID{1}, 1, false}, {[]KindID{0}, 0, false}, {[]KindID{3, 1}, 0, false}} {
		w := newWorld(t, place, 1)
		w.fleet(2, c.kinds...)
		g := w.arrive(1, c.product, 2000, 4*sec)
		if sent := g.out() != nil; sent != c.sent {
			t.Errorf("hosts %v, product %d: sent %v", c.kinds, c.product, sent)
		}
		if !c.sent {
			continue
		}
		w.end(g, Errored, 0)
		if g.out() == nil || g.out().host == g.legs[0].host {
			t.Errorf("hosts %v: not read again elsewhere", c.kinds)
			continue
		}
		w.end(g, PrefillDone, 0)
		w.pass(sec)
		if len(g.answers) > 0 || len(w.d.gens) > 0 || w.d.underway != 0 {
			t.Errorf("hosts %v: %v, %d gens left, %v under way", c.kinds, g.answers, len(w.d.gens), w.d.underway)
		}
	}
}
