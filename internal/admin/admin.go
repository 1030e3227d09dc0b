package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"plumspindle/internal/dispatch"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/store"
	"plumspindle/internal/tenancy"
)

// Records is where the administration keeps what must survive it. Save makes changes together, all or none, and returns
// only once they are durable.
type Records interface {
	ScanFrom(from, prefix string, each func(key string, value []byte) bool)
	Get(key string) ([]byte, bool)
	Save(ops []store.Op) error
}

// Role is what a caller may do.
type Role string

const (
	Operator    Role = "operator" // all
	Viewer      Role = "viewer"   // see all, change nothing
	TenantAdmin Role = "tenant"   // see one tenant, and change its keys
)

// Staff is one operator or viewer, by the SHA-256 of its key.
type Staff struct {
	Name   string
	Role   Role
	Digest [sha256.Size]byte
}

// ParseStaff reads lines of a role, a name and the SHA-256 of a key, 64 hexadecimal digits. Each fault names its line.
func ParseStaff(text string) (all []Staff, err error) {
	for i, l := range strings.Split(text, "\n") {
		f := strings.Fields(l)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		if len(f) != 3 || Role(f[0]) != Operator && Role(f[0]) != Viewer {
			return nil, fmt.Errorf("line %d: want a role (operator or viewer), a name and a digest", i+1)
		}
		raw, err := hex.DecodeString(f[2])
		if err != nil || len(raw) != sha256.Size {
			return nil, fmt.Errorf("line %d: the digest must be 64 hexadecimal digits", i+1)
		}
		all = append(all, Staff{f[1], Role(f[0]), [sha256.Size]byte(raw)})
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("nobody may administer: there is no line")
	}
	return all, nil
}

type caller struct {
	name   string
	role   Role
	tenant string // Own only
}

// Server is the administration on one loop.
type Server struct {
	loop      eventloop.Loop
	secret    []byte
	feedToken string
	staff     []Staff
	records   Records
	random    io.Reader
	log       zerolog.Logger
	registry  *tenancy.Registry
	ledger    *tenancy.UsageLedger
	followers []*conn
	changes   uint64 // lines in the log of changes
}

// Config is what an administration is started with.
type Config struct {
	Secret  []byte // shared with the dispatchers; 32 bytes at least
	Staff   []Staff
	Records Records
	Random  io.Reader // source of the random bytes of keys
	Log     zerolog.Logger
}

// Start restores the state from the records and starts the heartbeat on the loop.
func Start(loop eventloop.Loop, c Config) (*Server, error) {
	if len(c.Secret) < 32 {
		return nil, fmt.Errorf("the secret has %d bytes; it needs 32 at least", len(c.Secret))
	}
	a := &Server{loop: loop, secret: c.Secret, feedToken: dispatch.FeedToken(c.Secret), staff: c.Staff, records: c.Records, random: c.Random, log: c.Log,
		ledger: tenancy.NewUsageLedger()}
	if err := a.restore(); err != nil {
		return nil, err
	}
	if a.registry == nil {
		a.registry = tenancy.NewRegistry(strconv.FormatInt(int64(loop.Now()), 36))
	}
	a.beat()
	return a, nil
}

func (a *Server) beat() {
	for _, f := range a.followers {
		f.conn.Write(http1.AppendChunk(nil, []byte(": here\n\n")))
	}
	a.finishRemovals()
	a.loop.AfterFunc(heartbeat, a.beat)
}

func (a *Server) unfollow(c *conn) {
	a.followers = slices.DeleteFunc(a.followers, func(o *conn) bool { return o == c })
}

func (a *Server) now() int64 { return int64(a.loop.Now() / eventloop.Second) }

func (a *Server) isDispatcher(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(a.feedToken)) == 1
}

