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
	"fmt"
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

	coldShare   = 1.2 // of the fall rule's part; warm hosts are seen to do much less than they could
	provenPart  = 0.9 // of the rule's multiple of what the cold host itself was seen to do
	provenLeast = 2.0 // mean requests lately, from which on it is a measure
	coldLeast   = 4.0 // mean requests in a span of the rule that any cold host bears from all
	doneMemory  = 5.0 // seconds over which work done is counted
)

// New makes an instance that knows nothing yet but the place it serves in.
func New(now Micros, seed int64, place Config, orders Executor) *Scheduler {
	d := &Scheduler{Config: place, now: now, orders: orders, rand: rand.New(rand.NewSource(seed)),
		byID: map[EndpointID]*host{}, links: map[CellID]Micros{}, outOf: map[CellID]decayingMean{},
		often: map[PrefixID]float64{}, gens: map[RequestID]*request{}, refill: now,
		typical: make([]float64, len(place.Classes)), allowed: make([]float64, len(place.Quotas))}
	for t := range d.allowed {
		d.allowed[t] = d.burst(t)
	}
	d.homesKeep = 1
	d.usual = [2]float64{float64(150 * ms), float64(100 * ms)}
	if d.WatchOnDemand {
		orders.WatchEndpoints()
	}
	orders.SetTimer(tickEvery, PeriodicTimer)
	return d
}

// --- The list of hosts ---

// EndpointUpdated takes one entry of a list; EndpointUpdateEnded follows the last.
func (d *Scheduler) EndpointUpdated(now Micros, e EndpointStatus) {
	d.now = now
	id, since := e.ID, e.StartedAt
	h := d.byID[id]
	if h == nil {
		h = &host{id: id, memory: -1, texts: map[PrefixID]bool{}}
		d.byID[id] = h
		at, _ := slices.BinarySearchFunc(d.hosts, id, func(h *host, id EndpointID) int { return int(h.id) - int(id) })
		d.hosts = slices.Insert(d.hosts, at, h)
	}
	if h.since != since && since > 0 {
		// A new process: what the old one kept, and what was held against it, is gone.
		h.ill, h.quietUntil, h.creditAt, h.memory = 0, 0, 0, -1
		h.done, h.readTok, h.readTime, h.heard = 0, 0, 0, 0
		clear(h.texts)
	}
	h.zone, h.kind, h.cell, h.since, h.listed = e.Zone, e.Kind, e.Cell, since, true
	// A kind that the settings do not name can't be told reader from writer: it gets nothing.
	h.ready = e.State == Ready && int(e.Kind) < len(d.Kinds)
	if h.ready {
		h.role = d.Kinds[e.Kind].Role
	}
}

// EndpointUpdateEnded closes a list; a host that a whole list leaves out is gone, and after a while forgotten: where
// hosts are replaced under new ids for months, a decision must not look at all that there ever were.
func (d *Scheduler) EndpointUpdateEnded(now Micros, whole bool) {
	d.now = now
	d.hosts = slices.DeleteFunc(d.hosts, func(h *host) bool {
		if h.ready = h.ready && (h.listed || !whole); h.ready {
			h.goneAt = 0
		} else if h.goneAt == 0 {
			h.goneAt = now
		}
		h.listed = false
		if h.goneAt == 0 || now-h.goneAt < forgetAfter || len(h.legs) > 0 || h.streams > 0 {
			return false
		}
		delete(d.byID, h.id)
		return true
	})
	d.admit(false)
	d.arm()
}

// EndpointWatchFailed asks again after a wait drawn by chance, so that instances cut off together do not call
// together.
func (d *Scheduler) EndpointWatchFailed(now Micros) {
	d.now = now
	if d.WatchOnDemand {
		d.due.Set(now+sec/2+Micros(d.rand.Int63n(int64(sec))), d.orders.WatchEndpoints)
	}
	d.arm()
}

// QuotaChanged changes what a tenant may send inside its share, over all dispatchers; one not heard of yet is new.
func (d *Scheduler) QuotaChanged(now Micros, tenant TenantID, perS float64) {
	d.now = now
	for int(tenant) >= len(d.Quotas) {
		d.Quotas, d.allowed = append(slices.Clone(d.Quotas), 0), append(d.allowed, 0)
	}
	fresh := d.Quotas[tenant] == 0
	if d.Quotas[tenant] = perS; fresh {
		d.allowed[tenant] = d.burst(int(tenant))
	}
	d.allowed[tenant] = min(d.allowed[tenant], d.burst(int(tenant)))
}

// RequestWithdrawn gives up a request whose answer has not begun, as when its tenant is removed.
func (d *Scheduler) RequestWithdrawn(now Micros, id RequestID) {
	d.now = now
	if g := d.gens[id]; g != nil && !g.answered && (g.out == nil || !g.out.started) {
		d.giveUp(g, Withdrawn)
	}
	d.arm()
}

// --- A request's way ---

