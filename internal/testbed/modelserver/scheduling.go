package modelserver

import (
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
)

// wake begins a step of the batch, if there is work and none is under way.
func (e *Endpoint) wake() {
	if e.stepping || !e.alive || e.frozen || e.hung || len(e.running)+len(e.queued) == 0 {
		return
	}
	e.stepping = true
	length := float64(e.group.StepUs) + float64(e.group.StepUsPerStream)*float64(len(e.running))
	duration := eventloop.Micros(length)
	if slices.ContainsFunc(e.running, (*endpointAttempt).decoding) {
		// Steps of a slow decode endpoint take longer; those of a slow prefill endpoint do less.
		duration = eventloop.Micros(length / e.capacityFactor())
	}
	startedAt := e.startedAt
	e.fleet.loop.AfterFunc(duration, func() {
		if e.alive && e.startedAt == startedAt {
			e.stepping = false
			e.step(duration)
			e.wake()
		}
	})
}

// decoding reports whether an attempt needs no more prefill.
func (a *endpointAttempt) decoding() bool { return !a.prefillOnly && a.toPrefill == 0 }

// step is one step of the batch: queued attempts take free slots, prefills go on, each answer gets a token.
func (e *Endpoint) step(duration eventloop.Micros) {
	if e.frozen || e.hung {
		return
	}
	e.admit()
	prefillBudget := e.group.ReadTokensPerS * e.capacityFactor() * float64(duration) / 1e6
	e.advance(prefillBudget)
}

// admit lets queued attempts into free slots and memory, in their order.
func (e *Endpoint) admit() {
	for len(e.queued) > 0 && len(e.running) < int(e.group.Slots) {
		attempt := e.queued[0]
		// An attempt larger than all memory runs alone.
		if e.usedMemory > 0 && e.usedMemory+attempt.memoryNeeded() > int(e.kind.MemoryTokens) {
			return
		}
		e.usedMemory += attempt.memoryNeeded()
		e.queued = e.queued[1:]
		e.running = append(e.running, attempt)
		if attempt.fetchAttempt != "" {
			e.fetchState(attempt)
		}
	}
}

// advance advances each running attempt; the budget is the tokens that may be prefilled.
func (e *Endpoint) advance(prefillBudget float64) {
	for _, attempt := range slices.Clone(e.running) {
		switch {
		case attempt.abandoned && e.fleet.deployment.Fleet.CancelStops:
			e.finish(attempt)
		case attempt.fetching:
		case attempt.toPrefill > 0:
			tokens := min(attempt.toPrefill, int(prefillBudget))
			prefillBudget -= float64(tokens)
			if attempt.toPrefill -= tokens; attempt.toPrefill == 0 {
				e.prefilled(attempt)
			}
		case !attempt.prefillOnly:
			e.emitToken(attempt)
		}
	}
}

// prefilled goes on with an attempt whose whole prompt is prefilled.
func (e *Endpoint) prefilled(attempt *endpointAttempt) {
	if attempt.prefixHash != 0 {
		e.prefixes[attempt.prefixHash] = attempt.prefixTokens
	}
	switch {
	case attempt.answer != nil:
		e.finishBatch(attempt)
	case attempt.prefillOnly:
		e.finishPrefill(attempt)
	}
}

// finish frees an attempt's slot and memory.
func (e *Endpoint) finish(attempt *endpointAttempt) {
	if i := slices.Index(e.running, attempt); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.usedMemory -= attempt.memoryNeeded()
	}
	e.fleet.record(e, record.AttemptLeft, attempt)
}
