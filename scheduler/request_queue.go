package scheduler

import (
	"cmp"
	"slices"
)

const (
	maxMisses  = 6  // queued requests that find no capacity before the rest is not tried
	shortQueue = 64 // number of queued requests from which the queue is sorted only when the periodic timer fires
)

// requestQueue has the requests that wait for capacity.
type requestQueue struct {
	requests []*request // including removed ones, until the next compact
	removed  int        // how many of these are removed
	missed   []*request // scratch of placeInOrder
}

func (q *requestQueue) length() int { return len(q.requests) - q.removed }

func (q *requestQueue) add(req *request) {
	if !req.queued {
		req.queued = true
		q.requests = append(q.requests, req)
	}
}

// remove only marks a request; compact drops it later, because many may end at once.
func (q *requestQueue) remove(req *request) {
	if req.queued {
		req.queued = false
		q.removed++
	}
}

func (q *requestQueue) compact() {
	if q.removed > 0 {
		q.requests = slices.DeleteFunc(q.requests, func(req *request) bool { return !req.queued })
		q.removed = 0
	}
}

// placeQueued tries the queue again after an event that may have freed capacity. A long queue is not sorted then: a
// flood would cost its square.
func (s *Scheduler) placeQueued() {
	s.queue.compact()
	if len(s.queue.requests) < shortQueue {
		s.placeQueuedByValue()
		return
	}
	s.placeInOrder()
}

// placeQueuedByValue tries the most valuable requests first, and among equals the newest, which have the most time
// left: by the earliest SLO time all would barely miss it.
func (s *Scheduler) placeQueuedByValue() {
	s.queue.compact()
	slices.SortStableFunc(s.queue.requests, func(a, b *request) int {
		return cmp.Or(cmp.Compare(s.value(b), s.value(a)), cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	s.placeInOrder()
	s.rejectLate()
}

// placeInOrder places requests from the front of the queue until several find no capacity.
func (s *Scheduler) placeInOrder() {
	q := &s.queue
	waiting, next := q.requests, 0
	q.requests = q.missed[:0]
	for ; next < len(waiting) && len(q.requests) < maxMisses; next++ {
		waiting[next].queued = false
		s.place(waiting[next])
	}
	// The missed ones go back to the front, into the space before the rest that they came from.
	q.missed = q.requests
	q.requests = waiting[next-len(q.missed):]
	copy(q.requests, q.missed)
}

// rejectLate ends the queued requests that can't meet their SLO time, where others still can.
func (s *Scheduler) rejectLate() {
	if !slices.ContainsFunc(s.queue.requests, s.canMeetSLO) {
		return
	}
	for _, req := range s.queue.requests {
		if !s.canMeetSLO(req) {
			s.rejectOrFail(req, TooLate)
		}
	}
}

// canMeetSLO reports whether a typical prefill and first token still fit into the SLO time.
func (s *Scheduler) canMeetSLO(req *request) bool {
	return s.now+Micros(s.estimates.prefillLatency+s.estimates.firstTokenLatency) <= req.sloAt
}

// value is the revenue that a request placed now would still earn, weighted by its quota.
func (s *Scheduler) value(req *request) float64 {
	class := s.Classes[req.class]
	value := class.Revenue
	if !s.canMeetSLO(req) {
		value *= class.LateRevenueShare
	}
	if req.overQuota {
		value *= s.OverQuotaWeight
	}
	return value
}
