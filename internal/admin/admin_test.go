package admin

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment"
	"plumspindle/internal/dispatch"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/tenancy"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/virtual"
)

var secret = []byte("0123456789abcdef0123456789abcdef")

// town is an administration, two dispatchers that follow it, and stand-in hosts, in virtual time.
type town struct {
	t       *testing.T
	w       *virtual.Network
	adminAt *virtual.Loop
	a       *Server
	addr    string
	records *MemoryRecords
	far     *virtual.Loop
	fleet   *modelserver.Fleet
	at      []*virtual.Loop
	x       []*dispatch.Dispatcher
	api     []string
	kept    [][]byte
}

func newTown(t *testing.T, dispatchers int) *town {
	t.Helper()
	w := virtual.NewNetwork(3)
	y := &town{t: t, w: w, records: &MemoryRecords{}, far: w.NewLoop("far")}
	y.startAdmin()
	d := deployment.Standard()
	d.Dispatching.Dispatchers = uint32(dispatchers)
	for _, p := range d.Products {
		p.TimeLimitMs = 8000
	}
	var err error
	fleetAt := w.NewLoop("fleet")
	fleetAt.Do(func() { y.fleet, err = modelserver.Start(fleetAt, d, 1, "127.0.0.1:0", nil) })
	if err != nil {
		t.Fatal(err)
	}
	for i := range dispatchers {
		y.kept, y.at, y.x, y.api = append(y.kept, nil), append(y.at, nil), append(y.x, nil), append(y.api, "127.0.0.1:0")
		y.startDispatcher(i, d, fmt.Sprintf("d%d", i))
	}
	w.Run(200 * eventloop.Millisecond)
	return y
}

func (y *town) startAdmin() {
	y.adminAt = y.w.NewLoop("admin")
	addr := y.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	var err error
	y.adminAt.Do(func() {
		staff := []Staff{{"ann", Operator, sha256.Sum256([]byte("op"))}, {"vic", Viewer, sha256.Sum256([]byte("view"))}}
		if y.a, err = Start(y.adminAt, Config{Secret: secret, Staff: staff, Records: y.records, Random: rand.New(rand.NewSource(9)), Log: zerolog.Nop()}); err == nil {
			ln, e := y.adminAt.Listen(addr, y.a.Accept)
			if err = e; e == nil {
				y.addr = ln.Addr()
			}
		}
	})
	if err != nil {
		y.t.Fatal(err)
	}
}

func (y *town) startDispatcher(i int, d deployment.Deployment, name string) {
	y.at[i] = y.w.NewLoop(name)
	var err error
	y.at[i].Do(func() {
		y.x[i], err = dispatch.Start(y.at[i], d, dispatch.Config{Name: name, Zone: d.Zones[i%2], Seed: int64(i + 1), Discovery: y.fleet.Discovery.Addr,
			Log: zerolog.Nop(), Tenants: y.addr, Secret: secret, CachedTenants: y.kept[i], CacheTenants: func(b []byte) { y.kept[i] = b }})
		if err != nil {
			return
		}
		ln, e := y.at[i].Listen(y.api[i], y.x[i].Front().Accept)
		if err = e; e == nil {
			y.api[i] = ln.Addr()
		}
	})
	if err != nil {
		y.t.Fatal(err)
	}
}

// call is one HTTP call of a client.
type call struct {
	conn    eventloop.Conn
	request []byte
	parser  http1.Parser
	events  sse.Parser
	head    *http1.Head
	body    []byte
	tokens  int
	first   eventloop.Micros
	began   eventloop.Micros
	w       *virtual.Network
	finals  []string
	closed  bool
}

func (c *call) Opened()                  { c.conn.Write(c.request) }
func (c *call) Drained()                 {}
func (c *call) Closed(error)             { c.closed = true }
func (c *call) Head(h *http1.Head) error { c.head = h; return nil }
func (c *call) Data(b []byte)            { _ = c.parser.Feed(b, c) }
func (c *call) Body(b []byte) error {
	if !strings.HasPrefix(c.head.Get("Content-Type"), "text/event-stream") {
		c.body = append(c.body, b...)
		return nil
	}
	return c.events.Feed(b, func(data []byte) error {
		switch {
		case string(data) == "[DONE]":
			c.finals = append(c.finals, "streamed")
		case gjson.GetBytes(data, "error").Exists():
			c.finals = append(c.finals, "terminated")
		default:
			if c.tokens++; c.tokens == 1 {
				c.first = c.w.Now()
			}
		}
		return nil
	})
}
func (c *call) End() error {
	if c.head.Status != 200 || len(c.body) > 0 {
		c.finals = append(c.finals, fmt.Sprint(c.head.Status))
	}
	return nil
}

