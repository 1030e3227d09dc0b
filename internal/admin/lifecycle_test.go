package admin

import (
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// A tenant is created with a limit, suspended and resumed. Its key is replaced by a second one and revoked in
// mid-stream. Then the tenant is removed.
func TestTenantLifecycle(t *testing.T) {
	e := newEnvironment(t, 2)
	key := e.addTenant("bahari", `{"share_per_s":10}`)
	e.expect(e.chat(0, key, "explain"), completed)
	e.expect(e.chat(1, key, "review-post"), completed)
	e.expect(e.chat(1, key+"0", "explain"), "401")
	e.must(200, "POST", "tenants/bahari/suspend", "")
	e.expect(e.chat(0, key, "explain"), "403")
	e.must(200, "POST", "tenants/bahari/resume", "")
	tenant := e.must(200, "GET", "tenants/bahari", "")
	if tenant.Get("keys.0.mac").Exists() || strings.Contains(tenant.Raw, key) {
		t.Error("a key or its MAC is shown")
	}
	next := e.must(201, "POST", "tenants/bahari/keys", `{"label":"next"}`)
	running := e.chat(0, key, "explain")
	e.network.RunUntil(callTimeout, func() bool { return running.tokens > 0 })
	e.must(200, "DELETE", "tenants/bahari/keys/"+tenant.Get("keys.0.id").String(), "")
	e.expect(e.chat(0, key, "explain"), "401")
	e.expect(e.chat(0, next.Get("key").String(), "explain"), completed)
	e.expect(running, completed) // a running request continues when its key is revoked
	e.network.Run(3 * eventloop.Second)
	used := e.must(200, "GET", "tenants/bahari/usage", "")
	if used.Get(`usage.#(product=="explain").streamed`).Int() != 3 {
		t.Errorf("usage: %s", used.Raw)
	}
	e.must(200, "DELETE", "tenants/bahari?policy=finish", "")
	e.network.Run(6 * eventloop.Second)
	removed := e.must(200, "GET", "tenants/bahari", "")
	if removed.Get("state").String() != "removed" || removed.Get("keys").Exists() {
		t.Errorf("tenant after the removal: %s", removed.Raw)
	}
	e.must(409, "POST", "tenants", `{"name":"bahari"}`)
	if used := e.must(200, "GET", "tenants/bahari/usage", ""); len(used.Get("usage").Array()) == 0 {
		t.Error("the usage of the removed tenant is lost")
	}
}

// A tenant is removed while its requests are queued, in prefill and in decode. With the policy "finish" these requests
// complete. With the policy "stop" each of them gets exactly one final answer at once. Afterwards no dispatcher has
// requests of the tenant, and the request of another tenant completes.
func TestRemovalWhileRequestsRun(t *testing.T) {
	t.Run("finish", func(t *testing.T) {
		r := startRemoval(t, "finish")
		if counts := r.finalOutcomes(); counts[completed] < 100 {
			t.Errorf("outcomes %v", counts)
		}
	})
	t.Run("stop", func(t *testing.T) {
		r := startRemoval(t, "stop")
		for i, c := range r.calls {
			if !c.answered() {
				t.Errorf("call %d has no answer %d ms after the removal", i, r.elapsed()/eventloop.Millisecond)
			}
		}
		if counts := r.finalOutcomes(); counts[failedMidStream]+counts["503"] == 0 {
			t.Errorf("outcomes %v", counts)
		}
	})
}

// removalRun is the removal of a tenant while 200 of its requests are in progress.
type removalRun struct {
	*environment
	key       string
	calls     []*clientCall
	other     *clientCall // of a tenant that is not removed
	removedAt eventloop.Micros
}

func startRemoval(t *testing.T, policy string) *removalRun {
	t.Helper()
	r := &removalRun{environment: newEnvironment(t, 2)}
	r.key = r.addTenant("going", `{}`)
	otherKey := r.addTenant("staying", `{}`)
	products := []string{"explain", "build-note", "review-post"}
	for i := range 200 {
		r.calls = append(r.calls, r.chat(i%2, r.key, products[i%len(products)]))
		r.network.Run(4 * eventloop.Millisecond)
	}
	r.other = r.chat(0, otherKey, "explain")
	begun := 0
	for _, c := range r.calls {
		if c.tokens > 0 {
			begun++
		}
	}
	if begun == 0 || begun == len(r.calls) {
		t.Fatalf("%d of %d requests have a first token", begun, len(r.calls))
	}
	r.removedAt = r.network.Now()
	r.must(200, "DELETE", "tenants/going?policy="+policy, "")
	r.network.Run(300 * eventloop.Millisecond)
	return r
}

func (r *removalRun) elapsed() eventloop.Micros { return r.network.Now() - r.removedAt }

// finalOutcomes waits for the end of the removal, checks the state after it and counts the outcomes of the tenant's
// requests.
func (r *removalRun) finalOutcomes() map[string]int {
	r.t.Helper()
	r.expect(r.chat(0, r.key, "explain"), "401")
	r.network.Run(40 * eventloop.Second)
	counts := map[string]int{}
	for i, c := range r.calls {
		if len(c.outcomes) != 1 {
			r.t.Errorf("call %d has outcomes %v", i, c.outcomes)
		}
		counts[strings.Join(c.outcomes, "+")]++
	}
	r.expect(r.other, completed)
	for i, dispatcher := range r.dispatchers {
		if dispatcher.OpenRequests() != 0 {
			r.t.Errorf("dispatcher %d has open requests: %v", i, dispatcher.DescribeOpenRequests())
		}
	}
	if tenant := r.must(200, "GET", "tenants/going", ""); tenant.Get("state").String() != "removed" {
		r.t.Errorf("the tenant is not removed: %s", tenant.Raw)
	}
	return counts
}

// Neither a restart of a dispatcher nor one of the administration loses a change. While the administration is down, a
// restarted dispatcher serves the tenants that it has cached.
func TestRestartsMissNoChange(t *testing.T) {
	e := newEnvironment(t, 2)
	key := e.addTenant("a", `{}`)
	e.network.Run(eventloop.Second)
	e.dispatchers[1].loop.Kill()
	e.must(200, "POST", "tenants/a/suspend", "")
	late := e.addTenant("late", `{}`)
	d := e.dispatchers[0].Deployment
	e.startDispatcher(1, d, "d1.2")
	e.network.Run(300 * eventloop.Millisecond)
	e.expect(e.chat(1, key, "explain"), "403")
	e.expect(e.chat(1, late, "explain"), completed)
	e.serverLoop.Kill()
	e.dispatchers[0].loop.Kill()
	e.startDispatcher(0, d, "d0.2")
	e.network.Run(2 * eventloop.Second)
	e.expect(e.chat(0, late, "explain"), completed)
	e.expect(e.chat(0, key, "explain"), "403")
	e.startServer()
	e.network.Run(8 * eventloop.Second)
	e.must(200, "POST", "tenants/a/resume", "")
	e.network.Run(100 * eventloop.Millisecond)
	e.expect(e.chat(0, key, "explain"), completed)
	e.expect(e.chat(1, key, "explain"), completed)
}
