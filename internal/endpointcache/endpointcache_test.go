package endpointcache

import (
	"fmt"
	"testing"
)

func TestWeigh(t *testing.T) {
	now := 1_000_000 * second
	for age, want := range map[Micros]Trust{0: Fresh, second: Fresh, 60 * second: Stale, 3600 * second: Stale, 24 * 3600 * second: Old,
		-3600 * second: Stale, now: Stale, now + 5: Stale} {
		if got := Assess(now, now-age); got != want {
			t.Errorf("age %d s: %v, want %v", age/second, got, want)
		}
	}
}

func TestPlan(t *testing.T) {
	var hosts []Endpoint
	for i := range 23 {
		hosts = append(hosts, Endpoint{ID: uint32(i), Group: fmt.Sprint("g", i%4), Started: 5})
	}
	for _, trust := range []Trust{Fresh, Stale, Old} {
		seen := map[uint32]int{}
		for n, w := range Plan(1000, trust, hosts) {
			groups := map[string]bool{}
			for _, h := range w.Hosts {
				seen[h.ID]++
				groups[h.Group] = true
				if want := map[bool]Micros{true: 5, false: 1000}[trust == Fresh]; h.Started != want {
					t.Errorf("%v: started %d", trust, h.Started)
				}
			}
			if len(groups) != 4 {
				t.Errorf("%v: wave %d has %d groups of 4", trust, n, len(groups))
			}
			if trust == Old && len(w.Hosts) > 8 || w.After != Micros(n)*waveEvery {
				t.Errorf("%v: wave %d has %d hosts after %d", trust, n, len(w.Hosts), w.After)
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
