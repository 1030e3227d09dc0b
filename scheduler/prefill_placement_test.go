package scheduler

import "testing"

// All prefill endpoints may be drained at once. Mixed endpoints then have to prefill.
func TestMixedEndpointsPrefillWhenNoPrefillEndpointIsLeft(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(1, prefillKind, decodeKind, mixedKind)
	sim.updateEndpoints(&simEndpoint{id: 1, state: Draining})
	for id := RequestID(1); id < 4; id++ {
		req := sim.arrive(id, 0, 1000*float64(id), 6*sec)
		if req.inFlight() == nil || req.inFlight().endpoint.id != 21 {
			t.Errorf("request %d is not prefilled at the mixed endpoint", id)
		}
	}
}
