package scheduler

import (
	"math"
	"slices"
)

const (
	noCapacityPause = 150 * ms // time in which an endpoint gets no new requests after it had no capacity for one
	reportMaxAge    = 5 * sec  // age from which a load report is ignored

	// A first token is late if the time since its attempt was sent exceeds this share of the time from the request's
	// arrival to its SLO time. A late first token shows that the endpoint, or the link to it, is overloaded.
	lateStartShare = 0.25

	// When an answer begins late, the limit on this dispatcher's reservations at the endpoint is cut to limitCutFactor
	// times the lesser of the old limit and the current reservations. The limit is cut at most once in limitCutInterval.
	limitCutFactor   = 0.8
	limitCutInterval = sec

	// Each second, the limit grows by limitGrowth times the dispatcher's even share of the endpoint's memory. The growth
	// starts at the value that the last cut set, or at the even share divided by minLimitDivisor if that is higher.
	limitGrowth     = 0.1
	minLimitDivisor = 8
)

// memoryState is what this dispatcher knows about the memory of an endpoint. Memory is counted in tokens.
type memoryState struct {
	noCapacityUntil   Micros  // end of the pause after an attempt for which the endpoint had no capacity
	lastTimelyStartAt Micros  // when an answer last began in time
	limit             float64 // limit on this dispatcher's reservations, in tokens, as set by the last cut
	limitCutAt        Micros  // when the limit was last cut; 0 if it was never cut, in which case there is no limit

	reportedUsage    float64 // share of the memory that was in use by the last load report, or NoLoadReport
	reservedAtReport float64
	reportedAt       Micros
}

// memoryTokens is the size of an endpoint's memory in tokens.
func (s *Scheduler) memoryTokens(ep *endpoint) float64 { return max(s.Kinds[ep.kind].Memory, 1) }

// recordUsage stores the memory usage of a load report. It does nothing if usage is NoLoadReport.
func (s *Scheduler) recordUsage(ep *endpoint, usage float64) {
	if usage >= 0 {
		ep.memory.reportedUsage, ep.memory.reservedAtReport, ep.memory.reportedAt = usage, ep.load.reservedTokens, s.now
	}
}

func (s *Scheduler) usageReported(ep *endpoint) bool {
	return ep.memory.reportedUsage >= 0 && s.now-ep.memory.reportedAt < reportMaxAge
}

// memoryUsage estimates the share of an endpoint's memory that is in use. With a recent load report, the estimate is
// the reported usage plus what this dispatcher has reserved since the report. It is never less than the share that this
// dispatcher has reserved in total. Without a recent report, the estimate assumes that each other dispatcher reserves
// as much as this one does on average.
func (s *Scheduler) memoryUsage(ep *endpoint) float64 {
	size := s.memoryTokens(ep)
	if s.usageReported(ep) {
		addedSince := ep.load.reservedTokens - ep.memory.reservedAtReport
		return max(ep.memory.reportedUsage+addedSince/size, ep.load.reservedTokens/size)
	}
	s.updateLoadMeans(ep)
	return (ep.load.reservedTokens + ep.load.meanReservedTokens*float64(s.otherDispatchers())) / size
}

// reservationLimit returns the tokens that this dispatcher may reserve at a decode endpoint, regardless of load
// reports. How much the other dispatchers reserve there is not known, and changes when a zone is cut off or a
// dispatcher dies. So the limit adapts: it grows with time, and it is cut when answers begin late. Late answers show
// that the memory is exhausted, and that the endpoint therefore preempts answers and prefills them again.
func (s *Scheduler) reservationLimit(ep *endpoint) float64 {
	if ep.memory.limitCutAt == 0 {
		return math.Inf(1)
	}
	evenShare := s.memoryTokens(ep) / float64(max(s.Dispatchers, 1))
	return max(ep.memory.limit, evenShare/minLimitDivisor) + limitGrowth*evenShare*seconds(s.now-ep.memory.limitCutAt)
}

// cutReservationLimit lowers the reservation limit after an answer has begun late.
func (s *Scheduler) cutReservationLimit(ep *endpoint) {
	if s.now-ep.memory.limitCutAt > limitCutInterval {
		ep.memory.limit = limitCutFactor * min(ep.load.reservedTokens, s.reservationLimit(ep))
		ep.memory.limitCutAt = s.now
	}
}

// startOverdue reports whether the start of an answer is overdue at this endpoint for a reason other than a congested
// link. An overdue start shows that this dispatcher or others have exhausted the endpoint's memory, slots or decode
// rate. This check applies whether or not the endpoint's usage is reported; memoryCeiling applies only to reported
// usage. In overload this check keeps requests in this dispatcher's queue, because in the endpoints' queues all these
// requests would be late.
func (s *Scheduler) startOverdue(ep *endpoint) bool {
	return slices.ContainsFunc(ep.pending, func(att *attempt) bool {
		return att.decodes && s.now > att.lateAt && !delayedByLink(att)
	})
}
