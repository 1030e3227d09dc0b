package tenancy

// Requests beyond their tenants' quotas use the capacity that quotas leave free. A window limits how many of them may
// be admitted at once. It is controlled by additive increase and multiplicative decrease: it shrinks when a request
// within its quota is late, and grows otherwise.
const (
	initialWindow = 8.0 // requests
	minWindow     = 1.0
	maxWindow     = 4096.0
	// windowDecreaseFactor is the new size of the window when a request within its quota is late, as a fraction of the
	// old size or of the number of admitted over-quota requests, whichever is smaller.
	windowDecreaseFactor = 0.6
	minDecreaseInterval  = second / 4
	windowIncrease       = 1.0    // requests, for each over-quota request that ends while the window is small
	fullIncreaseWindow   = 8.0    // requests; above this size the increase is inversely proportional to the size
	increaseDelay        = second // how long the window does not grow after a late request
	lateFraction         = 0.25   // of the latency objective; a first token that takes longer is late

	// reservedOverQuota is the number of over-quota requests that each tenant may have admitted regardless of the window.
	// Each is admitted in this way only while no admitted over-quota request of the tenant waits for its first token.
	reservedOverQuota = 2
	prefillFraction   = 0.20   // of the prefill endpoints, for over-quota requests while the window is contended
	contentionPeriod  = second // how long a request within its quota makes the window contended for other tenants

	// While the window is not contended, this many over-quota requests for each prefill endpoint may be waiting for
	// their first token.
	prefillingPerEndpoint = 2
	minPrefilling         = 2 // the least number in each dispatcher, even with few prefill endpoints
)

// overQuotaCount counts admitted over-quota requests.
type overQuotaCount struct {
	admitted   int
	prefilling int // admitted requests without a first token
}

// overQuotaWindow is the state of the window for over-quota requests.
type overQuotaWindow struct {
	overQuotaCount
	size             float64 // over-quota requests that may be admitted at once
	decreasedAt      Micros
	lateAt           Micros // when a request within its quota was last late
	prefillEndpoints int
	pausedUntil      Micros            // until then a contended window admits only within reservedOverQuota
	lastInQuota      [2]inQuotaRequest // from the last two tenants that sent one, the latest first
}

// inQuotaRequest records when a tenant last sent a request within its quota.
type inQuotaRequest struct {
	tenant *tenantAccount
	at     Micros
}

// recordInQuota records a request within its quota. The last two tenants are enough to know whether any tenant other
// than a given one has sent such a request lately.
func (w *overQuotaWindow) recordInQuota(now Micros, tenant *tenantAccount) {
	if w.lastInQuota[0].tenant != tenant {
		w.lastInQuota[1] = w.lastInQuota[0]
	}
	w.lastInQuota[0] = inQuotaRequest{tenant, now}
}

// contended reports whether another tenant has lately sent a request within its quota.
func (w *overQuotaWindow) contended(now Micros, tenant *tenantAccount) bool {
	for _, last := range w.lastInQuota {
		if last.tenant != tenant && last.tenant != nil && now-last.at < contentionPeriod {
			return true
		}
	}
	return false
}

// recordLate records that a request within its quota was late, and shrinks the window at most once in each
// minDecreaseInterval.
func (w *overQuotaWindow) recordLate(now Micros) {
	w.lateAt = now
	if now-w.decreasedAt >= minDecreaseInterval || now < w.decreasedAt {
		w.decreasedAt = now
		w.size = max(windowDecreaseFactor*min(w.size, float64(w.admitted)), minWindow)
	}
}

// grow widens the window, unless a request within its quota was late less than increaseDelay ago.
func (w *overQuotaWindow) grow(now Micros) {
	if now-w.lateAt >= increaseDelay || now < w.lateAt {
		w.size = min(w.size+windowIncrease/max(w.size/fullIncreaseWindow, 1), maxWindow)
	}
}

