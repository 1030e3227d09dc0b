package scheduler

import (
	"fmt"
	"testing"
)

// In overload, queued requests that can no longer meet their SLO time are rejected at once if other queued requests can
// still meet theirs. The newest request is placed first.
func TestLateRequestsYieldAndTheNewestGoesFirst(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind)
	late := sim.arrive(1, 0, 1000, 6*sec)
	sim.advance(950 * ms)
	fresh := sim.arrive(2, 0, 1000, 6*sec)
	sim.advance(100 * ms)
	if len(late.finalAnswers) != 1 || len(fresh.finalAnswers) != 0 {
		t.Fatalf("final answers: late request %v, want one; fresh request %v, want none",
			late.finalAnswers, fresh.finalAnswers)
	}
	sim.arrive(3, 0, 1000, 6*sec)
	sim.addEndpoints(1, decodeKind)
	var at, first int
	for _, line := range sim.actions {
		if n, _ := fmt.Sscanf(line, "%d send %d", &at, &first); n == 2 {
			break
		}
	}
	if first != 3 {
		t.Errorf("request %d was sent first, want the newest", first)
	}
}
