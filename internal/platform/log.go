package platform

import (
	"github.com/rs/zerolog"

	"plumspindle/internal/engine"
	"plumspindle/internal/platform/guard"
)

// debugRequest begins a log line on a request.
func (d *Dispatcher) debugRequest(req *request) *zerolog.Event {
	return d.config.Log.Debug().Str("request_id", req.client.ID).
		Int64("elapsed_us", int64(d.loop.Now()-req.client.ReceivedAt))
}

// debugAttempt begins a log line on a request's last attempt.
func (d *Dispatcher) debugAttempt(req *request) *zerolog.Event {
	return d.debugRequest(req).Int("attempt", int(req.attempt.number())).
		Str("endpoint", d.endpoints[req.attempt.endpoint].Name)
}

func (d *Dispatcher) logResult(req *request, result *engine.Result) {
	e := d.debugAttempt(req)
	if !e.Enabled() {
		return
	}
	e.Str("class", req.client.Class).
		Str("prefix", req.client.Prefix).
		Float64("prompt_tokens", req.client.PromptTokens).
		Bool("prefill", req.attempt.prefill).
		Bool("started", req.attempt.started).
		Stringer("outcome", result.Outcome).
		Str("reason", result.Reason).
		Int("cached_tokens", result.CachedTokens).
		Bool("state_missing", result.StateMissing).
		Bool("undelivered", result.Undelivered).
		Int64("queued_us", int64(req.attempt.orderedAt-req.client.ReceivedAt)).
		Int64("duration_us", int64(d.loop.Now()-req.attempt.orderedAt)).
		Msg("attempt ended")
}

func (d *Dispatcher) logViolation(v *guard.Violation) {
	d.config.Log.Error().Stringer("rule", v.Rule).Str("request_id", v.RequestID).Str("endpoint", v.Endpoint).
		Bool("prevented", v.Prevented).Str("reason", v.Detail).Msg(guard.ViolationMessage)
}
