// Package starttimes tells when model hosts started, on the clock of the loop. Lists of hosts carry stamps of wall clocks, and those may be
// stepped by seconds or an hour while the program runs; what counts on a start, as the slow start of a host, counts real time.
package starttimes

import "plumspindle/internal/eventloop"

// Start is when a host started.
type Start struct {
	Timestamp eventloop.Micros // as it was listed, on some wall clock; 0: long ago
	At        eventloop.Micros // on the loop's clock
}

// Next is the start of a host that is listed with a stamp, given what was known of it before. In service a stamp is only compared: where it has
// changed, the host has started since, and counts as started now, however old the stamp looks. What the first list of a process names
// is as old as the clocks say, less by how much the clock of the list is known to be ahead, as nothing else is known of it.
func Next(before Start, stamp, now, ahead eventloop.Micros, inService bool) Start {
	switch {
	case stamp <= 0:
		return Start{}
	case stamp == before.Timestamp:
		return before
	case inService:
		return Start{stamp, now}
	}
	return Start{stamp, max(min(stamp-ahead, now), 1)}
}

// ClockSkew is by how much the clock of a list is ahead of the loop's, as far as starts in the future show it.
func ClockSkew(now eventloop.Micros, stamps ...eventloop.Micros) (ahead eventloop.Micros) {
	for _, stamp := range stamps {
		ahead = max(ahead, stamp-now)
	}
	return ahead
}
