package scheduler

// maxStateWait is how long a state may wait with no attempt in flight.
const maxStateWait = 500 * ms

// knownNotRun reports whether an attempt has ended in a way that proves that it had no effect.
func (att *simAttempt) knownNotRun(config Config) bool {
	if att.inFlight {
		return false
	}
	switch att.outcome {
	case NoCapacity, Unreachable, NotSent, PrefillDone:
		return true
	}
	role := config.Kinds[att.endpoint.kind].Role
	return role == Prefill || role == Embedder
}

// Send checks that the rules allow the attempt.
func (sim *fleetSim) Send(request RequestID, id EndpointID, timeout Micros) {
	sim.record("send %d %d %d", request, id, timeout)
	req, ep := sim.requests[request], sim.endpoints[id]
	if req == nil || ep == nil {
		sim.t.Fatalf("send of unknown request %d to endpoint %d", request, id)
	}
	role := sim.config.Kinds[ep.kind].Role
	switch {
	case req.settled():
		sim.t.Fatalf("request %d sent after its end", request)
	case req.inFlight() != nil:
		sim.t.Fatalf("request %d: two attempts in flight", request)
	case len(req.attempts) >= sim.config.MaxAttempts:
		sim.t.Fatalf("request %d: too many attempts", request)
	case ep.state != Ready:
		sim.t.Fatalf("send to endpoint %d, which is draining or removed", id)
	case role == Embedder && !sim.prefillOnly(req):
		sim.t.Fatalf("request %d, which needs a decode, sent to endpoint %d, which only embeds", request, id)
	case role == Decode && sim.prefillOnly(req) && !sim.config.DecodePrefills:
		sim.t.Fatalf("request %d, which is prefill-only, sent to endpoint %d, which does not prefill", request, id)
	case timeout <= 0 || sim.now+timeout > req.deadline:
		sim.t.Fatalf("request %d: an attempt of %d with %d left", request, timeout, req.deadline-sim.now)
	}
	sim.checkRetry(req, ep)
	ep.sentAt = append(ep.sentAt, sim.now)
	if ep.startedAt > 0 && sim.now-ep.startedAt < sim.config.WarmUp {
		sim.checkOverload(ep)
	}
	req.attempts = append(req.attempts, &simAttempt{endpoint: ep, sentAt: sim.now, inFlight: true})
}

// checkRetry checks that an attempt does not repeat the effect of an earlier one.
func (sim *fleetSim) checkRetry(req *simRequest, ep *simEndpoint) {
	class := sim.config.Classes[req.class]
	for _, att := range req.attempts {
		if att.knownNotRun(sim.config) || class.Effect == Idempotent {
			continue
		}
		sameGroup := class.Group == AllEndpoints || class.Group == SameZone && att.endpoint.zone == ep.zone ||
			class.Group == SameCell && att.endpoint.cell == ep.cell
		arrivesBy := sim.now + sim.config.ConnectTimeout
		if class.Effect == NonIdempotent || !sameGroup || arrivesBy >= att.sentAt+class.Window {
			sim.t.Fatalf("request %d may have run and is sent again", req.id)
		}
	}
}

// checkOverload: within any window of the rule a warming endpoint takes no more attempts from this dispatcher than the
// rule's multiple of what the best warm endpoint of its role was seen to complete in such a window, scaled to a slow
// start, or of what it was itself seen to complete; two are slack.
func (sim *fleetSim) checkOverload(ep *simEndpoint) {
	upTo := func(times []Micros, end Micros) float64 {
		return countWithin(times, end-sim.config.OverloadWindow+1, sim.config.OverloadWindow)
	}
	best, own := 0.0, 0.0
	for _, at := range ep.doneAt { // what it did while warming up needs no scaling
		if at >= ep.startedAt {
			own = max(own, upTo(ep.doneAt, at))
		}
	}
	for _, other := range sim.endpoints {
		if sim.config.Kinds[other.kind].Role == sim.config.Kinds[ep.kind].Role {
			for _, at := range other.doneAt {
				best = max(best, upTo(other.doneAt, at))
			}
		}
	}
	n := upTo(ep.sentAt, sim.now)
	if n > sim.config.OverloadFactor*max(sim.config.SlowStartFactor*best, own)+2 {
		sim.t.Fatalf("warming endpoint %d was sent %v attempts; the best of its role completed %v, it itself %v",
			ep.id, n, best, own)
	}
}