// RequestArrived takes a request; from here on exactly one final answer is owed.
func (d *Scheduler) RequestArrived(now Micros, a Arrival) {
	d.now = now
	product, tenant := a.Class, a.Tenant
	g := &request{id: a.ID, product: product, session: a.Session, prefix: a.Prefix, prompt: a.PromptTokens,
		shared: a.PrefixTokens, growth: a.MaxOutputTokens / 2, arrived: now, deadline: a.Deadline}
	d.gens[a.ID] = g
	if int(product) >= len(d.Classes) {
		d.explain(g, UnknownClass)
		d.finish(g, d.orders.Fail)
		return
	}
	p := d.Classes[product]
	if a.DecodeTime > 0 && p.TokenSLO > 0 {
		g.growth = float64(a.DecodeTime) / float64(p.TokenSLO)
	}
	g.slo = now + p.SLO + Micros(float64(p.SLOPer1000)*a.PromptTokens/1000)
	d.countPrefix(a.Prefix)
	blend(&d.typical[product], a.PromptTokens+g.growth, usualMemory)
	if int(tenant) < len(d.Quotas) {
		d.allowed[tenant]--
		g.over = d.allowed[tenant] < 0
		d.allowed[tenant] = max(d.allowed[tenant], 0)
	}
	// Two ticks early: an answer given at the limit itself would reach the client after it has hung up.
	g.limit = d.due.Set(a.Deadline-2*d.TickInterval-ms, func() { d.giveUp(g, DeadlineReached) })
	d.enter(g)
	d.arm()
}

// enter starts a request on its way, or holds it while no writer fits or no reader can be had.
func (d *Scheduler) enter(g *request) {
	if g.sent+2 > d.MaxAttempts {
		d.giveUp(g, AttemptsExhausted)
		return
	}
	whole := d.Classes[g.product].PrefillOnly // it goes to mixed hosts only where the readers are busy
	if m := d.pickMixed(g); m != nil && !whole {
		d.answerAt(g, m, g.prompt)
		return
	}
	r, wait := d.pickReader(g), math.Inf(1)
	if r != nil {
		wait = d.wait(r, g)
	}
	// With no reader at all to be had, as when all are released at once, long prompts too are read elsewhere.
	if wait > readTime && (r == nil || g.prompt <= d.typical[g.product]) {
		if w := d.pickOtherReader(g); w != nil {
			d.answerAt(g, w, g.prompt)
			return
		}
	}
	// Past this the readers' queues only make all late, and what spills from its prefix's home is read in
	// full: what waits here can still be put in order, and given up when it is too late.
	most := holdShare * secs(g.slo-g.arrived)
	if whole { // it makes way: chat behind it at its home would look for another, and be read in full there
		most = makeWay + g.prompt/d.pace(cmp.Or(r, &host{}))
	}
	if r != nil && (len(r.legs) == 0 || wait <= most) {
		if whole || d.writerAhead(g) {
			d.send(g, r, d.toRead(r, g), func(res AttemptResult) { d.afterRead(g, r, res.Outcome) })
			return
		}
	}
	if !g.held {
		g.held = true
		d.held = append(d.held, g)
	}
}

// writerAhead tells whether there is a writer that fits, and room at the writers for what is being read.
func (d *Scheduler) writerAhead(g *request) bool {
	_, fits := d.pickWriter(g, nil)
	return fits && d.roomAhead(g)
}

// answerAt sends to where the answer is made: the state is fetched, or so much of the prompt read there.
func (d *Scheduler) answerAt(g *request, w *host, read float64) {
	d.send(g, w, read, func(res AttemptResult) { d.afterWrite(g, w, res) })
}

// admit tries what is held again: dearest first, and among equals the newest, which has the most time left;
// by the earliest SLO time all would barely miss it. What can't be in time any more makes way at once for
// what can. It stops when several find no place, and a long queue is put in order only at each beat: a
// flood must not cost its square.
func (d *Scheduler) admit(beat bool) {
	if d.gone > 0 {
		d.held, d.gone = slices.DeleteFunc(d.held, func(g *request) bool { return !g.held }), 0
	}
	queue, at := d.held, 0
	d.held = d.missed[:0]
	ordered := beat || len(queue) < shortQueue
	if ordered {
		slices.SortStableFunc(queue, func(a, b *request) int {
			return cmp.Or(cmp.Compare(d.value(b), d.value(a)), cmp.Compare(b.arrived, a.arrived))
		})
	}
	for ; at < len(queue) && len(d.held) < missesMost; at++ {
		queue[at].held = false
		d.enter(queue[at])
	}
	// What found no place stands first again; it has room in front of the rest, where it came from.
	d.missed = d.held
	d.held = queue[at-len(d.missed):]
	copy(d.held, d.missed)
	if ordered && slices.ContainsFunc(d.held, d.timely) {
		for _, g := range d.held {
			if !d.timely(g) {
				d.giveUp(g, TooLate)
			}
		}
	}
}

// timely: what is usual for a read and a first token still fits into the SLO time.
func (d *Scheduler) timely(g *request) bool {
	return d.now+Micros(d.usual[0]+d.usual[1]) <= g.slo
}

// value is what a request would still earn for each unit of work.
func (d *Scheduler) value(g *request) float64 {
	v := d.Classes[g.product].Revenue
	if !d.timely(g) {
		v *= d.Classes[g.product].LateRevenueShare
	}
	if g.over {
		v *= d.OverQuotaWeight
	}
	return v
}

func (d *Scheduler) afterRead(g *request, r *host, how Outcome) {
	if how == PrefillDone {
		g.state, g.tried = r, nil
		d.write(g)
		return
	}
	g.tried = append(g.tried, r)
	d.enter(g)
}

// write sends the read state to a writer now: a state may not wait, so limits give way where none fits.
func (d *Scheduler) write(g *request) {
	if w, _ := d.pickWriter(g, g.state); w != nil && g.sent < d.MaxAttempts {
		d.answerAt(g, w, 0)
		return
	}
	d.dropState(g)
	g.tried = nil
	d.enter(g)
}

