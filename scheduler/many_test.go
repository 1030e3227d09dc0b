package scheduler

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// many is a deployment of 100 dispatchers, and one world for each.
func many(t *testing.T, fill func(w *world)) (ws []*world) {
	place := two(Idempotent)
	place.Dispatchers, place.IdleTimeout = 100, 30*sec
	for seed := range int64(100) {
		w := newWorld(t, place, seed)
		fill(w)
		ws = append(ws, w)
	}
	return ws
}

// A hundred dispatchers that each see little learn of a cold host at once: what they send it together stays
// within the rule, and it gets some work.
func TestManyAtOneColdHost(t *testing.T) {
	ws := many(t, func(w *world) { w.fleet(2, 0, 1) })
	start := ws[0].now + 15*sec
	var sent []Micros
	warm := 0
	for n, w := range ws {
		w.pass(Micros(n) * 9 * ms) // they don't act in step
		for i := range 32 {
			if i == 16 {
				w.list(&seen{id: 13, kind: 1, since: start})
			}
			g := w.written(RequestID(i+1), 2000)
			if w.start(g); i < 16 {
				warm++
			}
			w.pass(890 * ms)
			w.end(g, Completed, 0)
		}
		sent = append(sent, w.hosts[13].sent...)
	}
	rate := float64(warm) / 2 / 14.4 // answers a second at each of the two warm hosts
	// Warm hosts could do more than they were sent: the module takes coldShare of what they were seen to do.
	allowed := ws[0].place.OverloadFactor * ws[0].place.SlowStartFactor * coldShare * rate * secs(ws[0].place.OverloadWindow)
	for from := start; from < start+2*sec; from += 100 * ms {
		n := 0.0
		for _, at := range sent {
			if at >= from && at < from+ws[0].place.OverloadWindow {
				n++
			}
		}
		if n > 1.1*allowed { // the rule leaves a little slack for chance
			t.Fatalf("%v legs within a span from %d, %v allowed", n, from-start, allowed)
		}
	}
	if len(sent) < 20 {
		t.Errorf("the cold host got %d legs in 14 s", len(sent))
	}
}

// One stream of its own does not tell a dispatcher among many that a writer is full.
func TestOneOwnStreamFillsNothing(t *testing.T) {
	w := many(t, func(w *world) {
		w.list(&seen{id: 1, kind: 0}, &seen{id: 11, kind: 1}, &seen{id: 12, kind: 1, zone: 1, cell: 1})
	})[0]
	for id := range RequestID(3) {
		g := w.written(id+1, 2000)
		if w.start(g); g.out().host.id != 11 {
			t.Errorf("generation %d left its reader's cell", id+1)
		}
	}
}

// All hear the same reports: they must not all send to the host that was emptiest then.
func TestReportsDrawNoRush(t *testing.T) {
	at := map[EndpointID]int{}
	for _, w := range many(t, func(w *world) { w.fleet(5, 0, 1) }) {
		for i, h := range w.d.hosts[5:] {
			w.d.hear(h, 0.2+0.01*float64(i))
		}
		at[w.written(1, 2000).out().host.id]++
	}
	if at[11] > 60 || len(at) < 4 {
		t.Errorf("writers by the number that chose them: %v", at)
	}
}

// The sessions of a prefix that makes up much of the traffic are read at several readers, each at the same
// one by every dispatcher; others stay at one home.
func TestHotPrefixHasHomes(t *testing.T) {
	homes := map[SessionID]EndpointID{}
	for _, w := range many(t, func(w *world) { w.fleet(9, 0, 1) })[:5] {
		for range 60 {
			w.d.countPrefix(7)
			w.d.countPrefix(8)
		}
		for s := range SessionID(12) {
			h := w.d.home(&request{prefix: 7, session: s}, 7, w.d.hosts[:9:9])
			if was := homes[s]; was != 0 && was != h.id {
				t.Errorf("session %d is at home at %d and %d", s, was, h.id)
			}
			homes[s] = h.id
		}
		w.d.often[9], w.d.arrivals = 1, 121
		if w.d.home(&request{prefix: 9, session: 1}, 9, w.d.hosts[:9:9]) !=
			w.d.home(&request{prefix: 9, session: 2}, 9, w.d.hosts[:9:9]) {
			t.Error("a rare prefix has two homes")
		}
	}
	at := map[EndpointID]bool{}
	for _, h := range homes {
		at[h] = true
	}
	if len(at) < 2 {
		t.Errorf("half the traffic has the homes %v", at)
	}
}

