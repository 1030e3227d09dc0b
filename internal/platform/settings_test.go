package platform

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// deployment is a deployment drawn by chance: nothing in the program may know a name or a figure of any.
type deployment struct {
	raw     string
	classes []class
	tenants []string
	kinds   []string
	zones   []string
	retry   bool // a time to come back may be named
}

type class struct {
	name             string
	effect           string
	deadline, window eventloop.Micros
}

func randomName(chance *rand.Rand) string {
	const letters = "abcdefghijklmnopqrstuvwxyz-0123456789"
	b := make([]byte, 3+chance.Intn(12))
	for i := range b {
		b[i] = letters[chance.Intn(len(letters))]
	}
	return string(b)
}

func between(chance *rand.Rand, least, most int) int { return least + chance.Intn(most-least+1) }

// randomDeployment draws classes, tenants, kinds, zones and figures; some settings are left out, as not all deployments have them.
func randomDeployment(chance *rand.Rand) deployment {
	p := deployment{retry: chance.Intn(2) == 0}
	var classes, projects []any
	for i := range between(chance, 1, 5) {
		c := class{name: fmt.Sprintf("%s%d", randomName(chance), i), effect: []string{"read_like", "idempotency_key", "non_idempotent"}[chance.Intn(3)],
			deadline: eventloop.Micros(between(chance, 600, 9000)) * eventloop.Millisecond, window: eventloop.Micros(between(chance, 100, 3000)) * eventloop.Millisecond}
		p.classes = append(p.classes, c)
		classes = append(classes, map[string]any{"name": c.name, "repeat": c.effect, "aim": int64(c.deadline) * 1000 / 4, "deadline": int64(c.deadline) * 1000,
			"window": int64(c.window) * 1000, "group": []string{"all", "zone", "cell"}[chance.Intn(3)], "points": 1 + chance.Float64()*8, "late_share": chance.Float64()})
	}
	for i := range chance.Intn(4) {
		p.tenants = append(p.tenants, fmt.Sprintf("%s%d", randomName(chance), i))
		projects = append(projects, map[string]any{"name": p.tenants[i], "quota_per_s": 5 + chance.Float64()*50})
	}
	p.kinds = []string{randomName(chance) + "1", randomName(chance) + "2", randomName(chance) + "3"}
	p.zones = []string{randomName(chance) + "1", randomName(chance) + "2"}
	settings := map[string]any{"group_size": between(chance, 1, 300), "tick": between(chance, 1, 10) * 1e6, "zone": chance.Intn(2), "localities": p.zones,
		"host_types": p.kinds, "request_classes": classes, "over_share_worth": chance.Float64(),
		"domain": map[string]any{"duty_by_kind": []string{"read", "write", "both"}, "kv_tokens": []int{between(chance, 5e4, 9e5), between(chance, 5e4, 9e5), between(chance, 5e4, 9e5)},
			"local_read": chance.Intn(2) == 0, "let_go_by": between(chance, 200, 1500) * 1e6},
		"limits": map[string]any{"send_cap": between(chance, 2, 8), "may_cancel": chance.Intn(2) == 0, "retry_after": p.retry, "max_retry_after": between(chance, 100, 3000) * 1e6,
			"connect_timeout": between(chance, 100, 500) * 1e6, "conn_idle": between(chance, 2, 60) * 1e9},
		"obligations": map[string]any{"cold": between(chance, 1, 20) * 1e9, "cold_from": 0.25 + chance.Float64()/2, "fall": between(chance, 1, 4) * 1e9, "fall_multiple": 1.5 + 2*chance.Float64()}}
	if len(projects) > 0 {
		settings["projects"] = projects
	}
	if chance.Intn(4) == 0 {
		delete(settings["limits"].(map[string]any), []string{"connect_timeout", "conn_idle"}[chance.Intn(2)])
	}
	if chance.Intn(4) == 0 {
		delete(settings["domain"].(map[string]any), "let_go_by")
	}
	raw, _ := json.Marshal(settings)
	p.raw = string(raw)
	return p
}

// harness is a dispatcher at the place, with some hosts of each kind that misbehave by chance.
func (p deployment) harness(t *testing.T, chance *rand.Rand) (*harness, *auditor) {
	t.Helper()
	r := newHarnessWith(t, p.raw, 128)
	watch := newAuditor(t, p)
	var entries []string
	for i := range between(chance, 4, 9) {
		h := r.addEndpoint(fmt.Sprintf("h-%d", i), "prefill")
		h.kind, h.zone = p.kinds[i%3], p.zones[chance.Intn(2)]
		if i%3 > 0 {
			h.serve = serveDecode
		}
		entries = append(entries, h.entry("SERVING"))
		watch.watch(h, chance)
	}
	r.agent.update(true, entries...)
	r.world.Run(100 * eventloop.Millisecond)
	return r, watch
}

