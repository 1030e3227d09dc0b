package endpointcache

import (
	"fmt"
	"testing"
)

func TestWeigh(t *testing.T) {
	now := 1_000_000 * second
	for age, want := range map[Micros]Freshness{0: Fresh, second: Fresh, 60 * second: Stale, 3600 * second: Stale, 24 * 3600 * second: Old,
		-3600 * second: Stale, now: Stale, now + 5: Stale} {
		if got := FreshnessOf(now, now-age); got != want {
			t.Errorf("age %d s: %v, want %v", age/second, got, want)
		}
	}
}

func TestPlan(t *testing.T) {
	var hosts []Endpoint
	for i := range 23 {
		hosts = append(hosts, Endpoint{ID: uint32(i), Group: fmt.Sprint("g", i%4), StartedAt: 5})
	}
	for _, trust := range []Freshness{Fresh, Stale, Old} {
		seen := map[uint32]int{}
		for n, w := range Plan(1000, trust, hosts) {
			groups := map[string]bool{}
			for _, h := range w.Endpoints {
				seen[h.ID]++
				groups[h.Group] = true
				if want := map[bool]Micros{true: 5, false: 1000}[trust == Fresh]; h.StartedAt != want {
					t.Errorf("%v: started %d", trust, h.StartedAt)
				}
			}
			if len(groups) != 4 {
				t.Errorf("%v: wave %d has %d groups of 4", trust, n, len(groups))
			}
			if trust == Old && len(w.Endpoints) > 8 || w.Delay != Micros(n)*waveEvery {
				t.Errorf("%v: wave %d has %d hosts after %d", trust, n, len(w.Endpoints), w.Delay)
			}
		}
		if len(seen) != len(hosts) {
			t.Errorf("%v: %d hosts of %d", trust, len(seen), len(hosts))
		}
	}
}

func TestDoubtEndsWithinTheGrace(t *testing.T) {
	grace := 250 * millisecond
	for ready := range 20 {
		for missing := range ready + 1 {
			d := RemovalDelay(ready, missing, grace)
			if d >= grace || (d > 0) != (ready >= 2 && 2*missing > ready) {
				t.Errorf("%d of %d missing: doubted for %d", missing, ready, d)
			}
		}
	}
}
