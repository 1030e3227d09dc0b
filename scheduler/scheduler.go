// Package scheduler decides where the prompts and answers of one dispatcher go. It is called by an adapter:
// Start makes an instance; then each event is one call (Arrive, Started, Ended, Left, Quit, Quota, Listed and
// ListEnded, ListFailed, Rang) with the time now, and what is to be done is said through Orders before the
// call returns. Orders, the ids and the settings handed in at the start (Deployment) are in api.go, the
// plain state in state.go, the ordered due times in timerqueue/. Everything that is decided, and every tuned
// value, is in this file.
//
// A request goes: Arrive -> enter (hold until some writer fits) -> read at its prefix's home -> write at
// the emptiest fitting writer -> streamed. Each attempt carries the closure that its outcome is handed to.
package scheduler

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
)

const (
	tickEvery    = 50 * ms // the design's timer for held requests; health hangs on it too
	ceiling      = 0.9     // memory share above which a writer does not fit, where shares are reported
	paceMargin   = 2.0     // own streams above the median at which a writer no longer fits
	readTime     = 0.5     // seconds of work at the least-loaded reader above which others may read
	homeFactor   = 2.0     // times the least wait that a prefix's home may have
	homeFloor    = 0.05    // seconds; on an idle fleet any work at all would be more than twice none
	homeLoad     = 0.5     // of a reader's even part of the traffic, for each further home of a prefix
	arrivalsFew  = 30.0    // requests that count for others of which nothing is known yet
	arrivalsMost = 1000    // requests after which the prefixes' counts are halved
	mixedShare   = 1.3     // times the writers' mean load, up to which mixed hosts take requests whole
	nearFactor   = 1.3     // times the mean fill of the writers of other cells that a near one may have, and
	nearFloor    = 0.1     // this share more;
	nearLittle   = 0.6     // this share it may have however empty the others are
	meanOver     = 0.25    // seconds, for each other dispatcher, over which what is held at a host is averaged
	alike        = 4       // dispatchers that may find the same host the least filled

	burstTime   = 2.0  // seconds of its share that a tenant may send at once
	holdShare   = 0.3  // of the SLO time; a read that would take longer is held, not queued at its reader
	makeWay     = 0.02 // seconds of work ahead of what is only read, past which it is held
	slowStart   = 0.25 // of the SLO time; an answer that begins later begins late
	capCut      = 0.8  // of what was held when answers began late may be held next; cut at most
	capEvery    = sec  // this often, and grown by
	capGrows    = 0.1  // of this dispatcher's even part of the memory each second
	traceFades  = 10.0 // seconds
	traceMemory = 0.3  // weight of one

	missesMost  = 6       // held requests that find no place before the rest is left to wait
	shortQueue  = 64      // held requests that are put in order at each answer
	firstRate   = 15000.0 // tokens a second that a reader is taken to read until it was seen to
	rateMemory  = 40000.0 // tokens over which a reader's pace is averaged
	usualMemory = 0.1     // weight of one attempt in what is usual for its stage
	textsMost   = 4096    // texts that a host is remembered to keep

	connectHard = 0.3      // share of the attempts without a connection yet that failed to get one
	quietFirst  = 400 * ms // rest of a host after its first failure; doubles with each further one
	illMost     = 5.0      // failures that still lengthen it
	illHeals    = 0.5      // what one good answer leaves of a host's illness
	silentLeast = 400 * ms // that a host may say nothing while it owes an answer, at least, and
	silentTimes = 4        // times the usual
	takeBack    = 2        // times that, after which attempts are taken back
	fullRest    = 150 * ms
	reportStale = 5 * sec
	forgetAfter = 600 * sec // a host that is not ready

	slowStartShare = 1.2 // of the fall rule's part; warm hosts are seen to do much less than they could
	provenPart     = 0.9 // of the rule's multiple of what the cold host itself was seen to do
	provenLeast    = 2.0 // mean requests lately, from which on it is a measure
	coldLeast      = 4.0 // mean requests in a span of the rule that any cold host bears from all
	doneMemory     = 5.0 // seconds over which work done is counted
)

// New makes an instance that knows nothing yet but the place it serves in.
func New(now Micros, seed int64, config Config, orders Executor) *Scheduler {
	s := &Scheduler{Config: config, now: now, executor: orders, rand: rand.New(rand.NewSource(seed)),
		byID: map[EndpointID]*endpoint{}, links: map[CellID]Micros{}, handoverDelay: map[CellID]decayingMean{},
		requestCounts: map[PrefixID]float64{}, requests: map[RequestID]*request{}, refill: now,
		typical: make([]float64, len(config.Classes)), allowed: make([]float64, len(config.Quotas))}
	for t := range s.allowed {
		s.allowed[t] = s.burst(t)
	}
	s.cachedShare = 1
	s.usual = [2]float64{float64(150 * ms), float64(100 * ms)}
	if s.WatchOnDemand {
		orders.WatchEndpoints()
	}
	orders.SetTimer(tickEvery, PeriodicTimer)
	return s
}

// --- The list of hosts ---

// EndpointUpdated takes one entry of a list; EndpointUpdateEnded follows the last.
func (s *Scheduler) EndpointUpdated(now Micros, e EndpointStatus) {
	s.now = now
	id, since := e.ID, e.StartedAt
	ep := s.byID[id]
	if ep == nil {
		ep = &endpoint{id: id, reportedUsage: -1, cachedPrefixes: map[PrefixID]bool{}}
		s.byID[id] = ep
		at, _ := slices.BinarySearchFunc(s.endpoints, id, func(ep *endpoint, id EndpointID) int { return int(ep.id) - int(id) })
		s.endpoints = slices.Insert(s.endpoints, at, ep)
	}
	if ep.startedAt != since && since > 0 {
		// A new process: what the old one kept, and what was held against it, is gone.
		ep.failureScore, ep.ejectedUntil, ep.creditAt, ep.reportedUsage = 0, 0, 0, -1
		ep.completedTokens, ep.prefillTokens, ep.prefillSeconds, ep.lastHeard = 0, 0, 0, 0
		clear(ep.cachedPrefixes)
	}
	ep.zone, ep.kind, ep.cell, ep.startedAt, ep.listed = e.Zone, e.Kind, e.Cell, since, true
	// A kind that the settings do not name can't be told reader from writer: it gets nothing.
	ep.ready = e.State == Ready && int(e.Kind) < len(s.Kinds)
	if ep.ready {
		ep.role = s.Kinds[e.Kind].Role
	}
}

