// Package starttimes converts the start times of endpoints to the clock of the event loop. It corrects for clock skew:
// endpoint lists contain timestamps of wall clocks, which may jump by seconds or an hour while the program runs, but
// durations since a start, such as how long an endpoint has been in slow start, must be measured in real time. The
// package does no I/O, has no state and reads no clock.
package starttimes

import "plumspindle/internal/eventloop"

// earliestStart is the lowest start time on the loop's clock, as 0 means "long ago".
const earliestStart eventloop.Micros = 1

// Start is when an endpoint started.
type Start struct {
	Timestamp eventloop.Micros // as listed, on some wall clock; 0 means long ago
	At        eventloop.Micros // on the loop's clock; 0 means long ago
}

// Listing describes the list that contains a timestamp.
type Listing struct {
	Now       eventloop.Micros // when the list was received, on the loop's clock
	Skew      eventloop.Micros // by how much the list's clock is known to be fast
	InService bool             // the process has received other lists before this one
}

// Next returns the start of an endpoint, given its previous start and the timestamp in a new list. If the process is in
// service, the timestamp is only compared with the previous one: if they differ, the endpoint has restarted and its
// start is the present time, however old the timestamp looks. In the first list of a process the start has to be
// computed from the timestamp, as nothing else is known about it.
func Next(previous Start, timestamp eventloop.Micros, listing Listing) Start {
	switch {
	case timestamp <= 0:
		return Start{}
	case timestamp == previous.Timestamp:
		return previous
	case listing.InService:
		return Start{Timestamp: timestamp, At: listing.Now}
	}
	corrected := min(timestamp-listing.Skew, listing.Now)
	return Start{Timestamp: timestamp, At: max(corrected, earliestStart)}
}

// ClockSkew estimates by how much the clock of a list is fast. The estimate is the time by which the list's latest
// timestamp is in the future, or 0 if no timestamp is.
func ClockSkew(now eventloop.Micros, timestamps ...eventloop.Micros) (skew eventloop.Micros) {
	for _, timestamp := range timestamps {
		skew = max(skew, timestamp-now)
	}
	return skew
}
