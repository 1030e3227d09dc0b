package modelserver

import "fmt"

// Summary returns what each endpoint has in flight.
func (f *Fleet) Summary() (lines []string) {
	for _, e := range f.Endpoints {
		line := fmt.Sprint(e.ID, e.alive, e.draining, e.frozen, e.hung, len(e.queued), len(e.states))
		for _, a := range e.running {
			line += fmt.Sprint(" ", a.id, a.toPrefill, a.sent, a.fetching)
		}
		lines = append(lines, line)
	}
	return lines
}

// Outstanding returns what all endpoints that are up have for requests: attempts, pinned states and tokens of memory.
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

// Stage returns the stage of a client's request, one of the names above, and the endpoint that it is at; empty where
// there is no endpoint that has it.
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
		case a.toPrefill > 0:
			return stagePrefill
		default:
			return stageDecode
		}
	}
	return ""
}

func (e *Endpoint) pinsStateOf(clientID string) bool {
	for _, state := range e.states {
		if state.attempt.clientID == clientID {
			return true
		}
	}
	return false
}