// EndpointUpdateEnded closes a list; a host that a whole list leaves out is gone, and after a while forgotten: where
// hosts are replaced under new ids for months, a decision must not look at all that there ever were.
func (s *Scheduler) EndpointUpdateEnded(now Micros, whole bool) {
	s.now = now
	s.endpoints = slices.DeleteFunc(s.endpoints, func(ep *endpoint) bool {
		if ep.ready = ep.ready && (ep.listed || !whole); ep.ready {
			ep.unavailableSince = 0
		} else if ep.unavailableSince == 0 {
			ep.unavailableSince = now
		}
		ep.listed = false
		if ep.unavailableSince == 0 || now-ep.unavailableSince < forgetAfter || len(ep.pending) > 0 || ep.streams > 0 {
			return false
		}
		delete(s.byID, ep.id)
		return true
	})
	s.admit(false)
	s.arm()
}

// EndpointWatchFailed asks again after a wait drawn by chance, so that instances cut off together do not call
// together.
func (s *Scheduler) EndpointWatchFailed(now Micros) {
	s.now = now
	if s.WatchOnDemand {
		s.due.Set(now+sec/2+Micros(s.rand.Int63n(int64(sec))), s.executor.WatchEndpoints)
	}
	s.arm()
}

// QuotaChanged changes what a tenant may send inside its share, over all dispatchers; one not heard of yet is new.
func (s *Scheduler) QuotaChanged(now Micros, tenant TenantID, perS float64) {
	s.now = now
	for int(tenant) >= len(s.Quotas) {
		s.Quotas, s.allowed = append(slices.Clone(s.Quotas), 0), append(s.allowed, 0)
	}
	fresh := s.Quotas[tenant] == 0
	if s.Quotas[tenant] = perS; fresh {
		s.allowed[tenant] = s.burst(int(tenant))
	}
	s.allowed[tenant] = min(s.allowed[tenant], s.burst(int(tenant)))
}

// RequestWithdrawn gives up a request whose answer has not begun, as when its tenant is removed.
func (s *Scheduler) RequestWithdrawn(now Micros, id RequestID) {
	s.now = now
	if req := s.requests[id]; req != nil && !req.answered && (req.out == nil || !req.out.started) {
		s.giveUp(req, Withdrawn)
	}
	s.arm()
}

// --- A request's way ---

// RequestArrived takes a request; from here on exactly one final answer is owed.
func (s *Scheduler) RequestArrived(now Micros, a Arrival) {
	s.now = now
	class, tenant := a.Class, a.Tenant
	req := &request{id: a.ID, class: class, session: a.Session, prefix: a.Prefix, promptTokens: a.PromptTokens,
		prefixTokens: a.PrefixTokens, answerTokens: a.MaxOutputTokens / 2, arrivedAt: now, deadline: a.Deadline}
	s.requests[a.ID] = req
	if int(class) >= len(s.Classes) {
		s.explain(req, UnknownClass)
		s.finish(req, s.executor.Fail)
		return
	}
	p := s.Classes[class]
	if a.DecodeTime > 0 && p.TokenSLO > 0 {
		req.answerTokens = float64(a.DecodeTime) / float64(p.TokenSLO)
	}
	req.sloAt = now + p.SLO + Micros(float64(p.SLOPer1000)*a.PromptTokens/1000)
	s.countPrefix(a.Prefix)
	blend(&s.typical[class], a.PromptTokens+req.answerTokens, usualMemory)
	if int(tenant) < len(s.Quotas) {
		s.allowed[tenant]--
		req.over = s.allowed[tenant] < 0
		s.allowed[tenant] = max(s.allowed[tenant], 0)
	}
	// Two ticks early: an answer given at the limit itself would reach the client after it has hung up.
	req.limit = s.due.Set(a.Deadline-2*s.TickInterval-ms, func() { s.giveUp(req, DeadlineReached) })
	s.enter(req)
	s.arm()
}

// enter starts a request on its way, or holds it while no writer fits or no reader can be had.
func (s *Scheduler) enter(req *request) {
	if req.sent+2 > s.MaxAttempts {
		s.giveUp(req, AttemptsExhausted)
		return
	}
	whole := s.Classes[req.class].PrefillOnly // it goes to mixed hosts only where the readers are busy
	if m := s.pickMixed(req); m != nil && !whole {
		s.answerAt(req, m, req.promptTokens)
		return
	}
	r, wait := s.pickReader(req), math.Inf(1)
	if r != nil {
		wait = s.wait(r, req)
	}
	// With no reader at all to be had, as when all are released at once, long prompts too are read elsewhere.
	if wait > readTime && (r == nil || req.promptTokens <= s.typical[req.class]) {
		if sim := s.pickOtherReader(req); sim != nil {
			s.answerAt(req, sim, req.promptTokens)
			return
		}
	}
	// Past this the readers' queues only make all late, and what spills from its prefix's home is read in
	// full: what waits here can still be put in order, and given up when it is too late.
	most := holdShare * secs(req.sloAt-req.arrivedAt)
	if whole { // it makes way: chat behind it at its home would look for another, and be read in full there
		most = makeWay + req.promptTokens/s.pace(cmp.Or(r, &endpoint{}))
	}
	if r != nil && (len(r.pending) == 0 || wait <= most) {
		if whole || s.writerAhead(req) {
			s.send(req, r, s.tokensToPrefill(r, req), func(res AttemptResult) { s.afterRead(req, r, res.Outcome) })
			return
		}
	}
	if !req.held {
		req.held = true
		s.queued = append(s.queued, req)
	}
}

// writerAhead tells whether there is a writer that fits, and room at the writers for what is being read.
func (s *Scheduler) writerAhead(req *request) bool {
	_, fits := s.pickDecode(req, nil)
	return fits && s.roomAhead(req)
}

// answerAt sends to where the answer is made: the state is fetched, or so much of the prompt read there.
func (s *Scheduler) answerAt(req *request, sim *endpoint, read float64) {
	s.send(req, sim, read, func(res AttemptResult) { s.afterWrite(req, sim, res) })
}