func (d *Scheduler) afterWrite(g *request, w *host, res AttemptResult) {
	how := res.Outcome
	if res.StateMissing && (how == NoCapacity || how == ConnectionLost) {
		d.dropState(g)
	}
	if how != NoCapacity || !res.StateMissing { // else the writer is not to blame, and may be the only one
		g.tried = append(g.tried, w)
	}
	switch {
	case !d.mayRepeat(g, nil):
		d.giveUp(g, MayHaveRun)
	case g.state != nil:
		d.write(g)
	default:
		d.enter(g)
	}
}

// giveUp ends a request: throttled where a further try is harmless, otherwise terminated.
func (d *Scheduler) giveUp(g *request, why Reason) {
	d.explain(g, why)
	if d.mayReject(g) {
		d.finish(g, func(id RequestID) { d.orders.Reject(id, min(sec/2, d.MaxRetryAfter)) })
	} else {
		d.finish(g, d.orders.Fail)
	}
}

func (d *Scheduler) explain(g *request, why Reason) {
	if e, ok := d.orders.(Explainer); ok && !g.answered {
		e.Explain(g.id, why)
	}
}

// finish gives the final answer and sees that nothing stays held: ending a request releases nothing.
func (d *Scheduler) finish(g *request, answer func(RequestID)) {
	if !g.answered {
		g.answered = true
		answer(g.id)
	}
	d.due.Drop(g.limit)
	if g.held { // it is taken out of the queue when that is next looked through: many end at once
		g.held = false
		d.gone++
	}
	if g.out != nil {
		d.cancel(g.out) // its outcome lets go of the rest
		return
	}
	d.dropState(g)
	delete(d.gens, g.id)
}

// mayRepeat tells whether the product lets the request be sent again (to h, or to any host at all if nil).
func (d *Scheduler) mayRepeat(g *request, h *host) bool {
	p := d.Classes[g.product]
	if g.ran == nil || p.Effect == Idempotent {
		return true
	}
	// An attempt counts when it is there, and may wait for its connection before.
	if p.Effect == NonIdempotent || d.now+d.TickInterval+d.ConnectTimeout >= g.ran.sent+p.Window {
		return false
	}
	switch {
	case h == nil || p.Group == AllEndpoints:
		return true
	case p.Group == SameZone:
		return h.zone == g.ran.host.zone
	}
	return h.cell == g.ran.host.cell
}

// mayReject: a client told to come again must be able to do so without harm. An attempt still out is not
// known to have done nothing, be it a read.
func (d *Scheduler) mayReject(g *request) bool {
	return d.Classes[g.product].Effect == Idempotent || g.ran == nil && g.out == nil
}

// --- Legs ---

func (d *Scheduler) send(g *request, h *host, read float64, then func(AttemptResult)) {
	switch {
	case g.sent >= d.MaxAttempts:
		d.giveUp(g, AttemptsExhausted)
		return
	case g.deadline <= d.now:
		d.giveUp(g, DeadlineReached)
		return
	case d.refuse(g, h):
		d.giveUp(g, RuleViolation)
		return
	}
	l := &attempt{no: AttemptNo(g.sent), gen: g, host: h, sent: d.now, work: read, ahead: h.unread,
		writes: h.role != Prefill, tokens: g.prompt + g.growth, then: then}
	l.late = d.now + g.part(slowStart)
	if g.state != nil {
		l.far, l.from = g.state.cell != h.cell, g.state.cell
	}
	l.fresh = !d.open(h)
	d.count(l)
	h.credit -= max(d.typical[g.product], 1)
	d.orders.Send(g.id, h.id, d.patience(g, h, l))
}

// patience is how long an attempt may take: enough for what is usual, but where another host could still do
// it, not the whole of the time limit, so that one that stalls leaves time for the other.
func (d *Scheduler) patience(g *request, h *host, l *attempt) Micros {
	left := g.deadline - d.now
	if l.writes && d.Classes[g.product].Effect != Idempotent {
		return left
	}
	enough := Micros(6*d.usually(l)+3*float64(sec)*(l.ahead+l.work)/d.pace(h)) + sec/2
	return min(left, max(enough, left/2))
}

// usually is what an attempt's stage, or both where it reads and answers in one place, takes at this load.
func (d *Scheduler) usually(l *attempt) float64 {
	switch {
	case !l.writes:
		return d.usual[0]
	case l.work == 0:
		return d.usual[1]
	}
	return d.usual[0] + d.usual[1]
}

func (d *Scheduler) cancel(l *attempt) {
	if d.CancelAllowed && !l.dropped && !l.started {
		l.dropped = true
		d.orders.Cancel(l.gen.id, l.no)
	}
}

// AttemptStarted notes that the answer streams; the client has it, and no time limit counts any more.
func (d *Scheduler) AttemptStarted(now Micros, id RequestID, no AttemptNo) {
	d.now = now
	l := d.legOut(id, no)
	if l == nil {
		return
	}
	if l.work == 0 {
		blend(&d.usual[1], float64(now-l.sent), usualMemory)
	}
	d.learnHandover(l)
	l.started, l.gen.state = true, nil
	d.due.Drop(l.gen.limit)
	l.readOff()
	h := l.host
	d.well(h)
	h.heard = now
	switch {
	case now <= l.late:
		h.timelyAt = now
		if l.far {
			delete(d.links, l.from)
		}
	case d.linkToBlame(l):
		d.links[l.from] = now
	case now-h.cutAt > capEvery:
		h.mayHold, h.cutAt = capCut*min(h.held, d.learntCap(h)), now
	}
}

