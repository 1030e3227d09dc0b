package scenarios

import (
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
)

// Batch calls with many inputs run beside chat, through endpoint crashes, hangs, fast errors, pauses and drains and a
// dispatcher crash. Each call must get one final answer in which every input has its own vector or score, checked by
// content. The audit must find no violation, such as chat sent to endpoints that only embed, and no request may stay
// open.
func TestBatchesSurviveFaultsWithEveryVectorInPlace(t *testing.T) {
	const minInputsRead = 1000
	script := parseScript(t, `name: "batches" seconds: 14 rate: 10
		batches { product: "embed" at_once: 6 inputs: 120 tokens: 60 tenant: 1 }
		batches { product: "rank" at_once: 3 inputs: 60 tokens: 80 tenant: 2 from_ms: 1000 }
		troubles { at_ms: 2000 kind: "crash" share: 0.2 for_ms: 2000 }
		troubles { at_ms: 4000 kind: "hang" share: 0.2 for_ms: 1500 }
		troubles { at_ms: 6000 kind: "fast_errors" share: 0.3 factor: 0.6 for_ms: 2000 }
		troubles { at_ms: 8500 kind: "pauses" share: 0.3 for_ms: 900 }
		troubles { at_ms: 10000 kind: "drain" share: 0.2 for_ms: 1500 }
		troubles { at_ms: 11500 kind: "balancer_crash" share: 0.4 for_ms: 500 }`)
	for seed := int64(1); seed <= 2; seed++ {
		d := deployment.Standard()
		d.Kinds = append(d.Kinds, &pb.Kind{Name: "embedder", Role: pb.Kind_EMBEDDER, MemoryTokens: 100000})
		d.Fleet.Groups = append(d.Fleet.Groups, &pb.Fleet_Group{Kind: "embedder", HostsPerZone: 1,
			ReadTokensPerS: 18000, Slots: 8, Queue: 40, StepUs: 5000})
		run := &Run{Script: script, Deployment: d, Dispatchers: 3, Seed: seed}
		runCleanly(t, run, 0)
		for _, clients := range run.BatchClients {
			t.Logf("seed %d, %s: %d calls, %d inputs read, outcomes %v",
				seed, clients.Product.Name, clients.CallsStarted, clients.InputsAnswered, clients.Outcomes)
			if clients.WrongAnswers > 0 || clients.InputsAnswered < minInputsRead {
				t.Errorf("seed %d, %s: %d wrong answers, %d inputs read",
					seed, clients.Product.Name, clients.WrongAnswers, clients.InputsAnswered)
			}
		}
	}
}
