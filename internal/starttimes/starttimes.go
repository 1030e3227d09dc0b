// Package starttimes computes when endpoints started, on the clock of the event loop. Its job is the correction for
// clock skew: lists carry timestamps of wall clocks, which may be stepped by seconds or an hour while the program runs,
// but what counts from a start, as an endpoint's slow start does, counts real time. It is free of I/O and owns no
// state; it never reads a clock itself.
package starttimes

import "plumspindle/internal/eventloop"

// earliest is the first time that is not "long ago".
const earliest eventloop.Micros = 1

// Start is when an endpoint started.
type Start struct {
	Timestamp eventloop.Micros // as it was listed, on some wall clock; 0: long ago
	At        eventloop.Micros // on the loop's clock; 0: long ago
}

// Listing is the list that a timestamp was read from.
type Listing struct {
	Now       eventloop.Micros // on the loop's clock, when the list was received
	Skew      eventloop.Micros // by which the list's clock is known to be fast
	InService bool             // the process has received lists before this one
}

// Next returns the start of an endpoint that is listed with a timestamp, given the start known before. In service a
// timestamp is only compared: where it has changed the endpoint has restarted, and counts as started now, however old
// the timestamp looks. In the first list of a process nothing but the timestamp says how long ago the start was.
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
	return Start{Timestamp: timestamp, At: max(corrected, earliest)}
}

// ClockSkew returns by how much the clock of a list is fast, as far as timestamps in the future show it.
func ClockSkew(now eventloop.Micros, timestamps ...eventloop.Micros) (skew eventloop.Micros) {
	for _, timestamp := range timestamps {
		skew = max(skew, timestamp-now)
	}
	return skew
}
