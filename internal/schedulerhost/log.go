package schedulerhost

import (
	"time"

	"github.com/rs/zerolog"

	"plumspindle/scheduler"
)

// Log messages of the scheduler's events. The messages are constant; the details are in the structured fields.
const (
	EndpointEjectedMessage = "endpoint ejected"
	SendBlockedMessage     = "send blocked by guard"
)

// WriteLog writes a scheduler event to a structured log.
func WriteLog(log *zerolog.Logger, event scheduler.Event) {
	switch e := event.(type) {
	case scheduler.EndpointEjected:
		log.Info().Uint32("endpoint", uint32(e.Endpoint)).Stringer("reason", e.Reason).
			Dur("for", time.Duration(e.For)*time.Microsecond).Msg(EndpointEjectedMessage)
	case scheduler.SendBlocked:
		log.Error().Uint64("request_id", uint64(e.Request)).Uint32("endpoint", uint32(e.Endpoint)).
			Stringer("reason", e.Rule).Msg(SendBlockedMessage)
	}
}
