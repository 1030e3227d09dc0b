package tenancy

import (
	"cmp"
	"maps"
	"slices"
)

const (
	quotaBurstS    = 2.0    // seconds of its quota that a tenant may ask for at once
	minQuotaBurst  = 4.0    // requests; the small part of one dispatcher among many would be exceeded by chance alone
	queueQuantum   = 2000.0 // tokens; about what a request costs
	queueFullRetry = second / 2
)

// AdmissionController enforces one dispatcher's even part of all limits and quotas. A request inside its
// tenant's quota is admitted at once. One beyond it is surplus: it is admitted as far as the surplus window
// allows, and queued otherwise.
type AdmissionController struct {
	parts   float64 // dispatchers that share the limits
	now     Micros
	tenants map[ID]*tenantAccount
	queue   *fairQueue[*Ticket] // of surplus
	surplus surplusWindow
	arrived uint64 // requests that were given a ticket
}

// NewAdmissionController returns the controller of one of so many dispatchers.
func NewAdmissionController(dispatchers int) *AdmissionController {
	return &AdmissionController{
		parts:   float64(max(dispatchers, 1)),
		tenants: map[ID]*tenantAccount{},
		queue:   newFairQueue[*Ticket](queueQuantum),
		surplus: surplusWindow{size: initialWindow},
	}
}

// TenantSettings is what a dispatcher's admission of one tenant goes by.
type TenantSettings struct {
	Limits   Limits
	Keys     map[string]Limits // by the id of the key
	Products map[string]Limits // by the name of the product
	Serving  bool              // new requests may be admitted
}

// SetTenant adds a tenant or replaces its settings. Lowered limits bind the next requests, not the running ones.
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

// RemoveTenant drops a tenant without open tickets. It reports false if there are some.
func (a *AdmissionController) RemoveTenant(id ID) bool {
	tenant := a.tenants[id]
	if tenant != nil && len(tenant.open) > 0 {
		return false
	}
	delete(a.tenants, id)
	return true
}

// OpenTickets returns a tenant's tickets that are not released, in the order of their arrival.
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

// Admit decides what becomes of one more request. The ticket is nil if it is rejected; else the caller must
// Release it.
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
		if reason, retryAfter := l.check(now, a.parts, r.PromptTokens, t.cost); reason != NotRejected {
			return nil, Decision{Reason: reason, RetryAfter: retryAfter}
		}
	}
	if !a.takeFromQuota(tenant) {
		t.overQuota = true
		if a.queue.LenOf(tenant.id) >= a.maxQueued(tenant) {
			return nil, Decision{Reason: QueueFull, RetryAfter: queueFullRetry}
		}
	}
	a.open(t)
	switch {
	case !t.overQuota:
		t.state = ticketAdmitted
		return t, Decision{Admitted: true}
	case a.mayAdmitAtOnce(t):
		a.admitSurplus(t)
		return t, Decision{Admitted: true}
	default:
		a.queue.Add(tenant.id, orDefault(tenant.limiter.limits.Weight, defaultWeight), t, t.cost)
		return t, Decision{Queued: true}
	}
}

// takeFromQuota takes one request from a tenant's quota. It reports false if that is used up.
func (a *AdmissionController) takeFromQuota(tenant *tenantAccount) bool {
	quotaPerS := partOf(tenant.limiter.limits.QuotaPerS, a.parts)
	tenant.quota.fill(a.now, quotaPerS, max(quotaPerS*quotaBurstS, minQuotaBurst))
	if tenant.quota.level < 1 {
		return false
	}
	tenant.quota.level--
	a.surplus.noteInQuota(a.now, tenant)
	return true
}

// maxQueued returns how many requests of a tenant may be queued here.
func (a *AdmissionController) maxQueued(tenant *tenantAccount) int {
	limit := orDefault(float64(tenant.limiter.limits.Waiting), defaultMaxQueued)
	return max(int(limit/a.parts), 1)
}

// open makes a ticket count against the limits.
func (a *AdmissionController) open(t *Ticket) {
	for _, l := range t.limiters {
		if l != nil {
			l.reserve(t.cost)
		}
	}
	a.arrived++
	t.tenant.open[t] = a.arrived
}

// AdmitNext admits a queued request, if one may be admitted now. It reports false if none is.
func (a *AdmissionController) AdmitNext(now Micros) (*Ticket, bool) {
	a.now = now
	t, found := a.queue.Next(a.mayAdmitSurplus)
	if found {
		a.admitSurplus(t)
	}
	return t, found
}

// Release ends a request, also one that was rejected elsewhere or whose client has disconnected, and corrects the
// reserved tokens to those that it used. A second call for the same ticket does nothing.
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
		a.releaseSurplus(t)
	}
	t.state = ticketReleased
}