// AttemptEnded hands an attempt's outcome to what the attempt left behind.
func (d *Scheduler) AttemptEnded(now Micros, id RequestID, no AttemptNo, res AttemptResult) {
	d.now = now
	how := res.Outcome
	l := d.legOut(id, no)
	if l == nil {
		return
	}
	g, h, work := l.gen, l.host, l.work
	d.uncount(l)
	d.hear(h, res.MemoryUsage)
	if !l.started && (how == TimedOut || how == Cancelled) {
		d.learnHandover(l)
	}
	if l.fresh {
		failed := 0.0
		if how == Unreachable {
			failed = 1
		}
		d.noConnection.learn(d, 0, failed)
	}
	d.judge(h, l, res)
	if how == PrefillDone {
		d.learnRead(h, l, g, work, float64(res.CachedTokens))
	}
	if l.writes && g.ran == nil && !how.KnownNotRun() {
		g.ran = l
	}
	switch {
	case res.RequestClosed || g.answered:
		g.answered = true
		if !l.writes && !d.Classes[g.product].PrefillOnly {
			g.state = h // also a read that was cut off may have ended; letting go is free
		}
		d.finish(g, nil)
	case l.started:
		// It ended without closing, as when our cancel crossed its start: an answer is still owed.
		d.giveUp(g, StreamEndedEarly)
	default:
		l.then(res)
	}
	d.admit(false)
	d.arm()
}

// ClientDisconnected notes that the client is gone and nobody waits any more.
func (d *Scheduler) ClientDisconnected(now Micros, id RequestID) {
	d.now = now
	if g := d.gens[id]; g != nil {
		g.answered = true
		d.finish(g, nil)
	}
}

// --- Time ---

// TimerFired is one of the two timers.
func (d *Scheduler) TimerFired(now Micros, bell TimerID) {
	d.now = now
	if bell == PeriodicTimer {
		d.orders.SetTimer(tickEvery, PeriodicTimer)
		d.refillShares()
		d.watchSilence()
		d.seeWarm()
		d.admit(true)
	} else {
		d.armed = 0
	}
	d.due.Run(now)
	d.arm()
}

func (d *Scheduler) refillShares() {
	for t := range d.Quotas {
		d.allowed[t] = min(d.allowed[t]+d.burst(t)*secs(d.now-d.refill)/burstTime, d.burst(t))
	}
	d.refill = d.now
}

// burst is what a tenant may send at once and still be inside its share, of which this dispatcher has an
// even part.
func (d *Scheduler) burst(t int) float64 {
	return max(d.Quotas[t]/float64(max(d.Dispatchers, 1))*burstTime, 1)
}

// --- Choosing ---

// candidates are the usable hosts of some roles. Where none is left no verdict is trusted: when all look
// ill it is more likely the network, or this dispatcher. The rules (list, repeats, cold hosts) bind all the
// same.
func (d *Scheduler) candidates(g *request, roles ...Role) []*host {
	from, ill := len(d.lists), func(h *host) bool { return !d.looksWell(h, g) }
	d.looked += uint64(len(d.hosts))
	for _, h := range d.hosts {
		if !slices.Contains(roles, h.role) || !h.ready || g.state == nil && d.now < h.fullUntil {
			continue // a full host isn't ill: to send to it all the same would only burn the attempts that are left
		}
		if slices.Contains(g.tried, h) || !d.mayRepeat(g, h) || !d.bears(h) {
			continue
		}
		d.lists = append(d.lists, h)
	}
	hosts := d.lists[from:len(d.lists):len(d.lists)]
	if i := slices.IndexFunc(hosts, func(h *host) bool { return !ill(h) }); i >= 0 {
		hosts = slices.DeleteFunc(hosts, ill)
	}
	return d.connected(hosts)
}

// done gives back the lists of candidates that were made since a mark: one decision makes several, and none
// outlives it.
func (d *Scheduler) done(mark int) { d.lists = d.lists[:mark] }

// connected are the hosts that this dispatcher has a connection to, those of a role all where it has none,
// while new connections often fail: they are slow to set up, or the hosts have no more to give. Many
// dispatchers over many hosts open them all the time.
func (d *Scheduler) connected(hosts []*host) []*host {
	if d.noConnection.faded(d, 0) < connectHard {
		return hosts
	}
	var some [4]bool
	for _, h := range hosts {
		some[h.role] = some[h.role] || d.open(h)
	}
	return slices.DeleteFunc(hosts, func(h *host) bool { return some[h.role] && !d.open(h) })
}

func (d *Scheduler) open(h *host) bool { return h.heard > 0 && d.now-h.heard < d.IdleTimeout }

// among are the candidates of some roles that the request can do without: a dead host that is the only
// one of its role must not draw every send for want of a better.
func (d *Scheduler) among(g *request, roles ...Role) []*host {
	all := d.candidates(g, Prefill, Decode, Mixed)
	return slices.DeleteFunc(all, func(h *host) bool { return !slices.Contains(roles, h.role) })
}

// looksWell: an ill host rests, then earns its way back, one attempt at a time, on what may run again.
func (d *Scheduler) looksWell(h *host, g *request) bool {
	trial := len(h.legs) == 0 && d.Classes[g.product].Effect == Idempotent
	return d.now >= h.quietUntil && (h.ill == 0 || trial)
}

