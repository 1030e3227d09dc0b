package dispatch

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/subscribe"
	"plumspindle/internal/tenancy"
	"plumspindle/scheduler"
)

// staticIDs is where the ids of tenants begin that the deployment names itself.
const staticIDs tenancy.ID = 1 << 31

const unlimited = 1e9 // generations a second; what the module is told of a tenant without a share

const (
	reportEvery  = eventloop.Second
	reportWithin = 3 * eventloop.Second
)

// seat is a tenant's place in this dispatcher.
type seat struct {
	id     tenancy.ID
	name   string
	space  string
	index  scheduler.TenantID // in the module's terms
	serves bool
	going  bool
	limits tenancy.Limits
}

// FeedToken is what a dispatcher shows to the administration to be told of tenants, made from the secret of both.
func FeedToken(secret []byte) string {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte("dispatcher"))
	return hex.EncodeToString(m.Sum(nil))
}

// seatTenants gives the deployment's own tenants their places, and begins to follow the administration's.
func (x *Dispatcher) seatTenants() error {
	x.seats, x.static = map[string]*seat{}, map[[sha256.Size]byte]*seat{}
	x.gate = tenancy.NewAdmissionController(int(x.Dispatching.Dispatchers))
	x.directory = tenancy.NewDirectory(x.post.Secret)
	x.meter = tenancy.NewUsageMeter()
	for i, t := range x.Tenants {
		s := x.sit(t.Name, staticIDs+tenancy.ID(i))
		x.allow(s, tenancy.Limits{SharePerS: t.QuotaPerS}, nil, nil, true)
		for _, k := range t.KeySha256 {
			raw, err := hex.DecodeString(k)
			if err != nil || len(raw) != sha256.Size {
				return fmt.Errorf("tenant %s: a key's digest is malformed", t.Name)
			}
			x.static[[sha256.Size]byte(raw)] = s
		}
	}
	if len(x.post.CachedTenants) > 0 {
		if err := x.tenantNews(x.post.CachedTenants); err != nil {
			x.post.Log.Error().Err(err).Msg("the kept tenants can't be read; starting without them")
		}
		x.directory.Epoch, x.directory.Version = "", 0 // the source's first word is all of them
	}
	if x.post.Tenants == "" {
		return nil
	}
	x.feed = subscribe.NewClient(x.loop, x.post.Seed+1, x.post.Tenants, subscribe.Options{
		Source: "administration",
		Header: []string{"Authorization", "Bearer " + FeedToken(x.post.Secret), "x-dispatcher", x.post.Name},
		Target: func() string {
			return "/internal/v1/tenants?epoch=" + x.directory.Epoch + "&since=" + strconv.FormatUint(x.directory.Version, 10)
		},
		OnReset: func() { x.directory.Epoch, x.directory.Version = "", 0 },
		OnMessage: func(data []byte) error {
			if err := x.tenantNews(data); err != nil {
				return err
			}
			if x.post.CacheTenants != nil {
				x.post.CacheTenants(x.directory.Snapshot())
			}
			return nil
		},
		Log: x.post.Log,
	})
	x.feed.Subscribe()
	x.loop.AfterFunc(reportEvery, x.report)
	return nil
}

// sit gives a tenant a place; those that were given back are used again, so that the module's table does not grow.
func (x *Dispatcher) sit(name string, id tenancy.ID) *seat {
	s := &seat{id: id, name: name, space: fmt.Sprintf("%d-%s", id, name)}
	if n := len(x.free); n > 0 {
		s.index = x.free[n-1]
		x.free = x.free[:n-1]
	} else {
		s.index = x.seatsMade
		x.seatsMade++
	}
	x.seats[name] = s
	return s
}

func (x *Dispatcher) allow(s *seat, l tenancy.Limits, keys, products map[string]tenancy.Limits, serves bool) {
	s.limits, s.serves = l, serves
	x.gate.SetTenant(s.id, l, keys, products, serves)
	share := l.SharePerS
	if share == 0 {
		share = unlimited
	}
	x.module.QuotaChanged(x.loop.Now(), s.index, share)
}

