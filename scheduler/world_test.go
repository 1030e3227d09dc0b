package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// fleetSim is the Orders of one dispatcher and, beside it, a plain model of the rules: it keeps every attempt of
// every request and asks of each order whether the rules allow it.
type fleetSim struct {
	t         testing.TB
	scheduler *Scheduler
	config    Config
	now       Micros
	timers    []simTimer
	endpoints map[EndpointID]*simEndpoint
	requests  map[RequestID]*simRequest
	order     []RequestID
	log       []string
}

type simTimer struct {
	at   Micros
	bell TimerID
}

type simEndpoint struct {
	id        EndpointID
	zone      ZoneID
	kind      KindID
	cell      CellID
	state     EndpointState
	startedAt Micros
	sent      []Micros // attempts since it started
	done      []Micros // attempts answered
}

type simRequest struct {
	id                RequestID
	class             ClassID
	deadline          Micros
	attempts          []*simAttempt
	answers           []string
	stateWaitingSince Micros // since when a state waits with no attempt out, 0 = none does
	disconnected      bool
	closed            bool
}

type simAttempt struct {
	endpoint *simEndpoint
	sentAt   Micros
	inFlight bool
	started  bool
	outcome  Outcome
}

func newFleetSim(t testing.TB, config Config, seed int64) *fleetSim {
	sim := &fleetSim{t: t, config: config, now: 1000 * sec, endpoints: map[EndpointID]*simEndpoint{}, requests: map[RequestID]*simRequest{}}
	sim.scheduler = New(sim.now, seed, config, sim)
	return sim
}

// maxStateWait is how long a state may wait with no attempt out.
const maxStateWait = 500 * ms

// testConfig is a deployment of one product, readers of kind 0, writers of kind 1 and mixed hosts of kind 2.
func testConfig(effect Effect) Config {
	return Config{Dispatchers: 2, MaxAttempts: 4, CancelAllowed: true, TickInterval: 4 * ms, ConnectTimeout: 250 * ms,
		WarmUp: 10 * sec, SlowStartFactor: 0.25, OverloadWindow: 2 * sec, OverloadFactor: 2.5, MaxRetryAfter: sec,
		Kinds: []Kind{{Prefill, 200000}, {Decode, 140000}, {Mixed, 200000}},
		Classes: []Class{{SLO: sec, TokenSLO: 50 * ms, Window: 3 * sec, Revenue: 2, LateRevenueShare: 0.2,
			Effect: effect}}}
}

func (sim *fleetSim) updateEndpoints(hs ...*simEndpoint) {
	for _, ep := range hs {
		sim.endpoints[ep.id] = ep
		sim.scheduler.EndpointUpdated(sim.now, EndpointStatus{ID: ep.id, Zone: ep.zone, Kind: ep.kind, Cell: ep.cell, State: ep.state, StartedAt: ep.startedAt})
	}
	sim.scheduler.EndpointUpdateEnded(sim.now, false)
}

// addEndpoints lists n hosts of each of some kinds, in one cell, with ids 10*kind+1 and on.
func (sim *fleetSim) addEndpoints(n int, kinds ...KindID) {
	for _, k := range kinds {
		for i := range n {
			sim.updateEndpoints(&simEndpoint{id: EndpointID(10*int(k) + i + 1), kind: k})
		}
	}
}

func (sim *fleetSim) arrive(id RequestID, class ClassID, prompt float64, left Micros) *simRequest {
	return sim.arriveWithPrefix(id, class, PrefixID(id%3), prompt, prompt/2, left)
}

func (sim *fleetSim) arriveWithPrefix(id RequestID, class ClassID, prefix PrefixID, prompt, shared float64, left Micros) *simRequest {
	req := &simRequest{id: id, class: class, deadline: sim.now + left}
	sim.requests[id] = req
	sim.order = append(sim.order, id)
	sim.scheduler.RequestArrived(sim.now, Arrival{ID: id, Session: SessionID(id), Prefix: prefix, Class: class, PromptTokens: prompt,
		PrefixTokens: shared, MaxOutputTokens: 100, Deadline: req.deadline})
	return req
}

func (req *simRequest) inFlight() *simAttempt {
	if n := len(req.attempts); n > 0 && req.attempts[n-1].inFlight {
		return req.attempts[n-1]
	}
	return nil
}