func (y *town) send(addr, method, target, key, body string, fields ...string) *call {
	c := &call{w: y.w, began: y.w.Now(), parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}}
	c.request = http1.AppendRequest(nil, http1.Request{Method: method, Target: target, Host: addr, Body: []byte(body)},
		append(fields, "Authorization", "Bearer "+key, "Content-Type",
			"application/json", "Connection", "close")...)
	y.far.Do(func() { c.conn = y.far.Dial(addr, eventloop.Second, c) })
	return c
}

// admin makes a call to the administration and gives its status and body.
func (y *town) admin(key, method, path, body string, fields ...string) (int, gjson.Result, string) {
	y.t.Helper()
	c := y.send(y.addr, method, "/admin/v1/"+path, key, body, fields...)
	if !y.w.RunUntil(5*eventloop.Second, func() bool { return len(c.finals) > 0 }) {
		y.t.Fatalf("%s %s: no answer", method, path)
	}
	y.w.Run(20 * eventloop.Millisecond)
	return c.head.Status, gjson.ParseBytes(c.body), c.head.Get("ETag")
}

func (y *town) must(want int, method, path, body string, fields ...string) (gjson.Result, string) {
	y.t.Helper()
	status, got, etag := y.admin("op", method, path, body, fields...)
	if status != want {
		y.t.Fatalf("%s %s: status %d, want %d: %s", method, path, status, want, got.Raw)
	}
	return got, etag
}

// key makes a tenant with a key.
func (y *town) tenant(name, limits string) string {
	y.t.Helper()
	y.must(201, "POST", "tenants", fmt.Sprintf(`{"name":%q,"limits":%s}`, name, limits))
	got, _ := y.must(201, "POST", "tenants/"+name+"/keys", `{"label":"test"}`)
	return got.Get("key").String()
}

func (y *town) ask(i int, key, product string, fields ...string) *call {
	return y.send(y.api[i], "POST", "/v1/chat/completions", key, fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":400,`+
		`"messages":[{"role":"system","content":"you explain"},{"role":"user","content":"why?"}]}`, product), fields...)
}

