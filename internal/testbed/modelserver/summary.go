package modelserver

import "fmt"

// Summary returns one line for each endpoint, with its id, its condition, the numbers of queued attempts and of pinned
// states, and the attempts in its batch.
func (f *Fleet) Summary() (lines []string) {
	for _, e := range f.Endpoints {
		line := fmt.Sprint(e.ID, e.alive, e.draining, e.frozen, e.hung, len(e.queued), len(e.states))
		for _, a := range e.running {
			line += fmt.Sprint(" ", a.id, a.prefillRemaining, a.tokensSent, a.fetching)
		}
		lines = append(lines, line)
	}
	return lines
}

// Outstanding returns the totals over all running endpoints: attempts, pinned KV states and tokens of used memory.
func (f *Fleet) Outstanding() (attempts, states, tokens int) {
	for _, e := range f.Endpoints {
		if e.alive {
			attempts += len(e.running) + len(e.queued)
			states += len(e.states)
			tokens += e.usedMemory
		}
	}
	return attempts, states, tokens
}

// Stages of a request at an endpoint.
const (
	stageQueued   = "waiting"
	stagePrefill  = "reading"
	stagePinned   = "read"
	stageFetching = "fetching"
	stageDecode   = "writing"
)

// Stage returns the stage of a client's request, one of the stage constants, and the endpoint that has it. It returns
// an empty stage and nil if no endpoint has the request.
func (f *Fleet) Stage(clientID string) (stage string, at *Endpoint) {
	for _, e := range f.Endpoints {
		if stage := e.stageInBatch(clientID); stage != "" {
			return stage, e
		}
	}
	for _, e := range f.Endpoints {
		if e.alive && e.pinsStateOf(clientID) {
			stage, at = stagePinned, e
		}
	}
	return stage, at
}

// stageInBatch returns the stage of a request that is queued or in the batch of the endpoint, or an empty stage.
func (e *Endpoint) stageInBatch(clientID string) string {
	for _, a := range e.queued {
		if a.clientID == clientID {
			return stageQueued
		}
	}
	for _, a := range e.running {
		switch {
		case a.clientID != clientID:
		case a.fetching:
			return stageFetching
		case a.prefillRemaining > 0:
			return stagePrefill
		default:
			return stageDecode
		}
	}
	return ""
}

// pinsStateOf reports whether the endpoint pins the KV state of a request.
func (e *Endpoint) pinsStateOf(clientID string) bool {
	for _, state := range e.states {
		if state.attempt.clientID == clientID {
			return true
		}
	}
	return false
}
