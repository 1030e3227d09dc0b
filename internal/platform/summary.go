package platform

import (
	"github.com/rs/zerolog"

	"plumspindle/internal/platform/server"
	"plumspindle/internal/platform/upstream"
	"plumspindle/scheduler"
)

// OutcomeCounts counts attempts by their outcome.
type OutcomeCounts [scheduler.OutcomeCount]uint64

// ReasonCounts counts rejected and failed requests by reason.
type ReasonCounts [scheduler.ReasonCount]uint64

// Counts counts what the dispatcher has done since its start.
type Counts struct {
	Accepted          uint64 // requests that were passed to the scheduler
	Completed         uint64 // streams that reached their end
	Broken            uint64 // streams that began but did not reach their end
	Rejected          uint64
	Failed            uint64
	ClientDisconnects uint64
	Attempts          uint64
	LeaseExpiries     uint64        // leases of KV states that expired while an attempt was in flight and unanswered
	Outcomes          OutcomeCounts // of attempts
	Reasons           ReasonCounts  // of rejections and failures
}

// Summary holds the dispatcher's current load and its counts, for logs.
type Summary struct {
	InFlight            scheduler.InFlight
	ClientConnections   int
	EndpointConnections int
	UnsentBytes         int // bytes buffered for the slowest client
	BufferedBytes       int // buffered bytes of incoming requests
	ReadyEndpoints      int
	ListUpdates         uint64
	Counts              Counts
	Releases            upstream.Counts
	Server              server.Counts
	Violations          uint64 // violations of the guard's rules
	BlockedSends        int    // sends that the scheduler itself refused because they would have broken a rule
}

// Summary returns the dispatcher's current summary.
func (d *Dispatcher) Summary() Summary {
	return Summary{
		InFlight:            d.scheduler.InFlight(),
		ClientConnections:   d.server.Connections(),
		EndpointConnections: d.engine.Connections(),
		UnsentBytes:         d.server.Unsent(),
		BufferedBytes:       d.server.Buffered(),
		ReadyEndpoints:      len(d.ready),
		ListUpdates:         d.discovery.Updates,
		Counts:              d.Counts,
		Releases:            d.upstream.Counts,
		Server:              d.server.Counts,
		Violations:          d.guard.Violations(),
		BlockedSends:        d.scheduler.Violations(),
	}
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s Summary) MarshalZerologObject(event *zerolog.Event) {
	event.Int("requests", s.InFlight.Requests).
		Int("attempts", s.InFlight.Attempts).
		Int("queued", s.InFlight.Queued).
		Int("client_connections", s.ClientConnections).
		Int("endpoint_connections", s.EndpointConnections).
		Int("unsent_bytes", s.UnsentBytes).
		Int("buffered_bytes", s.BufferedBytes).
		Int("ready_endpoints", s.ReadyEndpoints).
		Uint64("list_updates", s.ListUpdates).
		Uint64("violations", s.Violations).
		Int("blocked_sends", s.BlockedSends)
	s.Counts.marshal(event)
	event.Uint64("releases", s.Releases.Releases).
		Uint64("release_attempts", s.Releases.ReleaseAttempts).
		Uint64("late_releases", s.Releases.LateReleases).
		Uint64("bad_requests", s.Server.Rejected).
		Uint64("evicted_connections", s.Server.Evicted).
		Uint64("timed_out_connections", s.Server.TimedOut)
	event.Dict("closed_connections", countsByName(s.Server.Closed[:], func(i int) string {
		return server.CloseReason(i).String()
	}))
}

// marshal adds the counts to a log event.
func (c *Counts) marshal(e *zerolog.Event) {
	e.Uint64("accepted", c.Accepted).
		Uint64("completed", c.Completed).
		Uint64("broken", c.Broken).
		Uint64("rejected", c.Rejected).
		Uint64("failed", c.Failed).
		Uint64("client_disconnects", c.ClientDisconnects).
		Uint64("attempts_made", c.Attempts).
		Uint64("lease_expiries", c.LeaseExpiries)
	e.Dict("outcomes", countsByName(c.Outcomes[:], func(i int) string { return scheduler.Outcome(i).String() }))
	e.Dict("reasons", countsByName(c.Reasons[:], func(i int) string { return scheduler.Reason(i).String() }))
}

// countsByName returns a dictionary of the counts above 0, keyed by name.
func countsByName(counts []uint64, name func(int) string) *zerolog.Event {
	dict := zerolog.Dict()
	for i, n := range counts {
		if n > 0 {
			dict.Uint64(name(i), n)
		}
	}
	return dict
}
