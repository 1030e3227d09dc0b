package platform

import (
	"github.com/rs/zerolog"

	"plumspindle/internal/engine"
	"plumspindle/internal/platform/guard"
)

// logRequest begins a log line about a request.
func (d *Dispatcher) logRequest(req *request, level zerolog.Level) *zerolog.Event {
	return d.config.Log.WithLevel(level).Str("request_id", req.client.ID).
		Int64("elapsed_us", int64(d.loop.Now()-req.client.ReceivedAt))
}

func (d *Dispatcher) debugRequest(req *request) *zerolog.Event {
	return d.logRequest(req, zerolog.DebugLevel)
}

// debugAttempt begins a debug log line about a request's last attempt.
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
		Int64("queued_us", int64(req.attempt.orderedAt-req.client.ReceivedAt)).
		Int64("duration_us", int64(d.loop.Now()-req.attempt.orderedAt)).
		Msg("attempt ended")
}

// logLeaseExpired logs and counts the expiry of a state's lease during an unanswered attempt. The log line says what is
// known about the attempt and its endpoint.
func (d *Dispatcher) logLeaseExpired(req *request) {
	d.LeaseExpiries++
	now := d.loop.Now()
	event := d.logRequest(req, zerolog.InfoLevel).
		Int("attempt", int(req.attempt.number())).
		Str("endpoint", d.endpoints[req.attempt.endpoint].Name).
		Bool("prefill", req.attempt.prefill).
		Bool("unsent", req.attempt.inFlight.Unsent()).
		Int64("attempt_age_us", int64(now-req.attempt.orderedAt)).
		Int64("lease_age_us", int64(now-req.lease.startedAt))
	if last := d.engine.LastReceived(req.attempt.endpoint); last > 0 {
		event.Int64("endpoint_silent_us", int64(now-last)) // since the endpoint last sent anything on any connection
	}
	event.Msg("state lease expired")
}

func (d *Dispatcher) logViolation(v *guard.Violation) {
	d.config.Log.Error().Stringer("rule", v.Rule).Str("request_id", v.RequestID).Str("endpoint", v.Endpoint).
		Bool("prevented", v.Prevented).Str("reason", v.Detail).Msg(guard.ViolationMessage)
}
