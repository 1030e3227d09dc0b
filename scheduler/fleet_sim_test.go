package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// The kinds of endpoints in testConfig.
const (
	prefillKind KindID = iota
	decodeKind
	mixedKind
	embedderKind // not in testConfig; tests that need it add it
)

// testConfig returns a configuration with one class, and with an endpoint kind for each role except Embedder.
func testConfig(effect Effect) Config {
	return Config{
		Dispatchers:     2,
		MaxAttempts:     4,
		CancelAllowed:   true,
		TickInterval:    4 * ms,
		ConnectTimeout:  250 * ms,
		WarmUp:          10 * sec,
		SlowStartFactor: 0.25,
		OverloadWindow:  2 * sec,
		OverloadFactor:  2.5,
		MaxRetryAfter:   sec,
		Kinds:           []Kind{{Prefill, 200000}, {Decode, 140000}, {Mixed, 200000}},
		Classes: []Class{{
			SLO: sec, TokenSLO: 50 * ms, DedupWindow: 3 * sec, Revenue: 2, LateRevenueShare: 0.2, Effect: effect,
		}},
	}
}

// fleetSim is the Executor of one dispatcher. It simulates the dispatcher's clients and endpoints step by step. The
// methods in rule_model_test.go check every action of the scheduler against the rules.
type fleetSim struct {
	t         testing.TB
	scheduler *Scheduler
	config    Config
	now       Micros
	timers    []simTimer
	endpoints map[EndpointID]*simEndpoint
	requests  map[RequestID]*simRequest
	arrivals  []RequestID // all requests, in the order of their arrival
	actions   []string    // the scheduler's actions, each with its time
	events    []Event     // what the scheduler logged
}

type simTimer struct {
	at Micros
	id TimerID
}

type simEndpoint struct {
	id        EndpointID
	zone      ZoneID
	kind      KindID
	cell      CellID
	state     EndpointState
	size      float64
	startedAt Micros
	sentAt    []Micros // when attempts were sent to the endpoint since its last start in changeEndpoint
	doneAt    []Micros // when the endpoint completed attempts
}

type simRequest struct {
	id                RequestID
	class             ClassID
	deadline          Micros
	attempts          []*simAttempt
	finalAnswers      []finalAnswer
	stateWaitingSince Micros // when the request's state began to wait without an attempt in flight; 0 if there is no state
	disconnected      bool
	closed            bool
}

type finalAnswer string

const (
	rejected finalAnswer = "reject"
	failed   finalAnswer = "fail"
)

type simAttempt struct {
	endpoint *simEndpoint
	sentAt   Micros
	inFlight bool
	started  bool
	outcome  Outcome
}

func newFleetSim(t testing.TB, config Config, seed int64) *fleetSim {
	t.Helper()
	sim := &fleetSim{
		t:         t,
		config:    config,
		now:       1000 * sec,
		endpoints: map[EndpointID]*simEndpoint{},
		requests:  map[RequestID]*simRequest{},
	}
	sim.scheduler = New(sim.now, seed, config, sim)
	return sim
}

// endpoint returns the scheduler's state of an endpoint.
func (sim *fleetSim) endpoint(id EndpointID) *endpoint { return sim.scheduler.endpoints.byID[id] }

// updateEndpoints sends a partial endpoint list.
func (sim *fleetSim) updateEndpoints(endpoints ...*simEndpoint) {
	for _, ep := range endpoints {
		sim.endpoints[ep.id] = ep
		sim.scheduler.EndpointUpdated(sim.now, EndpointStatus{
			ID: ep.id, Zone: ep.zone, Kind: ep.kind, Cell: ep.cell, State: ep.state, StartedAt: ep.startedAt, Size: ep.size,
		})
	}
	sim.scheduler.EndpointUpdateEnded(sim.now, false)
}

// addEndpoints adds n endpoints of each of the given kinds, all in one cell. The ids of a kind start at 10*kind+1.
func (sim *fleetSim) addEndpoints(n int, kinds ...KindID) {
	for _, kind := range kinds {
		for i := range n {
			sim.updateEndpoints(&simEndpoint{id: EndpointID(10*int(kind) + i + 1), kind: kind})
		}
	}
}

// arrive sends a request. Its prefix is one of two shared prefixes and makes up half of the prompt. Each third request
// has no prefix.
func (sim *fleetSim) arrive(id RequestID, class ClassID, prompt float64, timeLeft Micros) *simRequest {
	return sim.arriveAs(Arrival{
		ID: id, Class: class, Prefix: PrefixID(id % 3), PromptTokens: prompt, PrefixTokens: prompt / 2,
		Deadline: sim.now + timeLeft,
	})
}

// arriveWithPrefix sends a request of 6,000 tokens that shares 5,000 of them with others.
func (sim *fleetSim) arriveWithPrefix(id RequestID, prefix PrefixID) *simRequest {
	return sim.arriveAs(Arrival{
		ID: id, Prefix: prefix, PromptTokens: 6000, PrefixTokens: 5000, Deadline: sim.now + 6*sec,
	})
}

