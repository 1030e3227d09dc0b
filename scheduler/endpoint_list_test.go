package scheduler

import "testing"

// Over months, endpoints are replaced under new ids. Endpoints that are gone must be forgotten, because the number of
// endpoints that a decision examines must not grow.
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
		t.Errorf("up to %d endpoints were known at once; now %d by id", most, len(sim.scheduler.endpoints.byID))
	}
	// An endpoint that drains and becomes ready again before it is forgotten keeps its state.
	ep := sim.scheduler.endpoints.all[len(sim.scheduler.endpoints.all)-1]
	sim.now += 7200 * sec // no list arrives meanwhile
	sim.updateEndpoints(&simEndpoint{id: ep.id, kind: ep.kind, state: Draining})
	sim.now += 60 * sec
	sim.updateEndpoints(&simEndpoint{id: ep.id, kind: ep.kind, startedAt: ep.startedAt})
	if sim.endpoint(ep.id) != ep || !ep.ready {
		t.Error("the endpoint that became ready again was forgotten")
	}
}
