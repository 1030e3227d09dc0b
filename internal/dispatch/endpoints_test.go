package dispatch

import (
	"encoding/json"
	"testing"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// Endpoints of an unknown kind or zone get no attempts, and the others are used. Malformed lists are rejected.
func TestEndpointsOfUnknownKindOrZoneGetNothing(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west", "abacus west", "decode moon")
	for range 4 {
		r.expectFinal(r.ask("explain"), "streamed")
	}
	if r.endpoints[2].attempts()+r.endpoints[3].attempts() != 0 {
		t.Error("an endpoint of an unknown kind or zone got an attempt")
	}
	view := endpoints.View{}
	for _, bad := range []string{
		`{"hosts":[{"id":1,"addr":"a","condition":"asleep"}],"whole":true}`,
		`{"hosts":[{"id":1,"condition":"ready"}]}`,
		`[`,
	} {
		if _, _, err := view.Apply([]byte(bad)); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}

// The endpoint list that a dispatcher caches can be restored.
func TestCachedEndpointListIsRestored(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	var cached []byte
	r.dispatcher.config.CacheEndpoints = func(list []byte) { cached = list }
	r.updateEndpoints(r.endpoints[1].entry("ready"))
	r.network.Run(2 * eventloop.Second)
	view := endpoints.View{}
	entries, _, err := view.Restore(cached)
	if err != nil || len(entries) == 0 || view.Version != 0 {
		t.Fatalf("%v, %d entries, version %d", err, len(entries), view.Version)
	}
	if entry := view.Endpoints[scheduler.EndpointID(2)]; entry.State() != scheduler.Ready {
		t.Errorf("endpoint 2: %+v", entry)
	}
}

// Without discovery, a dispatcher uses a fresh cached list as it is, a stale one as if each endpoint had just started,
// and an old one step by step. If the newest cached list is truncated, the dispatcher uses the second newest list.
func TestStartWithoutDiscovery(t *testing.T) {
	const hour = 3600 * eventloop.Second
	for _, test := range []struct {
		name string
		age  eventloop.Micros
		torn bool
		// minCompleted is how many of the 60 requests in the first six seconds must complete. maxAttempts is how many
		// attempts one endpoint may get.
		minCompleted, maxAttempts int
	}{
		{"fresh", eventloop.Second, false, 60, 60},
		{"stale", hour, false, 5, 25},
		{"old", 48 * hour, false, 3, 25},
		{"torn", eventloop.Second, true, 60, 60},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newHarness(t, nil, "prefill west", "prefill west", "prefill west", "prefill west",
				"decode west", "decode west", "decode west", "decode west")
			r.restartWithCachedList(test.age, test.torn)
			var calls []*clientCall
			for range 60 {
				calls = append(calls, r.ask("explain"))
				r.network.Run(100 * eventloop.Millisecond)
			}
			completed := 0
			for _, c := range calls {
				if len(c.finals) > 0 && c.finals[0] == "streamed" {
					completed++
				}
			}
			attempts, used := 0, 0
			for _, endpoint := range r.endpoints {
				attempts = max(attempts, endpoint.attempts())
				if endpoint.attempts() > 0 {
					used++
				}
			}
			t.Logf("%d of 60 completed in six seconds, %d attempts at most at one of %d endpoints", completed, attempts, used)
			if completed < test.minCompleted || attempts > test.maxAttempts {
				t.Error("too few requests completed, or one endpoint got too many attempts")
			}
			r.network.Run(20 * eventloop.Second)
			for i, c := range calls {
				if len(c.finals) != 1 {
					t.Errorf("call %d: final answers %v", i, c.finals)
				}
			}
			r.expectFinal(r.ask("explain"), "streamed") // slow start has ended by now, even without discovery
		})
	}
}

