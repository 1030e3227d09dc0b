package dispatch

import (
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// A list that names kinds, zones and conditions that are not known: those hosts get nothing, the others work.
func TestEndpointsOfUnknownKindOrZoneGetNothing(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west", "abacus west", "decode moon")
	for range 4 {
		r.expectFinal(r.ask("explain"), "streamed")
	}
	if r.endpoints[2].attempts()+r.endpoints[3].attempts() != 0 {
		t.Error("a host of an unknown kind or zone was sent something")
	}
	f := endpoints.View{}
	for _, bad := range []string{`{"hosts":[{"id":1,"addr":"a","condition":"asleep"}],"whole":true}`, `{"hosts":[{"id":1,"condition":"ready"}]}`, `[`} {
		if _, _, err := f.Apply([]byte(bad)); err == nil {
			t.Errorf("%s was taken", bad)
		}
	}
}

// A restarted dispatcher starts with its kept list; without one it holds and throttles.
func TestCachedEndpointListIsRestored(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	var kept []byte
	r.dispatcher.config.CacheEndpoints = func(b []byte) { kept = b }
	r.updateEndpoints(r.endpoints[1].entry("ready"))
	r.world.Run(2 * eventloop.Second)
	f := endpoints.View{}
	entries, _, err := f.Restore(kept)
	if err != nil || len(entries) == 0 || f.Version != 0 {
		t.Fatalf("%v, %d entries, version %d", err, len(entries), f.Version)
	}
	if e := f.Endpoints[scheduler.EndpointID(2)]; e.State() != scheduler.Ready {
		t.Errorf("host 2: %+v", e)
	}
}

// With discovery down: a fresh list is used as it is, a stale one as if each host had just started, an old one in parts; a
// torn one gives way to the one before; one of dead hosts serves nobody, and discovery mends it.
func TestStartWithoutDiscovery(t *testing.T) {
	for _, c := range []struct {
		name   string
		age    eventloop.Micros
		torn   bool
		served int // of 60 generations in the first six seconds: so many at least,
		most   int // and so many at most, legs to one host
	}{{"fresh", eventloop.Second, false, 60, 60}, {"stale", 3600 * eventloop.Second, false, 5, 25}, {"old", 48 * 3600 * eventloop.Second, false, 3, 25}, {"torn", eventloop.Second, true, 60, 60}} {
		r := newHarness(t, nil, "prefill west", "prefill west", "prefill west", "prefill west", "decode west", "decode west", "decode west", "decode west")
		list := r.list
		list.SavedAt = int64(r.world.Now() - c.age)
		kept, _ := json.Marshal(list)
		lists := [][]byte{kept}
		if c.torn {
			lists = [][]byte{kept[:len(kept)/2], kept}
		}
		loop := r.world.NewLoop("d.2")
		r.loop = loop
		loop.Do(func() {
			x, err := Start(loop, r.deployment, Config{Name: "d.2", Zone: "west", Seed: 5, CachedEndpoints: lists, Log: zerolog.Nop()})
			if err != nil {
				t.Fatal(err)
			}
			ln, err := loop.Listen("127.0.0.1:0", x.Frontend().Accept)
			if err != nil {
				t.Fatal(err)
			}
			r.dispatcher, r.addr = x, ln.Addr()
		})
		var calls []*clientCall
		for range 60 {
			calls = append(calls, r.ask("explain"))
			r.world.Run(100 * eventloop.Millisecond)
		}
		streamed, most, hosts := 0, 0, 0
		for _, c := range calls {
			if len(c.finals) > 0 && c.finals[0] == "streamed" {
				streamed++
			}
		}
		for _, h := range r.endpoints {
			most = max(most, h.attempts())
			if h.attempts() > 0 {
				hosts++
			}
		}
		t.Logf("%s: %d of 60 streamed in six seconds, %d legs at most at one of %d hosts", c.name, streamed, most, hosts)
		if streamed < c.served || most > c.most {
			t.Errorf("%s: %d of 60 streamed in six seconds, %d legs at one host, %d hosts used", c.name, streamed, most, hosts)
		}
		r.world.Run(20 * eventloop.Second)
		for i, c := range calls {
			if len(c.finals) != 1 {
				t.Errorf("call %d: finals %v", i, c.finals)
			}
		}
		r.expectFinal(r.ask("explain"), "streamed") // it is warm by then, without discovery
	}
	r := newHarness(t, nil, "prefill west", "decode west")
	for _, h := range r.endpoints {
		h.listener.Close()
	}
	r.expectFinal(r.ask("review-post", "x-time-limit-ms", "800"), "throttled")
	for _, h := range r.endpoints {
		h.listen()
	}
	r.loop.Do(func() {
		r.dispatcher.endpointsUpdated([]endpoints.Entry{r.endpoints[0].entry("ready"), r.endpoints[1].entry("ready")}, true)
	})
	r.world.Run(8 * eventloop.Second)
	r.expectFinal(r.ask("explain"), "streamed")
}

// Discovery comes back empty and then whole within the grace: nobody notices. It stays empty: believed within the grace.
// A drain by name is believed at once in any case.
func TestMassRemovalIsConfirmedBeforeItCounts(t *testing.T) {
	for _, back := range []bool{true, false} {
		r := newHarness(t, nil, "prefill west", "decode west", "decode west")
		r.expectFinal(r.ask("explain"), "streamed")
		r.loop.Do(func() { r.dispatcher.endpointsUpdated([]endpoints.Entry{r.endpoints[1].entry("draining")}, true) })
		drained := r.endpoints[1].attempts()
		r.world.Run(50 * eventloop.Millisecond)
		c := r.ask("review-post")
		r.world.Run(50 * eventloop.Millisecond)
		if len(c.finals) != 1 || c.finals[0] != "streamed" || r.endpoints[1].attempts() != drained {
			t.Errorf("within the doubt: %v; %d legs to the one that drains", c.finals, r.endpoints[1].attempts()-drained)
		}
		if back {
			r.loop.Do(func() {
				r.dispatcher.endpointWatch.Endpoints = map[scheduler.EndpointID]endpoints.Entry{1: r.endpoints[0].entry("ready"), 3: r.endpoints[2].entry("ready")}
				r.dispatcher.endpointsUpdated([]endpoints.Entry{r.endpoints[0].entry("ready"), r.endpoints[2].entry("ready")}, true)
			})
		}
		r.world.Run(100 * eventloop.Millisecond) // 200 ms after the list: still within the grace of 250
		want := map[bool]string{true: "streamed", false: "throttled"}[back]
		r.expectFinal(r.ask("review-post", "x-time-limit-ms", "600"), want)
	}
}

// Hosts are replaced for months: nothing of those that are gone is kept, and what runs at one that is listed as gone is let go of.
func TestReplacedEndpointsLeaveNothing(t *testing.T) {
	r := newHarness(t, nil, "prefill west", "decode west")
	for i := range 3000 {
		e := r.endpoints[1].entry("ready")
		e.ID, e.Addr = scheduler.EndpointID(1000+i), "127.0.0.1:9"
		r.updateEndpoints(e)
		r.world.Run(500 * eventloop.Millisecond)
		e.Condition = "gone"
		r.updateEndpoints(e)
	}
	r.world.Run(120 * eventloop.Second)
	if n := r.dispatcher.engine.EndpointCount(); n != 2 || len(r.dispatcher.endpoints) != 2 {
		t.Errorf("%d hosts are known to the legs, %d to the dispatcher", n, len(r.dispatcher.endpoints))
	}
	r.expectFinal(r.ask("explain"), "streamed")
	r.endpoints[1].serve = func(*fakeConn) {}
	c := r.ask("review-post", "x-time-limit-ms", "900")
	r.world.Run(100 * eventloop.Millisecond)
	r.updateEndpoints(r.endpoints[0].entry("gone"))
	before := r.endpoints[0].releases()
	r.runUntil(eventloop.Second, func() bool { return len(c.finals) > 0 })
	r.expectRelease(r.endpoints[0], before, "a reader that is listed as gone")
}
