package scheduler

import (
	"math/rand"
	"slices"
	"testing"
)

// FuzzRules runs random scenarios. The model in rule_model_test.go fails the test at the first action that the rules
// forbid. Running the same scenario twice must give the same actions.
func FuzzRules(f *testing.F) {
	for seed := range int64(60) {
		f.Add(seed, uint8(seed%5))
	}
	f.Fuzz(func(t *testing.T, seed int64, shape uint8) {
		config := fuzzConfig(shape)
		var actions [2][]string
		for i := range actions {
			sim := newFleetSim(t, config, seed)
			sim.runScenario(rand.New(rand.NewSource(seed)), 1500)
			actions[i] = sim.actions
		}
		if !slices.Equal(actions[0], actions[1]) {
			t.Fatal("the same events gave different actions")
		}
	})
}

// fuzzConfig returns a configuration with a class for each effect and group and a prefill-only class. The other
// settings depend on shape.
func fuzzConfig(shape uint8) Config {
	config := testConfig(Idempotent)
	for i, class := range []Class{
		{Effect: NonIdempotent},
		{Effect: Deduplicated},
		{Effect: Deduplicated, Group: SameZone},
		{Effect: Deduplicated, Group: SameCell},
	} {
		class.SLO, class.DedupWindow, class.Revenue, class.TokenSLO = sec, 2*sec, float64(i+1), 50*ms
		config.Classes = append(config.Classes, class)
	}
	prefillOnly := Class{SLO: 2 * sec, Revenue: 1, LateRevenueShare: 0.5, PrefillOnly: true}
	config.Classes = append(config.Classes, prefillOnly)
	config.Kinds = append(config.Kinds, Kind{Embedder, 100000})
	config.CancelAllowed, config.DecodePrefills = shape&1 == 0, shape&2 == 0
	config.WatchOnDemand = shape&1 == 1
	config.MaxAttempts = 2 + int(shape%5)
	config.Quotas, config.OverQuotaWeight = []float64{3}, 0.1
	return config
}

// A prefill in flight may have an effect, so a non-idempotent request that ends during its prefill must fail and not be
// rejected.
func TestNonIdempotentFailsWhilePrefillInFlight(t *testing.T) {
	sim := newFleetSim(t, testConfig(NonIdempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind)
	req := sim.arrive(1, 0, 3000, sec)
	sim.advance(sec)
	if req.inFlight() == nil || req.finalAnswers[0] != failed {
		t.Fatalf("final answers %v", req.finalAnswers)
	}
	sim.endAttempt(req, PrefillDone, 0)
	if req.stateWaitingSince != 0 {
		t.Error("the state of a prefill that completed after the final answer was not released")
	}
}

// A decode endpoint that is cut off from the prefill endpoint finds no state, although the prefill endpoint still
// stores it. The state must be released.
func TestMissingStateIsReleased(t *testing.T) {
	sim := newFleetSim(t, testConfig(NonIdempotent), 1)
	sim.addEndpoints(2, prefillKind, decodeKind)
	req := sim.arriveAndPrefill(1, 3000)
	sim.endAttempt(req, NoCapacity, 1)
	if req.stateWaitingSince != 0 {
		t.Error("the state was not released")
	}
	if req.inFlight() == nil || req.inFlight().endpoint.kind != prefillKind {
		t.Error("not prefilled again")
	}
}

// A state whose lease expires during a decode attempt is gone, however the attempt ends. The scheduler must release it
// once more and must not send another decode attempt without a new prefill.
func TestStateReleasedDuringADecode(t *testing.T) {
	for _, outcome := range []Outcome{NoCapacity, TimedOut, ConnectionLost, Errored, Cancelled} {
		sim := newFleetSim(t, testConfig(Idempotent), 1)
		sim.addEndpoints(2, prefillKind, decodeKind)
		req := sim.arriveAndPrefill(1, 3000)
		sim.advance(50 * ms)
		sim.endAttemptWith(req, AttemptResult{Outcome: outcome, StateReleased: true})
		if req.inFlight() == nil || req.inFlight().endpoint.kind != prefillKind || req.stateWaitingSince != 0 {
			t.Errorf("%v: not prefilled again", outcome)
		}
	}
}

// An attempt may be cancelled while the start of its stream is on the way. If the stream then ends before the answer is
// complete, the client still needs a final answer.
func TestStreamEndingUnclosedGetsFinalAnswer(t *testing.T) {
	sim := newFleetSim(t, testConfig(NonIdempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind)
	req := sim.arriveAndPrefill(1, 3000)
	sim.startAnswer(req)
	req.inFlight().inFlight, req.inFlight().outcome = false, Cancelled
	sim.scheduler.AttemptEnded(sim.now, 1, 1, AttemptResult{Outcome: Cancelled, MemoryUsage: NoLoadReport})
	if len(req.finalAnswers) != 1 {
		t.Errorf("final answers %v", req.finalAnswers)
	}
}

func TestUnknownClassFailsAndUnknownKindGetsNothing(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.config.Kinds = append(sim.config.Kinds, Kind{}) // a kind that only the model knows
	sim.updateEndpoints(&simEndpoint{id: 1, kind: 3})
	if req := sim.arrive(1, 9, 3000, 4*sec); len(req.finalAnswers) != 1 {
		t.Errorf("unknown class: final answers %v", req.finalAnswers)
	}
	if req := sim.arrive(2, 0, 3000, 4*sec); len(req.attempts) != 0 {
		t.Error("sent to an endpoint of an unknown kind")
	}
}

// A prefill-only request needs no decode endpoint, leaves no state, and is not sent to endpoints that only decode.
// Embedder endpoints never get chat requests, even if no other endpoint can prefill.
func TestPrefillOnlyRequestsGoWherePrefillsAreDone(t *testing.T) {
	const chat, prefillOnly ClassID = 0, 1
	config := testConfig(Idempotent)
	config.Classes = append(config.Classes, Class{SLO: sec, Revenue: 1, PrefillOnly: true})
	config.Kinds = append(config.Kinds, Kind{Embedder, 100000})
	for _, test := range []struct {
		kinds []KindID
		class ClassID
		sent  bool
	}{
		{[]KindID{prefillKind}, prefillOnly, true},
		{[]KindID{embedderKind}, prefillOnly, true},
		{[]KindID{mixedKind}, prefillOnly, true},
		{[]KindID{decodeKind}, prefillOnly, false},
		{[]KindID{prefillKind}, chat, false},
		{[]KindID{embedderKind, decodeKind}, chat, false},
	} {
		sim := newFleetSim(t, config, 1)
		sim.addEndpoints(2, test.kinds...)
		req := sim.arrive(1, test.class, 2000, 4*sec)
		if sent := req.inFlight() != nil; sent != test.sent {
			t.Errorf("kinds %v, class %d: sent %v", test.kinds, test.class, sent)
		}
		if !test.sent {
			continue
		}
		sim.endAttempt(req, Errored, 0)
		if req.inFlight() == nil || req.inFlight().endpoint == req.attempts[0].endpoint {
			t.Errorf("kinds %v: not prefilled again elsewhere", test.kinds)
			continue
		}
		sim.endAttempt(req, PrefillDone, 0)
		sim.advance(sec)
		if len(req.finalAnswers) > 0 || len(sim.scheduler.requests) > 0 || sim.scheduler.prefillingTokens != 0 {
			t.Errorf("kinds %v: %v, %d requests left, %v tokens being prefilled",
				test.kinds, req.finalAnswers, len(sim.scheduler.requests), sim.scheduler.prefillingTokens)
		}
	}
}
