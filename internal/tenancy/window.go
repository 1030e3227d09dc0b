package tenancy

// Surplus fills the capacity that quotas leave. How much of it may run is learnt from requests inside their quotas:
// when one of them is late, the window of admitted surplus is cut, and otherwise it grows.
const (
	initialWindow = 8.0 // requests
	minWindow     = 1.0
	maxWindow     = 4096.0
	windowCut     = 0.6 // of the admitted surplus, when a request inside its quota is late
	cutInterval   = second / 4
	windowGrowth  = 1.0    // requests, for each request of surplus that ends while the window is at most growthSpread
	growthSpread  = 8.0    // requests; a larger window grows in proportion more slowly
	growthDelay   = second // since the last late request
	lateFraction  = 0.25   // of the latency objective; a first token after it is late

	ownSurplus       = 2      // requests beyond its quota that each tenant may have admitted in any case
	prefillFraction  = 0.20   // of the prefill endpoints that surplus may use while the window is contended
	contentionPeriod = second // after which a tenant that asked for something inside its quota does not count

	// While the window is not contended, so many requests of surplus for each prefill endpoint may wait for their first
	// token.
	unbegunPerEndpoint = 2
	minUnbegun         = 2
)

// surplusCount counts admitted requests of surplus.
type surplusCount struct {
	admitted int
	unbegun  int // of these, those without a first token
}

// surplusWindow is the state of the control of surplus.
type surplusWindow struct {
	surplusCount
	size             float64 // requests of surplus that may be admitted at once
	cutAt            Micros
	lateAt           Micros // when a request inside its quota was last late
	prefillEndpoints int
	pausedUntil      Micros // no surplus is admitted before it while the window is contended
	inQuota          [2]arrival
}

// arrival is when a tenant last asked for something inside its quota.
type arrival struct {
	tenant *tenantAccount
	at     Micros
}

// noteInQuota records an arrival. The last two tenants are enough to know whether one other than a given one asks.
func (w *surplusWindow) noteInQuota(now Micros, tenant *tenantAccount) {
	if w.inQuota[0].tenant != tenant {
		w.inQuota[1] = w.inQuota[0]
	}
	w.inQuota[0] = arrival{tenant, now}
}

// contended reports whether another tenant has lately asked for something inside its quota.
func (w *surplusWindow) contended(now Micros, tenant *tenantAccount) bool {
	for _, last := range w.inQuota {
		if last.tenant != tenant && last.tenant != nil && now-last.at < contentionPeriod {
			return true
		}
	}
	return false
}

// late cuts the window.
func (w *surplusWindow) late(now Micros) {
	w.lateAt = now
	if now-w.cutAt >= cutInterval || now < w.cutAt {
		w.cutAt = now
		w.size = max(windowCut*min(w.size, float64(w.admitted)), minWindow)
	}
}

// grow widens the window, unless a request was late a short time ago.
func (w *surplusWindow) grow(now Micros) {
	if now-w.lateAt >= growthDelay || now < w.lateAt {
		w.size = min(w.size+windowGrowth/max(w.size/growthSpread, 1), maxWindow)
	}
}

// SetPrefillEndpoints sets how many endpoints can prefill now.
func (a *AdmissionController) SetPrefillEndpoints(count int) { a.surplus.prefillEndpoints = count }

// prefillAllowance returns how many prompts of surplus may be prefilled at once while the window is contended.
// Surplus on all endpoints would delay every tenant's next prompt, so all dispatchers together send it to a
// fraction of the endpoints only. Below 1 it is the fraction of the time in which there may be one.
func (a *AdmissionController) prefillAllowance() float64 {
	return float64(a.surplus.prefillEndpoints) * prefillFraction / a.parts
}

// mayAdmitAtOnce reports whether a new request of surplus need not be queued: none is queued before it.
func (a *AdmissionController) mayAdmitAtOnce(t *Ticket) bool {
	if a.queue.Len() == 0 && a.mayAdmitSurplus(t) {
		return true
	}
	return a.queue.LenOf(t.tenant.id) == 0 && withinOwnSurplus(t.tenant)
}

// mayAdmitSurplus reports whether a request of surplus may be admitted now.
func (a *AdmissionController) mayAdmitSurplus(t *Ticket) bool {
	w := &a.surplus
	if withinOwnSurplus(t.tenant) {
		return true
	}
	if float64(w.admitted) >= w.size {
		return false
	}
	if w.contended(a.now, t.tenant) {
		return w.unbegun < max(int(a.prefillAllowance()), 1) && a.now >= w.pausedUntil
	}
	return w.unbegun < max(unbegunPerEndpoint*w.prefillEndpoints/int(a.parts), minUnbegun)
}

// withinOwnSurplus reports whether a tenant may have one more request of surplus whatever the others have: one that
// exceeds its quota by chance must not wait for a tenant that fills the window.
func withinOwnSurplus(tenant *tenantAccount) bool {
	return tenant.surplus.admitted < ownSurplus && tenant.surplus.unbegun == 0
}

func (a *AdmissionController) admitSurplus(t *Ticket) {
	t.state, t.admittedAt = ticketAdmitted, a.now
	for _, count := range []*surplusCount{&a.surplus.surplusCount, &t.tenant.surplus} {
		count.admitted++
		count.unbegun++
	}
}

// beginSurplus records that the prompt of a request of surplus is prefilled.
func (a *AdmissionController) beginSurplus(t *Ticket) {
	if t.begun {
		return
	}
	t.begun = true
	if allowance := a.prefillAllowance(); allowance > 0 && allowance < 1 {
		took := float64(a.now - t.admittedAt)
		a.surplus.pausedUntil = a.now + Micros(took*(1/allowance-1))
	}
	a.surplus.unbegun--
	t.tenant.surplus.unbegun--
}

func (a *AdmissionController) releaseSurplus(t *Ticket) {
	a.beginSurplus(t)
	a.surplus.admitted--
	t.tenant.surplus.admitted--
	a.surplus.grow(a.now)
}

// FirstToken records how long an admitted request took to its first token, and its latency objective.
func (a *AdmissionController) FirstToken(now Micros, t *Ticket, took, objective Micros) {
	a.now = now
	if t.overQuota {
		if t.state == ticketAdmitted {
			a.beginSurplus(t)
		}
		return
	}
	if float64(took) > lateFraction*float64(objective) {
		a.surplus.late(now)
	}
}

// NoCapacity records that the scheduler found no capacity for a request.
func (a *AdmissionController) NoCapacity(now Micros, t *Ticket) {
	if !t.overQuota {
		a.surplus.late(now)
	}
}