// identify finds who calls. Every staff digest is compared, so that the time tells nothing.
func (a *Server) identify(token string) (who caller, known bool) {
	digest := sha256.Sum256([]byte(token))
	for _, s := range a.staff {
		if subtle.ConstantTimeCompare(digest[:], s.Digest[:]) == 1 {
			who, known = caller{name: s.Name, role: s.Role}, true
		}
	}
	if known {
		return who, true
	}
	for _, name := range a.registry.Names() {
		t := a.registry.Tenants[name]
		for i := range t.Keys {
			if strings.HasPrefix(token, "sk-"+t.Keys[i].ID+"-") && t.Keys[i].Matches(a.secret, token, a.now()) &&
				slices.Contains(t.Keys[i].Scopes, tenancy.ScopeAdmin) && t.State == tenancy.StateActive {
				return caller{name: "key " + t.Keys[i].ID, role: TenantAdmin, tenant: name}, true
			}
		}
	}
	return caller{}, false
}

// change makes a change on a copy, keeps it, and only then lets it count and tells it on. A dry run stops before that.
func (a *Server) change(r *request, what string, do func(*tenancy.Registry) (answer, *tenancy.ChangeError)) answer {
	next := a.registry.Clone()
	got, fault := do(next)
	if fault != nil {
		return fail(fault.Status, fault.Code, fault.Field, fault.Reason)
	}
	if r.query["dry_run"] == "true" {
		return got
	}
	if next.Version == a.registry.Version {
		return got
	}
	line := marshal(map[string]any{"at_s": a.now(), "who": r.who.name, "role": r.who.role, "what": what, "path": strings.Join(r.path, "/"),
		"version": next.Version})
	ops := append(difference(a.registry, next), store.Op{Key: changeKey(a.changes), Value: line})
	if err := a.records.Save(append(ops, r.also...)); err != nil {
		a.log.Error().Err(err).Msg("a change could not be kept and was not made")
		return fail(500, "not_kept", "", "the change could not be kept and was not made")
	}
	a.changes++
	before := a.registry
	a.registry = next
	a.tellOn(before)
	return got
}

func (a *Server) tellOn(before *tenancy.Registry) {
	news := a.registry.UpdateSince(before.Epoch, before.Version)
	if before.Version == 0 {
		news.Complete = true
	}
	for _, f := range a.followers {
		f.tell(news)
	}
}

// takeReport adds what a dispatcher used. It is kept before it is acknowledged, so that a report counts once whatever
// dies in between.
func (a *Server) takeReport(body []byte) answer {
	var r tenancy.UsageReport
	if err := json.Unmarshal(body, &r); err != nil || r.Dispatcher == "" || r.Number == 0 {
		return fail(400, "malformed", "", "not a report")
	}
	// What is kept is what will be, worked out before it counts: a report that could not be kept comes again, and then has
	// to count as new.
	if sums := a.ledger.Preview(&r); len(sums) > 0 {
		ops := []store.Op{numberOp(r.Dispatcher, r.Number)}
		for _, u := range sums {
			ops = append(ops, usedOp(u))
		}
		if err := a.records.Save(ops); err != nil {
			a.log.Error().Err(err).Msg("usage could not be kept")
			return fail(500, "not_kept", "", "the report could not be kept")
		}
	}
	a.ledger.Add(a.loop.Now(), &r)
	a.finishRemovals()
	return answer{status: 200, body: map[string]any{"taken": r.Number}}
}

// finishRemovals ends removals of tenants of which nothing runs at any dispatcher that lives.
func (a *Server) finishRemovals() {
	for _, name := range a.registry.Names() {
		if a.registry.Tenants[name].State != tenancy.StateRemoving || !a.ledger.RemovedEverywhere(a.loop.Now(), name) {
			continue
		}
		before, next := a.registry, a.registry.Clone()
		next.CompleteRemoval(a.now(), name)
		ops := difference(before, next)
		a.records.ScanFrom(madeKey+name+"\x00", madeKey+name+"\x00", func(key string, _ []byte) bool {
			ops = append(ops, store.Op{Key: key}) // the name may be another's one day
			return true
		})
		if err := a.records.Save(ops); err != nil {
			a.log.Error().Err(err).Msg("the end of a removal could not be kept")
			return
		}
		a.registry = next
		a.ledger.ForgetRemoval(name)
		a.tellOn(before)
	}
}