// States out of one cell begin late: prompts are read in another.
func TestLateHandoverMovesReads(t *testing.T) {
	w := many(t, func(w *world) {
		w.list(&seen{id: 1, kind: 0}, &seen{id: 2, kind: 0, cell: 1}, &seen{id: 11, kind: 1, cell: 2})
	})[0]
	g := w.arrive(1, 0, 2000, 6*sec)
	cell := g.out().host.cell
	w.d.outOf[cell] = decayingMean{1.5, w.now}
	if h := w.arrive(4, 0, 2000, 6*sec).out().host; h.cell == cell {
		t.Error("read again in the cell whose states begin late")
	}
}

// While new connections fail, hosts with an open one come first.
func TestOpenConnectionsFirst(t *testing.T) {
	w := many(t, func(w *world) { w.fleet(5, 0, 1) })[0]
	g := w.written(1, 2000)
	reader, writer := g.legs[0].host.id, g.out().host.id
	w.start(g)
	w.end(g, Completed, 0)
	w.d.noConnection = decayingMean{1, w.now}
	for id := range RequestID(8) {
		if g := w.written(id+2, 2000); g.legs[0].host.id != reader || g.out().host.id != writer {
			t.Errorf("read at %d, written at %d", g.legs[0].host.id, g.out().host.id)
		}
	}
}

// Dispatchers that have seen next to nothing, as each of three hundred for most of a day, agree on where a text is read: who takes the
// few that it saw for all of the traffic gives each of them homes of its own, and all of them read it anew. That a home keeps what
// others had read there is what makes it the place to go to, also before one that this dispatcher happened to read at.
func TestFewGenerationsAgreeOnHomes(t *testing.T) {
	at := map[PrefixID]map[EndpointID]int{}
	n := 0
	for i, w := range many(t, func(w *world) {
		for i := range EndpointID(40) {
			w.list(&seen{id: 100 + i, kind: 0}, &seen{id: 200 + i, kind: 1})
		}
	}) {
		for j := range 4 {
			prefix := PrefixID(1 + (7*i+23*j)%80)
			if at[prefix] == nil {
				at[prefix] = map[EndpointID]int{}
			}
			g := w.arriveIn(RequestID(i*10+j+1), 0, prefix, 6000, 5000, 6*sec)
			at[prefix][g.out().host.id]++
			n++
			w.end(g, PrefillDone, 5000)
			w.start(g)
			w.pass(sec)
		}
	}
	astray := n
	for _, hosts := range at {
		most := 0
		for _, legs := range hosts {
			most = max(most, legs)
		}
		astray -= most
	}
	if astray > n/20 {
		t.Errorf("%d of %d first reads went elsewhere than most of their prefix", astray, n)
	}
}

// A text in a third of all traffic is read at many readers, by dispatchers that have each seen a dozen requests: at one home in a
// zone of twenty it would keep that one busy six times over.
func TestPopularTextHasHomesEarly(t *testing.T) {
	at, n := map[EndpointID]int{}, 0
	for i, w := range many(t, func(w *world) {
		for i := range EndpointID(20) {
			w.list(&seen{id: 100 + i, kind: 0}, &seen{id: 200 + i, kind: 1})
		}
	}) {
		for j := range 12 {
			prefix := PrefixID(100 + 50*i + j)
			if j%3 == 0 {
				prefix = 1
			}
			g := w.arriveIn(RequestID(i*20+j+1), 0, prefix, 6000, 5000, 6*sec)
			if j >= 3 && prefix == 1 {
				at[g.out().host.id]++
				n++
			}
			w.end(g, PrefillDone, 5000)
			w.start(g)
			w.end(g, Completed, 0)
			w.pass(sec)
		}
	}
	most := 0
	for _, legs := range at {
		most = max(most, legs)
	}
	if most > n/3 {
		t.Errorf("%d of %d reads of a popular text went to one reader: %v", most, n, at)
	}
}

// One that this dispatcher happened to read a text at does not take the home's place.
func TestHomeBeforeWhereItWasRead(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(6, 0, 1)
	home := w.arriveIn(1, 0, 7, 6000, 5000, 6*sec).out().host
	w.end(w.gens[1], PrefillDone, 5000)
	w.start(w.gens[1])
	clear(w.d.byID[home.id].texts)
	for _, h := range w.d.hosts {
		if h.role == Prefill && h.id != home.id {
			h.texts[7] = true
		}
	}
	w.pass(sec)
	if h := w.arriveIn(2, 0, 7, 6000, 5000, 6*sec).out().host; h.id != home.id {
		t.Errorf("read at %d and not at %d, where all others read it", h.id, home.id)
	}
}

// What a home turns out not to keep is learnt.
func TestHomesThatKeepNothing(t *testing.T) {
	w := newWorld(t, two(Idempotent), 1)
	w.fleet(4, 0, 1)
	for i := range RequestID(40) {
		g := w.arriveIn(i+1, 0, PrefixID(i+1), 6000, 5000, 6*sec)
		w.end(g, PrefillDone, 0)
		w.start(g)
		w.end(g, Completed, 0)
	}
	g := w.arriveIn(99, 0, 99, 6000, 5000, 6*sec)
	if read := w.d.toRead(w.d.byID[g.out().host.id], w.d.gens[99]); read < 5800 {
		t.Errorf("a home is still taken to need %v of 6000", read)
	}
}