// TestRandomDeployments plays requests of every class at deployments drawn by chance, with hosts that misbehave: each gets one final answer in its
// time, none runs where it must not run again, and what is served is served as the settings name it.
func TestRandomDeployments(t *testing.T) {
	for seed := range int64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			chance := rand.New(rand.NewSource(seed))
			p := randomDeployment(chance)
			r, watch := p.harness(t, chance)
			served := 0
			for i := range 40 {
				c := p.classes[chance.Intn(len(p.classes))]
				id := fmt.Sprintf("r-%d", i)
				watch.classes[id] = c
				tenant := ""
				if len(p.tenants) > 0 {
					tenant = "Req-Owner: " + p.tenants[chance.Intn(len(p.tenants))] + "\r\n"
				}
				began := r.world.Now()
				text := r.requestText(c.name, "Req-Id", id, "Req-Key", randomName(chance), "Req-Deadline", fmt.Sprintf("%du", c.deadline))
				client := r.connect(strings.Replace(text, "Host: ", tenant+"Host: ", 1))
				got := r.finalStatus(client)
				if late := client.answeredAt - began - c.deadline; got != 200 && got != 0 && late > 0 {
					t.Errorf("%s of %s: answered %d, %d µs late", id, c.name, got, late)
				}
				if got == 200 {
					served++
				} else if got == 503 && client.head.Get("Retry-After") != "" && !p.retry {
					t.Errorf("%s: a time to come back is named, which the settings do not allow", id)
				}
			}
			if served < 10 {
				t.Errorf("%d of 40 were served: %s", served, r.dispatcher.Summary())
			}
			r.requireIdle()
		})
	}
}

// auditor hears what reaches the hosts, and holds the rules on repeats against it.
type auditor struct {
	t              *testing.T
	classes        map[string]class
	inFlight       map[string]*endpointConn
	ranAt          map[string]eventloop.Micros    // when the first attempt that may have had an effect arrived
	prefill        string                         // the kind whose attempts have none
	disconnectedAt map[string]eventloop.Micros    // when a client closed its connection
	drainedAt      map[*endpoint]eventloop.Micros // when that was told
}

// What a close or a change of the list may take to be known: the way through the network and the loop's own pauses.
const (
	disconnectLatency = 220 * eventloop.Millisecond
	drainLatency      = 250 * eventloop.Millisecond
)

func newAuditor(t *testing.T, p deployment) *auditor {
	return &auditor{t: t, classes: map[string]class{}, inFlight: map[string]*endpointConn{}, ranAt: map[string]eventloop.Micros{}, prefill: p.kinds[0],
		disconnectedAt: map[string]eventloop.Micros{}, drainedAt: map[*endpoint]eventloop.Micros{}}
}

// watch puts itself before what a host does, which goes wrong by chance.
func (e *auditor) watch(h *endpoint, chance *rand.Rand) {
	usual := h.serve
	faults := []func(*endpointConn){
		func(l *endpointConn) { l.answer(500, "") },
		func(l *endpointConn) { l.answer(503, "", "Srv-Declined", "1") },
		func(l *endpointConn) { l.conn.Abort() },
		func(l *endpointConn) { l.conn.Write([]byte("noise")) },
		func(*endpointConn) {},
	}
	h.serve = func(l *endpointConn) {
		id, now := l.head.Get("Req-Id"), h.harness.world.Now()
		visitor, _, _ := strings.Cut(id, ".")
		if at := e.disconnectedAt[visitor]; at > 0 && now > at+disconnectLatency {
			e.t.Errorf("%s: an attempt %d ms after its client's close", id, (now-at)/eventloop.Millisecond)
		}
		if at := e.drainedAt[h]; at > 0 && now > at+drainLatency {
			e.t.Errorf("%s: an attempt at %s %d ms after its drain was told", id, h.id, (now-at)/eventloop.Millisecond)
		}
		if before := e.inFlight[id]; before != nil && !before.closed {
			e.t.Errorf("%s: a second attempt is out", id)
		}
		delete(e.inFlight, id)
		fault := -1
		if chance.Intn(4) == 0 {
			fault = chance.Intn(len(faults))
		}
		if first, ran := e.ranAt[id]; ran && h.kind != e.prefill {
			c := e.classes[id]
			if c.effect == "non_idempotent" || c.effect == "idempotency_key" && now > first+c.window {
				e.t.Errorf("%s of %s (%s) ran again after %d ms", id, c.name, c.effect, (now-first)/eventloop.Millisecond)
			}
		}
		if declined := fault == 1; !declined && h.kind != e.prefill && e.ranAt[id] == 0 {
			e.ranAt[id] = now
		}
		if fault >= 0 {
			if fault == len(faults)-1 {
				e.inFlight[id] = l
			}
			faults[fault](l)
			return
		}
		usual(l)
	}
}