// draw takes some of the hosts by chance where there are many dispatchers: all hear the same reports and know
// little else, and would all send to the same one, the least filled when last heard of.
func (d *Scheduler) draw(hosts []*host) []*host {
	n := max(2, len(hosts)*alike/max(d.Dispatchers, 1))
	if n >= len(hosts) {
		return hosts
	}
	d.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:n]
}

// least is the host of the lowest cost below infinity; ties, as after a restart, must not all fall on one.
func (d *Scheduler) least(hosts []*host, cost func(*host) float64) (best *host) {
	if len(hosts) == 0 {
		return nil
	}
	lowest, first := math.Inf(1), d.rand.Intn(len(hosts))
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		if c := cost(h); c < lowest {
			best, lowest = h, c
		}
	}
	return best
}

// pickReader is the prefix's home unless that is busy, else the reader with the least work. Readers whose
// states could not be taken anywhere in time are left out.
func (d *Scheduler) pickReader(g *request) *host {
	defer d.done(len(d.lists))
	if d.Classes[g.product].PrefillOnly { // no state that would have to be taken, nor any text that is kept
		return d.least(d.candidates(g, Prefill, Embedder), func(h *host) float64 { return d.wait(h, g) })
	}
	late := d.lateCells()
	var takes []CellID
	asked := false
	readers := slices.DeleteFunc(d.candidates(g, Prefill), func(r *host) bool {
		if !d.linkJammed(r.cell, g, late) {
			return false
		}
		if !asked {
			takes, asked = d.cellsThatTake(g), true
		}
		_, some := slices.BinarySearch(takes, r.cell)
		return !some
	})
	homes := d.homes(g, readers)
	wait := func(h *host) float64 { return d.wait(h, g) + max(d.handover(h.cell)-secs(g.part(slowStart/2)), 0) }
	least := d.least(readers, wait)
	for _, home := range homes {
		if home != nil && wait(home) <= homeFactor*wait(least)+homeFloor {
			return home
		}
	}
	return least
}

// homes are where a prefix, or a session without one, is read first. It has a home in each zone and one among
// all. The own zone's goes first: links between zones are long and charged for. Where it is busy that of all
// goes before the least-loaded, which may not have kept the text.
func (d *Scheduler) homes(g *request, readers []*host) [2]*host {
	key := cmp.Or(uint64(g.prefix), uint64(g.session))
	g.homes = [2]*host{}
	if key == 0 || len(readers) == 0 {
		return g.homes
	}
	from := len(d.lists)
	for _, h := range readers {
		if h.zone == d.Zone {
			d.lists = append(d.lists, h)
		}
	}
	if near := d.lists[from:]; len(near) > 0 {
		g.homes[0] = d.home(g, key, near)
	}
	g.homes[1] = d.home(g, key, readers)
	return g.homes
}

// cellsThatTake are those with a writer that fits among the cell's own, which are all that a state behind a
// jammed link may go to. One walk finds them for all readers.
func (d *Scheduler) cellsThatTake(g *request) []CellID {
	defer d.done(len(d.lists))
	hosts, takes := d.writers(g), d.cells[:0]
	slices.SortFunc(hosts, func(a, b *host) int { return cmp.Compare(a.cell, b.cell) })
	for len(hosts) > 0 {
		n := 1
		for n < len(hosts) && hosts[n].cell == hosts[0].cell {
			n++
		}
		median := median(d.loads(hosts[:n]))
		if slices.ContainsFunc(hosts[:n], func(h *host) bool { return d.fits(h, g, median) }) {
			takes = append(takes, hosts[0].cell)
		}
		hosts = hosts[n:]
	}
	d.cells = takes
	return takes
}

// writers are the candidates for a write; without any writer mixed hosts are.
func (d *Scheduler) writers(g *request) []*host {
	if hosts := d.candidates(g, Decode); len(hosts) > 0 {
		return hosts
	}
	return d.candidates(g, Mixed)
}

// home is the prefix's hashed reader, alike at all dispatchers. A prefix that is a great part of the traffic
// has further homes, shared out by session: many dispatchers that each see little would learn too late that
// its one reader can't do it all.
func (d *Scheduler) home(g *request, key uint64, readers []*host) *host {
	homes := 1
	if g.prefix != 0 {
		homes += int(d.share(g.prefix) * float64(len(readers)) / homeLoad)
	}
	hash := func(a, b *host) int {
		return cmp.Compare(mix(key^mix(uint64(b.id))), mix(key^mix(uint64(a.id))))
	}
	if homes == 1 {
		return slices.MinFunc(readers, hash)
	}
	slices.SortFunc(readers, hash)
	key = uint64(g.session)
	return slices.MinFunc(readers[:min(homes, len(readers))], hash)
}

// share is a prefix's part of the traffic. Who has seen little must not take the one prefix it saw for all
// of it: all dispatchers would read each text at homes of their own. So it counts what was seen beyond the
// first, among some more requests that are taken to be as alike as any two of those seen were; but not for
// a prefix that would have been seen more often by now if it were like that.
func (d *Scheduler) share(prefix PrefixID) float64 {
	others := max(d.arrivals-1, 0)
	alike := d.pairs / (d.arrivals*others/2 + arrivalsFew)
	return (max(d.often[prefix]-1, 0) + arrivalsFew*alike*math.Exp(-others*alike)) / (others + arrivalsFew)
}

