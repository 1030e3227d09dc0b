package tenancy

import (
	"cmp"
	"maps"
	"slices"
)

const (
	quotaBurstS = 2.0 // seconds of its quota that a tenant may use at once
	// minQuotaBurst is the minimum burst of a tenant's quota in one dispatcher, in requests. With many dispatchers, chance
	// alone would send one of them more requests at once than a smaller burst allows.
	minQuotaBurst       = 4.0
	queueQuantum        = 2000.0 // tokens; about the cost of one request
	queueFullRetryAfter = second / 2
)

// AdmissionController enforces all limits and quotas in one dispatcher. Each dispatcher enforces an equal share of
// them. It rejects a request that would exceed a limit. It admits a request within its tenant's quota at once. A
// request that exceeds the quota, an over-quota request, is admitted if the window for such requests allows it, and
// queued otherwise.
type AdmissionController struct {
	dispatchers   float64 // number of dispatchers that share the limits
	now           Micros
	tenants       map[ID]*tenantAccount
	queue         *fairQueue[*Ticket] // over-quota requests
	window        overQuotaWindow
	issuedTickets uint64 // number of requests that got a ticket
}

// NewAdmissionController returns the controller of one dispatcher. dispatchers is the number of all dispatchers.
func NewAdmissionController(dispatchers int) *AdmissionController {
	return &AdmissionController{
		dispatchers: float64(max(dispatchers, 1)),
		tenants:     map[ID]*tenantAccount{},
		queue:       newFairQueue[*Ticket](queueQuantum),
		window:      overQuotaWindow{size: initialWindow},
	}
}

// TenantSettings are the limits of one tenant, its keys and its products in a dispatcher.
type TenantSettings struct {
	Limits   Limits
	Keys     map[string]Limits // by key id
	Products map[string]Limits // by product name
	Serving  bool              // whether new requests may be admitted
}

// SetTenant adds a tenant or replaces its settings. Lowered limits apply to later requests, not to running ones.
func (a *AdmissionController) SetTenant(id ID, settings TenantSettings) {
	tenant := a.tenants[id]
	if tenant == nil {
		tenant = &tenantAccount{id: id, open: map[*Ticket]uint64{}}
		a.tenants[id] = tenant
	}
	tenant.limiter.limits, tenant.serving = settings.Limits, settings.Serving
	tenant.keys = setLimits(tenant.keys, settings.Keys)
	tenant.products = setLimits(tenant.products, settings.Products)
}

// RemoveTenant removes a tenant that has no open tickets. It reports false, and removes nothing, if there are any.
func (a *AdmissionController) RemoveTenant(id ID) bool {
	tenant := a.tenants[id]
	if tenant != nil && len(tenant.open) > 0 {
		return false
	}
	delete(a.tenants, id)
	return true
}

// OpenTickets returns the tickets of a tenant that are not released yet, in the order of their arrival.
func (a *AdmissionController) OpenTickets(id ID) []*Ticket {
	tenant := a.tenants[id]
	if tenant == nil {
		return nil
	}
	return slices.SortedFunc(maps.Keys(tenant.open), func(x, y *Ticket) int {
		return cmp.Compare(tenant.open[x], tenant.open[y])
	})
}

// QueueLength returns the number of queued requests.
func (a *AdmissionController) QueueLength() int { return a.queue.Len() }

// Admit admits, queues or rejects a request. For a rejected request, the ticket is nil. The caller must pass any other
// ticket to Release.
func (a *AdmissionController) Admit(now Micros, r AdmissionRequest) (*Ticket, Decision) {
	a.now = now
	tenant := a.tenants[r.Tenant]
	if tenant == nil || !tenant.serving {
		return nil, Decision{Reason: NotServed}
	}
	t := &Ticket{
		tenant:   tenant,
		limiters: [3]*limiter{&tenant.limiter, tenant.keys[r.Key], tenant.products[r.Product]},
		cost:     r.cost(),
	}
	for _, l := range t.limiters {
		if l == nil {
			continue
		}
		if reason, retryAfter := l.check(now, a.dispatchers, r.PromptTokens, t.cost); reason != NotRejected {
			return nil, Decision{Reason: reason, RetryAfter: retryAfter}
		}
	}
	if !a.takeFromQuota(tenant) {
		t.overQuota = true
		if a.queue.LenOf(tenant.id) >= a.maxQueued(tenant) {
			return nil, Decision{Reason: QueueFull, RetryAfter: queueFullRetryAfter}
		}
	}
	a.open(t)
	switch {
	case !t.overQuota:
		t.state = ticketAdmitted
		return t, Decision{Admitted: true}
	case a.mayAdmitAtOnce(t):
		a.admitOverQuota(t)
		return t, Decision{Admitted: true}
	default:
		a.queue.Add(tenant.id, orDefault(tenant.limiter.limits.Weight, defaultWeight), t, t.cost)
		return t, Decision{Queued: true}
	}
}

// takeFromQuota takes one request from a tenant's quota. It reports false if the quota is used up.
func (a *AdmissionController) takeFromQuota(tenant *tenantAccount) bool {
	quotaPerS := perDispatcher(tenant.limiter.limits.QuotaPerS, a.dispatchers)
	tenant.quota.fill(a.now, quotaPerS, max(quotaPerS*quotaBurstS, minQuotaBurst))
	if tenant.quota.level < 1 {
		return false
	}
	tenant.quota.level--
	a.window.recordInQuota(a.now, tenant)
	return true
}

// maxQueued returns how many requests of a tenant may be queued in this dispatcher.
func (a *AdmissionController) maxQueued(tenant *tenantAccount) int {
	limit := orDefault(float64(tenant.limiter.limits.MaxQueued), defaultMaxQueued)
	return max(int(limit/a.dispatchers), 1)
}

// open counts a ticket against the limits until it is released.
func (a *AdmissionController) open(t *Ticket) {
	for _, l := range t.limiters {
		if l != nil {
			l.reserve(t.cost)
		}
	}
	a.issuedTickets++
	t.tenant.open[t] = a.issuedTickets
}

// AdmitNext admits the next queued request that may be admitted now. It reports false if there is none.
func (a *AdmissionController) AdmitNext(now Micros) (*Ticket, bool) {
	a.now = now
	t, found := a.queue.Next(a.mayAdmitOverQuota)
	if found {
		a.admitOverQuota(t)
	}
	return t, found
}

// Release ends a request and replaces its reserved tokens by the tokens that it used. Callers must release every
// ticket, also if the request was rejected elsewhere or its client has disconnected. A second call for the same ticket
// does nothing.
func (a *AdmissionController) Release(now Micros, t *Ticket, usedTokens int) {
	if t.state == ticketReleased {
		return
	}
	a.now = now
	delete(t.tenant.open, t)
	for _, l := range t.limiters {
		if l != nil {
			l.release(t.cost, usedTokens)
		}
	}
	if t.state == ticketQueued {
		a.queue.Remove(t.tenant.id, func(queued *Ticket) bool { return queued == t })
	} else if t.overQuota {
		a.releaseOverQuota(t)
	}
	t.state = ticketReleased
}
