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

// settingsWithCancel are testSettings where attempts may be cancelled, or may not.
func settingsWithCancel(allowed bool) string {
	return strings.Replace(testSettings, `"may_cancel": true`, fmt.Sprintf(`"may_cancel": %v`, allowed), 1)
}

// testConfig is a dispatcher's configuration with the entries of a known list.
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
		CachedList: []byte(listText(knownVersion, true, known)),
		Sockets:    256,
		Memory:     32 << 20,
		Log:        zerolog.Nop(),
	}
}

const (
	discoveryAddress = "127.0.0.9:8500"
	knownVersion     = 7
)

// listText is an endpoint list, or changes to one, in discovery's form.
func listText(version int, full bool, entries []string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// listEntry is one endpoint in a list.
func listEntry(id, address, zone, kind, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":0,"state":%q,"weight":1.0,"started_ms":0}`,
		id, address, zone, kind, state)
}

// testEnv is one dispatcher in virtual time, with fake endpoints, discovery and clients that do what a test scripts.
type testEnv struct {
	t          *testing.T
	network    *virtual.Network
	loop       *virtual.Loop // the dispatcher's
	remote     *virtual.Loop // clients and discovery
	dispatcher *Dispatcher
	address    string
	listener   eventloop.Listener
	agent      *discoveryAgent
	endpoints  []*fakeEndpoint
	sent       int // requests
	violations []guard.Violation
}

// usualEndpoints are the kinds of most tests' endpoints.
var usualEndpoints = []string{"prefill", "prefill", "decode", "decode"}

// newTestEnv starts a dispatcher with so many sockets and an endpoint of each kind that is named.
func newTestEnv(t *testing.T, sockets int, kinds ...string) *testEnv {
	t.Helper()
	return newTestEnvWith(t, testSettings, sockets, kinds...)
}

func newTestEnvWith(t *testing.T, rawSettings string, sockets int, kinds ...string) *testEnv {
	t.Helper()
	network := virtual.NewNetwork(1)
	env := &testEnv{t: t, network: network, loop: network.NewLoop("d"), remote: network.NewLoop("far")}
	for i, kind := range kinds {
		env.addEndpoint(fmt.Sprintf("s-%d", i), kind)
	}
	env.agent = &discoveryAgent{env: env, version: knownVersion}
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

// restart starts another dispatcher with the same configuration in place of the one that runs.
func (env *testEnv) restart() {
	env.loop.Do(func() {
		env.dispatcher.discovery.Close()
		env.dispatcher = Start(env.loop, env.dispatcher.config)
	})
}

// prefillEndpoints are those of usualEndpoints.
func (env *testEnv) prefillEndpoints() []*fakeEndpoint { return env.endpoints[:2] }

// decodeEndpoints are those of usualEndpoints, and of environments with more decode endpoints.
func (env *testEnv) decodeEndpoints() []*fakeEndpoint { return env.endpoints[2:] }

// serving are the entries of some endpoints, by index, in the state in which they accept requests.
func (env *testEnv) serving(indices ...int) (entries []string) {
	for _, i := range indices {
		entries = append(entries, env.endpoints[i].entry("SERVING"))
	}
	return entries
}

// waitFor lets time pass until a condition holds, and fails the test if it does not in time.
func (env *testEnv) waitFor(span eventloop.Micros, what string, holds func() bool) {
	env.t.Helper()
	if !env.network.RunUntil(span, holds) {
		env.t.Fatalf("not in %d ms: %s\n%+v", span/eventloop.Millisecond, what, env.dispatcher.Summary())
	}
}

// attempts is how many have reached endpoints.
func (env *testEnv) attempts() int { return countAll(env.endpoints, "POST") }

// decodeAttempts is how many have reached the decode endpoints.
func (env *testEnv) decodeAttempts() int { return countAll(env.decodeEndpoints(), "POST") }

// releases is how many requests to release a state have reached endpoints.
func (env *testEnv) releases() int { return countAll(env.endpoints, "DELETE") }

// requireIdle checks that nothing is left of any request, and that no rule was violated.
func (env *testEnv) requireIdle() {
	env.t.Helper()
	env.network.Run(eventloop.Second)
	d := env.dispatcher
	if d.guard.Violations() > 0 || d.scheduler.Violations() > 0 {
		env.t.Errorf("the guard counts violations: %+v; %v", d.Summary(), env.violations)
	}
	open := d.scheduler.InFlight()
	if len(d.requests) != 0 || open.Requests != 0 || open.Attempts != 0 || d.server.Answering() != 0 {
		env.t.Errorf("something is left: %+v", d.Summary())
	}
	// A part of a request waits for so long.
	if !env.network.RunUntil(server.DefaultLimits.RequestTimeout, func() bool { return d.server.Active() == 0 }) {
		env.t.Errorf("a part of a request is left: %+v", d.Summary())
	}
}
