package scheduler

import "testing"

func TestQuotaIsThisDispatchersPartWithABurst(t *testing.T) {
	const tenant, unknown = 0, 5
	quotas := newQuotas(0, []float64{10}, 2) // this dispatcher's half: 5 requests a second, 10 at once
	for i := range 10 {
		if quotas.take(tenant) {
			t.Fatalf("request %d of the burst exceeds the quota", i+1)
		}
	}
	if !quotas.take(tenant) {
		t.Error("a request beyond the burst does not exceed the quota")
	}
	if quotas.take(unknown) {
		t.Error("a request of a tenant without a quota exceeds a quota")
	}
	quotas.refill(sec)
	for i := range 5 {
		if quotas.take(tenant) {
			t.Fatalf("request %d of the next second exceeds the quota", i+1)
		}
	}
	if !quotas.take(tenant) {
		t.Error("more than a second's quota was refilled")
	}
	quotas.refill(1000 * sec)
	if quotas.tokens[tenant] != 10 {
		t.Errorf("refilled to %v tokens, want the burst", quotas.tokens[tenant])
	}
}

func TestChangedQuotaTakesEffectAtOnce(t *testing.T) {
	config := testConfig(Idempotent)
	config.Quotas = []float64{10}
	sim := newFleetSim(t, config, 1)
	quotas := &sim.scheduler.quotas
	sim.scheduler.QuotaChanged(sim.now, 0, 4)
	if quotas.tokens[0] != 4 {
		t.Errorf("%v tokens left after the burst was cut to 4", quotas.tokens[0])
	}
	sim.scheduler.QuotaChanged(sim.now, 2, 6)
	if quotas.tokens[2] != 6 {
		t.Errorf("a new tenant has %v tokens, want its burst of 6", quotas.tokens[2])
	}
	if config.Quotas[0] != 10 {
		t.Error("the caller's configuration was changed")
	}
}
