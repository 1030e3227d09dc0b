package platform

import (
	"github.com/rs/zerolog"

	"plumspindle/internal/engine"
	"plumspindle/internal/platform/guard"
)

// debugRequest begins a log line on a request.
func (d *Dispatcher) debugRequest(r *request) *zerolog.Event {
	return d.config.Log.Debug().Str("request_id", r.client.ID).
		Int64("elapsed_us", int64(d.loop.Now()-r.client.ReceivedAt))
}

// debugAttempt begins a log line on a request's last attempt.
func (d *Dispatcher) debugAttempt(r *request) *zerolog.Event {
	return d.debugRequest(r).Int("attempt", int(r.attempt.number())).
		Str("endpoint", d.endpoints[r.attempt.endpoint].Name)
}

func (d *Dispatcher) logResult(r *request, result *engine.Result) {
	e := d.debugAttempt(r)
	if !e.Enabled() {
		return
	}
	e.Str("class", r.client.Class).
		Str("prefix", r.client.Prefix).
		Float64("prompt_tokens", r.client.PromptTokens).
		Bool("prefill", r.attempt.prefill).
		Bool("started", r.attempt.started).
		Stringer("outcome", result.Outcome).
		Str("reason", result.Reason).
		Int("cached_tokens", result.CachedTokens).
		Bool("state_missing", result.StateMissing).
		Bool("undelivered", result.Undelivered).
		Int64("queued_us", int64(r.attempt.orderedAt-r.client.ReceivedAt)).
		Int64("duration_us", int64(d.loop.Now()-r.attempt.orderedAt)).
		Msg("attempt ended")
}

func (d *Dispatcher) logViolation(v *guard.Violation) {
	d.config.Log.Error().Stringer("rule", v.Rule).Str("request_id", v.RequestID).Str("endpoint", v.Endpoint).
		Bool("prevented", v.Prevented).Str("reason", v.Detail).Msg(guard.ViolationMessage)
}
