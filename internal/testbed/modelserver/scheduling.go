package modelserver

import (
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
)

// startStep starts a step of the batch, if there is work and no step is in progress.
func (e *Endpoint) startStep() {
	if e.stepping || !e.alive || e.frozen || e.hung || len(e.running)+len(e.queued) == 0 {
		return
	}
	e.stepping = true
	length := float64(e.group.StepUs) + float64(e.group.StepUsPerStream)*float64(len(e.running))
	duration := eventloop.Micros(length)
	if slices.ContainsFunc(e.running, (*endpointAttempt).isDecoding) {
		// On a slow decode endpoint steps take longer; on a slow prefill endpoint they prefill fewer tokens.
		duration = eventloop.Micros(length / e.capacityFactor())
	}
	startedAt := e.startedAt
	e.fleet.loop.AfterFunc(duration, func() {
		if e.alive && e.startedAt == startedAt {
			e.stepping = false
			e.step(duration)
			e.startStep()
		}
	})
}

// isDecoding reports whether an attempt decodes and needs no more prefill.
func (a *endpointAttempt) isDecoding() bool { return !a.prefillOnly && a.prefillRemaining == 0 }

// step carries out one step of the batch: it admits queued attempts, advances prefills and decodes one token per
// answer.
func (e *Endpoint) step(duration eventloop.Micros) {
	if e.frozen || e.hung {
		return
	}
	e.admit()
	prefillBudget := e.group.ReadTokensPerS * e.capacityFactor() * float64(duration) / 1e6
	e.advanceAttempts(prefillBudget)
}

// admit moves queued attempts into the batch, in FIFO order, while slots and memory are free.
func (e *Endpoint) admit() {
	for len(e.queued) > 0 && len(e.running) < int(e.group.Slots) {
		attempt := e.queued[0]
		// An attempt that needs more than the whole memory runs alone.
		if e.usedMemory > 0 && e.usedMemory+attempt.memoryNeeded() > int(e.kind.MemoryTokens) {
			return
		}
		e.usedMemory += attempt.memoryNeeded()
		e.queued = e.queued[1:]
		e.running = append(e.running, attempt)
		if attempt.stateAttemptID != "" {
			e.fetchState(attempt)
		}
	}
}

// advanceAttempts advances each running attempt. At most prefillBudget prompt tokens are prefilled over all attempts
// together.
func (e *Endpoint) advanceAttempts(prefillBudget float64) {
	for _, attempt := range slices.Clone(e.running) {
		switch {
		case attempt.disconnected && e.fleet.deployment.Fleet.CancelStops:
			e.removeAttempt(attempt)
		case attempt.fetching:
		case attempt.prefillRemaining > 0:
			tokens := min(attempt.prefillRemaining, int(prefillBudget))
			prefillBudget -= float64(tokens)
			if attempt.prefillRemaining -= tokens; attempt.prefillRemaining == 0 {
				e.handlePrefillDone(attempt)
			}
		case !attempt.prefillOnly:
			e.emitToken(attempt)
		}
	}
}

// handlePrefillDone caches the prefix of an attempt whose prompt is prefilled. It finishes a batch call or a prefill;
// an attempt that also decodes stays in the batch.
func (e *Endpoint) handlePrefillDone(attempt *endpointAttempt) {
	if attempt.prefixHash != 0 {
		e.cachedPrefixes[attempt.prefixHash] = attempt.prefixTokens
	}
	switch {
	case attempt.batchResponse != nil:
		e.finishBatch(attempt)
	case attempt.prefillOnly:
		e.pinState(attempt)
	}
}

// removeAttempt frees the slot and memory of an attempt and records that it left.
func (e *Endpoint) removeAttempt(attempt *endpointAttempt) {
	if i := slices.Index(e.running, attempt); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.usedMemory -= attempt.memoryNeeded()
	}
	e.fleet.record(e, record.AttemptFinished, attempt)
}
