package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// world is the Orders of one dispatcher and, beside it, a plain model of the rules: it keeps every attempt of
// every request and asks of each order whether the rules allow it.
type world struct {
	t     testing.TB
	d     *Scheduler
	place Config
	now   Micros
	rings []ring
	hosts map[EndpointID]*seen
	gens  map[RequestID]*told
	order []RequestID
	log   []string
}

type ring struct {
	at   Micros
	bell TimerID
}

type seen struct {
	id    EndpointID
	zone  ZoneID
	kind  KindID
	cell  CellID
	cond  EndpointState
	since Micros
	sent  []Micros // attempts since it started
	done  []Micros // attempts answered
}

type told struct {
	id       RequestID
	product  ClassID
	deadline Micros
	legs     []*sentLeg
	answers  []string
	waiting  Micros // since when a state waits with no attempt out, 0 = none does
	left     bool
	closed   bool
}

type sentLeg struct {
	host    *seen
	at      Micros
	out     bool
	started bool
	how     Outcome
}

func newWorld(t testing.TB, place Config, seed int64) *world {
	w := &world{t: t, place: place, now: 1000 * sec, hosts: map[EndpointID]*seen{}, gens: map[RequestID]*told{}}
	w.d = New(w.now, seed, place, w)
	return w
}

// letGo is how long a state may wait with no attempt out.
const letGo = 500 * ms

// two is a deployment of one product, readers of kind 0, writers of kind 1 and mixed hosts of kind 2.
func two(effect Effect) Config {
	return Config{Dispatchers: 2, MaxAttempts: 4, CancelAllowed: true, TickInterval: 4 * ms, ConnectTimeout: 250 * ms,
		WarmUp: 10 * sec, SlowStartFactor: 0.25, OverloadWindow: 2 * sec, OverloadFactor: 2.5, MaxRetryAfter: sec,
		Kinds: []Kind{{Prefill, 200000}, {Decode, 140000}, {Mixed, 200000}},
		Classes: []Class{{SLO: sec, TokenSLO: 50 * ms, Window: 3 * sec, Revenue: 2, LateRevenueShare: 0.2,
			Effect: effect}}}
}

func (w *world) list(hs ...*seen) {
	for _, h := range hs {
		w.hosts[h.id] = h
		w.d.EndpointUpdated(w.now, EndpointStatus{ID: h.id, Zone: h.zone, Kind: h.kind, Cell: h.cell, State: h.cond, StartedAt: h.since})
	}
	w.d.EndpointUpdateEnded(w.now, false)
}

// fleet lists n hosts of each of some kinds, in one cell, with ids 10*kind+1 and on.
func (w *world) fleet(n int, kinds ...KindID) {
	for _, k := range kinds {
		for i := range n {
			w.list(&seen{id: EndpointID(10*int(k) + i + 1), kind: k})
		}
	}
}

func (w *world) arrive(id RequestID, product ClassID, prompt float64, left Micros) *told {
	return w.arriveIn(id, product, PrefixID(id%3), prompt, prompt/2, left)
}

func (w *world) arriveIn(id RequestID, product ClassID, prefix PrefixID, prompt, shared float64, left Micros) *told {
	g := &told{id: id, product: product, deadline: w.now + left}
	w.gens[id] = g
	w.order = append(w.order, id)
	w.d.RequestArrived(w.now, Arrival{ID: id, Session: SessionID(id), Prefix: prefix, Class: product, PromptTokens: prompt,
		PrefixTokens: shared, MaxOutputTokens: 100, Deadline: g.deadline})
	return g
}

func (g *told) out() *sentLeg {
	if n := len(g.legs); n > 0 && g.legs[n-1].out {
		return g.legs[n-1]
	}
	return nil
}

func (w *world) start(g *told) {
	g.out().started, g.waiting = true, 0
	w.d.AttemptStarted(w.now, g.id, AttemptNo(len(g.legs)-1))
}

func (w *world) end(g *told, how Outcome, note int) {
	l := g.out()
	l.out, l.how = false, how
	if how == Completed || l.started || how == PrefillDone && w.whole(g) {
		g.closed = true
	}
	if how == Completed || how == PrefillDone {
		l.host.done = append(l.host.done, w.now)
	}
	switch {
	case g.closed:
		g.waiting = 0
	case how == PrefillDone:
		g.waiting = w.now
	case g.waiting != 0:
		g.waiting = w.now
	}
	w.d.AttemptEnded(w.now, g.id, AttemptNo(len(g.legs)-1), AttemptResult{Outcome: how, CachedTokens: note, StateMissing: note == 1,
		RequestClosed: g.closed || len(g.answers) > 0, MemoryUsage: NoLoadReport})
}

