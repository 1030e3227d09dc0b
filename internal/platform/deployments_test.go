package platform

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// testDeployment is a deployment with random names and figures. The dispatcher must take all of them from the settings.
type testDeployment struct {
	raw        string // the settings as JSON
	classes    []testClass
	tenants    []string
	kinds      []string
	zones      []string
	retryAfter bool // whether a rejection may have a Retry-After
}

// testClass is one of a deployment's request classes.
type testClass struct {
	name             string
	effect           string // the effect's name in the settings
	deadline, window eventloop.Micros
}

func randomName(random *rand.Rand) string {
	const letters = "abcdefghijklmnopqrstuvwxyz-0123456789"
	b := make([]byte, 3+random.Intn(12))
	for i := range b {
		b[i] = letters[random.Intn(len(letters))]
	}
	return string(b)
}

func between(random *rand.Rand, least, most int) int { return least + random.Intn(most-least+1) }

func choose(random *rand.Rand, options ...string) string { return options[random.Intn(len(options))] }

// Units of durations in the settings, which are in nanoseconds.
const (
	settingsMillisecond = 1e6
	settingsSecond      = 1e9
	settingsMicrosecond = 1000
)

// settingsObject is a JSON object in the settings. The tests only encode it.
type settingsObject map[string]any

// randomDeployment draws a deployment's classes, tenants, kinds, zones and figures. It leaves out some of the optional
// settings, as not all deployments have them.
func randomDeployment(random *rand.Rand) testDeployment {
	deployment := testDeployment{retryAfter: random.Intn(2) == 0}
	var classes, tenants []settingsObject
	for i := range between(random, 1, 5) {
		class, settings := randomClass(random, i)
		deployment.classes = append(deployment.classes, class)
		classes = append(classes, settings)
	}
	for i := range random.Intn(4) {
		deployment.tenants = append(deployment.tenants, fmt.Sprintf("%s%d", randomName(random), i))
		quota := 5 + random.Float64()*50
		tenants = append(tenants, settingsObject{"name": deployment.tenants[i], "quota_per_s": quota})
	}
	deployment.kinds = []string{randomName(random) + "1", randomName(random) + "2", randomName(random) + "3"}
	deployment.zones = []string{randomName(random) + "1", randomName(random) + "2"}
	raw, _ := json.Marshal(deployment.settings(random, classes, tenants))
	deployment.raw = string(raw)
	return deployment
}

// randomClass draws a class and the settings that describe it.
func randomClass(random *rand.Rand, number int) (testClass, settingsObject) {
	class := testClass{
		name:     fmt.Sprintf("%s%d", randomName(random), number),
		effect:   choose(random, "read_like", "idempotency_key", "non_idempotent"),
		deadline: eventloop.Micros(between(random, 600, 9000)) * eventloop.Millisecond,
		window:   eventloop.Micros(between(random, 100, 3000)) * eventloop.Millisecond,
	}
	return class, settingsObject{
		"name":       class.name,
		"repeat":     class.effect,
		"aim":        int64(class.deadline) * settingsMicrosecond / 4,
		"deadline":   int64(class.deadline) * settingsMicrosecond,
		"window":     int64(class.window) * settingsMicrosecond,
		"group":      choose(random, "all", "zone", "cell"),
		"points":     1 + random.Float64()*8,
		"late_share": random.Float64(),
	}
}

