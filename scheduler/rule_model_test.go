package scheduler

// maxStateWait is the longest time that a prefilled state may wait with no attempt in flight.
const maxStateWait = 500 * ms

// knownNotRun reports whether the attempt has ended, and provably had no effect.
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
		sim.t.Fatalf("sent request %d to endpoint %d, one of which is unknown", request, id)
	}
	role := sim.config.Kinds[ep.kind].Role
	switch {
	case req.settled():
		sim.t.Fatalf("request %d was sent after its end", request)
	case req.inFlight() != nil:
		sim.t.Fatalf("request %d: two attempts in flight", request)
	case len(req.attempts) >= sim.config.MaxAttempts:
		sim.t.Fatalf("request %d: too many attempts", request)
	case ep.state != Ready:
		sim.t.Fatalf("request %d was sent to endpoint %d, which is draining or removed", request, id)
	case role == Embedder && !sim.prefillOnly(req):
		sim.t.Fatalf("request %d needs a decode and was sent to endpoint %d, an embedder", request, id)
	case role == Decode && sim.prefillOnly(req) && !sim.config.DecodePrefills:
		sim.t.Fatalf("request %d is prefill-only and was sent to endpoint %d, which does not prefill", request, id)
	case timeout <= 0 || sim.now+timeout > req.deadline:
		sim.t.Fatalf("request %d: attempt with timeout %d, %d left to the deadline", request, timeout, req.deadline-sim.now)
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
		if class.Effect == NonIdempotent || !sameGroup || arrivesBy >= att.sentAt+class.DedupWindow {
			sim.t.Fatalf("request %d may have run and was sent again", req.id)
		}
	}
}

// checkOverload checks that an endpoint that is warming up gets no more attempts from this dispatcher than the overload
// rule allows. In any OverloadWindow the limit is OverloadFactor times the larger of two numbers, plus a slack of two.
// The first number is the most attempts that any endpoint of the kind and size, warm or not, has completed in such a
// window, times SlowStartFactor. The second is the most that this endpoint has completed in such a window since it
// started.
func (sim *fleetSim) checkOverload(ep *simEndpoint) {
	upTo := func(times []Micros, end Micros) float64 {
		return countWithin(times, end-sim.config.OverloadWindow+1, sim.config.OverloadWindow)
	}
	best, own := 0.0, 0.0
	for _, at := range ep.doneAt { // attempts completed while warming up are not scaled by SlowStartFactor
		if at >= ep.startedAt {
			own = max(own, upTo(ep.doneAt, at))
		}
	}
	for _, other := range sim.endpoints {
		if other.kind == ep.kind && other.size == ep.size {
			for _, at := range other.doneAt {
				best = max(best, upTo(other.doneAt, at))
			}
		}
	}
	n := upTo(ep.sentAt, sim.now)
	if n > sim.config.OverloadFactor*max(sim.config.SlowStartFactor*best, own)+2 {
		sim.t.Fatalf("endpoint %d got %v attempts while warming up; the best like it completed %v, it completed %v",
			ep.id, n, best, own)
	}
}

// Reject checks and records a final answer.
func (sim *fleetSim) Reject(request RequestID, _ Micros) { sim.checkFinalAnswer(request, rejected) }

// Fail checks and records a final answer.
func (sim *fleetSim) Fail(request RequestID) { sim.checkFinalAnswer(request, failed) }

// checkFinalAnswer checks that a final answer is the request's first, and that it is a rejection if and only if a retry
// by the client is harmless.
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
func (sim *fleetSim) Cancel(request RequestID, attempt AttemptNumber) {
	sim.record("cancel %d %d", request, attempt)
	if int(attempt) >= len(sim.requests[request].attempts) {
		sim.t.Fatalf("request %d has no attempt %d", request, attempt)
	}
}

// Release checks that the request can have a state.
func (sim *fleetSim) Release(request RequestID) {
	sim.record("release %d", request)
	req := sim.requests[request]
	if sim.prefillOnly(req) {
		sim.t.Fatalf("release for request %d, which is prefill-only and has no state", request)
	}
	if req.inFlight() == nil {
		req.stateWaitingSince = 0
	}
}

// checkDeadlines checks that no state waits longer than maxStateWait, and that each request has its final answer or the
// start of its answer by its deadline.
func (sim *fleetSim) checkDeadlines() {
	for _, id := range sim.arrivals {
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

// checkNothingLeft checks that the scheduler's counts are back to zero after all requests have ended.
func (sim *fleetSim) checkNothingLeft() {
	sim.t.Helper()
	requests, queued := len(sim.scheduler.requests), sim.scheduler.queue.length()
	if requests+queued > 0 || sim.scheduler.prefillingTokens > 0.5 {
		sim.t.Fatalf("left over: %d requests, %d queued, %v tokens being prefilled",
			requests, queued, sim.scheduler.prefillingTokens)
	}
	for _, ep := range sim.scheduler.endpoints.all {
		if len(ep.pending) > 0 || ep.load.streams != 0 || ep.load.reservedTokens > 0.5 {
			sim.t.Fatalf("endpoint %d has %d pending, %d streams, %v tokens reserved left",
				ep.id, len(ep.pending), ep.load.streams, ep.load.reservedTokens)
		}
	}
}