// --- Calls ---

// shown is a tenant as it is shown: without the seals of its keys.
func shown(t *tenancy.Tenant) tenancy.Tenant {
	c := *t
	c.Keys = slices.Clone(t.Keys)
	for i := range c.Keys {
		c.Keys[i].MAC = ""
	}
	return c
}

func one(status int, t *tenancy.Tenant) answer {
	return answer{status: status, body: shown(t), etag: t.Version}
}

//go:embed openapi.json
var openAPI []byte

// call answers one call of the API.
func (a *Server) call(r *request) answer {
	if r.who.role == Viewer && r.method != "GET" {
		return fail(403, "forbidden", "", "a viewer changes nothing")
	}
	version, ok := r.version()
	if !ok {
		return fail(400, "malformed", "If-Match", "If-Match must be an ETag as it was given")
	}
	at := func(i int) string {
		if i < len(r.path) {
			return r.path[i]
		}
		return ""
	}
	route := r.method + " " + at(0)
	if len(r.path) > 1 {
		route += " *"
	}
	for i := 2; i < len(r.path); i++ {
		if i == 3 {
			route += " *"
		} else {
			route += " " + r.path[i]
		}
	}
	name := at(1)
	if r.who.role == TenantAdmin {
		allowed := []string{"GET tenants *", "GET tenants * keys", "POST tenants * keys", "DELETE tenants * keys *", "GET tenants * usage", "GET openapi.json"}
		if !slices.Contains(allowed, route) || name != "" && name != r.who.tenant {
			return fail(404, "no_tenant", "", "there is nothing here for this key") // the same whether or not it exists
		}
	}
	switch route {
	case "GET openapi.json":
		return answer{status: 200, text: openAPI, kind: "application/json"}
	case "GET /metrics", "GET metrics":
		return answer{status: 200, text: a.metrics(), kind: "text/plain; version=0.0.4"}
	case "GET tenants":
		return a.listTenants(r)
	case "POST tenants":
		return a.createTenant(r)
	case "GET tenants *":
		t := a.registry.Tenants[name]
		if t == nil {
			return fail(404, "no_tenant", "", "there is no such tenant")
		}
		return one(200, t)
	case "PATCH tenants *":
		var in struct {
			Limits   *tenancy.Limits           `json:"limits"`
			Products map[string]tenancy.Limits `json:"products"`
		}
		if f := r.decode(&in); f != nil {
			return *f
		}
		return a.change(r, "limits changed", func(g *tenancy.Registry) (answer, *tenancy.ChangeError) {
			return wrap(g.SetLimits(name, version, in.Limits, in.Products))
		})
	case "DELETE tenants *":
		policy := r.query["policy"]
		if policy == "" {
			policy = tenancy.RemovalFinish
		}
		got := a.change(r, "removal: "+policy, func(g *tenancy.Registry) (answer, *tenancy.ChangeError) { return wrap(g.Remove(name, version, policy)) })
		a.loop.Defer(a.finishRemovals)
		return got
	case "POST tenants * suspend", "POST tenants * resume":
		return a.change(r, at(2), func(g *tenancy.Registry) (answer, *tenancy.ChangeError) {
			return wrap(g.SetServing(name, version, at(2) == "resume"))
		})
	case "GET tenants * keys":
		t := a.registry.Tenants[name]
		if t == nil {
			return fail(404, "no_tenant", "", "there is no such tenant")
		}
		return answer{status: 200, body: map[string]any{"keys": shown(t).Keys}, etag: t.Version}
	case "POST tenants * keys":
		return a.createKey(r, name, version)
	case "DELETE tenants * keys *":
		when, err := strconv.ParseInt("0"+r.query["at_s"], 10, 64)
		if err != nil {
			return fail(400, "malformed", "at_s", "must be a time in seconds since 1970")
		}
		return a.change(r, "key revoked", func(g *tenancy.Registry) (answer, *tenancy.ChangeError) {
			return wrap(g.RevokeKey(a.now(), name, version, at(3), when))
		})
	case "GET tenants * usage":
		return answer{status: 200, body: map[string]any{"usage": a.ledger.UsageOf(name)}}
	case "GET usage":
		return answer{status: 200, body: map[string]any{"usage": a.ledger.UsageOf("")}}
	case "GET audit":
		return a.auditLog(r)
	case "GET public-texts":
		return answer{status: 200, body: map[string]any{"sha256": a.registry.PublicTexts}}
	case "PUT public-texts":
		var in struct {
			SHA256 []string `json:"sha256"`
		}
		if f := r.decode(&in); f != nil {
			return *f
		}
		for i, d := range in.SHA256 {
			if raw, err := hex.DecodeString(d); err != nil || len(raw) != sha256.Size {
				return fail(422, "invalid_digest", fmt.Sprintf("sha256[%d]", i), "must be 64 hexadecimal digits")
			}
		}
		return a.change(r, "public texts set", func(g *tenancy.Registry) (answer, *tenancy.ChangeError) {
			g.PublicTexts = in.SHA256
			g.Version++
			return answer{status: 200, body: in}, nil
		})
	}
	return fail(404, "unknown_url", "", "unknown URL or method")
}

