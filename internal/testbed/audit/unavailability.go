package audit

import (
	"strings"

	"plumspindle/internal/testbed/record"
)

// unavailability is a span in which a dispatcher could not meet all its obligations because it was frozen or
// partitioned from its endpoints. A partitioned dispatcher still has to answer its clients. The type also holds the
// spans in which an event loop of the test bed was delayed.
type unavailability struct {
	from, to    int64
	partitioned bool
}

// withoutIncarnation returns a dispatcher's name without its incarnation. Clients know only this shorter name, because
// they can't tell which incarnation they have reached.
func withoutIncarnation(dispatcher string) string {
	name, _, _ := strings.Cut(dispatcher, ".")
	return name
}

// gatherKill adds a kill under the dispatcher's name with and without its incarnation.
func (c *checker) gatherKill(event record.Event) {
	c.killTimes[event.Dispatcher] = append(c.killTimes[event.Dispatcher], event.At)
	if name := withoutIncarnation(event.Dispatcher); name != event.Dispatcher {
		c.killTimes[name] = append(c.killTimes[name], event.At)
	}
}

// wasKilled reports whether a dispatcher was killed in a span.
func (c *checker) wasKilled(dispatcher string, from, to int64) bool {
	for _, at := range c.killTimes[dispatcher] {
		if at >= from-socketSlack && at <= to+socketSlack {
			return true
		}
	}
	return false
}

// wasFrozen reports whether a dispatcher was frozen at a time.
func (c *checker) wasFrozen(dispatcher string, at int64) bool {
	for _, span := range c.unavailable[dispatcher] {
		if !span.partitioned && span.from-socketSlack <= at && span.to+socketSlack >= at {
			return true
		}
	}
	return false
}

// wasPartitioned reports whether a dispatcher was partitioned for a whole span.
func (c *checker) wasPartitioned(dispatcher string, from, to int64) bool {
	for _, span := range c.unavailable[dispatcher] {
		if span.partitioned && span.from-socketSlack <= from && to <= span.to+socketSlack {
			return true
		}
	}
	return false
}

// availableFrom returns when a dispatcher that was unavailable at a given time, or just before that time, became
// available again. It returns the given time if the dispatcher was available. Spans that overlap count as one.
func (c *checker) availableFrom(dispatcher string, at int64) int64 {
	end := at
	for extended := true; extended; {
		extended = false
		for _, span := range c.unavailable[dispatcher] {
			if span.from-socketSlack <= end && span.to+socketSlack > end {
				end, extended = span.to+socketSlack, true
			}
		}
	}
	return end
}

// longestAvailable returns the longest time within a span for which a dispatcher was available without a break. After a
// break, the time limits of the dispatcher's earlier obligations start anew.
func (c *checker) longestAvailable(dispatcher string, from, to int64) (longest int64) {
	for from < to {
		if available := c.availableFrom(dispatcher, from); available > from {
			from = available
			continue
		}
		next := to
		for _, span := range c.unavailable[dispatcher] {
			if span.from-socketSlack > from {
				next = min(next, span.from-socketSlack)
			}
		}
		longest = max(longest, next-from)
		from = next
	}
	return longest
}

// delayWithin returns how long an event loop of the test bed was delayed within a span. A delayed loop records events
// late.
func (c *checker) delayWithin(loop string, from, to int64) (total int64) {
	for _, delay := range c.delays[loop] {
		total += max(min(delay.to, to)-max(delay.from, from), 0)
	}
	return total
}