// countPrefix keeps each prefix's part of the traffic; what is long past counts for little.
func (d *Scheduler) countPrefix(prefix PrefixID) {
	d.arrivals++
	d.pairs += d.often[prefix]
	d.often[prefix]++
	if d.arrivals > arrivalsMost {
		d.arrivals /= 2
		d.pairs /= 4
		for p, n := range d.often {
			if d.often[p] = n / 2; n < 0.1 {
				delete(d.often, p)
			}
		}
	}
}

// wait is the seconds until a reader would have read the request, by own counts and its own pace.
func (d *Scheduler) wait(h *host, g *request) float64 {
	return (h.unread + d.toRead(h, g)) / d.pace(h)
}

// handover is the seconds until a state that was read in a cell begins to be answered, as lately seen; a cell
// whose one link is overfull, or whose writers are, has its readers look busy.
func (d *Scheduler) handover(cell CellID) float64 {
	return d.outOf[cell].faded(d, d.usual[1]/float64(sec))
}

func (d *Scheduler) learnHandover(l *attempt) {
	if l.writes && l.work == 0 {
		t := d.outOf[l.from]
		t.learn(d, d.usual[1]/float64(sec), secs(d.now-l.sent))
		d.outOf[l.from] = t
	}
}

// faded is what was seen lately, and ever more the usual where nothing was seen for long: what one dispatcher
// sees of one host or cell is seldom and soon old.
func (t decayingMean) faded(d *Scheduler, usual float64) float64 {
	if t.at == 0 {
		return usual
	}
	return usual + (t.value-usual)*math.Exp(-secs(d.now-t.at)/traceFades)
}

func (t *decayingMean) learn(d *Scheduler, usual, seen float64) {
	t.value = t.faded(d, usual)
	t.value += traceMemory * (seen - t.value)
	t.at = d.now
}

func (d *Scheduler) pace(h *host) float64 {
	return (h.readTok + firstRate) / (h.readTime + 1)
}

// toRead is what of a prompt the host has likely not kept. A home keeps what the others send there, which
// this dispatcher has not seen: taken to keep nothing, it would look slower than any host that was once read
// at instead, and each dispatcher would have homes of its own.
func (d *Scheduler) toRead(h *host, g *request) float64 {
	switch {
	case h.texts[g.prefix]:
		return max(g.prompt-g.shared, 1)
	case h == g.homes[0] || h == g.homes[1]:
		return max(g.prompt-g.shared*d.homesKeep, 1)
	}
	return g.prompt
}

// pickWriter is the least filled fitting writer, in the reader's cell, else its zone, else anywhere; if
// none fits, the least filled past the limits. It tells whether the one it names fits.
func (d *Scheduler) pickWriter(g *request, reader *host) (*host, bool) {
	defer d.done(len(d.lists))
	hosts := d.writers(g)
	if reader != nil && d.linkJammed(reader.cell, g, d.lateCells()) {
		inside := func(h *host) bool { return h.cell == reader.cell }
		if slices.ContainsFunc(hosts, inside) {
			hosts = slices.DeleteFunc(hosts, func(h *host) bool { return !inside(h) })
		}
	}
	if len(hosts) == 0 {
		return nil, false
	}
	median, outside := median(d.loads(hosts)), d.numbers[:0]
	for _, h := range hosts {
		if reader != nil && h.cell != reader.cell {
			outside = append(outside, d.fill(h))
		}
	}
	d.numbers = outside
	most := max(nearFactor*mean(outside)+nearFloor, nearLittle)
	// The step that the least filled is looked for in: the cell, the zone, anywhere, past the limits.
	first := 4
	for i, h := range hosts {
		at := 0
		switch {
		case !d.fits(h, g, median):
			at = 3
		case reader == nil || h.zone != reader.zone || d.fill(h) > most:
			at = 2
		case h.cell != reader.cell && d.Dispatchers <= alike*len(hosts):
			at = 1 // many dispatchers would all overfill a cell's few, and none of them see it
		}
		first, hosts[i].step = min(first, at), at
	}
	hosts = slices.DeleteFunc(hosts, func(h *host) bool { return h.step != first })
	return d.least(d.draw(hosts), d.fill), first < 3
}

func (d *Scheduler) fits(h *host, g *request, median float64) bool {
	if d.load(h) > median+paceMargin || d.now < h.fullUntil || d.jammed(h) {
		return false
	}
	adds := g.prompt + g.growth
	return h.held+adds < d.learntCap(h) && (!d.reported(h) || d.fill(h)+adds/d.room(h) < ceiling)
}

// roomAhead counts what is being read against what the writers that fit may still take: that can't be held
// any more, so without this a jam's first free place would let in a whole burst of reads. A cold host takes
// one more.
func (d *Scheduler) roomAhead(g *request) bool {
	adds := g.prompt + g.growth
	left := -d.underway - adds
	defer d.done(len(d.lists))
	hosts := d.candidates(g, Decode, Mixed)
	median := median(d.loads(hosts))
	for _, h := range hosts {
		if d.cold(h) {
			left += adds
		} else if d.fits(h, g, median) {
			left += max(d.learntCap(h)-h.held, 0)
		}
	}
	return left >= 0 || d.underway == 0
}

// learntCap is what this dispatcher may hold at a writer, in tokens, whatever is reported of it. How much
// others hold there is not known and changes when a zone is cut or a dispatcher dies, so it is learnt: cut
// when answers begin late, for then the memory has run out and answers are put back and read anew; grown
// again with time.
func (d *Scheduler) learntCap(h *host) float64 {
	if h.cutAt == 0 {
		return math.Inf(1)
	}
	even := d.room(h) / float64(max(d.Dispatchers, 1))
	return max(h.mayHold, even/8) + capGrows*even*secs(d.now-h.cutAt)
}

