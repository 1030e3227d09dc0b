package scheduler

import "slices"

const quotaBurst = 2.0 // seconds of its quota that a tenant may send at once

// quotas has a token bucket for each tenant. Requests beyond a quota are served too, at a lower priority.
type quotas struct {
	rates       []float64 // requests a second, over all dispatchers
	tokens      []float64 // requests that may still be sent here inside the quota
	refilledAt  Micros
	dispatchers int
}

func newQuotas(now Micros, rates []float64, dispatchers int) quotas {
	q := quotas{rates: slices.Clone(rates), tokens: make([]float64, len(rates)), refilledAt: now, dispatchers: dispatchers}
	for tenant := range q.tokens {
		q.tokens[tenant] = q.burst(tenant)
	}
	return q
}

// QuotaChanged changes what a tenant may send inside its quota, over all dispatchers; an unknown tenant is added.
func (s *Scheduler) QuotaChanged(now Micros, tenant TenantID, perSecond float64) {
	s.now = now
	s.quotas.setRate(int(tenant), perSecond)
}

func (q *quotas) setRate(tenant int, perSecond float64) {
	for tenant >= len(q.rates) {
		q.rates, q.tokens = append(q.rates, 0), append(q.tokens, 0)
	}
	isNew := q.rates[tenant] == 0
	q.rates[tenant] = perSecond
	if isNew {
		q.tokens[tenant] = q.burst(tenant)
	}
	q.tokens[tenant] = min(q.tokens[tenant], q.burst(tenant))
}

// take counts a request and reports whether it is beyond its tenant's quota. Without a quota it never is.
func (q *quotas) take(tenant int) (over bool) {
	if tenant >= len(q.rates) {
		return false
	}
	q.tokens[tenant]--
	over = q.tokens[tenant] < 0
	q.tokens[tenant] = max(q.tokens[tenant], 0)
	return over
}

func (q *quotas) refill(now Micros) {
	for tenant := range q.rates {
		burst := q.burst(tenant)
		q.tokens[tenant] = min(q.tokens[tenant]+burst*seconds(now-q.refilledAt)/quotaBurst, burst)
	}
	q.refilledAt = now
}

// burst is how many requests of a tenant may arrive here at once inside its quota. Each dispatcher has an even part.
func (q *quotas) burst(tenant int) float64 {
	return max(q.rates[tenant]/float64(max(q.dispatchers, 1))*quotaBurst, 1)
}
