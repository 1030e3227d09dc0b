package audit

import "plumspindle/internal/testbed/record"

// pinnedState is what a prefill left at an endpoint.
type pinnedState struct {
	line  int
	event record.Event
}

// checkPinnedState checks rule 5: no state waits for longer than it may while no attempt of its request is in flight.
func (j *judge) checkPinnedState(events []record.Event) {
	if len(events) == 0 {
		return
	}
	pinned := map[string]pinnedState{} // by attempt
	release := func(attemptID string, at int64) {
		if state, known := pinned[attemptID]; known {
			j.checkReleased(state, at)
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

// checkReleased checks a state that was pinned until a time: the spans in which no attempt was in flight, between the
// ends and the beginnings of the others. An attempt is in flight once an endpoint that runs has taken it; that it came
// over the socket is not enough.
func (j *judge) checkReleased(state pinnedState, until int64) {
	j.checked(rulePinnedState)
	dispatcher := state.event.Dispatcher
	if j.wasKilled(dispatcher, state.event.At, until) {
		return
	}
	idleFrom, longest := state.event.At, int64(0)
	for _, a := range j.attempts[requestOf(state.event.Attempt)] {
		end := a.end
		if end == 0 {
			end = until
		}
		if a.takenAt < until && end > idleFrom {
			longest = max(longest, j.waited(dispatcher, idleFrom, a.takenAt))
			idleFrom = end
		}
	}
	longest = max(longest, j.waited(dispatcher, idleFrom, until))
	if longest > int64(j.deployment.Rules.LetGoMs)*millisecond+j.slack {
		j.violation(rulePinnedState, state.line, state.event.Request, "the state of leg %s waited for %d ms with no leg out",
			state.event.Attempt, longest/millisecond)
	}
}

// waited returns for how long a state waited for an available dispatcher, by hosts that were not held up: they record
// late what came while they were.
func (j *judge) waited(dispatcher string, from, to int64) int64 {
	return j.longestAvailable(dispatcher, from, to) - j.heldUp(record.HostsLoop, from, to)
}