// admit tries what is held again: dearest first, and among equals the newest, which has the most time left;
// by the earliest SLO time all would barely miss it. What can't be in time any more makes way at once for
// what can. It stops when several find no place, and a long queue is put in order only at each beat: a
// flood must not cost its square.
func (s *Scheduler) admit(beat bool) {
	if s.removed > 0 {
		s.queued, s.removed = slices.DeleteFunc(s.queued, func(req *request) bool { return !req.held }), 0
	}
	queue, at := s.queued, 0
	s.queued = s.requeued[:0]
	ordered := beat || len(queue) < shortQueue
	if ordered {
		slices.SortStableFunc(queue, func(a, b *request) int {
			return cmp.Or(cmp.Compare(s.value(b), s.value(a)), cmp.Compare(b.arrivedAt, a.arrivedAt))
		})
	}
	for ; at < len(queue) && len(s.queued) < missesMost; at++ {
		queue[at].held = false
		s.enter(queue[at])
	}
	// What found no place stands first again; it has room in front of the rest, where it came from.
	s.requeued = s.queued
	s.queued = queue[at-len(s.requeued):]
	copy(s.queued, s.requeued)
	if ordered && slices.ContainsFunc(s.queued, s.timely) {
		for _, req := range s.queued {
			if !s.timely(req) {
				s.giveUp(req, TooLate)
			}
		}
	}
}

// timely: what is usual for a read and a first token still fits into the SLO time.
func (s *Scheduler) timely(req *request) bool {
	return s.now+Micros(s.usual[0]+s.usual[1]) <= req.sloAt
}

// value is what a request would still earn for each unit of work.
func (s *Scheduler) value(req *request) float64 {
	v := s.Classes[req.class].Revenue
	if !s.timely(req) {
		v *= s.Classes[req.class].LateRevenueShare
	}
	if req.over {
		v *= s.OverQuotaWeight
	}
	return v
}

func (s *Scheduler) afterRead(req *request, r *endpoint, how Outcome) {
	if how == PrefillDone {
		req.state, req.tried = r, nil
		s.write(req)
		return
	}
	req.tried = append(req.tried, r)
	s.enter(req)
}

// write sends the read state to a writer now: a state may not wait, so limits give way where none fits.
func (s *Scheduler) write(req *request) {
	if sim, _ := s.pickDecode(req, req.state); sim != nil && req.sent < s.MaxAttempts {
		s.answerAt(req, sim, 0)
		return
	}
	s.dropState(req)
	req.tried = nil
	s.enter(req)
}

func (s *Scheduler) afterWrite(req *request, sim *endpoint, res AttemptResult) {
	how := res.Outcome
	if res.StateMissing && (how == NoCapacity || how == ConnectionLost) {
		s.dropState(req)
	}
	if how != NoCapacity || !res.StateMissing { // else the writer is not to blame, and may be the only one
		req.tried = append(req.tried, sim)
	}
	switch {
	case !s.mayRepeat(req, nil):
		s.giveUp(req, MayHaveRun)
	case req.state != nil:
		s.write(req)
	default:
		s.enter(req)
	}
}

// giveUp ends a request: throttled where a further try is harmless, otherwise terminated.
func (s *Scheduler) giveUp(req *request, why Reason) {
	s.explain(req, why)
	if s.mayReject(req) {
		s.finish(req, func(id RequestID) { s.executor.Reject(id, min(sec/2, s.MaxRetryAfter)) })
	} else {
		s.finish(req, s.executor.Fail)
	}
}

func (s *Scheduler) explain(req *request, why Reason) {
	if e, ok := s.executor.(Explainer); ok && !req.answered {
		e.Explain(req.id, why)
	}
}

// finish gives the final answer and sees that nothing stays held: ending a request releases nothing.
func (s *Scheduler) finish(req *request, answer func(RequestID)) {
	if !req.answered {
		req.answered = true
		answer(req.id)
	}
	s.due.Drop(req.limit)
	if req.held { // it is taken out of the queue when that is next looked through: many end at once
		req.held = false
		s.removed++
	}
	if req.out != nil {
		s.cancel(req.out) // its outcome lets go of the rest
		return
	}
	s.dropState(req)
	delete(s.requests, req.id)
}

// mayRepeat tells whether the product lets the request be sent again (to h, or to any host at all if nil).
func (s *Scheduler) mayRepeat(req *request, ep *endpoint) bool {
	p := s.Classes[req.class]
	if req.ran == nil || p.Effect == Idempotent {
		return true
	}
	// An attempt counts when it is there, and may wait for its connection before.
	if p.Effect == NonIdempotent || s.now+s.TickInterval+s.ConnectTimeout >= req.ran.sent+p.Window {
		return false
	}
	switch {
	case ep == nil || p.Group == AllEndpoints:
		return true
	case p.Group == SameZone:
		return ep.zone == req.ran.host.zone
	}
	return ep.cell == req.ran.host.cell
}

// mayReject: a client told to come again must be able to do so without harm. An attempt still out is not
// known to have done nothing, be it a read.
func (s *Scheduler) mayReject(req *request) bool {
	return s.Classes[req.class].Effect == Idempotent || req.ran == nil && req.out == nil
}

// --- Legs ---

func (s *Scheduler) send(req *request, ep *endpoint, read float64, then func(AttemptResult)) {
	switch {
	case req.sent >= s.MaxAttempts:
		s.giveUp(req, AttemptsExhausted)
		return
	case req.deadline <= s.now:
		s.giveUp(req, DeadlineReached)
		return
	case s.blocked(req, ep):
		s.giveUp(req, RuleViolation)
		return
	}
	l := &attempt{no: AttemptNo(req.sent), gen: req, host: ep, sent: s.now, work: read, ahead: ep.unread,
		writes: ep.role != Prefill, tokens: req.promptTokens + req.answerTokens, then: then}
	l.late = s.now + req.part(slowStart)
	if req.state != nil {
		l.far, l.from = req.state.cell != ep.cell, req.state.cell
	}
	l.fresh = !s.open(ep)
	s.count(l)
	ep.credit -= max(s.typical[req.class], 1)
	s.executor.Send(req.id, ep.id, s.patience(req, ep, l))
}