// restartWithCachedList starts another dispatcher, which has no discovery, with a cached list of the given age. If torn
// is true, a truncated copy of the list is the newest one.
func (r *harness) restartWithCachedList(age eventloop.Micros, torn bool) {
	r.t.Helper()
	list := r.list
	list.SavedAt = int64(r.network.Now() - age)
	cached, err := json.Marshal(list)
	if err != nil {
		r.t.Fatal(err)
	}
	lists := [][]byte{cached}
	if torn {
		lists = [][]byte{cached[:len(cached)/2], cached}
	}
	r.startDispatcher(r.network.NewLoop("d.2"), func(config *Config) error {
		config.Name, config.Seed, config.CachedEndpoints = "d.2", 5, lists
		return nil
	})
}

// If all endpoints of the cached list are down, requests are rejected until discovery sends a new list.
func TestDeadCachedEndpointsAreReplacedByDiscovery(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	for _, endpoint := range r.endpoints {
		endpoint.listener.Close()
	}
	r.expectFinal(r.ask("review-post", "x-time-limit-ms", "800"), "throttled")
	for _, endpoint := range r.endpoints {
		endpoint.listen()
	}
	r.replaceEndpoints(r.endpoints[0].entry("ready"), r.endpoints[1].entry("ready"))
	r.network.Run(8 * eventloop.Second)
	r.expectFinal(r.ask("explain"), "streamed")
}

// If a complete list from discovery leaves out most endpoints, and a later list has them again within the grace period,
// nothing changes. If no later list has them, they are removed at the end of the grace period. An endpoint that is
// listed as draining gets no attempts from then on in either case.
func TestMassRemovalIsConfirmedBeforeItCounts(t *testing.T) {
	for _, back := range []bool{true, false} {
		r := newHarness(t, nil, "prefill west", "decode west", "decode west")
		r.expectFinal(r.ask("explain"), "streamed")
		r.replaceEndpoints(r.endpoints[1].entry("draining"))
		drained := r.endpoints[1].attempts()
		r.network.Run(50 * eventloop.Millisecond)
		c := r.ask("review-post")
		r.network.Run(50 * eventloop.Millisecond)
		if len(c.finals) != 1 || c.finals[0] != "streamed" || r.endpoints[1].attempts() != drained {
			t.Errorf("within the delay: %v; %d attempts at the draining endpoint", c.finals, r.endpoints[1].attempts()-drained)
		}
		if back {
			prefill, decode := r.endpoints[0].entry("ready"), r.endpoints[2].entry("ready")
			r.loop.Do(func() {
				r.dispatcher.endpointWatch.Endpoints = map[scheduler.EndpointID]endpoints.Entry{
					prefill.ID: prefill,
					decode.ID:  decode,
				}
			})
			r.replaceEndpoints(prefill, decode)
		}
		r.network.Run(100 * eventloop.Millisecond) // 200 ms after the list, which is still within the grace period of 250 ms
		want := map[bool]string{true: "streamed", false: "throttled"}[back]
		r.expectFinal(r.ask("review-post", "x-time-limit-ms", "600"), want)
	}
}

// After endpoints were replaced thousands of times, the dispatcher has no data left of the endpoints that are gone.
// Prefill state at an endpoint that is listed as gone is released.
func TestReplacedEndpointsLeaveNothing(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	for i := range 3000 {
		entry := r.endpoints[1].entry("ready")
		entry.ID, entry.Addr = scheduler.EndpointID(1000+i), "127.0.0.1:9"
		r.updateEndpoints(entry)
		r.network.Run(500 * eventloop.Millisecond)
		entry.Condition = "gone"
		r.updateEndpoints(entry)
	}
	r.network.Run(120 * eventloop.Second)
	if n := r.dispatcher.engine.EndpointCount(); n != 2 || len(r.dispatcher.endpoints) != 2 {
		t.Errorf("the engine has %d endpoints and the dispatcher %d, want 2", n, len(r.dispatcher.endpoints))
	}
	r.expectFinal(r.ask("explain"), "streamed")
	r.endpoints[1].serve = neverAnswer
	c := r.ask("review-post", "x-time-limit-ms", "900")
	r.network.Run(100 * eventloop.Millisecond)
	r.updateEndpoints(r.endpoints[0].entry("gone"))
	before := r.endpoints[0].releases()
	r.runUntil(eventloop.Second, func() bool { return len(c.finals) > 0 })
	r.expectRelease(r.endpoints[0], before, "an endpoint that is listed as gone")
}
