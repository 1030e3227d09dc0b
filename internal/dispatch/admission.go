package dispatch

import (
	"plumspindle/internal/frontend"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/tenancy"
)

// admit applies the limits of the tenant to a request, and reports whether the request is admitted now. If a
// request is not admitted but has a ticket, the caller has to queue the request. If the request has no ticket, the
// returned problem is its answer. If no problem is returned either, the request was already rejected on the response.
func (d *Dispatcher) admit(
	r *request, identity frontend.Identity, response *frontend.Response,
) (admitted bool, problem *frontend.Problem) {
	slot := d.tenantSlots[identity.Tenant]
	if slot == nil || !identity.Active {
		return false, frontend.TenantSuspended()
	}
	r.tenant = slot
	now := d.loop.Now()
	ticket, decision := d.admission.Admit(now, tenancy.AdmissionRequest{
		Tenant:          slot.id,
		Key:             identity.Key,
		Product:         r.chat.Model,
		PromptTokens:    r.chat.PromptTokens,
		MaxOutputTokens: r.chat.MaxTokens,
	})
	switch decision.Reason {
	case tenancy.NotRejected:
		ticket.Owner = r
		r.ticket = ticket
		return decision.Admitted, nil
	case tenancy.PromptTooLarge:
		return false, frontend.PromptTooLarge("messages", "The prompt has more tokens than this account may ask for.")
	case tenancy.NotServed:
		return false, frontend.TenantSuspended()
	}
	d.OverQuota++
	d.usage.Add(tenancy.Usage{Tenant: slot.name, Product: r.chat.Model, Day: tenancy.Day(now), Rejected: 1})
	response.RejectOverQuota(decision.Reason.String(), decision.RetryAfter)
	return false, nil
}

// queue lets a request wait for admission, until shortly before its deadline.
func (d *Dispatcher) queue(r *request) {
	r.State = lifecycle.Queued
	r.deadlineTimer = d.loop.AfterFunc(max(r.deadline-queueGrace-d.loop.Now(), 0), func() {
		if r.State == lifecycle.Queued {
			d.fire(r, lifecycle.DeadlineExceeded)
		}
	})
}

// admitQueued admits the queued requests that the limits of their tenants allow now.
func (d *Dispatcher) admitQueued() {
	for {
		ticket, found := d.admission.AdmitNext(d.loop.Now())
		if !found {
			return
		}
		r := ticket.Owner.(*request)
		r.deadlineTimer.Stop()
		r.deadlineTimer = nil
		d.fire(r, lifecycle.Admitted)
	}
}
