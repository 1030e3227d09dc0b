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
	if slices.ContainsFunc(e.running, (*attempt).decoding) {
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
func (a *attempt) decoding() bool { return !a.prefillOnly && a.toPrefill == 0 }

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
		a := e.queued[0]
		// An attempt larger than all memory runs alone.
		if e.usedMemory > 0 && e.usedMemory+a.memoryNeeded() > int(e.kind.MemoryTokens) {
			return
		}
		e.usedMemory += a.memoryNeeded()
		e.queued = e.queued[1:]
		e.running = append(e.running, a)
		if a.fetchAttempt != "" {
			e.fetchState(a)
		}
	}
}

// advance advances each running attempt; the budget is the tokens that may be prefilled.
func (e *Endpoint) advance(prefillBudget float64) {
	for _, a := range slices.Clone(e.running) {
		switch {
		case a.abandoned && e.fleet.deployment.Fleet.CancelStops:
			e.finish(a)
		case a.fetching:
		case a.toPrefill > 0:
			tokens := min(a.toPrefill, int(prefillBudget))
			prefillBudget -= float64(tokens)
			if a.toPrefill -= tokens; a.toPrefill == 0 {
				e.prefilled(a)
			}
		case !a.prefillOnly:
			e.emitToken(a)
		}
	}
}

// prefilled goes on with an attempt whose whole prompt is prefilled.
func (e *Endpoint) prefilled(a *attempt) {
	if a.prefixHash != 0 {
		e.prefixes[a.prefixHash] = a.prefixTokens
	}
	switch {
	case a.answer != nil:
		e.finishBatch(a)
	case a.prefillOnly:
		e.finishPrefill(a)
	}
}

// finish frees an attempt's slot and memory.
func (e *Endpoint) finish(a *attempt) {
	if i := slices.Index(e.running, a); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.usedMemory -= a.memoryNeeded()
	}
	e.fleet.record(e, record.AttemptLeft, a)
}
