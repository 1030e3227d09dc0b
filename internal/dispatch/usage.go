package dispatch

import (
	"encoding/json"
	"net/http"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/subscribe"
	"plumspindle/internal/tenancy"
)

const (
	usageReportInterval = eventloop.Second
	usageReportTimeout  = 3 * eventloop.Second
)

// releaseAdmission ends a request's admission, and adds the request's usage to the tenant's usage.
func (d *Dispatcher) releaseAdmission(r *request) {
	if r.ticket == nil {
		return
	}
	now := d.loop.Now()
	if r.finalAction == lifecycle.AnswerRejected {
		d.admission.RecordNoCapacity(now, r.ticket) // counts as overload if the request was within its tenant's quota
	}
	usage := r.usage(now)
	if r.part == nil || usage.PromptTokens > 0 {
		d.usage.Add(usage)
	}
	d.admission.Release(now, r.ticket, int(usage.PromptTokens+usage.OutputTokens))
	r.ticket = nil
	slot := r.tenant
	d.loop.Defer(func() {
		d.admitQueued()
		d.freeTenantSlot(slot)
	})
}

// usage returns the usage of one request. A part of a batch call has only its tokens counted here, since closeAs counts
// the outcome of the call itself.
func (r *request) usage(now eventloop.Micros) tenancy.Usage {
	usage := tenancy.Usage{Tenant: r.tenant.name, Product: r.chat.Model, Day: tenancy.Day(now)}
	if r.part == nil {
		usage.Accepted = 1
		countOutcome(&usage, r.finalAction)
	} else if r.finalAction == lifecycle.AnswerCompleted {
		usage.PromptTokens = uint64(r.promptTokens)
	}
	if r.outputTokens > 0 {
		usage.PromptTokens, usage.OutputTokens = uint64(r.chat.PromptTokens), uint64(r.outputTokens)
		if r.promptTokens > 0 {
			usage.PromptTokens = uint64(r.promptTokens)
		}
	}
	return usage
}

// countOutcome counts a final answer; any action but an Answer action counts as a client that has disconnected.
func countOutcome(usage *tenancy.Usage, final lifecycle.Action) {
	switch final {
	case lifecycle.AnswerCompleted:
		usage.Completed = 1
	case lifecycle.AnswerRejected:
		usage.Rejected = 1
	case lifecycle.AnswerFailed:
		usage.Failed = 1
	default:
		usage.Disconnected = 1
	}
}

// Usage returns the usage that is not reported yet.
func (d *Dispatcher) Usage() []tenancy.Usage { return d.usage.Report(d.config.Name).Usage }

// reportUsage sends a usage report to the administration. usageReported schedules the next report.
func (d *Dispatcher) reportUsage() {
	report := d.usage.Report(d.config.Name)
	body, err := json.Marshal(report)
	if err != nil {
		d.config.Log.Error().Err(err).Msg("usage report not encoded")
		return
	}
	subscribe.Post(d.loop, subscribe.PostRequest{
		Address: d.config.AdminAddr,
		Target:  "/internal/v1/usage",
		Fields:  []string{"Authorization", "Bearer " + FeedToken(d.config.Secret)},
		Body:    body,
		Timeout: usageReportTimeout,
	}, func(status int) {
		acknowledged := status == http.StatusOK
		if acknowledged {
			d.usage.Acknowledge(report.Number)
		}
		d.usageReported(acknowledged)
	})
}

// usageReported schedules the next report. During a shutdown it sends the remaining usage at once instead, and
// completes the shutdown after the last report or after the first one that is not acknowledged.
func (d *Dispatcher) usageReported(acknowledged bool) {
	switch {
	case d.onReported == nil:
		d.loop.AfterFunc(usageReportInterval, d.reportUsage)
	case acknowledged && d.usage.Pending():
		d.reportUsage()
	default:
		done := d.onReported
		d.onReported = nil
		done()
	}
}