// jammed: an answer is late to begin at this writer, so its memory, slots or pace are spent, whoever spent
// them. It stands in for the ceiling where nothing is reported, and in overload it has requests held
// before the read instead of in the writers' queues, where they would all be late.
func (d *Scheduler) jammed(h *host) bool {
	return slices.ContainsFunc(h.legs, func(l *attempt) bool {
		return l.writes && d.now > l.late && !d.linkToBlame(l)
	})
}

// linkToBlame: the state comes out of another cell, and the writer has begun another answer in time since.
func (d *Scheduler) linkToBlame(l *attempt) bool { return l.far && l.host.timelyAt > l.sent }

// linkJammed: states come out of a cell late though their writers are well, so its one link is overfull or
// failing. Until they come in time again they go to writers inside the cell, and prompts are read where
// states can be taken.
func (d *Scheduler) linkJammed(cell CellID, g *request, late []CellID) bool {
	if at, seen := d.links[cell]; seen && d.now-at < g.part(slowStart) {
		return true
	}
	return slices.Contains(late, cell)
}

// lateCells are those out of which a state is late that is on its way now; most of the time there is none.
// They are found once for a decision: to look through all attempts for each reader cost the fleet's square.
func (d *Scheduler) lateCells() (cells []CellID) {
	d.looked += uint64(len(d.hosts))
	for _, h := range d.hosts {
		for _, l := range h.legs {
			if l.far && d.now > l.late && d.linkToBlame(l) && !slices.Contains(cells, l.from) {
				cells = append(cells, l.from)
			}
		}
	}
	return cells
}

// load is a host's streams, those of the others taken from own averages, as one dispatcher's even part.
func (d *Scheduler) load(h *host) float64 {
	d.average(h)
	return (float64(h.streams) + h.streamsMean*float64(d.others())) / float64(d.others()+1)
}

func (d *Scheduler) others() int { return max(d.Dispatchers-1, 0) }

// average keeps what this dispatcher had at a host, over the longer the more dispatchers there are, each of
// which sends there the more seldom: what is there now says next to nothing of what the others have there.
func (d *Scheduler) average(h *host) {
	if gap := d.now - h.meanAt; gap > 0 && d.others() > 0 {
		w := 1 - math.Exp(-secs(gap)/(meanOver*float64(d.others())))
		h.heldMean += w * (h.held - h.heldMean)
		h.streamsMean += w * (float64(h.streams) - h.streamsMean)
		h.meanAt = d.now
	}
}

// loads are good until the next ones are asked for.
func (d *Scheduler) loads(hosts []*host) []float64 {
	d.numbers = d.numbers[:0]
	for _, h := range hosts {
		d.numbers = append(d.numbers, d.load(h))
	}
	return d.numbers
}

func (d *Scheduler) reported(h *host) bool {
	return h.memory >= 0 && d.now-h.reportedAt < reportStale
}

// fill is the share of a writer's memory that is taken: the last report and what this dispatcher has added
// since, or its own count alone, taken to be an even part of the whole.
func (d *Scheduler) fill(h *host) float64 {
	if d.reported(h) {
		return max(h.memory+(h.held-h.heldThen)/d.room(h), h.held/d.room(h))
	}
	d.average(h)
	return (h.held + h.heldMean*float64(d.others())) / d.room(h)
}

// pickMixed gives mixed hosts their share whole, by their load against the writers' mean. By memory, of which
// they have most, they would be given more than they read in time.
func (d *Scheduler) pickMixed(g *request) *host {
	defer d.done(len(d.lists))
	mixed := d.among(g, Mixed)
	if len(mixed) == 0 {
		return nil
	}
	writers := d.candidates(g, Decode)
	best := d.leastLoaded(mixed, g, median(d.loads(slices.Concat(mixed, writers))))
	if len(writers) > 0 && mean(d.loads(mixed)) > mixedShare*mean(d.loads(writers)) {
		return nil
	}
	return best
}

// pickOtherReader: readers are busy; the prompt may be read where it is answered.
func (d *Scheduler) pickOtherReader(g *request) *host {
	defer d.done(len(d.lists))
	roles := []Role{Mixed}
	if d.DecodePrefills {
		roles = append(roles, Decode)
	}
	hosts := d.among(g, roles...)
	return d.leastLoaded(hosts, g, median(d.loads(hosts)))
}

func (d *Scheduler) leastLoaded(hosts []*host, g *request, median float64) *host {
	return d.least(hosts, func(h *host) float64 {
		if !d.fits(h, g, median) {
			return math.Inf(1)
		}
		return d.load(h)
	})
}

// --- What is learnt ---

// learnRead takes from a read how fast the host reads and what it keeps. Where much less was kept than
// before, it has forgotten, and likely more than this text.
func (d *Scheduler) learnRead(h *host, l *attempt, g *request, work, kept float64) {
	blend(&d.usual[0], float64(d.now-l.sent), usualMemory)
	h.readTok += l.ahead + max(g.prompt-kept, 1)
	h.readTime += secs(d.now - l.sent)
	if h.readTok > rateMemory {
		h.readTime *= rateMemory / h.readTok
		h.readTok = rateMemory
	}
	if !h.texts[g.prefix] && g.shared > 0 && (h == g.homes[0] || h == g.homes[1]) {
		blend(&d.homesKeep, min(kept/g.shared, 1), usualMemory)
	}
	if h.texts[g.prefix] && kept < (g.prompt-work)/2 || len(h.texts) > textsMost {
		clear(h.texts)
	}
	if g.prefix != 0 {
		h.texts[g.prefix] = true
	}
}