func wrap(t *tenancy.Tenant, fault *tenancy.ChangeError) (answer, *tenancy.ChangeError) {
	if fault != nil {
		return answer{}, fault
	}
	return one(200, t), nil
}

// decode reads a body; what it does not know is refused, as a misspelt limit would be none.
func (r *request) decode(to any) *answer {
	d := json.NewDecoder(strings.NewReader(string(r.body)))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		f := fail(400, "malformed", "", "the body can't be read: "+strings.TrimPrefix(err.Error(), "json: "))
		return &f
	}
	if d.More() {
		f := fail(400, "malformed", "", "the body has more than one value")
		return &f
	}
	return nil
}

const (
	pageUsual = 100
	pageMost  = 1000
)

// page reads how much of a list is wanted.
func (r *request) page() (limit int) {
	limit, err := strconv.Atoi(r.query["limit"])
	if err != nil || limit < 1 {
		limit = pageUsual
	}
	return min(limit, pageMost)
}

func (a *Server) listTenants(r *request) answer {
	after, limit := r.query["after"], r.page()
	list, next := []tenancy.Tenant{}, ""
	for _, name := range a.registry.Names() {
		if name <= after {
			continue
		}
		if len(list) == limit {
			next = list[limit-1].Name
			break
		}
		list = append(list, shown(a.registry.Tenants[name]))
	}
	return answer{status: 200, body: map[string]any{"tenants": list, "next_after": next}}
}

func (a *Server) createTenant(r *request) answer {
	var in struct {
		Name     string                    `json:"name"`
		Limits   tenancy.Limits            `json:"limits"`
		Products map[string]tenancy.Limits `json:"products"`
	}
	if f := r.decode(&in); f != nil {
		return *f
	}
	return a.change(r, "tenant created", func(g *tenancy.Registry) (answer, *tenancy.ChangeError) {
		t, made, fault := g.Create(a.now(), in.Name, in.Limits, in.Products)
		if fault != nil {
			return answer{}, fault
		}
		if made {
			return one(201, t), nil
		}
		return one(200, t), nil
	})
}