// pass lets time go by, ringing what is due and holding the state and answer rules to their times.
func (w *world) pass(span Micros) {
	for end := w.now + span; w.now < end; {
		next := end
		for _, r := range w.rings {
			next = min(next, r.at)
		}
		w.now = max(next, w.now)
		for i := 0; i < len(w.rings); i++ {
			if r := w.rings[i]; r.at <= w.now {
				w.rings = slices.Delete(w.rings, i, i+1)
				i--
				w.d.TimerFired(w.now, r.bell)
			}
		}
		for _, id := range w.order {
			g := w.gens[id]
			if g.waiting != 0 && g.out() == nil && w.now > g.waiting+letGo {
				w.t.Fatalf("gen %d: its state has waited since %d", id, g.waiting)
			}
			if started := g.out() != nil && g.out().started; !g.settled() && !started && w.now > g.deadline {
				w.t.Fatalf("gen %d: no answer by its time limit", id)
			}
		}
	}
}

// whole: a read is all that the request is.
func (w *world) whole(g *told) bool {
	return int(g.product) < len(w.place.Classes) && w.place.Classes[g.product].PrefillOnly
}

func (g *told) settled() bool { return len(g.answers) > 0 || g.left || g.closed }

func (w *world) say(format string, a ...any) {
	w.log = append(w.log, fmt.Sprint(w.now, " ")+fmt.Sprintf(format, a...))
}

func proven(l *sentLeg, place Config) bool {
	return !l.out && (l.how == NoCapacity || l.how == Unreachable || l.how == NotSent || l.how == PrefillDone ||
		place.Kinds[l.host.kind].Role == Prefill || place.Kinds[l.host.kind].Role == Embedder)
}

func (w *world) Send(gen RequestID, host EndpointID, allow Micros) {
	w.say("send %d %d %d", gen, host, allow)
	g, h := w.gens[gen], w.hosts[host]
	switch {
	case g == nil || h == nil:
		w.t.Fatalf("send of unknown gen %d to host %d", gen, host)
	case g.settled():
		w.t.Fatalf("gen %d sent after its end", gen)
	case g.out() != nil:
		w.t.Fatalf("gen %d: two legs out", gen)
	case len(g.legs) >= w.place.MaxAttempts:
		w.t.Fatalf("gen %d: too many legs", gen)
	case h.cond != Ready:
		w.t.Fatalf("send to host %d, which is draining or gone", host)
	case w.place.Kinds[h.kind].Role == Embedder && !w.whole(g):
		w.t.Fatalf("gen %d, which is to be written, sent to host %d, which only embeds", gen, host)
	case w.place.Kinds[h.kind].Role == Decode && w.whole(g) && !w.place.DecodePrefills:
		w.t.Fatalf("gen %d, which is only read, sent to host %d, which does not read", gen, host)
	case allow <= 0 || w.now+allow > g.deadline:
		w.t.Fatalf("gen %d: a leg of %d with %d left", gen, allow, g.deadline-w.now)
	}
	p := w.place.Classes[g.product]
	for _, l := range g.legs {
		if proven(l, w.place) || p.Effect == Idempotent {
			continue
		}
		same := p.Group == AllEndpoints || p.Group == SameZone && l.host.zone == h.zone ||
			p.Group == SameCell && l.host.cell == h.cell
		if p.Effect == NonIdempotent || !same || w.now+w.place.ConnectTimeout >= l.at+p.Window { // it may leave that much later
			w.t.Fatalf("gen %d may have run and is sent again", gen)
		}
	}
	h.sent = append(h.sent, w.now)
	if h.since > 0 && w.now-h.since < w.place.WarmUp {
		w.coldRule(h)
	}
	g.legs = append(g.legs, &sentLeg{host: h, at: w.now, out: true})
}

// coldRule: within any span of the rule a cold host takes no more attempts from this dispatcher than the rule's
// multiple of what the best warm host of its role was seen to answer in such a span, scaled to a cold
// start, or of what it was itself seen to answer; two are slack.
func (w *world) coldRule(h *seen) {
	within := func(times []Micros, end Micros) (n float64) {
		for _, at := range times {
			if at > end-w.place.OverloadWindow && at <= end {
				n++
			}
		}
		return n
	}
	best, own := 0.0, 0.0
	for _, at := range h.done { // what it did while cold needs no scaling
		if at >= h.since {
			own = max(own, within(h.done, at))
		}
	}
	for _, o := range w.hosts {
		if w.place.Kinds[o.kind].Role == w.place.Kinds[h.kind].Role {
			for _, at := range o.done {
				best = max(best, within(o.done, at))
			}
		}
	}
	if n := within(h.sent, w.now); n > w.place.OverloadFactor*max(w.place.SlowStartFactor*best, own)+2 {
		w.t.Fatalf("cold host %d was sent %v legs; the best of its role answered %v, it itself %v", h.id, n, best, own)
	}
}

func (w *world) answer(gen RequestID, what string) {
	w.say("%s %d", what, gen)
	g := w.gens[gen]
	if g == nil || g.settled() {
		w.t.Fatalf("%s for gen %d, to which nothing is owed", what, gen)
	}
	allowed := true
	for _, l := range g.legs {
		allowed = allowed && (proven(l, w.place) || w.place.Classes[g.product].Effect == Idempotent)
	}
	if allowed != (what == "throttle") && int(g.product) < len(w.place.Classes) {
		w.t.Fatalf("%s for gen %d; throttling is allowed: %v", what, gen, allowed)
	}
	g.answers = append(g.answers, what)
}

