package scheduler

import (
	"cmp"
	"slices"
)

const (
	maxPlacementFailures = 6  // placement stops after this many queued requests have found no capacity
	eagerSortLimit       = 64 // queue length from which the queue is sorted only when the periodic timer fires
)

// requestQueue holds the requests that wait for capacity.
type requestQueue struct {
	requests []*request // includes removed requests until the next compact
	removed  int        // number of removed requests in requests
	unplaced []*request // buffer that placeInOrder reuses
}

func (q *requestQueue) length() int { return len(q.requests) - q.removed }

func (q *requestQueue) add(req *request) {
	if !req.queued {
		req.queued = true
		q.requests = append(q.requests, req)
	}
}

// remove marks a request as removed. Because many requests may end at once, compact later drops them all in one pass.
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

// placeQueued tries to place queued requests after an event that may have freed capacity. It does not sort a long
// queue: in a flood of requests, sorting at each event would take time quadratic in the number of requests.
func (s *Scheduler) placeQueued() {
	s.queue.compact()
	if len(s.queue.requests) < eagerSortLimit {
		s.placeQueuedByValue()
		return
	}
	s.placeInOrder()
}

// placeQueuedByValue tries the most valuable requests first, and among requests of equal value the newest, which have
// the most time left. In overload, placing the request with the earliest SLO time first would make every request barely
// miss its SLO time.
func (s *Scheduler) placeQueuedByValue() {
	s.queue.compact()
	slices.SortStableFunc(s.queue.requests, func(a, b *request) int {
		return cmp.Or(cmp.Compare(s.value(b), s.value(a)), cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	s.placeInOrder()
	s.rejectLate()
}

// placeInOrder places requests from the front of the queue until maxPlacementFailures requests have found no capacity.
func (s *Scheduler) placeInOrder() {
	q := &s.queue
	waiting, next := q.requests, 0
	q.requests = q.unplaced[:0] // place adds the requests that find no capacity
	for ; next < len(waiting) && len(q.requests) < maxPlacementFailures; next++ {
		waiting[next].queued = false
		s.place(waiting[next])
	}
	// Move the unplaced requests back to the front of the queue, into the slots before the requests that were not tried.
	q.unplaced = q.requests
	q.requests = waiting[next-len(q.unplaced):]
	copy(q.requests, q.unplaced)
}

// rejectLate ends the queued requests that can no longer meet their SLO time, if another queued request can still meet
// its SLO time.
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

// canMeetSLO reports whether a request that is placed now would get its first token by its SLO time, at the typical
// latencies.
func (s *Scheduler) canMeetSLO(req *request) bool {
	return s.now+Micros(s.estimates.prefillLatency+s.estimates.firstTokenLatency) <= req.sloAt
}

// value is the revenue that a request placed now would still earn. It is lower if the request exceeds its tenant's
// quota.
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
