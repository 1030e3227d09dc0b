package scenarios

import (
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
)

const (
	delayCheckInterval = 10 * eventloop.Millisecond
	// minRecordedDelay is the shortest delay that is recorded. It is below the audit's tolerance of 50 ms between the
	// times of events on two sockets.
	minRecordedDelay = 40 * eventloop.Millisecond
)

// recordDelays records when an event loop of the test bed is delayed, as happens on a busy machine. The events of
// endpoints or clients are then recorded late. The audit subtracts delays of the endpoints' loop from the time for
// which a prompt state stays pinned. It subtracts delays of the clients' loop from the time by which an answer is late,
// and excuses the dispatcher if a client gave up around such a delay. All other checks ignore these delays, but the
// audit prints them with the events of a violation.
func recordDelays(loop eventloop.Loop, recorder *record.Recorder, name string) {
	due := loop.Now() + delayCheckInterval
	loop.AfterFunc(delayCheckInterval, func() {
		if delay := loop.Now() - due; delay >= minRecordedDelay {
			recorder.Add(record.Event{At: int64(loop.Now()), Type: record.TestBedDelayed, Detail: name, Count: int64(delay)})
		}
		recordDelays(loop, recorder, name)
	})
}