func (sim *fleetSim) arriveAs(arrival Arrival) *simRequest {
	req := &simRequest{id: arrival.ID, class: arrival.Class, deadline: arrival.Deadline}
	sim.requests[req.id] = req
	sim.arrivals = append(sim.arrivals, req.id)
	arrival.Session, arrival.MaxOutputTokens = SessionID(req.id), 100
	sim.scheduler.RequestArrived(sim.now, arrival)
	return req
}

func (req *simRequest) inFlight() *simAttempt {
	if n := len(req.attempts); n > 0 && req.attempts[n-1].inFlight {
		return req.attempts[n-1]
	}
	return nil
}

func (req *simRequest) settled() bool {
	return len(req.finalAnswers) > 0 || req.disconnected || req.closed
}

// prefillOnly reports whether a request is complete with its prefill.
func (sim *fleetSim) prefillOnly(req *simRequest) bool {
	return int(req.class) < len(sim.config.Classes) && sim.config.Classes[req.class].PrefillOnly
}

func (sim *fleetSim) startAnswer(req *simRequest) {
	req.inFlight().started, req.stateWaitingSince = true, 0
	sim.scheduler.AttemptStarted(sim.now, req.id, AttemptNumber(len(req.attempts)-1))
}

// endAttempt ends the request's attempt. For PrefillDone, detail is the number of cached tokens. For other outcomes, a
// detail of 1 says that the state is missing.
func (sim *fleetSim) endAttempt(req *simRequest, outcome Outcome, detail int) {
	sim.endAttemptWith(req, AttemptResult{Outcome: outcome, CachedTokens: detail, StateMissing: detail == 1})
}

// endAttemptWith ends the request's attempt with a result. It sets RequestClosed and MemoryUsage itself.
func (sim *fleetSim) endAttemptWith(req *simRequest, result AttemptResult) {
	outcome := result.Outcome
	att := req.inFlight()
	att.inFlight, att.outcome = false, outcome
	if outcome == Completed || att.started || outcome == PrefillDone && sim.prefillOnly(req) {
		req.closed = true
	}
	if outcome == Completed || outcome == PrefillDone {
		att.endpoint.doneAt = append(att.endpoint.doneAt, sim.now)
	}
	switch {
	case req.closed:
		req.stateWaitingSince = 0
	case outcome == PrefillDone:
		req.stateWaitingSince = sim.now
	case req.stateWaitingSince != 0:
		req.stateWaitingSince = sim.now
	}
	result.RequestClosed = req.closed || len(req.finalAnswers) > 0
	result.MemoryUsage = NoLoadReport
	sim.scheduler.AttemptEnded(sim.now, req.id, AttemptNumber(len(req.attempts)-1), result)
}

// arriveAndPrefill sends a request and completes its prefill, so the request then has an attempt at a decode endpoint.
func (sim *fleetSim) arriveAndPrefill(id RequestID, prompt float64) *simRequest {
	sim.t.Helper()
	req := sim.arrive(id, 0, prompt, 6*sec)
	if req.inFlight() == nil || req.inFlight().endpoint.kind != prefillKind {
		sim.t.Fatalf("request %d is not being prefilled", id)
	}
	sim.advance(10 * ms)
	sim.endAttempt(req, PrefillDone, 0)
	return req
}

// complete starts and completes the answer of a request that is at a decode endpoint.
func (sim *fleetSim) complete(req *simRequest) {
	sim.startAnswer(req)
	sim.endAttempt(req, Completed, 0)
}

// advance advances the time by span, fires the timers that fall due and checks the deadlines.
func (sim *fleetSim) advance(span Micros) {
	sim.t.Helper()
	for end := sim.now + span; sim.now < end; {
		next := end
		for _, timer := range sim.timers {
			next = min(next, timer.at)
		}
		sim.now = max(next, sim.now)
		for i := 0; i < len(sim.timers); i++ {
			if timer := sim.timers[i]; timer.at <= sim.now {
				sim.timers = slices.Delete(sim.timers, i, i+1)
				i--
				sim.scheduler.TimerFired(sim.now, timer.id)
			}
		}
		sim.checkDeadlines()
	}
}

func (sim *fleetSim) record(format string, args ...any) {
	sim.actions = append(sim.actions, fmt.Sprint(sim.now, " ")+fmt.Sprintf(format, args...))
}

// wasCancelled reports whether an attempt of the request was cancelled.
func (sim *fleetSim) wasCancelled(id RequestID) bool {
	return slices.ContainsFunc(sim.actions, func(line string) bool {
		var at, request, attempt int
		n, _ := fmt.Sscanf(line, "%d cancel %d %d", &at, &request, &attempt)
		return n == 3 && RequestID(request) == id
	})
}

