package endpointcache

import (
	"fmt"
	"testing"
)

func TestFreshnessOf(t *testing.T) {
	now := 1_000_000 * second
	for age, want := range map[Micros]Freshness{
		0:           Fresh,
		second:      Fresh,
		60 * second: Stale,
		hour:        Stale,
		24 * hour:   Old,
		-hour:       Stale,
		now:         Stale,
		now + 5:     Stale,
	} {
		if got := FreshnessOf(now, now-age); got != want {
			t.Errorf("age %d s: %v, want %v", age/second, got, want)
		}
	}
}

// TestPlanUsesEachEndpointOnce checks that each endpoint is in exactly one batch, that each batch has endpoints of all
// groups, and that only the endpoints of a fresh list keep their start times.
func TestPlanUsesEachEndpointOnce(t *testing.T) {
	const (
		now        = Micros(1000)
		startedAt  = Micros(5)
		groupCount = 4
	)
	var endpoints []Endpoint
	for i := range 23 {
		endpoints = append(endpoints, Endpoint{ID: uint32(i), Group: fmt.Sprint("g", i%groupCount), StartedAt: startedAt})
	}
	for freshness, test := range map[Freshness]struct {
		startedAt    Micros
		maxBatchSize int
	}{
		Fresh: {startedAt, len(endpoints)},
		Stale: {now, len(endpoints)},
		Old:   {now, 8},
	} {
		used := map[uint32]int{}
		for i, batch := range Plan(now, freshness, endpoints) {
			groups := map[string]bool{}
			for _, endpoint := range batch.Endpoints {
				used[endpoint.ID]++
				groups[endpoint.Group] = true
				if endpoint.StartedAt != test.startedAt {
					t.Errorf("%v: started %d, want %d", freshness, endpoint.StartedAt, test.startedAt)
				}
			}
			if len(groups) != groupCount {
				t.Errorf("%v: batch %d has %d groups of %d", freshness, i, len(groups), groupCount)
			}
			if len(batch.Endpoints) > test.maxBatchSize || batch.Delay != Micros(i)*batchInterval {
				t.Errorf("%v: batch %d has %d endpoints after %d", freshness, i, len(batch.Endpoints), batch.Delay)
			}
		}
		for _, endpoint := range endpoints {
			if used[endpoint.ID] != 1 {
				t.Errorf("%v: endpoint %d is in %d batches", freshness, endpoint.ID, used[endpoint.ID])
			}
		}
	}
}

func TestRemovalDelayEndsWithinDrainGrace(t *testing.T) {
	grace := 250 * millisecond
	for ready := range 20 {
		for missing := range ready + 1 {
			delay := RemovalDelay(ready, missing, grace)
			if delay >= grace || (delay > 0) != (ready >= 2 && 2*missing > ready) {
				t.Errorf("%d of %d missing: delayed for %d", missing, ready, delay)
			}
		}
	}
}