// settings draws the remaining settings and returns all of them. The order of draws must stay, because another order
// would give another deployment for the same seed.
func (deployment *testDeployment) settings(random *rand.Rand, classes, tenants []settingsObject) settingsObject {
	settings := settingsObject{
		"group_size":       between(random, 1, 300),
		"tick":             between(random, 1, 10) * settingsMillisecond,
		"zone":             random.Intn(2),
		"localities":       deployment.zones,
		"host_types":       deployment.kinds,
		"request_classes":  classes,
		"over_share_worth": random.Float64(),
	}
	domain := settingsObject{
		"duty_by_kind": []string{"read", "write", "both"},
		"kv_tokens":    []int{between(random, 5e4, 9e5), between(random, 5e4, 9e5), between(random, 5e4, 9e5)},
		"local_read":   random.Intn(2) == 0,
		"let_go_by":    between(random, 200, 1500) * settingsMillisecond,
	}
	limits := settingsObject{
		"send_cap":        between(random, 2, 8),
		"may_cancel":      random.Intn(2) == 0,
		"retry_after":     deployment.retryAfter,
		"max_retry_after": between(random, 100, 3000) * settingsMillisecond,
		"connect_timeout": between(random, 100, 500) * settingsMillisecond,
		"conn_idle":       between(random, 2, 60) * settingsSecond,
	}
	settings["obligations"] = settingsObject{
		"cold":          between(random, 1, 20) * settingsSecond,
		"cold_from":     0.25 + random.Float64()/2,
		"fall":          between(random, 1, 4) * settingsSecond,
		"fall_multiple": 1.5 + 2*random.Float64(),
	}
	settings["domain"], settings["limits"] = domain, limits
	if len(tenants) > 0 {
		settings["projects"] = tenants
	}
	if random.Intn(4) == 0 {
		delete(limits, choose(random, "connect_timeout", "conn_idle"))
	}
	if random.Intn(4) == 0 {
		delete(domain, "let_go_by")
	}
	return settings
}

// newTestEnv starts a dispatcher with the deployment's settings and some endpoints of each kind that misbehave at
// random.
func (deployment *testDeployment) newTestEnv(t *testing.T, random *rand.Rand) (*testEnv, *auditor) {
	t.Helper()
	env := newTestEnvWith(t, deployment.raw, 128)
	auditor := newAuditor(t, *deployment)
	var entries []string
	for i := range between(random, 4, 9) {
		endpoint := env.addEndpoint(fmt.Sprintf("h-%d", i), "prefill")
		endpoint.kind, endpoint.zone = deployment.kinds[i%3], deployment.zones[random.Intn(2)]
		if i%3 > 0 {
			endpoint.serve = serveDecode
		}
		entries = append(entries, endpoint.entry("SERVING"))
		auditor.wrapEndpoint(endpoint, random)
	}
	env.agent.update(true, entries...)
	env.network.Run(100 * eventloop.Millisecond)
	return env, auditor
}

// TestRandomDeployments sends requests to random deployments whose endpoints misbehave. Each request must get one final
// answer in time, none may run again unless a repeat is allowed, and the dispatcher must follow the deployment's
// settings.
func TestRandomDeployments(t *testing.T) {
	for seed := range int64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomDeployment(t, seed) })
	}
}

func runRandomDeployment(t *testing.T, seed int64) {
	t.Helper()
	random := rand.New(rand.NewSource(seed))
	deployment := randomDeployment(random)
	env, auditor := deployment.newTestEnv(t, random)
	served := 0
	for i := range 40 {
		class := deployment.classes[random.Intn(len(deployment.classes))]
		id := fmt.Sprintf("r-%d", i)
		auditor.classes[id] = class
		tenant := ""
		if len(deployment.tenants) > 0 {
			tenant = "Req-Owner: " + choose(random, deployment.tenants...) + "\r\n"
		}
		began := env.network.Now()
		text := env.requestText(class.name, "Req-Id", id, "Req-Key", randomName(random),
			"Req-Deadline", fmt.Sprintf("%du", class.deadline))
		client := env.connect(strings.Replace(text, "Host: ", tenant+"Host: ", 1))
		got := env.finalStatus(client)
		if late := client.answeredAt - began - class.deadline; got != 200 && got != 0 && late > 0 {
			t.Errorf("%s of %s: answered %d, %d µs late", id, class.name, got, late)
		}
		if got == 200 {
			served++
		}
		if got == 503 && client.head.Get("Retry-After") != "" && !deployment.retryAfter {
			t.Errorf("%s: the answer has a Retry-After, which the settings forbid", id)
		}
	}
	if served < 10 {
		t.Errorf("only %d of 40 requests were served: %+v", served, env.dispatcher.Summary())
	}
	env.requireIdle()
}
