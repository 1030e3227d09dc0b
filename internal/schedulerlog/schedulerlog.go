// Package schedulerlog writes the scheduler's events to a structured log, alike in every program that runs a
// scheduler. It relies on zerolog, keeps nothing, and never decides anything.
package schedulerlog

import (
	"time"

	"github.com/rs/zerolog"

	"plumspindle/scheduler"
)

// The messages; all that varies is in the keys.
const (
	EndpointEjected = "endpoint ejected"
	SendBlocked     = "send blocked by guard"
)

// Write logs one event.
func Write(log *zerolog.Logger, event scheduler.Event) {
	switch e := event.(type) {
	case scheduler.EndpointEjected:
		log.Info().Uint32("endpoint", uint32(e.Endpoint)).Stringer("reason", e.Reason).
			Dur("for", time.Duration(e.For)*time.Microsecond).Msg(EndpointEjected)
	case scheduler.SendBlocked:
		log.Error().Uint64("request_id", uint64(e.Request)).Uint32("endpoint", uint32(e.Endpoint)).
			Stringer("reason", e.Rule).Msg(SendBlocked)
	}
}
