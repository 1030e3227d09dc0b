package scenarios

import (
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
)

// Calls with many inputs beside chat, through crashes, hangs, fast errors, pauses and a zone cut: each vector at its place, by
// content, one final answer a call, the rules kept and nothing left over; hosts that only embed are never sent chat.
func TestBatchesThroughBreaks(t *testing.T) {
	script, err := ReadScript("batches", []byte(`name: "batches" seconds: 14 rate: 10
		batches { product: "embed" at_once: 6 inputs: 120 tokens: 60 tenant: 1 }
		batches { product: "rank" at_once: 3 inputs: 60 tokens: 80 tenant: 2 from_ms: 1000 }
		troubles { at_ms: 2000 kind: "crash" share: 0.2 for_ms: 2000 }
		troubles { at_ms: 4000 kind: "hang" share: 0.2 for_ms: 1500 }
		troubles { at_ms: 6000 kind: "fast_errors" share: 0.3 factor: 0.6 for_ms: 2000 }
		troubles { at_ms: 8500 kind: "pauses" share: 0.3 for_ms: 900 }
		troubles { at_ms: 10000 kind: "drain" share: 0.2 for_ms: 1500 }
		troubles { at_ms: 11500 kind: "balancer_crash" share: 0.4 for_ms: 500 }`))
	if err != nil {
		t.Fatal(err)
	}
	for seed := int64(1); seed <= 2; seed++ {
		d := deployment.Standard()
		d.Kinds = append(d.Kinds, &pb.Kind{Name: "embedder", Role: pb.Kind_EMBEDDER, MemoryTokens: 100000})
		d.Fleet.Groups = append(d.Fleet.Groups, &pb.Fleet_Group{Kind: "embedder", HostsPerZone: 1, ReadTokensPerS: 18000, Slots: 8, Queue: 40, StepUs: 5000})
		p := &Run{Script: script, Deployment: d, Dispatchers: 3, Seed: seed}
		v, left, _, err := p.RunVirtual(0)
		if err != nil {
			t.Fatal(err)
		}
		if !v.Passed() || left > 0 {
			t.Errorf("seed %d: %d left over\n%s", seed, left, v.Text())
		}
		for _, b := range p.BatchClients {
			t.Logf("seed %d, %s: %d calls, %d inputs read, finals %v", seed, b.Product.Name, b.Started, b.InputsRead, b.Outcomes)
			if b.Wrong > 0 || b.InputsRead < 1000 {
				t.Errorf("seed %d, %s: %d wrong answers, %d inputs read", seed, b.Product.Name, b.Wrong, b.InputsRead)
			}
		}
	}
}