func (sim *fleetSim) startAnswer(req *simRequest) {
	req.inFlight().started, req.stateWaitingSince = true, 0
	sim.scheduler.AttemptStarted(sim.now, req.id, AttemptNo(len(req.attempts)-1))
}

func (sim *fleetSim) endAttempt(req *simRequest, how Outcome, note int) {
	l := req.inFlight()
	l.inFlight, l.outcome = false, how
	if how == Completed || l.started || how == PrefillDone && sim.prefillOnly(req) {
		req.closed = true
	}
	if how == Completed || how == PrefillDone {
		l.endpoint.done = append(l.endpoint.done, sim.now)
	}
	switch {
	case req.closed:
		req.stateWaitingSince = 0
	case how == PrefillDone:
		req.stateWaitingSince = sim.now
	case req.stateWaitingSince != 0:
		req.stateWaitingSince = sim.now
	}
	sim.scheduler.AttemptEnded(sim.now, req.id, AttemptNo(len(req.attempts)-1), AttemptResult{Outcome: how, CachedTokens: note, StateMissing: note == 1,
		RequestClosed: req.closed || len(req.answers) > 0, MemoryUsage: NoLoadReport})
}

// advance lets time go by, ringing what is due and holding the state and answer rules to their times.
func (sim *fleetSim) advance(span Micros) {
	for end := sim.now + span; sim.now < end; {
		next := end
		for _, r := range sim.timers {
			next = min(next, r.at)
		}
		sim.now = max(next, sim.now)
		for i := 0; i < len(sim.timers); i++ {
			if r := sim.timers[i]; r.at <= sim.now {
				sim.timers = slices.Delete(sim.timers, i, i+1)
				i--
				sim.scheduler.TimerFired(sim.now, r.bell)
			}
		}
		for _, id := range sim.order {
			req := sim.requests[id]
			if req.stateWaitingSince != 0 && req.inFlight() == nil && sim.now > req.stateWaitingSince+maxStateWait {
				sim.t.Fatalf("gen %d: its state has waited since %d", id, req.stateWaitingSince)
			}
			if started := req.inFlight() != nil && req.inFlight().started; !req.settled() && !started && sim.now > req.deadline {
				sim.t.Fatalf("gen %d: no answer by its time limit", id)
			}
		}
	}
}

// prefillOnly: a read is all that the request is.
func (sim *fleetSim) prefillOnly(req *simRequest) bool {
	return int(req.class) < len(sim.config.Classes) && sim.config.Classes[req.class].PrefillOnly
}

func (req *simRequest) settled() bool { return len(req.answers) > 0 || req.disconnected || req.closed }

func (sim *fleetSim) record(format string, a ...any) {
	sim.log = append(sim.log, fmt.Sprint(sim.now, " ")+fmt.Sprintf(format, a...))
}

func knownNotRun(l *simAttempt, config Config) bool {
	return !l.inFlight && (l.outcome == NoCapacity || l.outcome == Unreachable || l.outcome == NotSent || l.outcome == PrefillDone ||
		config.Kinds[l.endpoint.kind].Role == Prefill || config.Kinds[l.endpoint.kind].Role == Embedder)
}

func (sim *fleetSim) Send(gen RequestID, host EndpointID, allow Micros) {
	sim.record("send %d %d %d", gen, host, allow)
	req, ep := sim.requests[gen], sim.endpoints[host]
	switch {
	case req == nil || ep == nil:
		sim.t.Fatalf("send of unknown gen %d to host %d", gen, host)
	case req.settled():
		sim.t.Fatalf("gen %d sent after its end", gen)
	case req.inFlight() != nil:
		sim.t.Fatalf("gen %d: two legs out", gen)
	case len(req.attempts) >= sim.config.MaxAttempts:
		sim.t.Fatalf("gen %d: too many legs", gen)
	case ep.state != Ready:
		sim.t.Fatalf("send to host %d, which is draining or gone", host)
	case sim.config.Kinds[ep.kind].Role == Embedder && !sim.prefillOnly(req):
		sim.t.Fatalf("gen %d, which is to be written, sent to host %d, which only embeds", gen, host)
	case sim.config.Kinds[ep.kind].Role == Decode && sim.prefillOnly(req) && !sim.config.DecodePrefills:
		sim.t.Fatalf("gen %d, which is only read, sent to host %d, which does not read", gen, host)
	case allow <= 0 || sim.now+allow > req.deadline:
		sim.t.Fatalf("gen %d: a leg of %d with %d left", gen, allow, req.deadline-sim.now)
	}
	p := sim.config.Classes[req.class]
	for _, l := range req.attempts {
		if knownNotRun(l, sim.config) || p.Effect == Idempotent {
			continue
		}
		same := p.Group == AllEndpoints || p.Group == SameZone && l.endpoint.zone == ep.zone ||
			p.Group == SameCell && l.endpoint.cell == ep.cell
		if p.Effect == NonIdempotent || !same || sim.now+sim.config.ConnectTimeout >= l.sentAt+p.Window { // it may leave that much later
			sim.t.Fatalf("gen %d may have run and is sent again", gen)
		}
	}
	ep.sent = append(ep.sent, sim.now)
	if ep.startedAt > 0 && sim.now-ep.startedAt < sim.config.WarmUp {
		sim.checkOverload(ep)
	}
	req.attempts = append(req.attempts, &simAttempt{endpoint: ep, sentAt: sim.now, inFlight: true})
}