func (a *Server) createKey(r *request, name string, version uint64) answer {
	var in struct {
		Label   string         `json:"label"`
		Scopes  []string       `json:"scopes"`
		Expires int64          `json:"expires_s"`
		Limits  tenancy.Limits `json:"limits"`
	}
	if len(r.body) > 0 {
		if f := r.decode(&in); f != nil {
			return *f
		}
	}
	repeat := r.head.Get("Idempotency-Key")
	if repeat != "" {
		repeat = madeKey + name + "\x00" + repeat
		if id, some := a.records.Get(repeat); some {
			return answer{status: 200, body: map[string]any{"id": string(id), "note": "made before; a key is shown once"}}
		}
	}
	var random [30]byte
	if _, err := io.ReadFull(a.random, random[:]); err != nil {
		return fail(500, "no_random", "", "no randomness was to be had")
	}
	return a.change(r, "key created", func(g *tenancy.Registry) (answer, *tenancy.ChangeError) {
		text, k, t, fault := g.IssueKey(a.now(), name, version, a.secret, random[:], in.Label, in.Scopes, in.Expires, in.Limits)
		if fault != nil {
			return answer{}, fault
		}
		if repeat != "" {
			r.also = append(r.also, store.Op{Key: repeat, Value: []byte(k.ID)})
		}
		return answer{status: 201, etag: t.Version, body: map[string]any{"id": k.ID, "key": text, "scopes": k.Scopes, "expires_s": k.ExpiresAt, "label": k.Label}}, nil
	})
}

func (a *Server) auditLog(r *request) answer {
	from, _ := strconv.ParseUint(r.query["after"], 10, 64)
	list := []json.RawMessage{}
	a.records.ScanFrom(changeKey(from), logKey, func(_ string, line []byte) bool {
		list = append(list, line)
		return len(list) < r.page()
	})
	next := uint64(0)
	if end := from + uint64(len(list)); end < a.changes {
		next = end
	}
	return answer{status: 200, body: map[string]any{"changes": list, "next_after": next}}
}

// seriesMost bounds how many tenants have series of their own; the rest is summed, so that metrics do not grow with them.
const seriesMost = 50

// metrics is the usage of today's ledger in the text form that Prometheus reads.
func (a *Server) metrics() []byte {
	sums := map[string]tenancy.Usage{}
	for _, u := range a.ledger.UsageOf("") {
		s := sums[u.Tenant]
		s.Tenant = u.Tenant
		s.Accepted, s.Completed, s.Rejected, s.Failed = s.Accepted+u.Accepted, s.Completed+u.Completed, s.Rejected+u.Rejected, s.Failed+u.Failed
		s.PromptTokens, s.OutputTokens = s.PromptTokens+u.PromptTokens, s.OutputTokens+u.OutputTokens
		sums[u.Tenant] = s
	}
	names := slices.Sorted(maps.Keys(sums))
	slices.SortStableFunc(names, func(x, y string) int { return int(sums[y].Accepted) - int(sums[x].Accepted) })
	rest := tenancy.Usage{Tenant: "(others)"}
	var b strings.Builder
	for _, m := range []struct {
		name string
		of   func(u tenancy.Usage) uint64
	}{{"generations_taken", func(u tenancy.Usage) uint64 { return u.Accepted }}, {"generations_streamed", func(u tenancy.Usage) uint64 { return u.Completed }},
		{"generations_throttled", func(u tenancy.Usage) uint64 { return u.Rejected }}, {"generations_terminated", func(u tenancy.Usage) uint64 { return u.Failed }},
		{"prompt_tokens", func(u tenancy.Usage) uint64 { return u.PromptTokens }}, {"answer_tokens", func(u tenancy.Usage) uint64 { return u.OutputTokens }}} {
		fmt.Fprintf(&b, "# TYPE plumspindle_%s_total counter\n", m.name)
		var others uint64
		for i, n := range names {
			if i < seriesMost {
				fmt.Fprintf(&b, "plumspindle_%s_total{tenant=%q} %d\n", m.name, n, m.of(sums[n]))
			} else {
				others += m.of(sums[n])
			}
		}
		if len(names) > seriesMost {
			fmt.Fprintf(&b, "plumspindle_%s_total{tenant=%q} %d\n", m.name, rest.Tenant, others)
		}
	}
	fmt.Fprintf(&b, "# TYPE plumspindle_tenants gauge\nplumspindle_tenants %d\n# TYPE plumspindle_followers gauge\nplumspindle_followers %d\n",
		len(a.registry.Tenants), len(a.followers))
	return []byte(b.String())
}
