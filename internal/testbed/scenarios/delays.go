package scenarios

import (
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
)

const (
	delayCheckInterval = 10 * eventloop.Millisecond
	// minRecordedDelay is the least hold-up that is recorded: the audit allows two sockets' events to be 50 ms apart.
	minRecordedDelay = 40 * eventloop.Millisecond
)

// recordDelays records when a loop of the test bed is held up, as on a busy machine: what hosts or clients did is then
// recorded late. It excuses nothing; it is there for whoever looks into a broken rule.
func recordDelays(loop eventloop.Loop, recorder *record.Recorder, name string) {
	due := loop.Now() + delayCheckInterval
	loop.AfterFunc(delayCheckInterval, func() {
		if delay := loop.Now() - due; delay >= minRecordedDelay {
			recorder.Add(record.Event{At: int64(loop.Now()), Type: record.TestBedDelayed, Detail: name, Count: int64(delay)})
		}
		recordDelays(loop, recorder, name)
	})
}
