package audit

import (
	"strings"

	"plumspindle/internal/testbed/record"
)

// unavailability is a span in which a dispatcher could not meet all its obligations: it was frozen, or it was
// partitioned from its endpoints. While partitioned it still has to answer its clients.
type unavailability struct {
	from, to    int64
	partitioned bool
}

// withoutIncarnation returns a dispatcher's name without its incarnation: a client can't tell which one it has reached.
func withoutIncarnation(dispatcher string) string {
	name, _, _ := strings.Cut(dispatcher, ".")
	return name
}

func (j *judge) gatherKill(event record.Event) {
	j.killed[event.Dispatcher] = append(j.killed[event.Dispatcher], event.At)
	if name := withoutIncarnation(event.Dispatcher); name != event.Dispatcher {
		j.killed[name] = append(j.killed[name], event.At)
	}
}

// wasKilled reports whether a dispatcher was killed in a span.
func (j *judge) wasKilled(dispatcher string, from, to int64) bool {
	for _, at := range j.killed[dispatcher] {
		if at >= from-socketSlack && at <= to+socketSlack {
			return true
		}
	}
	return false
}

// wasFrozen reports whether a dispatcher was frozen at a time.
func (j *judge) wasFrozen(dispatcher string, at int64) bool {
	for _, span := range j.unavailable[dispatcher] {
		if !span.partitioned && span.from-socketSlack <= at && span.to+socketSlack >= at {
			return true
		}
	}
	return false
}

// wasPartitioned reports whether a dispatcher was partitioned for a whole span.
func (j *judge) wasPartitioned(dispatcher string, from, to int64) bool {
	for _, span := range j.unavailable[dispatcher] {
		if span.partitioned && span.from-socketSlack <= from && to <= span.to+socketSlack {
			return true
		}
	}
	return false
}

// availableFrom returns the end of the span in which a dispatcher was unavailable at a time, or just before it; the
// time itself where it was available. One span may run into the next.
func (j *judge) availableFrom(dispatcher string, at int64) int64 {
	end := at
	for extended := true; extended; {
		extended = false
		for _, span := range j.unavailable[dispatcher] {
			if span.from-socketSlack <= end && span.to+socketSlack > end {
				end, extended = span.to+socketSlack, true
			}
		}
	}
	return end
}

// longestAvailable returns the longest time within a span in which a dispatcher was available without a break: an
// obligation from before counts from its return.
func (j *judge) longestAvailable(dispatcher string, from, to int64) (longest int64) {
	for from < to {
		if available := j.availableFrom(dispatcher, from); available > from {
			from = available
			continue
		}
		next := to
		for _, span := range j.unavailable[dispatcher] {
			if span.from-socketSlack > from {
				next = min(next, span.from-socketSlack)
			}
		}
		longest = max(longest, next-from)
		from = next
	}
	return longest
}

// heldUp returns for how long a loop of the test bed was held up within a span. What it records then comes late.
func (j *judge) heldUp(loop string, from, to int64) (total int64) {
	for _, holdUp := range j.holdUps[loop] {
		total += max(min(holdUp.to, to)-max(holdUp.from, from), 0)
	}
	return total
}
