package scenarios

import (
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
)

const (
	delayCheckInterval = 10 * eventloop.Millisecond
	// minRecordedDelay is the shortest delay that is recorded. It is below the 50 ms by which the audit lets the events
	// of two sockets be apart.
	minRecordedDelay = 40 * eventloop.Millisecond
)

// recordDelays records when an event loop of the test bed is delayed, as happens on a busy machine: the events of
// endpoints or clients are then recorded late. The audit makes no allowance for these delays; they are recorded to help
// find the cause of a violation.
func recordDelays(loop eventloop.Loop, recorder *record.Recorder, name string) {
	due := loop.Now() + delayCheckInterval
	loop.AfterFunc(delayCheckInterval, func() {
		if delay := loop.Now() - due; delay >= minRecordedDelay {
			recorder.Add(record.Event{At: int64(loop.Now()), Type: record.TestBedDelayed, Detail: name, Count: int64(delay)})
		}
		recordDelays(loop, recorder, name)
	})
}