func (w *world) Reject(gen RequestID, _ Micros) { w.answer(gen, "throttle") }
func (w *world) Fail(gen RequestID)             { w.answer(gen, "terminate") }

func (w *world) Cancel(gen RequestID, leg AttemptNo) {
	w.say("cancel %d %d", gen, leg)
	if int(leg) >= len(w.gens[gen].legs) {
		w.t.Fatalf("gen %d has no leg %d", gen, leg)
	}
}

func (w *world) Release(gen RequestID) {
	w.say("let go %d", gen)
	if w.whole(w.gens[gen]) {
		w.t.Fatalf("gen %d has no state to let go of", gen)
	}
	if w.gens[gen].out() == nil {
		w.gens[gen].waiting = 0
	}
}

func (w *world) WatchEndpoints() { w.say("subscribe") }
func (w *world) Log(string)      {}
func (w *world) SetTimer(after Micros, bell TimerID) {
	if after <= 0 {
		w.t.Fatalf("a ring after %d", after)
	}
	w.rings = append(w.rings, ring{w.now + after, bell})
}

// play feeds the module a generated day, ends it, and checks that nothing is left over.
func (w *world) play(r *rand.Rand, steps int) {
	var id RequestID
	for range steps {
		w.pass(Micros(r.Int63n(int64(60 * ms))))
		switch r.Intn(10) {
		case 0:
			w.change(r)
		case 1, 2, 3, 4:
			id++
			w.arrive(id, ClassID(r.Intn(len(w.place.Classes))), float64(3000+r.Intn(2000)),
				Micros(r.Int63n(int64(6*sec))))
		case 5:
			w.d.AttemptEnded(w.now, RequestID(r.Intn(20)), 99, AttemptResult{Outcome: Errored, MemoryUsage: NoLoadReport})
			w.d.AttemptStarted(w.now, 1<<40, 0)
			w.d.ClientDisconnected(w.now, 1<<40)
		}
		for _, id := range w.order {
			if g := w.gens[id]; g.out() != nil && r.Intn(8) == 0 {
				w.step(g, r)
			} else if !g.settled() && g.out() == nil && r.Intn(200) == 0 {
				g.left = true
				w.d.ClientDisconnected(w.now, id)
			}
		}
	}
	for range 400 {
		w.pass(20 * ms)
		for _, id := range w.order {
			if g := w.gens[id]; g.out() != nil {
				w.step(g, r)
			}
		}
	}
	if len(w.d.gens)+len(w.d.held)-w.d.gone > 0 || w.d.underway > 0.5 {
		w.t.Fatalf("left over: %d gens, %d held, %v tokens under way", len(w.d.gens), len(w.d.held), w.d.underway)
	}
	for _, h := range w.d.hosts {
		if len(h.legs) > 0 || h.streams != 0 || h.held > 0.5 {
			w.t.Fatalf("host %d keeps %d legs, %d streams, %v tokens", h.id, len(h.legs), h.streams, h.held)
		}
	}
}

// step carries an attempt one step on.
func (w *world) step(g *told, r *rand.Rand) {
	l := g.out()
	reader := w.place.Kinds[l.host.kind].Role == Prefill || w.whole(g)
	switch n := r.Intn(12); {
	case n < 8 && reader:
		w.end(g, PrefillDone, r.Intn(4000))
	case n < 8 && !l.started && len(g.answers) == 0 && w.now < g.deadline:
		w.start(g)
	case n < 8 && l.started:
		w.end(g, Completed, 0)
	case n == 8 && !l.started:
		w.end(g, NoCapacity, r.Intn(2))
	default:
		w.end(g, []Outcome{Errored, TimedOut, Unreachable, ConnectionLost, Cancelled, NotSent}[r.Intn(6)], 0)
	}
}

func (w *world) change(r *rand.Rand) {
	id := EndpointID(1 + r.Intn(12))
	h := w.hosts[id]
	if h == nil {
		h = &seen{id: id, zone: ZoneID(r.Intn(2)), kind: KindID(r.Intn(len(w.place.Kinds)))}
		h.cell = CellID(h.zone)
	}
	h.cond = Ready
	if r.Intn(4) == 0 {
		h.cond = EndpointState(1 + r.Intn(2))
	} else if r.Intn(3) == 0 {
		h.since, h.sent = w.now, nil
	}
	w.list(h)
}

// written takes a request through its read and tells the writer it went to.
func (w *world) written(id RequestID, prompt float64) *told {
	g := w.arrive(id, 0, prompt, 6*sec)
	if g.out() == nil || g.out().host.kind != 0 {
		w.t.Fatalf("gen %d is not being read", id)
	}
	w.pass(10 * ms)
	w.end(g, PrefillDone, 0)
	return g
}

func (w *world) cancelled(id RequestID) bool {
	for _, l := range w.log {
		var at, gen, leg int
		if n, _ := fmt.Sscanf(l, "%d cancel %d %d", &at, &gen, &leg); n == 3 && RequestID(gen) == id {
			return true
		}
	}
	return false
}