// patience is how long an attempt may take: enough for what is usual, but where another host could still do
// it, not the whole of the time limit, so that one that stalls leaves time for the other.
func (s *Scheduler) patience(req *request, ep *endpoint, l *attempt) Micros {
	left := req.deadline - s.now
	if l.writes && s.Classes[req.class].Effect != Idempotent {
		return left
	}
	enough := Micros(6*s.usually(l)+3*float64(sec)*(l.ahead+l.work)/s.pace(ep)) + sec/2
	return min(left, max(enough, left/2))
}

// usually is what an attempt's stage, or both where it reads and answers in one place, takes at this load.
func (s *Scheduler) usually(l *attempt) float64 {
	switch {
	case !l.writes:
		return s.usual[0]
	case l.work == 0:
		return s.usual[1]
	}
	return s.usual[0] + s.usual[1]
}

func (s *Scheduler) cancel(l *attempt) {
	if s.CancelAllowed && !l.dropped && !l.started {
		l.dropped = true
		s.executor.Cancel(l.gen.id, l.no)
	}
}

// AttemptStarted notes that the answer streams; the client has it, and no time limit counts any more.
func (s *Scheduler) AttemptStarted(now Micros, id RequestID, no AttemptNo) {
	s.now = now
	l := s.currentAttempt(id, no)
	if l == nil {
		return
	}
	if l.work == 0 {
		blend(&s.usual[1], float64(now-l.sent), usualMemory)
	}
	s.learnHandover(l)
	l.started, l.gen.state = true, nil
	s.due.Drop(l.gen.limit)
	l.readOff()
	ep := l.host
	s.well(ep)
	ep.lastHeard = now
	switch {
	case now <= l.late:
		ep.timelyStartAt = now
		if l.far {
			delete(s.links, l.from)
		}
	case s.linkToBlame(l):
		s.links[l.from] = now
	case now-ep.limitCutAt > capEvery:
		ep.limit, ep.limitCutAt = capCut*min(ep.reservedTokens, s.reservationLimit(ep)), now
	}
}

// AttemptEnded hands an attempt's outcome to what the attempt left behind.
func (s *Scheduler) AttemptEnded(now Micros, id RequestID, no AttemptNo, res AttemptResult) {
	s.now = now
	how := res.Outcome
	l := s.currentAttempt(id, no)
	if l == nil {
		return
	}
	req, ep, work := l.gen, l.host, l.work
	s.uncount(l)
	s.recordMemoryReport(ep, res.MemoryUsage)
	if !l.started && (how == TimedOut || how == Cancelled) {
		s.learnHandover(l)
	}
	if l.fresh {
		failed := 0.0
		if how == Unreachable {
			failed = 1
		}
		s.connectFailures.learn(s, 0, failed)
	}
	s.judge(ep, l, res)
	if how == PrefillDone {
		s.learnRead(ep, l, req, work, float64(res.CachedTokens))
	}
	if l.writes && req.ran == nil && !how.KnownNotRun() {
		req.ran = l
	}
	switch {
	case res.RequestClosed || req.answered:
		req.answered = true
		if !l.writes && !s.Classes[req.class].PrefillOnly {
			req.state = ep // also a read that was cut off may have ended; letting go is free
		}
		s.finish(req, nil)
	case l.started:
		// It ended without closing, as when our cancel crossed its start: an answer is still owed.
		s.giveUp(req, StreamEndedEarly)
	default:
		l.then(res)
	}
	s.admit(false)
	s.arm()
}

// ClientDisconnected notes that the client is gone and nobody waits any more.
func (s *Scheduler) ClientDisconnected(now Micros, id RequestID) {
	s.now = now
	if req := s.requests[id]; req != nil {
		req.answered = true
		s.finish(req, nil)
	}
}

// --- Time ---

// TimerFired is one of the two timers.
func (s *Scheduler) TimerFired(now Micros, bell TimerID) {
	s.now = now
	if bell == PeriodicTimer {
		s.executor.SetTimer(tickEvery, PeriodicTimer)
		s.refillShares()
		s.watchSilence()
		s.seeWarm()
		s.admit(true)
	} else {
		s.armed = 0
	}
	s.due.Run(now)
	s.arm()
}

func (s *Scheduler) refillShares() {
	for t := range s.Quotas {
		s.allowed[t] = min(s.allowed[t]+s.burst(t)*secs(s.now-s.refill)/burstTime, s.burst(t))
	}
	s.refill = s.now
}

// burst is what a tenant may send at once and still be inside its share, of which this dispatcher has an
// even part.
func (s *Scheduler) burst(t int) float64 {
	return max(s.Quotas[t]/float64(max(s.Dispatchers, 1))*burstTime, 1)
}

// --- Choosing ---

// candidates are the usable hosts of some roles. Where none is left no verdict is trusted: when all look
// ill it is more likely the network, or this dispatcher. The rules (list, repeats, cold hosts) bind all the
// same.
func (s *Scheduler) candidates(req *request, roles ...Role) []*endpoint {
	from, ill := len(s.lists), func(ep *endpoint) bool { return !s.looksWell(ep, req) }
	s.examined += uint64(len(s.endpoints))
	for _, ep := range s.endpoints {
		if !slices.Contains(roles, ep.role) || !ep.ready || req.state == nil && s.now < ep.noCapacityUntil {
			continue // a full host isn't ill: to send to it all the same would only burn the attempts that are left
		}
		if slices.Contains(req.tried, ep) || !s.mayRepeat(req, ep) || !s.bears(ep) {
			continue
		}
		s.lists = append(s.lists, ep)
	}
	hosts := s.lists[from:len(s.lists):len(s.lists)]
	if i := slices.IndexFunc(hosts, func(ep *endpoint) bool { return !ill(ep) }); i >= 0 {
		hosts = slices.DeleteFunc(hosts, ill)
	}
	return s.connected(hosts)
}

// done gives back the lists of candidates that were made since a mark: one decision makes several, and none
// outlives it.
func (s *Scheduler) done(mark int) { s.lists = s.lists[:mark] }

