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
		config := testConfig(Idempotent)
		for i, p := range []Class{{Effect: NonIdempotent}, {Effect: Deduplicated},
			{Effect: Deduplicated, Group: SameZone}, {Effect: Deduplicated, Group: SameCell}} {
			p.SLO, p.Window, p.Revenue, p.TokenSLO = sec, 2*sec, float64(i+1), 50*ms
			config.Classes = append(config.Classes, p)
		}
		config.Classes = append(config.Classes, Class{SLO: 2 * sec, Revenue: 1, LateRevenueShare: 0.5, PrefillOnly: true})
		config.Kinds = append(config.Kinds, Kind{Embedder, 100000})
		config.CancelAllowed, config.DecodePrefills = shape&1 == 0, shape&2 == 0
		config.WatchOnDemand = shape&1 == 1
		config.MaxAttempts = 2 + int(shape%5)
		config.Quotas, config.OverQuotaWeight = []float64{3}, 0.1
		var logs [2][]string
		for i := range logs {
			sim := newFleetSim(t, config, seed)
			sim.playScenario(rand.New(rand.NewSource(seed)), 1500)
			logs[i] = sim.log
		}
		if !slices.Equal(logs[0], logs[1]) {
			t.Fatal("the same events gave other orders")
		}
	})
}

// A read that is out has not been seen to do nothing: throttling a non-idempotent request then broke a
// rule.
func TestNoThrottleWhileReadIsOut(t *testing.T) {
	sim := newFleetSim(t, testConfig(NonIdempotent), 1)
	sim.addEndpoints(1, 0, 1)
	req := sim.arrive(1, 0, 3000, sec)
	sim.advance(sec)
	if req.inFlight() == nil || req.answers[0] != "terminate" {
		t.Fatalf("answers %v", req.answers)
	}
	sim.endAttempt(req, PrefillDone, 0)
	if req.stateWaitingSince != 0 {
		t.Error("the read that ended after the answer keeps its state")
	}
}

// A writer cut off from the reader says that there is no state; the reader holds it all the same.
func TestStateNotFoundIsLetGo(t *testing.T) {
	sim := newFleetSim(t, testConfig(NonIdempotent), 1)
	sim.addEndpoints(2, 0, 1)
	req := sim.prefilled(1, 3000)
	sim.endAttempt(req, NoCapacity, 1)
	if req.stateWaitingSince != 0 {
		t.Error("the state was not let go")
	}
	if req.inFlight() == nil || req.inFlight().endpoint.kind != 0 {
		t.Error("not read again")
	}
}

// A cancel may cross the start of its stream: an end without closing is still owed an answer.
func TestStreamEndsUnclosed(t *testing.T) {
	sim := newFleetSim(t, testConfig(NonIdempotent), 1)
	sim.addEndpoints(1, 0, 1)
	req := sim.prefilled(1, 3000)
	sim.startAnswer(req)
	req.inFlight().inFlight, req.inFlight().outcome = false, Cancelled
	sim.scheduler.AttemptEnded(sim.now, 1, 1, AttemptResult{Outcome: Cancelled, MemoryUsage: NoLoadReport})
	if len(req.answers) != 1 {
		t.Errorf("answers %v", req.answers)
	}
}

func TestUnknownProductAndKind(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.config.Kinds = append(sim.config.Kinds, Kind{}) // the model knows a kind that the module was not told
	sim.updateEndpoints(&simEndpoint{id: 1, kind: 3})
	if req := sim.arrive(1, 9, 3000, 4*sec); len(req.answers) != 1 {
		t.Errorf("unknown product: answers %v", req.answers)
	}
	if req := sim.arrive(2, 0, 3000, 4*sec); len(req.attempts) != 0 {
		t.Error("sent to a host of an unknown kind")
	}
}

// What is complete with its read needs no writer, leaves no state, and is not sent where chat alone is answered; and hosts
// that only embed are never sent chat, even where they are all that is left.
func TestReadOnly(t *testing.T) {
	config := testConfig(Idempotent)
	config.Classes = append(config.Classes, Class{SLO: sec, Revenue: 1, PrefillOnly: true})
	config.Kinds = append(config.Kinds, Kind{Embedder, 100000})
	for _, c := range []struct {
		kinds   []KindID
		product ClassID
		sent    bool
	}{{[]KindID{0}, 1, true}, {[]KindID{3}, 1, true}, {[]KindID{2}, 1, true}, {[]KindID{1}, 1, false}, {[]KindID{0}, 0, false}, {[]KindID{3, 1}, 0, false}} {
		sim := newFleetSim(t, config, 1)
		sim.addEndpoints(2, c.kinds...)
		req := sim.arrive(1, c.product, 2000, 4*sec)
		if sent := req.inFlight() != nil; sent != c.sent {
			t.Errorf("hosts %v, product %d: sent %v", c.kinds, c.product, sent)
		}
		if !c.sent {
			continue
		}
		sim.endAttempt(req, Errored, 0)
		if req.inFlight() == nil || req.inFlight().endpoint == req.attempts[0].endpoint {
			t.Errorf("hosts %v: not read again elsewhere", c.kinds)
			continue
		}
		sim.endAttempt(req, PrefillDone, 0)
		sim.advance(sec)
		if len(req.answers) > 0 || len(sim.scheduler.requests) > 0 || sim.scheduler.prefillTokens != 0 {
			t.Errorf("hosts %v: %v, %d gens left, %v under way", c.kinds, req.answers, len(sim.scheduler.requests), sim.scheduler.prefillTokens)
		}
	}
}