// tenantNews takes what the administration says.
func (x *Dispatcher) tenantNews(data []byte) error {
	changed, err := x.directory.Apply(data)
	if err != nil {
		return err
	}
	for _, t := range changed {
		s := x.seats[t.Name]
		if s != nil && s.id != t.ID {
			if s.id >= staticIDs {
				x.post.Log.Error().Str("tenant", t.Name).Msg("the deployment names this tenant itself; the administration's is not served here")
				continue
			}
			x.leaveSeat(s, t.Removal == tenancy.RemovalStop || t.State != tenancy.StateRemoving)
			s = nil
		}
		if t.State == tenancy.StateRemoving || t.State == tenancy.StateRemoved {
			if s == nil {
				x.meter.TenantEnded(t.Name)
				continue
			}
			x.leaveSeat(s, t.Removal == tenancy.RemovalStop || t.State == tenancy.StateRemoved)
			continue
		}
		if s == nil {
			s = x.sit(t.Name, t.ID)
		}
		keys := map[string]tenancy.Limits{}
		for _, k := range t.Keys {
			keys[k.ID] = k.Limits
		}
		x.allow(s, t.Limits, keys, t.Products, t.State == tenancy.StateActive)
	}
	return nil
}

// leaveSeat: a tenant is removed. What runs of it goes on, or is stopped; the place is given back once nothing does.
func (x *Dispatcher) leaveSeat(s *seat, stop bool) {
	s.going, s.serves = true, false
	if x.seats[s.name] == s {
		x.gate.SetTenant(s.id, s.limits, nil, nil, false)
	}
	if stop {
		for _, t := range x.gate.OpenTickets(s.id) {
			x.take(t.Owner.(*gen), lifecycle.TenantStopped, what{why: "The tenant was removed."})
		}
	}
	x.emptySeat(s)
}

func (x *Dispatcher) emptySeat(s *seat) {
	if !s.going || x.seats[s.name] != s || !x.gate.RemoveTenant(s.id) {
		return
	}
	delete(x.seats, s.name)
	x.module.QuotaChanged(x.loop.Now(), s.index, 0)
	x.free = append(x.free, s.index)
	x.meter.TenantEnded(s.name)
}

// Identify finds whose key it is.
func (x *Dispatcher) Identify(key string) (frontend.Identity, bool) {
	if s := x.static[sha256.Sum256([]byte(key))]; s != nil {
		return frontend.Identity{Tenant: s.name, Space: s.space, Active: true}, true
	}
	t, k, known := x.directory.Authenticate(int64(x.loop.Now()/eventloop.Second), key)
	if !known || !slices.Contains(k.Scopes, tenancy.ScopeChat) {
		return frontend.Identity{}, false
	}
	s := x.seats[t.Name]
	if s == nil || s.id != t.ID {
		return frontend.Identity{}, false
	}
	return frontend.Identity{Tenant: s.name, Key: k.ID, Space: s.space, Active: s.serves}, true
}

// admission takes a generation to its tenant's gate. It tells whether it goes to the module now; else it waits, or has
// been answered.
func (x *Dispatcher) admission(g *gen, who frontend.Identity, to *frontend.Response) (now bool, problem *frontend.Problem) {
	s := x.seats[who.Tenant]
	if s == nil || !who.Active {
		return false, &frontend.Problem{Status: 403, Type: "permission_error", Code: "tenant_suspended", NoRetry: true,
			Message: "This account is suspended."}
	}
	g.seat = s
	t, v := x.gate.Admit(x.loop.Now(), tenancy.AdmissionRequest{
		Tenant:          s.id,
		Key:             who.Key,
		Product:         g.ask.Model,
		PromptTokens:    g.ask.PromptTokens,
		MaxOutputTokens: g.ask.MaxTokens,
	})
	switch {
	case v.Reason == tenancy.PromptTooLarge:
		return false, &frontend.Problem{Status: 400, Type: "invalid_request_error", Param: "messages", Code: "prompt_too_large",
			Message: "The prompt has more tokens than this account may ask for."}
	case v.Reason == tenancy.NotServed:
		return false, &frontend.Problem{Status: 403, Type: "permission_error", Code: "tenant_suspended", NoRetry: true, Message: "This account is suspended."}
	case v.Reason != tenancy.NotRejected:
		x.OverQuota++
		x.meter.Add(tenancy.Usage{Tenant: s.name, Product: g.ask.Model, Day: tenancy.Day(x.loop.Now()), Rejected: 1})
		to.RejectOverQuota(v.Reason.String(), v.RetryAfter)
		return false, nil
	}
	t.Owner = g
	g.ticket = t
	return v.Admitted, nil
}

