package scheduler

import (
	"math"
	"slices"
)

const (
	noCapacityPause = 150 * ms // in which an endpoint is sent nothing after it had no capacity
	reportMaxAge    = 5 * sec  // up to which a load report counts

	// A first token that takes longer than this share of the SLO time is late: the endpoint, or the link to it, is
	// overloaded.
	lateStartShare = 0.25

	limitCut         = 0.8 // of what was reserved when an answer began late may be reserved next,
	limitCutInterval = sec // cut at most this often,
	limitGrowth      = 0.1 // and grown by this share of the dispatcher's even part of the memory each second
	minLimitDivisor  = 8   // the limit is never less than the even part divided by this
)

// memoryState is what is known of the memory of an endpoint, in tokens.
type memoryState struct {
	noCapacityUntil Micros  // after an attempt that it had no capacity for
	timelyStartAt   Micros  // when an answer last began in time
	limit           float64 // on this dispatcher's reservations, in tokens, as set by the last cut
	limitCutAt      Micros  // 0 if the limit was never cut: there is none

	reportedUsage    float64 // share of its memory that was last reported as taken, or NoLoadReport
	reservedAtReport float64
	reportedAt       Micros
}

// memoryTokens is the size of an endpoint's memory.
func (s *Scheduler) memoryTokens(ep *endpoint) float64 { return max(s.Kinds[ep.kind].Memory, 1) }

// recordUsage stores the memory usage of a load report, if there is one.
func (s *Scheduler) recordUsage(ep *endpoint, usage float64) {
	if usage >= 0 {
		ep.memory.reportedUsage, ep.memory.reservedAtReport, ep.memory.reportedAt = usage, ep.load.reservedTokens, s.now
	}
}

func (s *Scheduler) usageReported(ep *endpoint) bool {
	return ep.memory.reportedUsage >= 0 && s.now-ep.memory.reportedAt < reportMaxAge
}

// memoryUsage estimates the share of an endpoint's memory that is taken: by the last report and what this dispatcher
// has added since, but never under its own reservations. Without a report the other dispatchers are assumed to reserve
// this one's mean.
func (s *Scheduler) memoryUsage(ep *endpoint) float64 {
	size := s.memoryTokens(ep)
	if s.usageReported(ep) {
		addedSince := ep.load.reservedTokens - ep.memory.reservedAtReport
		return max(ep.memory.reportedUsage+addedSince/size, ep.load.reservedTokens/size)
	}
	s.updateLoadMeans(ep)
	return (ep.load.reservedTokens + ep.load.meanReservedTokens*float64(s.otherDispatchers())) / size
}

// reservationLimit is what this dispatcher may reserve at a decode endpoint, in tokens, whatever its load reports say.
// How much others reserve there is not known and changes when a zone is cut off or a dispatcher dies. So the limit is
// cut when answers begin late, because then the memory has run out and answers are preempted and prefilled again, and
// grows with time.
func (s *Scheduler) reservationLimit(ep *endpoint) float64 {
	if ep.memory.limitCutAt == 0 {
		return math.Inf(1)
	}
	evenPart := s.memoryTokens(ep) / float64(max(s.Dispatchers, 1))
	return max(ep.memory.limit, evenPart/minLimitDivisor) + limitGrowth*evenPart*seconds(s.now-ep.memory.limitCutAt)
}

// cutReservationLimit lowers the limit after an answer began late.
func (s *Scheduler) cutReservationLimit(ep *endpoint) {
	if s.now-ep.memory.limitCutAt > limitCutInterval {
		ep.memory.limit = limitCut * min(ep.load.reservedTokens, s.reservationLimit(ep))
		ep.memory.limitCutAt = s.now
	}
}

// startOverdue reports whether an answer is late to begin at this endpoint: its memory, slots or decode rate are
// exhausted, by this dispatcher or others. It replaces the memory ceiling where no usage is reported. In overload,
// requests then wait in this dispatcher's queue and not in the endpoints' queues, where they would all be late.
func (s *Scheduler) startOverdue(ep *endpoint) bool {
	return slices.ContainsFunc(ep.pending, func(att *attempt) bool {
		return att.decodes && s.now > att.lateAt && !lateByLink(att)
	})
}
