package scheduler

import (
	"cmp"
	"slices"
)

const (
	maxMisses  = 6  // queued requests in a row that find no place before the rest is left to wait
	shortQueue = 64 // requests up to which the queue is put in order at each reply
)

// holdQueue holds the requests that wait for capacity.
type holdQueue struct {
	requests []*request // with those that are queued no more, until the next placeQueued
	removed  int        // of these
	missed   []*request // scratch
}

func (q *holdQueue) length() int { return len(q.requests) - q.removed }

func (q *holdQueue) add(req *request) {
	if !req.queued {
		req.queued = true
		q.requests = append(q.requests, req)
	}
}

// remove only marks a request, which compact takes out later: many may end at once.
func (q *holdQueue) remove(req *request) {
	if req.queued {
		req.queued = false
		q.removed++
	}
}

func (q *holdQueue) compact() {
	if q.removed > 0 {
		q.requests = slices.DeleteFunc(q.requests, func(req *request) bool { return !req.queued })
		q.removed = 0
	}
}

// placeQueued tries the queue again: the most valuable requests first, and among equals the newest, which have the
// most time left; by the earliest SLO time all would barely miss it. What can't be in time any more yields at once to
// what can. It stops when several find no place, and a long queue is put in order only at a tick: a flood must not
// cost its square.
func (s *Scheduler) placeQueued(tick bool) {
	q := &s.queue
	q.compact()
	waiting, next := q.requests, 0
	q.requests = q.missed[:0]
	ordered := tick || len(waiting) < shortQueue
	if ordered {
		slices.SortStableFunc(waiting, func(a, b *request) int {
			return cmp.Or(cmp.Compare(s.value(b), s.value(a)), cmp.Compare(b.arrivedAt, a.arrivedAt))
		})
	}
	for ; next < len(waiting) && len(q.requests) < maxMisses; next++ {
		waiting[next].queued = false
		s.place(waiting[next])
	}
	// What found no place is first again; there is space for it before the rest, where it came from.
	q.missed = q.requests
	q.requests = waiting[next-len(q.missed):]
	copy(q.requests, q.missed)
	if ordered {
		s.giveUpLate()
	}
}

// giveUpLate gives up the queued requests that can't be in time any more, where others still can.
func (s *Scheduler) giveUpLate() {
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

// value is what a request would still earn for each unit of work.
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