// serve ends reads at once, begins answers and ends those of a second ago.
func (w *world) serve(gens []*told) {
	for range 2 {
		for _, g := range gens {
			switch l := g.out(); {
			case l == nil:
			case l.host.kind == 0:
				w.end(g, PrefillDone, 0)
			case !l.started:
				w.start(g)
			case l.at < w.now-sec:
				w.end(g, Completed, 0)
			}
		}
	}
}

// Whatever the number of dispatchers that share nothing, and however unevenly the traffic falls on them, a host that has just started
// gets no more than the rule's part of what warm hosts do and the chance that the users allow beside it: N + 2 root of N + 2 in any span.
// A floor of one request each would be three hundred.
func TestSumAtOneColdHost(t *testing.T) {
	const perS, warmHosts = 40.0, 4
	for _, n := range []int{3, 30, 300} {
		place := two(Idempotent)
		place.Dispatchers, place.IdleTimeout = n, 30*sec
		chance := rand.New(rand.NewSource(int64(n)))
		weights, sum := make([]float64, n), 0.0
		for i := range weights {
			weights[i] = math.Exp(chance.NormFloat64()) // some see several times the mean
			sum += weights[i]
		}
		var sent []Micros
		var start Micros
		for i := range n {
			w := newWorld(t, place, int64(i))
			w.list(&seen{id: 1}, &seen{id: 2}, &seen{id: 3}, &seen{id: 4})
			for h := range EndpointID(warmHosts) {
				w.list(&seen{id: 11 + h, kind: 1})
			}
			began := w.now
			start = began + 20*sec
			var open []*told
			for id := RequestID(1); ; id++ {
				for next := w.now + Micros(chance.ExpFloat64()*sum/(perS*weights[i])*float64(sec)); w.now < next; {
					w.pass(min(next-w.now, 50*ms))
					w.serve(open)
				}
				if w.now > start+place.WarmUp {
					break
				}
				if w.now >= start && w.hosts[20] == nil { // all others go: only what the rule leaves keeps attempts from it
					w.list(&seen{id: 20, kind: 1, since: start})
					for h := range EndpointID(warmHosts) {
						w.hosts[11+h].cond = Draining
						w.list(w.hosts[11+h])
					}
				}
				open = append(open, w.arrive(id, 0, 2000, 6*sec))
				w.serve(open)
				open = slices.DeleteFunc(open, func(g *told) bool { return g.settled() && g.out() == nil })
			}
			if h := w.hosts[20]; h != nil {
				sent = append(sent, h.sent...)
			}
		}
		within := func(times []Micros, from Micros) (n float64) {
			for _, at := range times {
				if at >= from && at < from+place.OverloadWindow {
					n++
				}
			}
			return n
		}
		for from := start; from+place.OverloadWindow <= start+place.WarmUp; from += 50 * ms {
			got := within(sent, from)
			// What it can do at the span's end, if warm hosts do what they can.
			now := place.SlowStartFactor + (1-place.SlowStartFactor)*float64(from+place.OverloadWindow-start)/float64(place.WarmUp)
			allowed := place.OverloadFactor * min(now, 1) * perS / warmHosts * secs(place.OverloadWindow)
			if got > allowed+2*math.Sqrt(allowed)+2 {
				t.Fatalf("%d dispatchers: %v legs in a span from %d ms, %.1f allowed", n, got, (from-start)/ms, allowed)
			}
		}
		if len(sent) < 10 {
			t.Errorf("%d dispatchers: the cold host got %d legs in 10 s", n, len(sent))
		}
	}
}

// A cell's few writers do not take all that is read beside them where many dispatchers send, of which none sees that they are full; few
// dispatchers keep to the cell.
func TestManySpreadOverTheZone(t *testing.T) {
	fill := func(w *world) {
		w.list(&seen{id: 1}, &seen{id: 11, kind: 1}, &seen{id: 12, kind: 1})
		for i := range EndpointID(6) {
			w.list(&seen{id: 13 + i, kind: 1, cell: CellID(1 + i/2)})
		}
		w.list(&seen{id: 30, kind: 1, zone: 1, cell: 9})
	}
	at := map[CellID]int{}
	for _, w := range many(t, fill) {
		at[w.written(1, 2000).out().host.cell]++
	}
	if at[0] > 50 || at[9] > 0 {
		t.Errorf("writes by cell: %v", at)
	}
	w := newWorld(t, two(Idempotent), 1)
	fill(w)
	if h := w.written(1, 2000).out().host; h.cell != 0 {
		t.Errorf("one of two dispatchers left the cell for %d", h.cell)
	}
}