// queueGrace is how long before a client's limit one that still waits for its turn is given up.
const queueGrace = 30 * eventloop.Millisecond

// wait has a generation stand before the module until its tenant's turn comes.
func (x *Dispatcher) wait(g *gen) {
	g.State = lifecycle.Queued
	g.limit = x.loop.AfterFunc(max(g.deadline-queueGrace-x.loop.Now(), 0), func() {
		if g.State == lifecycle.Queued {
			x.take(g, lifecycle.DeadlineExceeded)
		}
	})
}

// turns lets in those whose turn has come.
func (x *Dispatcher) turns() {
	for {
		t, some := x.gate.AdmitNext(x.loop.Now())
		if !some {
			return
		}
		g := t.Owner.(*gen)
		g.limit.Stop()
		g.limit = nil
		x.take(g, lifecycle.Admitted)
	}
}

// arrived tells the module of a generation.
func (x *Dispatcher) arrived(g *gen) {
	a := g.ask
	x.module.RequestArrived(x.loop.Now(), scheduler.Arrival{
		ID:              g.id,
		Session:         scheduler.SessionID(a.Session),
		Prefix:          scheduler.PrefixID(a.SharedPrefix),
		Class:           g.product,
		Tenant:          g.seat.index,
		PromptTokens:    float64(a.PromptTokens),
		PrefixTokens:    float64(a.SharedPrefixTokens),
		MaxOutputTokens: float64(a.MaxTokens),
		Deadline:        g.deadline,
	})
}

// paid settles a generation with its tenant.
func (x *Dispatcher) paid(g *gen) {
	if g.ticket == nil {
		return
	}
	now := x.loop.Now()
	u := tenancy.Usage{Tenant: g.seat.name, Product: g.ask.Model, Day: tenancy.Day(now), Accepted: 1}
	if g.part != nil { // the call counts, not its parts; but what they read does
		u.Accepted = 0
		if g.final == lifecycle.AnswerCompleted {
			u.PromptTokens = uint64(g.prompt)
		} else if g.final == lifecycle.AnswerRejected {
			x.gate.NoCapacity(now, g.ticket)
		}
	}
	switch final := g.final; {
	case g.part != nil:
	case final == lifecycle.AnswerCompleted:
		u.Completed = 1
	case final == lifecycle.AnswerRejected:
		u.Rejected = 1
		x.gate.NoCapacity(now, g.ticket) // one inside its share found no place
	case final == lifecycle.AnswerFailed:
		u.Failed = 1
	default:
		u.Disconnected = 1
	}
	if g.tokens > 0 {
		u.PromptTokens, u.OutputTokens = uint64(g.ask.PromptTokens), uint64(g.tokens)
		if g.prompt > 0 {
			u.PromptTokens = uint64(g.prompt)
		}
	}
	if g.part == nil || u.PromptTokens > 0 {
		x.meter.Add(u)
	}
	x.gate.Release(now, g.ticket, int(u.PromptTokens+u.OutputTokens))
	g.ticket = nil
	s := g.seat
	x.loop.Defer(func() {
		x.turns()
		x.emptySeat(s)
	})
}

// Usage is what was used and not yet reported.
func (x *Dispatcher) Usage() []tenancy.Usage { return x.meter.Report(x.post.Name).Usage }

// report sends what was used.
func (x *Dispatcher) report() {
	r := x.meter.Report(x.post.Name)
	body, err := json.Marshal(r)
	if err != nil {
		x.post.Log.Error().Err(err).Msg("usage can't be reported")
		return
	}
	request := subscribe.PostRequest{Address: x.post.Tenants, Target: "/internal/v1/usage",
		Header: []string{"Authorization", "Bearer " + FeedToken(x.post.Secret)}, Body: body, Timeout: reportWithin}
	subscribe.Post(x.loop, request, func(status int) {
		if status == 200 {
			x.meter.Acknowledge(r.Number)
		}
		if x.reported != nil {
			if status == 200 && x.meter.Pending() {
				x.report()
				return
			}
			done := x.reported
			x.reported = nil
			done()
			return
		}
		x.loop.AfterFunc(reportEvery, x.report)
	})
}