func (y *town) finals(c *call, want string) {
	y.t.Helper()
	y.w.RunUntil(40*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if fmt.Sprint(c.finals) != "["+want+"]" {
		y.t.Errorf("finals %v, want %s; %s", c.finals, want, c.body)
	}
}

// A tenant's life: created, limited, suspended, resumed, its key rotated with overlap and revoked in mid-stream, removed.
func TestTenantsLife(t *testing.T) {
	y := newTown(t, 2)
	key := y.tenant("bahari", `{"share_per_s":10}`)
	y.finals(y.ask(0, key, "explain"), "streamed")
	y.finals(y.ask(1, key, "review-post"), "streamed")
	y.finals(y.ask(1, key+"0", "explain"), "401")
	y.must(200, "POST", "tenants/bahari/suspend", "")
	y.finals(y.ask(0, key, "explain"), "403")
	y.must(200, "POST", "tenants/bahari/resume", "")
	got, _ := y.must(200, "GET", "tenants/bahari", "")
	if got.Get("keys.0.mac").Exists() || strings.Contains(got.Raw, key) {
		t.Error("a key's seal or text is shown")
	}
	second, _ := y.must(201, "POST", "tenants/bahari/keys", `{"label":"next"}`)
	running := y.ask(0, key, "explain")
	y.w.RunUntil(5*eventloop.Second, func() bool { return running.tokens > 0 })
	y.must(200, "DELETE", "tenants/bahari/keys/"+got.Get("keys.0.id").String(), "")
	y.finals(y.ask(0, key, "explain"), "401")
	y.finals(y.ask(0, second.Get("key").String(), "explain"), "streamed")
	y.finals(running, "streamed") // what ran when its key was revoked goes on
	y.w.Run(3 * eventloop.Second)
	used, _ := y.must(200, "GET", "tenants/bahari/usage", "")
	if n := used.Get("usage.#.streamed").String(); used.Get(`usage.#(product=="explain").streamed`).Int() != 3 {
		t.Errorf("usage: %s (%s)", used.Raw, n)
	}
	y.must(200, "DELETE", "tenants/bahari?policy=finish", "")
	y.w.Run(6 * eventloop.Second)
	if got, _ := y.must(200, "GET", "tenants/bahari", ""); got.Get("state").String() != "removed" || got.Get("keys").Exists() {
		t.Errorf("after its removal: %s", got.Raw)
	}
	y.must(409, "POST", "tenants", `{"name":"bahari"}`)
	if used, _ := y.must(200, "GET", "tenants/bahari/usage", ""); len(used.Get("usage").Array()) == 0 {
		t.Error("what it used is gone with it")
	}
}

// A tenant is removed while its generations are held, read and streamed: with finish they end well, with stop each gets
// its one final answer at once; then nothing of it is left at any dispatcher.
func TestRemovalWhileItRuns(t *testing.T) {
	for _, policy := range []string{"finish", "stop"} {
		y := newTown(t, 2)
		key, other := y.tenant("going", `{}`), y.tenant("staying", `{}`)
		var calls []*call
		for i := range 200 {
			calls = append(calls, y.ask(i%2, key, []string{"explain", "build-note", "review-post"}[i%3]))
			y.w.Run(4 * eventloop.Millisecond)
		}
		stays := y.ask(0, other, "explain")
		begun := 0
		for _, c := range calls {
			if c.tokens > 0 {
				begun++
			}
		}
		if begun == 0 || begun == len(calls) {
			t.Fatalf("%d of %d have begun", begun, len(calls))
		}
		at := y.w.Now()
		y.must(200, "DELETE", "tenants/going?policy="+policy, "")
		y.w.Run(300 * eventloop.Millisecond)
		counts := map[string]int{}
		for _, c := range calls {
			counts[strings.Join(c.finals, "+")]++
		}
		if policy == "stop" && counts[""] > 0 {
			t.Errorf("stop: %d without an answer after %d ms", counts[""], (y.w.Now()-at)/eventloop.Millisecond)
		}
		y.finals(y.ask(0, key, "explain"), "401")
		y.w.Run(40 * eventloop.Second)
		counts = map[string]int{}
		for i, c := range calls {
			if len(c.finals) != 1 {
				t.Errorf("%s: call %d has finals %v", policy, i, c.finals)
			}
			counts[strings.Join(c.finals, "+")]++
		}
		if policy == "finish" && counts["streamed"] < 100 || policy == "stop" && counts["terminated"]+counts["503"] == 0 {
			t.Errorf("%s: %v", policy, counts)
		}
		y.finals(stays, "streamed")
		for i, x := range y.x {
			if x.OpenRequests() != 0 {
				t.Errorf("%s: dispatcher %d: %v", policy, i, x.DescribeOpen())
			}
		}
		if got, _ := y.must(200, "GET", "tenants/going", ""); got.Get("state").String() != "removed" {
			t.Errorf("%s: %s", policy, got.Raw)
		}
	}
}

// Two admins change the same tenant; a dry run changes nothing; a change that can't be kept is not made; bad input is
// named; roles are kept apart.
func TestChangesAreSafe(t *testing.T) {
	y := newTown(t, 1)
	key := y.tenant("a", `{"per_s":5}`)
	y.tenant("b", `{}`)
	_, etag := y.must(200, "GET", "tenants/a", "")
	y.must(200, "PATCH", "tenants/a", `{"limits":{"per_s":6}}`, "If-Match", etag)
	y.must(412, "PATCH", "tenants/a", `{"limits":{"per_s":7}}`, "If-Match", etag)
	y.must(200, "PATCH", "tenants/a?dry_run=true", `{"limits":{"per_s":8}}`)
	y.records.SaveError = errors.New("disk full")
	y.must(500, "PATCH", "tenants/a", `{"limits":{"per_s":9}}`)
	y.records.SaveError = nil
	if got, _ := y.must(200, "GET", "tenants/a", ""); got.Get("limits.per_s").Num != 6 {
		t.Errorf("limits: %s", got.Raw)
	}
	if got, _ := y.must(200, "POST", "tenants", `{"name":"b","limits":{}}`); got.Get("id").Int() != 2 {
		t.Errorf("created again: %s", got.Raw)
	}
	for body, field := range map[string]string{`{"name":"Ü"}`: "name", `{"name":"c","limits":{"per_s":-1}}`: "limits.per_s", `{"name":"c","limits":{"pers":1}}`: "", `{"name":"c"}{}`: "", `[`: ""} {
		status, got, _ := y.admin("op", "POST", "tenants", body)
		if status < 400 || status >= 500 || got.Get("error.field").String() != field || got.Get("error.message").String() == "" {
			t.Errorf("%s: %d %s", body, status, got.Raw)
		}
	}
	got, _ := y.must(201, "POST", "tenants/a/keys", `{"scopes":["admin"]}`, "Idempotency-Key", "k1")
	if again, _ := y.must(200, "POST", "tenants/a/keys", `{"scopes":["admin"]}`, "Idempotency-Key", "k1"); again.Get("id").String() != got.Get("id").String() || again.Get("key").Exists() {
		t.Errorf("made again: %s", again.Raw)
	}
	own := got.Get("key").String()
	for _, c := range []struct {
		key, method, path string
		want              int
	}{{"nobody", "GET", "tenants", 401}, {"view", "GET", "tenants", 200}, {"view", "POST", "tenants", 403}, {"view", "DELETE", "tenants/a", 403},
		{own, "GET", "tenants/a", 200}, {own, "GET", "tenants/b", 404}, {own, "GET", "tenants/b/usage", 404}, {own, "GET", "tenants/none", 404}, {own, "GET", "tenants", 404},
		{own, "GET", "usage", 404}, {own, "PATCH", "tenants/a", 404}, {own, "POST", "tenants/a/resume", 404}, {own, "GET", "audit", 404}, {key, "GET", "tenants/a", 401}} {
		if status, got, _ := y.admin(c.key, c.method, c.path, "{}"); status != c.want {
			t.Errorf("%.8s %s %s: %d, want %d: %s", c.key, c.method, c.path, status, c.want, got.Raw)
		}
	}
	if s, _, _ := y.admin(own, "POST", "tenants/a/keys", ""); s != 201 {
		t.Errorf("a tenant's own admin could not make a key: %d", s)
	}
	y.finals(y.ask(0, own, "explain"), "401") // that key is for the administration only
	log, _ := y.must(200, "GET", "audit?limit=2", "")
	if len(log.Get("changes").Array()) != 2 || log.Get("next_after").Int() != 2 || log.Get("changes.0.who").String() != "ann" {
		t.Errorf("log of changes: %s", log.Raw)
	}
	for i := range 5 {
		y.must(201, "POST", "tenants", fmt.Sprintf(`{"name":"p%d"}`, i))
	}
	page, _ := y.must(200, "GET", "tenants?limit=3&after=b", "")
	if page.Get("tenants.#").Int() != 3 || page.Get("next_after").String() != "p2" {
		t.Errorf("page: %s", page.Raw)
	}
	y.records.Scan("", func(at string, value []byte) bool {
		if strings.Contains(at+string(value), own) || strings.Contains(at+string(value), key) {
			t.Errorf("a key is kept in clear, in %q", at)
		}
		return true
	})
}

// A dispatcher that was down, and an administration that restarts, miss nothing; with the administration away a
// restarted dispatcher serves the tenants that it kept.
func TestMissedChanges(t *testing.T) {
	y := newTown(t, 2)
	key := y.tenant("a", `{}`)
	y.w.Run(eventloop.Second)
	y.at[1].Kill()
	y.must(200, "POST", "tenants/a/suspend", "")
	late := y.tenant("late", `{}`)
	d := y.x[0].Deployment
	y.startDispatcher(1, d, "d1.2")
	y.w.Run(300 * eventloop.Millisecond)
	y.finals(y.ask(1, key, "explain"), "403")
	y.finals(y.ask(1, late, "explain"), "streamed")
	y.adminAt.Kill()
	y.at[0].Kill()
	y.startDispatcher(0, d, "d0.2")
	y.w.Run(2 * eventloop.Second)
	y.finals(y.ask(0, late, "explain"), "streamed")
	y.finals(y.ask(0, key, "explain"), "403")
	y.startAdmin()
	y.w.Run(8 * eventloop.Second)
	y.must(200, "POST", "tenants/a/resume", "")
	y.w.Run(100 * eventloop.Millisecond)
	y.finals(y.ask(0, key, "explain"), "streamed")
	y.finals(y.ask(1, key, "explain"), "streamed")
}

// The description that is served names every route that is served, and no other.
func TestOpenAPI(t *testing.T) {
	y := newTown(t, 1)
	y.tenant("a", `{}`)
	doc, _ := y.must(200, "GET", "openapi.json", "")
	routes := 0
	doc.Get("paths").ForEach(func(path, ops gjson.Result) bool {
		ops.ForEach(func(method, _ gjson.Result) bool {
			routes++
			p := strings.NewReplacer("{name}", "a", "{id}", "x").Replace(strings.TrimPrefix(path.String(), "/"))
			status, got, _ := y.admin("op", strings.ToUpper(method.String()), p+"?dry_run=true", `{"name":"x"}`)
			if got.Get("error.code").String() == "unknown_url" || status >= 500 {
				t.Errorf("%s %s: %d %s", method, path, status, got.Raw)
			}
			return true
		})
		return true
	})
	if routes != 16 {
		t.Errorf("%d routes are described", routes)
	}
	if fields := doc.Get("components.schemas.Limits.properties").Map(); len(fields) != 8 {
		t.Errorf("%d limits are described", len(fields))
	}
	l, _ := json.Marshal(tenancy.Limits{SharePerS: 1, Weight: 1, PerS: 1, TokensPerS: 1, BurstS: 1, Concurrent: 1, LargestPrompt: 1, Waiting: 1})
	gjson.ParseBytes(l).ForEach(func(k, _ gjson.Result) bool {
		if !doc.Get("components.schemas.Limits.properties." + k.String()).Exists() {
			t.Errorf("the limit %s is not described", k)
		}
		return true
	})
}

// The records of before the store are moved into it, once and whole, also where the move died before the files were
// renamed; what was kept is there after a restart; a second process, a damaged file and a secret that others can read are
// refused.
func TestRecordsMoveIntoTheStore(t *testing.T) {
	dir := t.TempDir() + "/deep/er"
	g := tenancy.NewRegistry("e1")
	for _, name := range []string{"a", "b"} {
		if _, _, fault := g.Create(5, name, tenancy.Limits{PerS: 3}, nil); fault != nil {
			t.Fatal(fault)
		}
	}
	l := tenancy.NewUsageLedger()
	l.Add(0, &tenancy.UsageReport{Dispatcher: "d1", Number: 7, Usage: []tenancy.Usage{{Tenant: "a", Product: "explain", Day: "2026-01-01", Completed: 4}}})
	old, _ := json.Marshal(kept{g, l, map[string]string{"a\x00k1": "id1"}})
	write := func(name, text string) {
		t.Helper()
		if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(dir+"/"+name, []byte(text), 0o600)); err != nil {
			t.Fatal(err)
		}
	}
	write("tenants.json", "{")
	if _, err := OpenStoredRecords(dir); err == nil || !strings.Contains(err.Error(), "tenants.json") {
		t.Fatalf("a damaged file of before: %v", err)
	}
	write("tenants.json", string(old))
	write("changes.ndjson", `{"who":"ann"}`+"\n"+`{"who":"bob"}`+"\n"+`{"who":"cut o`)
	w := virtual.NewNetwork(1)
	for round := range 3 {
		k, err := OpenStoredRecords(dir)
		if err != nil {
			t.Fatal(round, err)
		}
		if _, err := OpenStoredRecords(dir); err == nil || !strings.Contains(err.Error(), "in use") {
			t.Errorf("a second process: %v", err)
		}
		a, err := Start(w.NewLoop("x"), Config{Secret: secret, Records: k, Random: rand.New(rand.NewSource(1)), Log: zerolog.Nop()})
		if err != nil {
			t.Fatal(err)
		}
		id, _ := k.Get(madeKey + "a\x00k1")
		if a.registry.Epoch != "e1" || a.registry.Version != 2+uint64(round) || a.registry.Tenants["b"].Limits.PerS != 3 || a.changes != 2+uint64(round) ||
			a.ledger.Numbers["d1"] != 7 || len(a.ledger.UsageOf("a")) != 1 || a.ledger.UsageOf("a")[0].Completed != 4 || string(id) != "id1" {
			t.Errorf("round %d: %+v, %d changes, %+v, %q", round, a.registry, a.changes, a.ledger, id)
		}
		r := &request{query: map[string]string{}, who: caller{name: "ann"}, path: []string{"tenants", "a"}}
		if got := a.change(r, "suspended", func(g *tenancy.Registry) (answer, *tenancy.ChangeError) {
			g.Version++
			return answer{status: 200}, nil
		}); got.status != 200 {
			t.Errorf("round %d: %+v", round, got)
		}
		k.Close()
		write("tenants.json", string(old)) // as if it had died before the renaming
	}
	k, err := OpenStoredRecords(dir)
	if err != nil {
		t.Fatal(err)
	}
	k.Close()
	if _, err := os.Stat(dir + "/tenants.json.moved"); err != nil {
		t.Error(err)
	}
}

