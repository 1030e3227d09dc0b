package scheduler

import "testing"

// Endpoints are replaced for months: what is gone is forgotten, and what a decision looks at does not grow.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(3, prefillKind, decodeKind)
	most := 0
	for i := range 30000 {
		next := &simEndpoint{id: EndpointID(i*7 + 8), kind: KindID(i / 2 % 2), startedAt: sim.now}
		old := sim.endpoints[EndpointID(i*7+1)]
		if old == nil {
			old = &simEndpoint{id: EndpointID(i*7 + 1)}
		}
		old.state = Removed
		sim.now += 2 * sec
		sim.updateEndpoints(next, old)
		delete(sim.endpoints, old.id)
		most = max(most, len(sim.scheduler.endpoints.all))
	}
	if most > 400 || len(sim.scheduler.endpoints.byID) != len(sim.scheduler.endpoints.all) {
		t.Errorf("%d endpoints are remembered, %d by id", most, len(sim.scheduler.endpoints.byID))
	}
	// One that drains and comes back before it is forgotten is known as before.
	ep := sim.scheduler.endpoints.all[len(sim.scheduler.endpoints.all)-1]
	sim.now += 7200 * sec // with no list
	sim.updateEndpoints(&simEndpoint{id: ep.id, kind: ep.kind, state: Draining})
	sim.now += 60 * sec
	sim.updateEndpoints(&simEndpoint{id: ep.id, kind: ep.kind, startedAt: ep.startedAt})
	if sim.endpoint(ep.id) != ep || !ep.ready {
		t.Error("one that came back was forgotten")
	}
}
