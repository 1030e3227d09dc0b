package audit

import "plumspindle/internal/testbed/record"

// pinnedState is a KV state that a prefill left at an endpoint.
type pinnedState struct {
	line  int
	event record.Event
}

// checkPinnedState checks rule 5: no state stays pinned beyond its time limit while no attempt of its request is in
// flight.
func (c *checker) checkPinnedState(events []record.Event) {
	if len(events) == 0 {
		return
	}
	pinned := map[string]pinnedState{} // by the prefill's attempt
	release := func(attemptID string, at int64) {
		if state, known := pinned[attemptID]; known {
			c.checkReleased(state, at)
			delete(pinned, attemptID)
		}
	}
	for i, event := range events {
		switch event.Type {
		case record.StatePinned:
			pinned[event.Attempt] = pinnedState{line: i + 1, event: event}
		case record.StateFetched, record.StateReleased, record.StateLeaseExpired:
			release(event.Attempt, event.At)
		case record.EndpointDown:
			for _, attemptID := range sortedKeys(pinned) {
				if pinned[attemptID].event.Endpoint == event.Endpoint {
					release(attemptID, event.At)
				}
			}
		}
	}
	end := events[len(events)-1].At
	for _, attemptID := range sortedKeys(pinned) {
		release(attemptID, end)
	}
}

// checkReleased checks a state that was pinned until a given time. It measures the longest span in which no attempt of
// the request was in flight. An attempt is in flight once the endpoint's process has accepted it; its arrival at the
// endpoint's socket is not enough.
func (c *checker) checkReleased(state pinnedState, until int64) {
	c.countChecked(rulePinnedState)
	dispatcher := state.event.Dispatcher
	if c.wasKilled(dispatcher, state.event.At, until) {
		return
	}
	idleFrom, longest := state.event.At, int64(0)
	for _, a := range c.attempts[requestOf(state.event.Attempt)] {
		end := a.end
		if end == 0 {
			end = until
		}
		if a.acceptedAt < until && end > idleFrom {
			longest = max(longest, c.waitTime(dispatcher, idleFrom, a.acceptedAt))
			idleFrom = end
		}
	}
	longest = max(longest, c.waitTime(dispatcher, idleFrom, until))
	if longest > int64(c.deployment.Rules.LetGoMs)*millisecond+c.slack {
		c.addViolation(rulePinnedState, state.line, state.event.Request,
			"the state of attempt %s was pinned for %d ms with no attempt in flight", state.event.Attempt, longest/millisecond)
	}
}

// waitTime returns the longest time, within a span, for which a state waited while its dispatcher was available without
// a break. It leaves out the time in which the endpoints' event loop was delayed, because a delayed loop records
// arrivals late.
func (c *checker) waitTime(dispatcher string, from, to int64) int64 {
	return c.longestAvailable(dispatcher, from, to) - c.delayWithin(record.EndpointsLoop, from, to)
}