// connected are the hosts that this dispatcher has a connection to, those of a role all where it has none,
// while new connections often fail: they are slow to set up, or the hosts have no more to give. Many
// dispatchers over many hosts open them all the time.
func (s *Scheduler) connected(hosts []*endpoint) []*endpoint {
	if s.connectFailures.faded(s, 0) < connectHard {
		return hosts
	}
	var some [4]bool
	for _, ep := range hosts {
		some[ep.role] = some[ep.role] || s.open(ep)
	}
	return slices.DeleteFunc(hosts, func(ep *endpoint) bool { return some[ep.role] && !s.open(ep) })
}

func (s *Scheduler) open(ep *endpoint) bool {
	return ep.lastHeard > 0 && s.now-ep.lastHeard < s.IdleTimeout
}

// among are the candidates of some roles that the request can do without: a dead host that is the only
// one of its role must not draw every send for want of a better.
func (s *Scheduler) among(req *request, roles ...Role) []*endpoint {
	all := s.candidates(req, Prefill, Decode, Mixed)
	return slices.DeleteFunc(all, func(ep *endpoint) bool { return !slices.Contains(roles, ep.role) })
}

// looksWell: an ill host rests, then earns its way back, one attempt at a time, on what may run again.
func (s *Scheduler) looksWell(ep *endpoint, req *request) bool {
	trial := len(ep.pending) == 0 && s.Classes[req.class].Effect == Idempotent
	return s.now >= ep.ejectedUntil && (ep.failureScore == 0 || trial)
}

// draw takes some of the hosts by chance where there are many dispatchers: all hear the same reports and know
// little else, and would all send to the same one, the least filled when last heard of.
func (s *Scheduler) draw(hosts []*endpoint) []*endpoint {
	n := max(2, len(hosts)*alike/max(s.Dispatchers, 1))
	if n >= len(hosts) {
		return hosts
	}
	s.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:n]
}

// least is the host of the lowest cost below infinity; ties, as after a restart, must not all fall on one.
func (s *Scheduler) least(hosts []*endpoint, cost func(*endpoint) float64) (best *endpoint) {
	if len(hosts) == 0 {
		return nil
	}
	lowest, first := math.Inf(1), s.rand.Intn(len(hosts))
	for i := range hosts {
		ep := hosts[(first+i)%len(hosts)]
		if c := cost(ep); c < lowest {
			best, lowest = ep, c
		}
	}
	return best
}

// pickReader is the prefix's home unless that is busy, else the reader with the least work. Readers whose
// states could not be taken anywhere in time are left out.
func (s *Scheduler) pickReader(req *request) *endpoint {
	defer s.done(len(s.lists))
	if s.Classes[req.class].PrefillOnly { // no state that would have to be taken, nor any text that is kept
		return s.least(s.candidates(req, Prefill, Embedder), func(ep *endpoint) float64 { return s.wait(ep, req) })
	}
	late := s.congestedCells()
	var takes []CellID
	asked := false
	readers := slices.DeleteFunc(s.candidates(req, Prefill), func(r *endpoint) bool {
		if !s.linkCongested(r.cell, req, late) {
			return false
		}
		if !asked {
			takes, asked = s.cellsAcceptingState(req), true
		}
		_, some := slices.BinarySearch(takes, r.cell)
		return !some
	})
	homes := s.affinityEndpoints(req, readers)
	wait := func(ep *endpoint) float64 {
		return s.wait(ep, req) + max(s.handover(ep.cell)-secs(req.part(slowStart/2)), 0)
	}
	least := s.least(readers, wait)
	for _, home := range homes {
		if home != nil && wait(home) <= homeFactor*wait(least)+homeFloor {
			return home
		}
	}
	return least
}

// affinityEndpoints are where a prefix, or a session without one, is read first. It has a home in each zone and one among
// all. The own zone's goes first: links between zones are long and charged for. Where it is busy that of all
// goes before the least-loaded, which may not have kept the text.
func (s *Scheduler) affinityEndpoints(req *request, readers []*endpoint) [2]*endpoint {
	key := cmp.Or(uint64(req.prefix), uint64(req.session))
	req.homes = [2]*endpoint{}
	if key == 0 || len(readers) == 0 {
		return req.homes
	}
	from := len(s.lists)
	for _, ep := range readers {
		if ep.zone == s.Zone {
			s.lists = append(s.lists, ep)
		}
	}
	if near := s.lists[from:]; len(near) > 0 {
		req.homes[0] = s.affinityEndpoint(req, key, near)
	}
	req.homes[1] = s.affinityEndpoint(req, key, readers)
	return req.homes
}

// cellsAcceptingState are those with a writer that fits among the cell's own, which are all that a state behind a
// jammed link may go to. One walk finds them for all readers.
func (s *Scheduler) cellsAcceptingState(req *request) []CellID {
	defer s.done(len(s.lists))
	hosts, takes := s.writers(req), s.cells[:0]
	slices.SortFunc(hosts, func(a, b *endpoint) int { return cmp.Compare(a.cell, b.cell) })
	for len(hosts) > 0 {
		n := 1
		for n < len(hosts) && hosts[n].cell == hosts[0].cell {
			n++
		}
		median := median(s.loads(hosts[:n]))
		if slices.ContainsFunc(hosts[:n], func(ep *endpoint) bool { return s.fits(ep, req, median) }) {
			takes = append(takes, hosts[0].cell)
		}
		hosts = hosts[n:]
	}
	s.cells = takes
	return takes
}

// writers are the candidates for a write; without any writer mixed hosts are.
func (s *Scheduler) writers(req *request) []*endpoint {
	if hosts := s.candidates(req, Decode); len(hosts) > 0 {
		return hosts
	}
	return s.candidates(req, Mixed)
}

// affinityEndpoint is the prefix's hashed reader, alike at all dispatchers. A prefix that is a great part of the traffic
// has further homes, shared out by session: many dispatchers that each see little would learn too late that
// its one reader can't do it all.
func (s *Scheduler) affinityEndpoint(req *request, key uint64, readers []*endpoint) *endpoint {
	homes := 1
	if req.prefix != 0 {
		homes += int(s.share(req.prefix) * float64(len(readers)) / homeLoad)
	}
	hash := func(a, b *endpoint) int {
		return cmp.Compare(mix(key^mix(uint64(b.id))), mix(key^mix(uint64(a.id))))
	}
	if homes == 1 {
		return slices.MinFunc(readers, hash)
	}
	slices.SortFunc(readers, hash)
	key = uint64(req.session)
	return slices.MinFunc(readers[:min(homes, len(readers))], hash)
}