// SetPrefillEndpoints sets how many endpoints can currently prefill.
func (a *AdmissionController) SetPrefillEndpoints(count int) { a.window.prefillEndpoints = count }

// prefillAllowance returns how many over-quota requests may be in prefill at once while the window is contended.
// Over-quota requests on all endpoints would delay every tenant's next prompt, so all dispatchers together allow them
// the capacity of only a fraction of the endpoints. An allowance below 1 is the fraction of the time in which one
// over-quota request may be in prefill.
func (a *AdmissionController) prefillAllowance() float64 {
	return float64(a.window.prefillEndpoints) * prefillFraction / a.dispatchers
}

// mayAdmitAtOnce reports whether a new over-quota request may be admitted without being queued. The request may
// overtake queued requests only if they are of other tenants and its own tenant is within reservedOverQuota.
func (a *AdmissionController) mayAdmitAtOnce(t *Ticket) bool {
	if a.queue.Len() == 0 && a.mayAdmitOverQuota(t) {
		return true
	}
	return a.queue.LenOf(t.tenant.id) == 0 && withinReservedOverQuota(t.tenant)
}

// mayAdmitOverQuota reports whether an over-quota request may be admitted now.
func (a *AdmissionController) mayAdmitOverQuota(t *Ticket) bool {
	w := &a.window
	if withinReservedOverQuota(t.tenant) {
		return true
	}
	if float64(w.admitted) >= w.size {
		return false
	}
	if w.contended(a.now, t.tenant) {
		return w.prefilling < max(int(a.prefillAllowance()), 1) && a.now >= w.pausedUntil
	}
	return w.prefilling < max(prefillingPerEndpoint*w.prefillEndpoints/int(a.dispatchers), minPrefilling)
}

// withinReservedOverQuota reports whether a tenant may have one more over-quota request admitted regardless of the
// other tenants. A tenant that exceeds its quota by chance must not wait for a tenant that fills the window.
func withinReservedOverQuota(tenant *tenantAccount) bool {
	return tenant.overQuota.admitted < reservedOverQuota && tenant.overQuota.prefilling == 0
}

func (a *AdmissionController) admitOverQuota(t *Ticket) {
	t.state, t.admittedAt = ticketAdmitted, a.now
	for _, count := range []*overQuotaCount{&a.window.overQuotaCount, &t.tenant.overQuota} {
		count.admitted++
		count.prefilling++
	}
}

// endPrefill records that the prompt of an over-quota request was prefilled, or that the request has ended. If the
// allowance is below 1, it pauses the admission so that the prefills take up only that fraction of the time.
func (a *AdmissionController) endPrefill(t *Ticket) {
	if t.prefillEnded {
		return
	}
	t.prefillEnded = true
	if allowance := a.prefillAllowance(); allowance > 0 && allowance < 1 {
		took := float64(a.now - t.admittedAt)
		a.window.pausedUntil = a.now + Micros(took*(1/allowance-1))
	}
	a.window.prefilling--
	t.tenant.overQuota.prefilling--
}

func (a *AdmissionController) releaseOverQuota(t *Ticket) {
	a.endPrefill(t)
	a.window.admitted--
	t.tenant.overQuota.admitted--
	a.window.grow(a.now)
}

// RecordFirstToken records how long an admitted request took to its first token, and its latency objective.
func (a *AdmissionController) RecordFirstToken(now Micros, t *Ticket, took, objective Micros) {
	a.now = now
	if t.overQuota {
		if t.state == ticketAdmitted {
			a.endPrefill(t)
		}
		return
	}
	if float64(took) > lateFraction*float64(objective) {
		a.window.recordLate(now)
	}
}

// RecordNoCapacity records that the scheduler found no capacity for a request. If the request is within its tenant's
// quota, it counts as late.
func (a *AdmissionController) RecordNoCapacity(now Micros, t *Ticket) {
	if !t.overQuota {
		a.window.recordLate(now)
	}
}