// Reject checks a final answer.
func (sim *fleetSim) Reject(request RequestID, _ Micros) { sim.checkFinalAnswer(request, rejected) }

// Fail checks a final answer.
func (sim *fleetSim) Fail(request RequestID) { sim.checkFinalAnswer(request, failed) }

// checkFinalAnswer checks that a final answer is the first, and rejects exactly where a retry by the client is
// harmless.
func (sim *fleetSim) checkFinalAnswer(request RequestID, answer finalAnswer) {
	sim.record("%s %d", answer, request)
	req := sim.requests[request]
	if req == nil || req.settled() {
		sim.t.Fatalf("%s for request %d, which has no final answer pending", answer, request)
	}
	mayReject := true
	for _, att := range req.attempts {
		harmless := att.knownNotRun(sim.config) || sim.config.Classes[req.class].Effect == Idempotent
		mayReject = mayReject && harmless
	}
	if mayReject != (answer == rejected) && int(req.class) < len(sim.config.Classes) {
		sim.t.Fatalf("%s for request %d; rejecting is allowed: %v", answer, request, mayReject)
	}
	req.finalAnswers = append(req.finalAnswers, answer)
}

// Cancel checks that the attempt exists.
func (sim *fleetSim) Cancel(request RequestID, attempt AttemptNo) {
	sim.record("cancel %d %d", request, attempt)
	if int(attempt) >= len(sim.requests[request].attempts) {
		sim.t.Fatalf("request %d has no attempt %d", request, attempt)
	}
}

// Release checks that there can be a state.
func (sim *fleetSim) Release(request RequestID) {
	sim.record("release %d", request)
	req := sim.requests[request]
	if sim.prefillOnly(req) {
		sim.t.Fatalf("request %d has no state to release", request)
	}
	if req.inFlight() == nil {
		req.stateWaitingSince = 0
	}
}

// checkDeadlines checks that no state waits too long and that all requests have their final answer in time.
func (sim *fleetSim) checkDeadlines() {
	for _, id := range sim.order {
		req := sim.requests[id]
		if req.stateWaitingSince != 0 && req.inFlight() == nil && sim.now > req.stateWaitingSince+maxStateWait {
			sim.t.Fatalf("request %d: its state has waited since %d", id, req.stateWaitingSince)
		}
		started := req.inFlight() != nil && req.inFlight().started
		if !req.settled() && !started && sim.now > req.deadline {
			sim.t.Fatalf("request %d: no answer by its deadline", id)
		}
	}
}

// checkNothingLeft checks that the scheduler counts nothing after all requests have ended.
func (sim *fleetSim) checkNothingLeft() {
	sim.t.Helper()
	requests, queued := len(sim.scheduler.requests), sim.scheduler.queue.length()
	if requests+queued > 0 || sim.scheduler.prefilling > 0.5 {
		sim.t.Fatalf("left over: %d requests, %d queued, %v tokens being prefilled",
			requests, queued, sim.scheduler.prefilling)
	}
	for _, ep := range sim.scheduler.endpoints.all {
		if len(ep.pending) > 0 || ep.load.streams != 0 || ep.load.reservedTokens > 0.5 {
			sim.t.Fatalf("endpoint %d has %d pending, %d streams, %v tokens reserved left",
				ep.id, len(ep.pending), ep.load.streams, ep.load.reservedTokens)
		}
	}
}