// share is a prefix's part of the traffic. Who has seen little must not take the one prefix it saw for all
// of it: all dispatchers would read each text at homes of their own. So it counts what was seen beyond the
// first, among some more requests that are taken to be as alike as any two of those seen were; but not for
// a prefix that would have been seen more often by now if it were like that.
func (s *Scheduler) share(prefix PrefixID) float64 {
	others := max(s.arrivals-1, 0)
	alike := s.pairs / (s.arrivals*others/2 + arrivalsFew)
	return (max(s.requestCounts[prefix]-1, 0) + arrivalsFew*alike*math.Exp(-others*alike)) / (others + arrivalsFew)
}

// countPrefix keeps each prefix's part of the traffic; what is long past counts for little.
func (s *Scheduler) countPrefix(prefix PrefixID) {
	s.arrivals++
	s.pairs += s.requestCounts[prefix]
	s.requestCounts[prefix]++
	if s.arrivals > arrivalsMost {
		s.arrivals /= 2
		s.pairs /= 4
		for p, n := range s.requestCounts {
			if s.requestCounts[p] = n / 2; n < 0.1 {
				delete(s.requestCounts, p)
			}
		}
	}
}

// wait is the seconds until a reader would have read the request, by own counts and its own pace.
func (s *Scheduler) wait(ep *endpoint, req *request) float64 {
	return (ep.unread + s.tokensToPrefill(ep, req)) / s.pace(ep)
}

// handover is the seconds until a state that was read in a cell begins to be answered, as lately seen; a cell
// whose one link is overfull, or whose writers are, has its readers look busy.
func (s *Scheduler) handover(cell CellID) float64 {
	return s.handoverDelay[cell].faded(s, s.usual[1]/float64(sec))
}

func (s *Scheduler) learnHandover(l *attempt) {
	if l.writes && l.work == 0 {
		t := s.handoverDelay[l.from]
		t.learn(s, s.usual[1]/float64(sec), secs(s.now-l.sent))
		s.handoverDelay[l.from] = t
	}
}

// faded is what was seen lately, and ever more the usual where nothing was seen for long: what one dispatcher
// sees of one host or cell is seldom and soon old.
func (t decayingMean) faded(s *Scheduler, usual float64) float64 {
	if t.at == 0 {
		return usual
	}
	return usual + (t.value-usual)*math.Exp(-secs(s.now-t.at)/traceFades)
}

func (t *decayingMean) learn(s *Scheduler, usual, seen float64) {
	t.value = t.faded(s, usual)
	t.value += traceMemory * (seen - t.value)
	t.at = s.now
}

func (s *Scheduler) pace(ep *endpoint) float64 {
	return (ep.prefillTokens + firstRate) / (ep.prefillSeconds + 1)
}

// tokensToPrefill is what of a prompt the host has likely not kept. A home keeps what the others send there, which
// this dispatcher has not seen: taken to keep nothing, it would look slower than any host that was once read
// at instead, and each dispatcher would have homes of its own.
func (s *Scheduler) tokensToPrefill(ep *endpoint, req *request) float64 {
	switch {
	case ep.cachedPrefixes[req.prefix]:
		return max(req.promptTokens-req.prefixTokens, 1)
	case ep == req.homes[0] || ep == req.homes[1]:
		return max(req.promptTokens-req.prefixTokens*s.cachedShare, 1)
	}
	return req.promptTokens
}

// pickDecode is the least filled fitting writer, in the reader's cell, else its zone, else anywhere; if
// none fits, the least filled past the limits. It tells whether the one it names fits.
func (s *Scheduler) pickDecode(req *request, reader *endpoint) (*endpoint, bool) {
	defer s.done(len(s.lists))
	hosts := s.writers(req)
	if reader != nil && s.linkCongested(reader.cell, req, s.congestedCells()) {
		inside := func(ep *endpoint) bool { return ep.cell == reader.cell }
		if slices.ContainsFunc(hosts, inside) {
			hosts = slices.DeleteFunc(hosts, func(ep *endpoint) bool { return !inside(ep) })
		}
	}
	if len(hosts) == 0 {
		return nil, false
	}
	median, outside := median(s.loads(hosts)), s.numbers[:0]
	for _, ep := range hosts {
		if reader != nil && ep.cell != reader.cell {
			outside = append(outside, s.fill(ep))
		}
	}
	s.numbers = outside
	most := max(nearFactor*mean(outside)+nearFloor, nearLittle)
	// The step that the least filled is looked for in: the cell, the zone, anywhere, past the limits.
	first := 4
	for i, ep := range hosts {
		at := 0
		switch {
		case !s.fits(ep, req, median):
			at = 3
		case reader == nil || ep.zone != reader.zone || s.fill(ep) > most:
			at = 2
		case ep.cell != reader.cell && s.Dispatchers <= alike*len(hosts):
			at = 1 // many dispatchers would all overfill a cell's few, and none of them see it
		}
		first, hosts[i].step = min(first, at), at
	}
	hosts = slices.DeleteFunc(hosts, func(ep *endpoint) bool { return ep.step != first })
	return s.least(s.draw(hosts), s.fill), first < 3
}

func (s *Scheduler) fits(ep *endpoint, req *request, median float64) bool {
	if s.load(ep) > median+paceMargin || s.now < ep.noCapacityUntil || s.stalled(ep) {
		return false
	}
	adds := req.promptTokens + req.answerTokens
	return ep.reservedTokens+adds < s.reservationLimit(ep) && (!s.reported(ep) || s.fill(ep)+adds/s.room(ep) < ceiling)
}

// roomAhead counts what is being read against what the writers that fit may still take: that can't be held
// any more, so without this a jam's first free place would let in a whole burst of reads. A cold host takes
// one more.
func (s *Scheduler) roomAhead(req *request) bool {
	adds := req.promptTokens + req.answerTokens
	left := -s.prefillTokens - adds
	defer s.done(len(s.lists))
	hosts := s.candidates(req, Decode, Mixed)
	median := median(s.loads(hosts))
	for _, ep := range hosts {
		if s.cold(ep) {
			left += adds
		} else if s.fits(ep, req, median) {
			left += max(s.reservationLimit(ep)-ep.reservedTokens, 0)
		}
	}
	return left >= 0 || s.prefillTokens == 0
}