// checkOverload: within any span of the rule a cold host takes no more attempts from this dispatcher than the rule's
// multiple of what the best warm host of its role was seen to answer in such a span, scaled to a cold
// start, or of what it was itself seen to answer; two are slack.
func (sim *fleetSim) checkOverload(ep *simEndpoint) {
	within := func(times []Micros, end Micros) (n float64) {
		for _, at := range times {
			if at > end-sim.config.OverloadWindow && at <= end {
				n++
			}
		}
		return n
	}
	best, own := 0.0, 0.0
	for _, at := range ep.done { // what it did while cold needs no scaling
		if at >= ep.startedAt {
			own = max(own, within(ep.done, at))
		}
	}
	for _, o := range sim.endpoints {
		if sim.config.Kinds[o.kind].Role == sim.config.Kinds[ep.kind].Role {
			for _, at := range o.done {
				best = max(best, within(o.done, at))
			}
		}
	}
	if n := within(ep.sent, sim.now); n > sim.config.OverloadFactor*max(sim.config.SlowStartFactor*best, own)+2 {
		sim.t.Fatalf("cold host %d was sent %v legs; the best of its role answered %v, it itself %v", ep.id, n, best, own)
	}
}

func (sim *fleetSim) finalAnswer(gen RequestID, what string) {
	sim.record("%s %d", what, gen)
	req := sim.requests[gen]
	if req == nil || req.settled() {
		sim.t.Fatalf("%s for gen %d, to which nothing is owed", what, gen)
	}
	allowed := true
	for _, l := range req.attempts {
		allowed = allowed && (knownNotRun(l, sim.config) || sim.config.Classes[req.class].Effect == Idempotent)
	}
	if allowed != (what == "throttle") && int(req.class) < len(sim.config.Classes) {
		sim.t.Fatalf("%s for gen %d; throttling is allowed: %v", what, gen, allowed)
	}
	req.answers = append(req.answers, what)
}

func (sim *fleetSim) Reject(gen RequestID, _ Micros) { sim.finalAnswer(gen, "throttle") }
func (sim *fleetSim) Fail(gen RequestID)             { sim.finalAnswer(gen, "terminate") }

func (sim *fleetSim) Cancel(gen RequestID, leg AttemptNo) {
	sim.record("cancel %d %d", gen, leg)
	if int(leg) >= len(sim.requests[gen].attempts) {
		sim.t.Fatalf("gen %d has no leg %d", gen, leg)
	}
}

func (sim *fleetSim) Release(gen RequestID) {
	sim.record("let go %d", gen)
	if sim.prefillOnly(sim.requests[gen]) {
		sim.t.Fatalf("gen %d has no state to let go of", gen)
	}
	if sim.requests[gen].inFlight() == nil {
		sim.requests[gen].stateWaitingSince = 0
	}
}

func (sim *fleetSim) WatchEndpoints() { sim.record("subscribe") }
func (sim *fleetSim) Log(Event)       {}
func (sim *fleetSim) SetTimer(after Micros, bell TimerID) {
	if after <= 0 {
		sim.t.Fatalf("a ring after %d", after)
	}
	sim.timers = append(sim.timers, simTimer{sim.now + after, bell})
}

