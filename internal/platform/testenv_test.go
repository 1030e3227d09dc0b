package platform

import (
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform/guard"
	"plumspindle/internal/platform/server"
	"plumspindle/internal/settings"
	"plumspindle/internal/virtual"
)

const testSettings = `{
"group_size": 2, "tick": 4000000, "zone": 0, "localities": ["west", "east"], "host_types": ["prefill", "decode"],
"domain": {"duty_by_kind": ["read", "write"], "kv_tokens": [200000, 140000], "token_aim": [50000000, 60000000],
 "aim_us_per_1000_prompt_tokens": [60000.0, 40000.0], "let_go_by": 500000000},
"limits": {"send_cap": 6, "may_cancel": true, "retry_after": true, "max_retry_after": 1000000000,
 "connect_timeout": 250000000, "conn_idle": 30000000000},
"obligations": {"cold": 14000000000, "cold_from": 0.25, "fall": 2000000000, "fall_multiple": 2.5},
"request_classes": [
 {"name": "explain", "aim": 1000000000, "deadline": 4000000000, "repeat": "read_like",
  "points": 2.0, "late_share": 0.2},
 {"name": "post", "aim": 1000000000, "deadline": 4000000000, "repeat": "non_idempotent",
  "points": 6.0, "late_share": 0.2}]}`

// settingsWithCancel returns testSettings with a setting that allows or forbids cancelling attempts.
func settingsWithCancel(allowed bool) string {
	return strings.Replace(testSettings, `"may_cancel": true`, fmt.Sprintf(`"may_cancel": %v`, allowed), 1)
}

// testConfig returns a dispatcher's configuration whose cached list has the given entries.
func testConfig(t *testing.T, rawSettings, discovery string, known []string) Config {
	t.Helper()
	parsed, err := settings.Parse([]byte(rawSettings))
	if err != nil {
		t.Fatal(err)
	}
	return Config{
		Name:       "n0",
		Discovery:  discovery,
		Seed:       1,
		Settings:   parsed,
		CachedList: []byte(listText(cachedListVersion, true, known)),
		Sockets:    256,
		Memory:     32 << 20,
		Log:        zerolog.Nop(),
	}
}

const (
	discoveryAddress  = "127.0.0.9:8500"
	cachedListVersion = 7
)

// listText returns an endpoint list, or changes to one, in discovery's format.
func listText(version int, full bool, entries []string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// listEntry returns the entry of one endpoint in a list.
func listEntry(id, address, zone, kind, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":0,"state":%q,"weight":1.0,"started_ms":0}`,
		id, address, zone, kind, state)
}

// testEnv is one dispatcher in virtual time, with fake endpoints, discovery and clients that the test controls.
type testEnv struct {
	t          *testing.T
	network    *virtual.Network
	loop       *virtual.Loop // the dispatcher's event loop
	remote     *virtual.Loop // the event loop of the clients and of discovery
	dispatcher *Dispatcher
	address    string
	listener   eventloop.Listener
	agent      *discoveryAgent
	endpoints  []*fakeEndpoint
	sent       int // number of requests made by requestText, for their ids
	violations []guard.Violation
}

// defaultEndpointKinds lists the kinds of the endpoints of most tests.
var defaultEndpointKinds = []string{"prefill", "prefill", "decode", "decode"}

// newTestEnv starts a dispatcher that may use the given number of sockets, with one endpoint for each kind given.
func newTestEnv(t *testing.T, sockets int, kinds ...string) *testEnv {
	t.Helper()
	return newTestEnvWith(t, testSettings, sockets, kinds...)
}

// newTestEnvWith starts a dispatcher like newTestEnv, with other settings.
func newTestEnvWith(t *testing.T, rawSettings string, sockets int, kinds ...string) *testEnv {
	t.Helper()
	network := virtual.NewNetwork(1)
	env := &testEnv{t: t, network: network, loop: network.NewLoop("d"), remote: network.NewLoop("far")}
	for i, kind := range kinds {
		env.addEndpoint(fmt.Sprintf("s-%d", i), kind)
	}
	env.agent = &discoveryAgent{env: env, version: cachedListVersion}
	env.agent.listen(discoveryAddress)
	var known []string
	for _, endpoint := range env.endpoints {
		known = append(known, endpoint.entry("SERVING"))
	}
	config := testConfig(t, rawSettings, discoveryAddress, known)
	config.Sockets = sockets
	env.loop.Do(func() {
		env.dispatcher = Start(env.loop, config)
		ln, err := env.loop.Listen("127.0.0.1:0", env.dispatcher.Server().Accept)
		if err != nil {
			t.Fatal(err)
		}
		env.address, env.listener = ln.Addr(), ln
	})
	env.dispatcher.onViolation = func(v guard.Violation) { env.violations = append(env.violations, v) }
	env.network.Run(20 * eventloop.Millisecond)
	return env
}

// restart replaces the dispatcher by a new one with the same configuration.
func (env *testEnv) restart() {
	env.loop.Do(func() {
		env.dispatcher.discovery.Close()
		env.dispatcher = Start(env.loop, env.dispatcher.config)
	})
}

// prefillEndpoints returns the prefill endpoints of an environment with defaultEndpointKinds.
func (env *testEnv) prefillEndpoints() []*fakeEndpoint { return env.endpoints[:2] }

// decodeEndpoints returns the decode endpoints of an environment with defaultEndpointKinds, or with more decode
// endpoints after them.
func (env *testEnv) decodeEndpoints() []*fakeEndpoint { return env.endpoints[2:] }

// serving returns the list entries of the endpoints with the given indices, in the state in which they accept requests.
func (env *testEnv) serving(indices ...int) (entries []string) {
	for _, i := range indices {
		entries = append(entries, env.endpoints[i].entry("SERVING"))
	}
	return entries
}

// waitFor advances the virtual time until a condition holds, and fails the test if it doesn't hold within the span.
func (env *testEnv) waitFor(span eventloop.Micros, what string, holds func() bool) {
	env.t.Helper()
	if !env.network.RunUntil(span, holds) {
		env.t.Fatalf("not within %d ms: %s\n%+v", span/eventloop.Millisecond, what, env.dispatcher.Summary())
	}
}

// attempts returns how many attempts have reached endpoints.
func (env *testEnv) attempts() int { return countAll(env.endpoints, "POST") }

// decodeAttempts returns how many attempts have reached the decode endpoints.
func (env *testEnv) decodeAttempts() int { return countAll(env.decodeEndpoints(), "POST") }

// releases returns how many requests to release a state have reached endpoints.
func (env *testEnv) releases() int { return countAll(env.endpoints, "DELETE") }

// requireIdle lets a second pass and checks that nothing is left of any request and that no rule was violated.
func (env *testEnv) requireIdle() {
	env.t.Helper()
	env.network.Run(eventloop.Second)
	d := env.dispatcher
	if d.guard.Violations() > 0 || d.scheduler.Violations() > 0 {
		env.t.Errorf("rules were violated: %+v; %v", d.Summary(), env.violations)
	}
	open := d.scheduler.InFlight()
	if len(d.requests) != 0 || open.Requests != 0 || open.Attempts != 0 || d.server.Answering() != 0 {
		env.t.Errorf("requests, attempts or responses are left: %+v", d.Summary())
	}
	// The server drops an incomplete request after this timeout.
	if !env.network.RunUntil(server.DefaultLimits.RequestTimeout, func() bool { return d.server.Active() == 0 }) {
		env.t.Errorf("an incomplete request is left: %+v", d.Summary())
	}
}