// reservationLimit is what this dispatcher may hold at a writer, in tokens, whatever is reported of it. How much
// others hold there is not known and changes when a zone is cut or a dispatcher dies, so it is learnt: cut
// when answers begin late, for then the memory has run out and answers are put back and read anew; grown
// again with time.
func (s *Scheduler) reservationLimit(ep *endpoint) float64 {
	if ep.limitCutAt == 0 {
		return math.Inf(1)
	}
	even := s.room(ep) / float64(max(s.Dispatchers, 1))
	return max(ep.limit, even/8) + capGrows*even*secs(s.now-ep.limitCutAt)
}

// stalled: an answer is late to begin at this writer, so its memory, slots or pace are spent, whoever spent
// them. It stands in for the ceiling where nothing is reported, and in overload it has requests held
// before the read instead of in the writers' queues, where they would all be late.
func (s *Scheduler) stalled(ep *endpoint) bool {
	return slices.ContainsFunc(ep.pending, func(l *attempt) bool {
		return l.writes && s.now > l.late && !s.linkToBlame(l)
	})
}

// linkToBlame: the state comes out of another cell, and the writer has begun another answer in time since.
func (s *Scheduler) linkToBlame(l *attempt) bool { return l.far && l.host.timelyStartAt > l.sent }

// linkCongested: states come out of a cell late though their writers are well, so its one link is overfull or
// failing. Until they come in time again they go to writers inside the cell, and prompts are read where
// states can be taken.
func (s *Scheduler) linkCongested(cell CellID, req *request, late []CellID) bool {
	if at, seen := s.links[cell]; seen && s.now-at < req.part(slowStart) {
		return true
	}
	return slices.Contains(late, cell)
}

// congestedCells are those out of which a state is late that is on its way now; most of the time there is none.
// They are found once for a decision: to look through all attempts for each reader cost the fleet's square.
func (s *Scheduler) congestedCells() (cells []CellID) {
	s.examined += uint64(len(s.endpoints))
	for _, ep := range s.endpoints {
		for _, l := range ep.pending {
			if l.far && s.now > l.late && s.linkToBlame(l) && !slices.Contains(cells, l.from) {
				cells = append(cells, l.from)
			}
		}
	}
	return cells
}

// load is a host's streams, those of the others taken from own averages, as one dispatcher's even part.
func (s *Scheduler) load(ep *endpoint) float64 {
	s.average(ep)
	return (float64(ep.streams) + ep.meanStreams*float64(s.others())) / float64(s.others()+1)
}

func (s *Scheduler) others() int { return max(s.Dispatchers-1, 0) }

// average keeps what this dispatcher had at a host, over the longer the more dispatchers there are, each of
// which sends there the more seldom: what is there now says next to nothing of what the others have there.
func (s *Scheduler) average(ep *endpoint) {
	if gap := s.now - ep.meanAt; gap > 0 && s.others() > 0 {
		sim := 1 - math.Exp(-secs(gap)/(meanOver*float64(s.others())))
		ep.meanReserved += sim * (ep.reservedTokens - ep.meanReserved)
		ep.meanStreams += sim * (float64(ep.streams) - ep.meanStreams)
		ep.meanAt = s.now
	}
}

// loads are good until the next ones are asked for.
func (s *Scheduler) loads(hosts []*endpoint) []float64 {
	s.numbers = s.numbers[:0]
	for _, ep := range hosts {
		s.numbers = append(s.numbers, s.load(ep))
	}
	return s.numbers
}

func (s *Scheduler) reported(ep *endpoint) bool {
	return ep.reportedUsage >= 0 && s.now-ep.reportedAt < reportStale
}

// fill is the share of a writer's memory that is taken: the last report and what this dispatcher has added
// since, or its own count alone, taken to be an even part of the whole.
func (s *Scheduler) fill(ep *endpoint) float64 {
	if s.reported(ep) {
		return max(ep.reportedUsage+(ep.reservedTokens-ep.reservedAtReport)/s.room(ep), ep.reservedTokens/s.room(ep))
	}
	s.average(ep)
	return (ep.reservedTokens + ep.meanReserved*float64(s.others())) / s.room(ep)
}

// pickMixed gives mixed hosts their share whole, by their load against the writers' mean. By memory, of which
// they have most, they would be given more than they read in time.
func (s *Scheduler) pickMixed(req *request) *endpoint {
	defer s.done(len(s.lists))
	mixed := s.among(req, Mixed)
	if len(mixed) == 0 {
		return nil
	}
	writers := s.candidates(req, Decode)
	best := s.leastLoaded(mixed, req, median(s.loads(slices.Concat(mixed, writers))))
	if len(writers) > 0 && mean(s.loads(mixed)) > mixedShare*mean(s.loads(writers)) {
		return nil
	}
	return best
}

// pickOtherReader: readers are busy; the prompt may be read where it is answered.
func (s *Scheduler) pickOtherReader(req *request) *endpoint {
	defer s.done(len(s.lists))
	roles := []Role{Mixed}
	if s.DecodePrefills {
		roles = append(roles, Decode)
	}
	hosts := s.among(req, roles...)
	return s.leastLoaded(hosts, req, median(s.loads(hosts)))
}

func (s *Scheduler) leastLoaded(hosts []*endpoint, req *request, median float64) *endpoint {
	return s.least(hosts, func(ep *endpoint) float64 {
		if !s.fits(ep, req, median) {
			return math.Inf(1)
		}
		return s.load(ep)
	})
}

// --- What is learnt ---