// judge draws from an outcome what it says of the host.
func (d *Scheduler) judge(h *host, l *attempt, res AttemptResult) {
	switch how := res.Outcome; how {
	case Completed, PrefillDone:
		h.heard = d.now
		d.well(h)
		d.age(h)
		h.done += d.typical[l.gen.product]
	case NoCapacity:
		if !res.StateMissing { // that a state is gone may be known without a word from the host
			h.heard = d.now
			h.fullUntil = d.now + fullRest
		}
	case Errored, ConnectionLost, Unreachable:
		if how != Errored {
			h.heard = 0
		}
		d.blame(h, "failed a leg")
	case TimedOut:
		if h.heard <= l.sent {
			d.blame(h, "let a leg time out and said nothing else")
		}
	}
}

func (d *Scheduler) well(h *host) {
	if h.ill *= illHeals; h.ill < 0.4 {
		h.ill = 0
	}
}

// blame rests a host, longer each time. It guards against a host that errs quickly: that one frees its
// counted memory at once, would look emptiest and draw every send. It holds as well against a dead host
// that the list still names, a cut network and a host out of connections.
func (d *Scheduler) blame(h *host, why string) {
	if d.now < h.quietUntil {
		return // many attempts that break at once are one failure
	}
	h.ill = min(h.ill+1, illMost)
	h.quietUntil = d.now + Micros(float64(quietFirst)*math.Exp2(h.ill-1))
	d.orders.Log(fmt.Sprintf("host %d %s: rests for %d ms", h.id, why, (h.quietUntil-d.now)/ms))
}

// watchSilence finds hosts that owe answers and say nothing, long before attempts time out. Such a host rests
// at first; when it stays silent, what may be sent elsewhere is taken back. It guards against hosts that
// hang or vanish. It can hurt where a host is merely jammed, as what is taken back loses its place there:
// so what is usual sets the limit.
func (d *Scheduler) watchSilence() {
	for _, h := range d.hosts {
		i := slices.IndexFunc(h.legs, func(l *attempt) bool { return !l.dropped })
		if i < 0 {
			continue
		}
		limit := max(silentLeast, Micros(silentTimes*d.usually(h.legs[i])))
		limit += Micros(2 * float64(sec) * (h.legs[i].ahead + h.legs[i].work) / d.pace(h))
		quiet := d.now - max(h.legs[i].sent, h.heard)
		if quiet >= limit {
			d.blame(h, "owes answers and is silent")
		}
		if quiet < takeBack*limit {
			continue
		}
		for _, l := range h.legs {
			if !l.writes || d.Classes[l.gen.product].Effect == Idempotent {
				d.cancel(l)
			}
		}
	}
}

// --- Cold hosts ---

func (d *Scheduler) age(h *host) {
	h.done *= math.Exp(-secs(d.now-h.doneAt) / doneMemory)
	h.doneAt = d.now
}

func (d *Scheduler) cold(h *host) bool { return h.since > 0 && d.now-h.since < d.WarmUp }

// seeWarm learns what warm hosts of each role lately did, and keeps it: where all of a role start together
// no warm one is left to go by, and what was not seen before would let next to nothing through. So it is
// looked at on each beat, not only once there are cold ones. Those that look ill do not count: dead ones that
// the list still names would make the others' work look small.
func (d *Scheduler) seeWarm() {
	var sum, n [4]float64
	d.looked += uint64(len(d.hosts))
	for _, o := range d.hosts {
		if o.ready && o.ill == 0 && !d.cold(o) {
			d.age(o)
			sum[o.role] += o.done / doneMemory
			n[o.role]++
		}
	}
	for role := range n {
		if n[role] > 0 {
			d.warm[role] = sum[role] / n[role]
		}
	}
}

// bears tells whether a cold host can take one more attempt. All dispatchers are taken to send alike, so each
// keeps to what the rule leaves of the work that warm hosts of the role were seen to do for it, and the
// cold one itself.
func (d *Scheduler) bears(h *host) bool {
	if !d.cold(h) {
		return true
	}
	d.age(h)
	rate := d.OverloadFactor * coldShare * d.SlowStartFactor * d.warm[h.role]
	mean := 1.0
	for _, tokens := range d.typical {
		mean = max(mean, tokens)
	}
	// One answer is no measure: where each dispatcher sees few, those that saw one would all take it for many.
	if h.done > provenLeast*mean {
		rate = max(rate, d.OverloadFactor*provenPart*h.done/doneMemory)
	}
	// Knowing nothing, as after a restart: one mean request in each span of the rule, and no more than
	// coldLeast of them from all together.
	rate = max(rate, mean/max(secs(d.OverloadWindow), 1)*min(1, coldLeast/float64(max(d.Dispatchers, 1))))
	// Each dispatcher begins its part at a time of its own: less than one request each is shared out by
	// chance, where all would send their first at once.
	if h.creditAt == 0 {
		h.credit, h.creditAt = -mean*d.rand.Float64(), d.now
	}
	h.credit = min(h.credit+rate*secs(d.now-h.creditAt), 0)
	h.creditAt = d.now
	return h.credit >= 0
}