// A report that could not be kept comes again and counts then, and once.
func TestReportThatWasNotKept(t *testing.T) {
	records := &MemoryRecords{}
	w := virtual.NewNetwork(1)
	a, err := Start(w.NewLoop("x"), Config{Secret: secret, Records: records, Random: rand.New(rand.NewSource(1)), Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	report, _ := json.Marshal(tenancy.UsageReport{Dispatcher: "d1", Number: 1, Usage: []tenancy.Usage{{Tenant: "a", Product: "p", Day: "d", Accepted: 3}, {Tenant: "a", Product: "p", Day: "d", Accepted: 2}}})
	for i, want := range []int{500, 200, 200} {
		if records.SaveError = nil; i == 0 {
			records.SaveError = errors.New("disk full")
		}
		if got := a.takeReport(report); got.status != want {
			t.Errorf("time %d: %+v", i, got)
		}
		again, err := Start(w.NewLoop("y"), Config{Secret: secret, Records: records, Random: rand.New(rand.NewSource(1)), Log: zerolog.Nop()})
		if used := again.ledger.UsageOf(""); err != nil || i == 0 && len(used) > 0 || i > 0 && (len(used) != 1 || used[0].Accepted != 5) {
			t.Errorf("time %d: kept: %+v %v", i, used, err)
		}
	}
}

// A secret that others can read, or a short one, is refused.
func TestSecret(t *testing.T) {
	path := t.TempDir() + "/secret"
	for _, c := range []struct {
		text string
		mode os.FileMode
		ok   bool
	}{{string(secret), 0o600, true}, {string(secret), 0o644, false}, {"short", 0o600, false}} {
		os.Remove(path)
		if err := os.WriteFile(path, []byte(c.text), c.mode); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadSecret(path); (err == nil) != c.ok || err != nil && strings.Contains(err.Error(), c.text) {
			t.Errorf("mode %o, %d bytes: %v", c.mode, len(c.text), err)
		}
	}
	for _, bad := range []string{"", "operator x", "king x " + strings.Repeat("0", 64), "viewer x 12"} {
		if _, err := ParseStaff(bad); err == nil {
			t.Errorf("staff %q was taken", bad)
		}
	}
}

// A hundred thousand requests with mixed credentials: the same Idempotency-Keys, the same texts, the same sessions, keys
// of others, of nobody, of the past. No answer of one tenant is ever seen by another, and nothing is told of one.
func TestNoRequestCrossesTenants(t *testing.T) {
	y := newTown(t, 2)
	chance := rand.New(rand.NewSource(4))
	var keys, own []string
	names := []string{"a", "b", "c"}
	for _, n := range names {
		keys = append(keys, y.tenant(n, `{}`))
		got, _ := y.must(201, "POST", "tenants/"+n+"/keys", `{"scopes":["admin"]}`)
		own = append(own, got.Get("key").String())
	}
	dead, _ := y.must(201, "POST", "tenants/a/keys", `{}`)
	y.must(200, "DELETE", "tenants/a/keys/"+dead.Get("id").String(), "")
	total := 100_000
	if testing.Short() {
		total = 5000
	}
	seen := map[string]int{} // whose an answer was
	bad, counts := 0, map[string]int{}
	wrong := func(format string, args ...any) {
		if bad++; bad < 10 {
			t.Errorf(format, args...)
		}
	}
	type out struct {
		c    *call
		who  int
		want []string
	}
	var calls []out
	check := func() {
		for _, o := range calls {
			if len(o.c.finals) != 1 {
				wrong("finals %v", o.c.finals)
				continue
			}
			got := o.c.finals[0]
			counts[got]++
			ok := false
			for _, w := range o.want {
				ok = ok || got == w
			}
			if !ok {
				wrong("tenant %d got %s, want %v: %s", o.who, got, o.want, o.c.body)
			}
			if o.who >= 0 && o.c.head.Get("x-request-id") != "" {
				id := o.c.head.Get("x-request-id")
				if whose, some := seen[id]; some && whose != o.who {
					wrong("the answer %s of tenant %d was given to %d", id, whose, o.who)
				}
				seen[id] = o.who
			}
		}
		calls = calls[:0]
	}
	for n := range total {
		who, i := chance.Intn(3), chance.Intn(2)
		switch chance.Intn(10) {
		case 0: // chat, with keys that all tenants use at the same time
			c := y.send(y.api[i], "POST", "/v1/chat/completions", keys[who], `{"model":"review-post","stream":true,"max_tokens":1,"prompt_cache_key":"s",`+
				`"messages":[{"role":"system","content":"same"},{"role":"user","content":"same"}]}`, "Idempotency-Key", fmt.Sprint("k", n/40))
			calls = append(calls, out{c, who, []string{"streamed", "429"}})
		case 1, 2, 3:
			calls = append(calls, out{y.send(y.api[i], "GET", "/v1/models", []string{dead.Get("key").String(), own[who], keys[who] + "0", "sk-" + fmt.Sprint(n), ""}[chance.Intn(5)], ""), -1, []string{"401"}})
		case 4, 5, 6:
			calls = append(calls, out{y.send(y.addr, "GET", "/admin/v1/tenants/"+names[(who+1)%3]+[]string{"", "/usage", "/keys"}[chance.Intn(3)], own[who], ""), -1, []string{"404"}})
		case 7:
			calls = append(calls, out{y.send(y.addr, "GET", "/admin/v1/tenants/"+names[who], keys[who], ""), -1, []string{"401"}})
		default:
			calls = append(calls, out{y.send(y.api[i], "GET", "/v1/models", keys[who], ""), -1, []string{"200"}})
		}
		if len(calls) == 200 {
			y.w.RunUntil(10*eventloop.Second, func() bool {
				for _, o := range calls {
					if len(o.c.finals) == 0 {
						return false
					}
				}
				return true
			})
			check()
		}
	}
	if counts["streamed"] < total/20 || counts["404"] == 0 || bad > 0 {
		t.Errorf("%d wrong; %v", bad, counts)
	}
}

// A prompt that another tenant has had read is as slow as a new one; the same tenant's second time is faster, and so is a
// text that the operator has marked as public.
func TestKeptTextsTellNothing(t *testing.T) {
	y := newTown(t, 1)
	a, b := y.tenant("a", `{}`), y.tenant("b", `{}`)
	took := func(key, text string) eventloop.Micros {
		c := y.send(y.api[0], "POST", "/v1/chat/completions", key, fmt.Sprintf(`{"model":"explain","stream":true,"max_tokens":1,"messages":[{"role":"system","content":%q},{"role":"user","content":"why?"}]}`, text))
		y.finals(c, "streamed")
		y.w.Run(eventloop.Second)
		return c.first - c.began
	}
	text := func(i int) string { return strings.Repeat(fmt.Sprintf("the text %d is long and says much. ", i), 400) }
	var fresh, again, others, public []eventloop.Micros
	for i := range 12 {
		fresh = append(fresh, took(a, text(i)))
		again = append(again, took(a, text(i)))
		others = append(others, took(b, text(i)))
	}
	sum := sha256.Sum256([]byte(text(99)))
	y.must(200, "PUT", "public-texts", fmt.Sprintf(`{"sha256":["%x"]}`, sum))
	y.w.Run(eventloop.Second)
	for range 6 {
		took(a, text(99))
	}
	for range 6 {
		public = append(public, took(b, text(99)))
	}
	mean := func(all []eventloop.Micros) (m eventloop.Micros) {
		for _, v := range all {
			m += v / eventloop.Micros(len(all))
		}
		return m
	}
	if f, g, o, p := mean(fresh), mean(again), mean(others), mean(public); o < f*95/100 || g > f*7/10 || p > f*7/10 {
		t.Errorf("µs to the first token: new %d, again %d, another tenant's %d, public %d", f, g, o, p)
	}
}