// learnRead takes from a read how fast the host reads and what it keeps. Where much less was kept than
// before, it has forgotten, and likely more than this text.
func (s *Scheduler) learnRead(ep *endpoint, l *attempt, req *request, work, kept float64) {
	blend(&s.usual[0], float64(s.now-l.sent), usualMemory)
	ep.prefillTokens += l.ahead + max(req.promptTokens-kept, 1)
	ep.prefillSeconds += secs(s.now - l.sent)
	if ep.prefillTokens > rateMemory {
		ep.prefillSeconds *= rateMemory / ep.prefillTokens
		ep.prefillTokens = rateMemory
	}
	if !ep.cachedPrefixes[req.prefix] && req.prefixTokens > 0 && (ep == req.homes[0] || ep == req.homes[1]) {
		blend(&s.cachedShare, min(kept/req.prefixTokens, 1), usualMemory)
	}
	if ep.cachedPrefixes[req.prefix] && kept < (req.promptTokens-work)/2 || len(ep.cachedPrefixes) > textsMost {
		clear(ep.cachedPrefixes)
	}
	if req.prefix != 0 {
		ep.cachedPrefixes[req.prefix] = true
	}
}

// judge draws from an outcome what it says of the host.
func (s *Scheduler) judge(ep *endpoint, l *attempt, res AttemptResult) {
	switch how := res.Outcome; how {
	case Completed, PrefillDone:
		ep.lastHeard = s.now
		s.well(ep)
		s.age(ep)
		ep.completedTokens += s.typical[l.gen.class]
	case NoCapacity:
		if !res.StateMissing { // that a state is gone may be known without a word from the host
			ep.lastHeard = s.now
			ep.noCapacityUntil = s.now + fullRest
		}
	case Errored, ConnectionLost, Unreachable:
		if how != Errored {
			ep.lastHeard = 0
		}
		s.recordFailure(ep, AttemptFailed)
	case TimedOut:
		if ep.lastHeard <= l.sent {
			s.recordFailure(ep, AttemptTimedOut)
		}
	}
}

func (s *Scheduler) well(ep *endpoint) {
	if ep.failureScore *= illHeals; ep.failureScore < 0.4 {
		ep.failureScore = 0
	}
}

// recordFailure rests a host, longer each time. It guards against a host that errs quickly: that one frees its
// counted memory at once, would look emptiest and draw every send. It holds as well against a dead host
// that the list still names, a cut network and a host out of connections.
func (s *Scheduler) recordFailure(ep *endpoint, why EjectionReason) {
	if s.now < ep.ejectedUntil {
		return // many attempts that break at once are one failure
	}
	ep.failureScore = min(ep.failureScore+1, illMost)
	ep.ejectedUntil = s.now + Micros(float64(quietFirst)*math.Exp2(ep.failureScore-1))
	s.executor.Log(EndpointEjected{Endpoint: ep.id, Reason: why, For: ep.ejectedUntil - s.now})
}

// watchSilence finds hosts that owe answers and say nothing, long before attempts time out. Such a host rests
// at first; when it stays silent, what may be sent elsewhere is taken back. It guards against hosts that
// hang or vanish. It can hurt where a host is merely jammed, as what is taken back loses its place there:
// so what is usual sets the limit.
func (s *Scheduler) watchSilence() {
	for _, ep := range s.endpoints {
		i := slices.IndexFunc(ep.pending, func(l *attempt) bool { return !l.dropped })
		if i < 0 {
			continue
		}
		limit := max(silentLeast, Micros(silentTimes*s.usually(ep.pending[i])))
		limit += Micros(2 * float64(sec) * (ep.pending[i].ahead + ep.pending[i].work) / s.pace(ep))
		quiet := s.now - max(ep.pending[i].sent, ep.lastHeard)
		if quiet >= limit {
			s.recordFailure(ep, EndpointSilent)
		}
		if quiet < takeBack*limit {
			continue
		}
		for _, l := range ep.pending {
			if !l.writes || s.Classes[l.gen.class].Effect == Idempotent {
				s.cancel(l)
			}
		}
	}
}

// --- Cold hosts ---

func (s *Scheduler) age(ep *endpoint) {
	ep.completedTokens *= math.Exp(-secs(s.now-ep.completedAt) / doneMemory)
	ep.completedAt = s.now
}

func (s *Scheduler) cold(ep *endpoint) bool { return ep.startedAt > 0 && s.now-ep.startedAt < s.WarmUp }

// seeWarm learns what warm hosts of each role lately did, and keeps it: where all of a role start together
// no warm one is left to go by, and what was not seen before would let next to nothing through. So it is
// looked at on each beat, not only once there are cold ones. Those that look ill do not count: dead ones that
// the list still names would make the others' work look small.
func (s *Scheduler) seeWarm() {
	var sum, n [4]float64
	s.examined += uint64(len(s.endpoints))
	for _, o := range s.endpoints {
		if o.ready && o.failureScore == 0 && !s.cold(o) {
			s.age(o)
			sum[o.role] += o.completedTokens / doneMemory
			n[o.role]++
		}
	}
	for role := range n {
		if n[role] > 0 {
			s.warmThroughput[role] = sum[role] / n[role]
		}
	}
}

// bears tells whether a cold host can take one more attempt. All dispatchers are taken to send alike, so each
// keeps to what the rule leaves of the work that warm hosts of the role were seen to do for it, and the
// cold one itself.
func (s *Scheduler) bears(ep *endpoint) bool {
	if !s.cold(ep) {
		return true
	}
	s.age(ep)
	rate := s.OverloadFactor * slowStartShare * s.SlowStartFactor * s.warmThroughput[ep.role]
	mean := 1.0
	for _, tokens := range s.typical {
		mean = max(mean, tokens)
	}
	// One answer is no measure: where each dispatcher sees few, those that saw one would all take it for many.
	if ep.completedTokens > provenLeast*mean {
		rate = max(rate, s.OverloadFactor*provenPart*ep.completedTokens/doneMemory)
	}
	// Knowing nothing, as after a restart: one mean request in each span of the rule, and no more than
	// coldLeast of them from all together.
	rate = max(rate, mean/max(secs(s.OverloadWindow), 1)*min(1, coldLeast/float64(max(s.Dispatchers, 1))))
	// Each dispatcher begins its part at a time of its own: less than one request each is shared out by
	// chance, where all would send their first at once.
	if ep.creditAt == 0 {
		ep.credit, ep.creditAt = -mean*s.rand.Float64(), s.now
	}
	ep.credit = min(ep.credit+rate*secs(s.now-ep.creditAt), 0)
	ep.creditAt = s.now
	return ep.credit >= 0
}