// playScenario feeds the module a generated day, ends it, and checks that nothing is left over.
func (sim *fleetSim) playScenario(r *rand.Rand, steps int) {
	var id RequestID
	for range steps {
		sim.advance(Micros(r.Int63n(int64(60 * ms))))
		switch r.Intn(10) {
		case 0:
			sim.changeEndpoint(r)
		case 1, 2, 3, 4:
			id++
			sim.arrive(id, ClassID(r.Intn(len(sim.config.Classes))), float64(3000+r.Intn(2000)),
				Micros(r.Int63n(int64(6*sec))))
		case 5:
			sim.scheduler.AttemptEnded(sim.now, RequestID(r.Intn(20)), 99, AttemptResult{Outcome: Errored, MemoryUsage: NoLoadReport})
			sim.scheduler.AttemptStarted(sim.now, 1<<40, 0)
			sim.scheduler.ClientDisconnected(sim.now, 1<<40)
		}
		for _, id := range sim.order {
			if req := sim.requests[id]; req.inFlight() != nil && r.Intn(8) == 0 {
				sim.stepAttempt(req, r)
			} else if !req.settled() && req.inFlight() == nil && r.Intn(200) == 0 {
				req.disconnected = true
				sim.scheduler.ClientDisconnected(sim.now, id)
			}
		}
	}
	for range 400 {
		sim.advance(20 * ms)
		for _, id := range sim.order {
			if req := sim.requests[id]; req.inFlight() != nil {
				sim.stepAttempt(req, r)
			}
		}
	}
	if len(sim.scheduler.requests)+len(sim.scheduler.queued)-sim.scheduler.removed > 0 || sim.scheduler.prefillTokens > 0.5 {
		sim.t.Fatalf("left over: %d gens, %d held, %v tokens under way", len(sim.scheduler.requests), len(sim.scheduler.queued), sim.scheduler.prefillTokens)
	}
	for _, ep := range sim.scheduler.endpoints {
		if len(ep.pending) > 0 || ep.streams != 0 || ep.reservedTokens > 0.5 {
			sim.t.Fatalf("host %d keeps %d legs, %d streams, %v tokens", ep.id, len(ep.pending), ep.streams, ep.reservedTokens)
		}
	}
}

// stepAttempt carries an attempt one step on.
func (sim *fleetSim) stepAttempt(req *simRequest, r *rand.Rand) {
	l := req.inFlight()
	reader := sim.config.Kinds[l.endpoint.kind].Role == Prefill || sim.prefillOnly(req)
	switch n := r.Intn(12); {
	case n < 8 && reader:
		sim.endAttempt(req, PrefillDone, r.Intn(4000))
	case n < 8 && !l.started && len(req.answers) == 0 && sim.now < req.deadline:
		sim.startAnswer(req)
	case n < 8 && l.started:
		sim.endAttempt(req, Completed, 0)
	case n == 8 && !l.started:
		sim.endAttempt(req, NoCapacity, r.Intn(2))
	default:
		sim.endAttempt(req, []Outcome{Errored, TimedOut, Unreachable, ConnectionLost, Cancelled, NotSent}[r.Intn(6)], 0)
	}
}

func (sim *fleetSim) changeEndpoint(r *rand.Rand) {
	id := EndpointID(1 + r.Intn(12))
	ep := sim.endpoints[id]
	if ep == nil {
		ep = &simEndpoint{id: id, zone: ZoneID(r.Intn(2)), kind: KindID(r.Intn(len(sim.config.Kinds)))}
		ep.cell = CellID(ep.zone)
	}
	ep.state = Ready
	if r.Intn(4) == 0 {
		ep.state = EndpointState(1 + r.Intn(2))
	} else if r.Intn(3) == 0 {
		ep.startedAt, ep.sent = sim.now, nil
	}
	sim.updateEndpoints(ep)
}

// prefilled takes a request through its read and tells the writer it went to.
func (sim *fleetSim) prefilled(id RequestID, prompt float64) *simRequest {
	req := sim.arrive(id, 0, prompt, 6*sec)
	if req.inFlight() == nil || req.inFlight().endpoint.kind != 0 {
		sim.t.Fatalf("gen %d is not being read", id)
	}
	sim.advance(10 * ms)
	sim.endAttempt(req, PrefillDone, 0)
	return req
}

func (sim *fleetSim) cancelled(id RequestID) bool {
	for _, l := range sim.log {
		var at, gen, leg int
		if n, _ := fmt.Sscanf(l, "%d cancel %d %d", &at, &gen, &leg); n == 3 && RequestID(gen) == id {
			return true
		}
	}
	return false
}