func (sim *fleetSim) WatchEndpoints() { sim.record("watch endpoints") }
func (sim *fleetSim) Log(event Event) { sim.events = append(sim.events, event) }
func (sim *fleetSim) SetTimer(after Micros, timer TimerID) {
	if after <= 0 {
		sim.t.Fatalf("timer %d set to fire after %d, want a positive duration", timer, after)
	}
	sim.timers = append(sim.timers, simTimer{sim.now + after, timer})
}

// runScenario generates random events, lets all requests end, and checks that the scheduler's counts are back to zero.
func (sim *fleetSim) runScenario(random *rand.Rand, steps int) {
	sim.t.Helper()
	var id RequestID
	for range steps {
		sim.advance(Micros(random.Int63n(int64(60 * ms))))
		switch random.Intn(10) {
		case 0:
			sim.changeEndpoint(random)
		case 1, 2, 3, 4:
			id++
			sim.arrive(id, ClassID(random.Intn(len(sim.config.Classes))), float64(3000+random.Intn(2000)),
				Micros(random.Int63n(int64(6*sec))))
		case 5:
			sim.sendUnknownEvents(random)
		}
		for _, id := range sim.arrivals {
			if req := sim.requests[id]; req.inFlight() != nil && random.Intn(8) == 0 {
				sim.stepAttempt(req, random)
			} else if !req.settled() && req.inFlight() == nil && random.Intn(200) == 0 {
				req.disconnected = true
				sim.scheduler.ClientDisconnected(sim.now, id)
			}
		}
	}
	for range 400 {
		sim.advance(20 * ms)
		for _, id := range sim.arrivals {
			if req := sim.requests[id]; req.inFlight() != nil {
				sim.stepAttempt(req, random)
			}
		}
	}
	sim.checkNothingLeft()
}

// sendUnknownEvents reports events of requests and attempts that the scheduler does not know.
func (sim *fleetSim) sendUnknownEvents(random *rand.Rand) {
	result := AttemptResult{Outcome: Errored, MemoryUsage: NoLoadReport}
	sim.scheduler.AttemptEnded(sim.now, RequestID(random.Intn(20)), 99, result)
	sim.scheduler.AttemptStarted(sim.now, 1<<40, 0)
	sim.scheduler.ClientDisconnected(sim.now, 1<<40)
}

// stepAttempt reports the next event of an attempt: its start or a random end.
func (sim *fleetSim) stepAttempt(req *simRequest, random *rand.Rand) {
	att := req.inFlight()
	prefill := sim.config.Kinds[att.endpoint.kind].Role == Prefill || sim.prefillOnly(req)
	switch n := random.Intn(12); {
	case n < 8 && prefill:
		sim.endAttempt(req, PrefillDone, random.Intn(4000))
	case n < 8 && !att.started && len(req.finalAnswers) == 0 && sim.now < req.deadline:
		sim.startAnswer(req)
	case n < 8 && att.started:
		sim.endAttempt(req, Completed, 0)
	case n == 8 && !att.started:
		sim.endAttempt(req, NoCapacity, random.Intn(2))
	default:
		failures := []Outcome{Errored, TimedOut, Unreachable, ConnectionLost, Cancelled, NotSent}
		released := !prefill && !att.started && random.Intn(4) == 0
		sim.endAttemptWith(req, AttemptResult{Outcome: failures[random.Intn(len(failures))], StateReleased: released})
	}
}

// stepAll completes prefills, starts answers, and completes answers whose attempt was sent more than a second ago.
func (sim *fleetSim) stepAll(requests []*simRequest) {
	for range 2 {
		for _, req := range requests {
			switch att := req.inFlight(); {
			case att == nil:
			case att.endpoint.kind == prefillKind:
				sim.endAttempt(req, PrefillDone, 0)
			case !att.started:
				sim.startAnswer(req)
			case att.sentAt < sim.now-sec:
				sim.endAttempt(req, Completed, 0)
			}
		}
	}
}

// changeEndpoint adds an endpoint, drains or removes it, or restarts its process.
func (sim *fleetSim) changeEndpoint(random *rand.Rand) {
	id := EndpointID(1 + random.Intn(12))
	ep := sim.endpoints[id]
	if ep == nil {
		ep = &simEndpoint{id: id, zone: ZoneID(random.Intn(2)), kind: KindID(random.Intn(len(sim.config.Kinds)))}
		ep.cell = CellID(ep.zone)
	}
	ep.state = Ready
	if random.Intn(4) == 0 {
		ep.state = EndpointState(1 + random.Intn(2))
	} else if random.Intn(3) == 0 {
		ep.startedAt, ep.sentAt = sim.now, nil
	}
	sim.updateEndpoints(ep)
}

// countWithin counts the times at or after from and before from+span.
func countWithin(times []Micros, from, span Micros) (n float64) {
	for _, at := range times {
		if at >= from && at < from+span {
			n++
		}
	}
	return n
}
