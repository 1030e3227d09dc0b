package dispatch

import (
	"encoding/json"
	"testing"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// A list names unknown kinds, zones and conditions: those endpoints get nothing, the others work.
func TestEndpointsOfUnknownKindOrZoneGetNothing(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west", "abacus west", "decode moon")
	for range 4 {
		r.expectFinal(r.ask("explain"), "streamed")
	}
	if r.endpoints[2].attempts()+r.endpoints[3].attempts() != 0 {
		t.Error("an endpoint of an unknown kind or zone was sent something")
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

// What a dispatcher caches of the endpoint list can be restored.
func TestCachedEndpointListIsRestored(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	var cached []byte
	r.dispatcher.config.CacheEndpoints = func(list []byte) { cached = list }
	r.updateEndpoints(r.endpoints[1].entry("ready"))
	r.world.Run(2 * eventloop.Second)
	view := endpoints.View{}
	entries, _, err := view.Restore(cached)
	if err != nil || len(entries) == 0 || view.Version != 0 {
		t.Fatalf("%v, %d entries, version %d", err, len(entries), view.Version)
	}
	if entry := view.Endpoints[scheduler.EndpointID(2)]; entry.State() != scheduler.Ready {
		t.Errorf("endpoint 2: %+v", entry)
	}
}

// With discovery down a fresh list is used as it is, a stale one as if each endpoint had just started, an old one in
// parts; a torn one gives way to the one before.
func TestStartWithoutDiscovery(t *testing.T) {
	const hour = 3600 * eventloop.Second
	for _, test := range []struct {
		name string
		age  eventloop.Micros
		torn bool
		// Of 60 requests in the first six seconds, how many have to be completed; and how many attempts one endpoint may
		// have got.
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
				r.world.Run(100 * eventloop.Millisecond)
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
				t.Error("too few completed, or too many attempts at one endpoint")
			}
			r.world.Run(20 * eventloop.Second)
			for i, c := range calls {
				if len(c.finals) != 1 {
					t.Errorf("call %d: finals %v", i, c.finals)
				}
			}
			r.expectFinal(r.ask("explain"), "streamed") // it is warm by then, without discovery
		})
	}
}

// restartWithCachedList starts a dispatcher anew that has only a cached list, with a torn copy of it before it or not.
func (r *harness) restartWithCachedList(age eventloop.Micros, torn bool) {
	r.t.Helper()
	list := r.list
	list.SavedAt = int64(r.world.Now() - age)
	cached, err := json.Marshal(list)
	if err != nil {
		r.t.Fatal(err)
	}
	lists := [][]byte{cached}
	if torn {
		lists = [][]byte{cached[:len(cached)/2], cached}
	}
	r.startDispatcher(r.world.NewLoop("d.2"), func(config *Config) error {
		config.Name, config.Seed, config.CachedEndpoints = "d.2", 5, lists
		return nil
	})
}

// With a cached list of dead endpoints nobody is served; discovery corrects that.
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
	r.world.Run(8 * eventloop.Second)
	r.expectFinal(r.ask("explain"), "streamed")
}

// A list from discovery that leaves most endpoints out, and then names them again within the grace, changes nothing. If
// it goes on to leave them out, they are removed within the grace. A drain by name counts at once in any case.
func TestMassRemovalIsConfirmedBeforeItCounts(t *testing.T) {
	for _, back := range []bool{true, false} {
		r := newHarness(t, nil, "prefill west", "decode west", "decode west")
		r.expectFinal(r.ask("explain"), "streamed")
		r.replaceEndpoints(r.endpoints[1].entry("draining"))
		drained := r.endpoints[1].attempts()
		r.world.Run(50 * eventloop.Millisecond)
		c := r.ask("review-post")
		r.world.Run(50 * eventloop.Millisecond)
		if len(c.finals) != 1 || c.finals[0] != "streamed" || r.endpoints[1].attempts() != drained {
			t.Errorf("within the delay: %v; %d attempts to the one that drains", c.finals, r.endpoints[1].attempts()-drained)
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
		r.world.Run(100 * eventloop.Millisecond) // 200 ms after the list: still within the grace of 250
		want := map[bool]string{true: "streamed", false: "throttled"}[back]
		r.expectFinal(r.ask("review-post", "x-time-limit-ms", "600"), want)
	}
}

// Endpoints are replaced for months: nothing is remembered of those that are gone, and prefill state at one that is
// listed as gone is released.
func TestReplacedEndpointsLeaveNothing(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	for i := range 3000 {
		entry := r.endpoints[1].entry("ready")
		entry.ID, entry.Addr = scheduler.EndpointID(1000+i), "127.0.0.1:9"
		r.updateEndpoints(entry)
		r.world.Run(500 * eventloop.Millisecond)
		entry.Condition = "gone"
		r.updateEndpoints(entry)
	}
	r.world.Run(120 * eventloop.Second)
	if n := r.dispatcher.engine.EndpointCount(); n != 2 || len(r.dispatcher.endpoints) != 2 {
		t.Errorf("%d endpoints are known to the engine, %d to the dispatcher", n, len(r.dispatcher.endpoints))
	}
	r.expectFinal(r.ask("explain"), "streamed")
	r.endpoints[1].serve = neverAnswer
	c := r.ask("review-post", "x-time-limit-ms", "900")
	r.world.Run(100 * eventloop.Millisecond)
	r.updateEndpoints(r.endpoints[0].entry("gone"))
	before := r.endpoints[0].releases()
	r.runUntil(eventloop.Second, func() bool { return len(c.finals) > 0 })
	r.expectRelease(r.endpoints[0], before, "an endpoint that is listed as gone")
}
