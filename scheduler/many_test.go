package scheduler

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// hundredDispatchers is a deployment of 100 dispatchers, and one world for each.
func hundredDispatchers(t *testing.T, fill func(sim *fleetSim)) (ws []*fleetSim) {
	config := testConfig(Idempotent)
	config.Dispatchers, config.IdleTimeout = 100, 30*sec
	for seed := range int64(100) {
		sim := newFleetSim(t, config, seed)
		fill(sim)
		ws = append(ws, sim)
	}
	return ws
}

// A hundred dispatchers that each see little learn of a cold host at once: what they send it together stays
// within the rule, and it gets some work.
func TestManyAtOneColdHost(t *testing.T) {
	ws := hundredDispatchers(t, func(sim *fleetSim) { sim.addEndpoints(2, 0, 1) })
	start := ws[0].now + 15*sec
	var sent []Micros
	warm := 0
	for n, sim := range ws {
		sim.advance(Micros(n) * 9 * ms) // they don't act in step
		for i := range 32 {
			if i == 16 {
				sim.updateEndpoints(&simEndpoint{id: 13, kind: 1, startedAt: start})
			}
			req := sim.prefilled(RequestID(i+1), 2000)
			if sim.startAnswer(req); i < 16 {
				warm++
			}
			sim.advance(890 * ms)
			sim.endAttempt(req, Completed, 0)
		}
		sent = append(sent, sim.endpoints[13].sent...)
	}
	rate := float64(warm) / 2 / 14.4 // answers a second at each of the two warm hosts
	// Warm hosts could do more than they were sent: the module takes coldShare of what they were seen to do.
	allowed := ws[0].config.OverloadFactor * ws[0].config.SlowStartFactor * slowStartShare * rate * secs(ws[0].config.OverloadWindow)
	for from := start; from < start+2*sec; from += 100 * ms {
		n := 0.0
		for _, at := range sent {
			if at >= from && at < from+ws[0].config.OverloadWindow {
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
	sim := hundredDispatchers(t, func(sim *fleetSim) {
		sim.updateEndpoints(&simEndpoint{id: 1, kind: 0}, &simEndpoint{id: 11, kind: 1}, &simEndpoint{id: 12, kind: 1, zone: 1, cell: 1})
	})[0]
	for id := range RequestID(3) {
		req := sim.prefilled(id+1, 2000)
		if sim.startAnswer(req); req.inFlight().endpoint.id != 11 {
			t.Errorf("generation %d left its reader's cell", id+1)
		}
	}
}

// All hear the same reports: they must not all send to the host that was emptiest then.
func TestReportsDrawNoRush(t *testing.T) {
	at := map[EndpointID]int{}
	for _, sim := range hundredDispatchers(t, func(sim *fleetSim) { sim.addEndpoints(5, 0, 1) }) {
		for i, ep := range sim.scheduler.endpoints[5:] {
			sim.scheduler.recordMemoryReport(ep, 0.2+0.01*float64(i))
		}
		at[sim.prefilled(1, 2000).inFlight().endpoint.id]++
	}
	if at[11] > 60 || len(at) < 4 {
		t.Errorf("writers by the number that chose them: %v", at)
	}
}

// The sessions of a prefix that makes up much of the traffic are read at several readers, each at the same
// one by every dispatcher; others stay at one home.
func TestHotPrefixHasHomes(t *testing.T) {
	homes := map[SessionID]EndpointID{}
	for _, sim := range hundredDispatchers(t, func(sim *fleetSim) { sim.addEndpoints(9, 0, 1) })[:5] {
		for range 60 {
			sim.scheduler.countPrefix(7)
			sim.scheduler.countPrefix(8)
		}
		for s := range SessionID(12) {
			ep := sim.scheduler.affinityEndpoint(&request{prefix: 7, session: s}, 7, sim.scheduler.endpoints[:9:9])
			if was := homes[s]; was != 0 && was != ep.id {
				t.Errorf("session %d is at home at %d and %d", s, was, ep.id)
			}
			homes[s] = ep.id
		}
		sim.scheduler.requestCounts[9], sim.scheduler.arrivals = 1, 121
		if sim.scheduler.affinityEndpoint(&request{prefix: 9, session: 1}, 9, sim.scheduler.endpoints[:9:9]) !=
			sim.scheduler.affinityEndpoint(&request{prefix: 9, session: 2}, 9, sim.scheduler.endpoints[:9:9]) {
			t.Error("a rare prefix has two homes")
		}
	}
	at := map[EndpointID]bool{}
	for _, ep := range homes {
		at[ep] = true
	}
	if len(at) < 2 {
		t.Errorf("half the traffic has the homes %v", at)
	}
}

// States out of one cell begin late: prompts are read in another.
func TestLateHandoverMovesReads(t *testing.T) {
	sim := hundredDispatchers(t, func(sim *fleetSim) {
		sim.updateEndpoints(&simEndpoint{id: 1, kind: 0}, &simEndpoint{id: 2, kind: 0, cell: 1}, &simEndpoint{id: 11, kind: 1, cell: 2})
	})[0]
	req := sim.arrive(1, 0, 2000, 6*sec)
	cell := req.inFlight().endpoint.cell
	sim.scheduler.handoverDelay[cell] = decayingMean{1.5, sim.now}
	if ep := sim.arrive(4, 0, 2000, 6*sec).inFlight().endpoint; ep.cell == cell {
		t.Error("read again in the cell whose states begin late")
	}
}

// While new connections fail, hosts with an open one come first.
func TestOpenConnectionsFirst(t *testing.T) {
	sim := hundredDispatchers(t, func(sim *fleetSim) { sim.addEndpoints(5, 0, 1) })[0]
	req := sim.prefilled(1, 2000)
	reader, writer := req.attempts[0].endpoint.id, req.inFlight().endpoint.id
	sim.startAnswer(req)
	sim.endAttempt(req, Completed, 0)
	sim.scheduler.connectFailures = decayingMean{1, sim.now}
	for id := range RequestID(8) {
		if req := sim.prefilled(id+2, 2000); req.attempts[0].endpoint.id != reader || req.inFlight().endpoint.id != writer {
			t.Errorf("read at %d, written at %d", req.attempts[0].endpoint.id, req.inFlight().endpoint.id)
		}
	}
}

// Dispatchers that have seen next to nothing, as each of three hundred for most of a day, agree on where a text is read: who takes the
// few that it saw for all of the traffic gives each of them homes of its own, and all of them read it anew. That a home keeps what
// others had read there is what makes it the place to go to, also before one that this dispatcher happened to read at.
func TestFewGenerationsAgreeOnHomes(t *testing.T) {
	at := map[PrefixID]map[EndpointID]int{}
	n := 0
	for i, sim := range hundredDispatchers(t, func(sim *fleetSim) {
		for i := range EndpointID(40) {
			sim.updateEndpoints(&simEndpoint{id: 100 + i, kind: 0}, &simEndpoint{id: 200 + i, kind: 1})
		}
	}) {
		for j := range 4 {
			prefix := PrefixID(1 + (7*i+23*j)%80)
			if at[prefix] == nil {
				at[prefix] = map[EndpointID]int{}
			}
			req := sim.arriveWithPrefix(RequestID(i*10+j+1), 0, prefix, 6000, 5000, 6*sec)
			at[prefix][req.inFlight().endpoint.id]++
			n++
			sim.endAttempt(req, PrefillDone, 5000)
			sim.startAnswer(req)
			sim.advance(sec)
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
	for i, sim := range hundredDispatchers(t, func(sim *fleetSim) {
		for i := range EndpointID(20) {
			sim.updateEndpoints(&simEndpoint{id: 100 + i, kind: 0}, &simEndpoint{id: 200 + i, kind: 1})
		}
	}) {
		for j := range 12 {
			prefix := PrefixID(100 + 50*i + j)
			if j%3 == 0 {
				prefix = 1
			}
			req := sim.arriveWithPrefix(RequestID(i*20+j+1), 0, prefix, 6000, 5000, 6*sec)
			if j >= 3 && prefix == 1 {
				at[req.inFlight().endpoint.id]++
				n++
			}
			sim.endAttempt(req, PrefillDone, 5000)
			sim.startAnswer(req)
			sim.endAttempt(req, Completed, 0)
			sim.advance(sec)
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
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(6, 0, 1)
	home := sim.arriveWithPrefix(1, 0, 7, 6000, 5000, 6*sec).inFlight().endpoint
	sim.endAttempt(sim.requests[1], PrefillDone, 5000)
	sim.startAnswer(sim.requests[1])
	clear(sim.scheduler.byID[home.id].cachedPrefixes)
	for _, ep := range sim.scheduler.endpoints {
		if ep.role == Prefill && ep.id != home.id {
			ep.cachedPrefixes[7] = true
		}
	}
	sim.advance(sec)
	if ep := sim.arriveWithPrefix(2, 0, 7, 6000, 5000, 6*sec).inFlight().endpoint; ep.id != home.id {
		t.Errorf("read at %d and not at %d, where all others read it", ep.id, home.id)
	}
}

// What a home turns out not to keep is learnt.
func TestHomesThatKeepNothing(t *testing.T) {
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	sim.addEndpoints(4, 0, 1)
	for i := range RequestID(40) {
		req := sim.arriveWithPrefix(i+1, 0, PrefixID(i+1), 6000, 5000, 6*sec)
		sim.endAttempt(req, PrefillDone, 0)
		sim.startAnswer(req)
		sim.endAttempt(req, Completed, 0)
	}
	req := sim.arriveWithPrefix(99, 0, 99, 6000, 5000, 6*sec)
	if read := sim.scheduler.tokensToPrefill(sim.scheduler.byID[req.inFlight().endpoint.id], sim.scheduler.requests[99]); read < 5800 {
		t.Errorf("a home is still taken to need %v of 6000", read)
	}
}

// stepAll ends reads at once, begins answers and ends those of a second ago.
func (sim *fleetSim) stepAll(gens []*simRequest) {
	for range 2 {
		for _, req := range gens {
			switch l := req.inFlight(); {
			case l == nil:
			case l.endpoint.kind == 0:
				sim.endAttempt(req, PrefillDone, 0)
			case !l.started:
				sim.startAnswer(req)
			case l.sentAt < sim.now-sec:
				sim.endAttempt(req, Completed, 0)
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
		config := testConfig(Idempotent)
		config.Dispatchers, config.IdleTimeout = n, 30*sec
		chance := rand.New(rand.NewSource(int64(n)))
		weights, sum := make([]float64, n), 0.0
		for i := range weights {
			weights[i] = math.Exp(chance.NormFloat64()) // some see several times the mean
			sum += weights[i]
		}
		var sent []Micros
		var start Micros
		for i := range n {
			sim := newFleetSim(t, config, int64(i))
			sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 2}, &simEndpoint{id: 3}, &simEndpoint{id: 4})
			for ep := range EndpointID(warmHosts) {
				sim.updateEndpoints(&simEndpoint{id: 11 + ep, kind: 1})
			}
			began := sim.now
			start = began + 20*sec
			var open []*simRequest
			for id := RequestID(1); ; id++ {
				for next := sim.now + Micros(chance.ExpFloat64()*sum/(perS*weights[i])*float64(sec)); sim.now < next; {
					sim.advance(min(next-sim.now, 50*ms))
					sim.stepAll(open)
				}
				if sim.now > start+config.WarmUp {
					break
				}
				if sim.now >= start && sim.endpoints[20] == nil { // all others go: only what the rule leaves keeps attempts from it
					sim.updateEndpoints(&simEndpoint{id: 20, kind: 1, startedAt: start})
					for ep := range EndpointID(warmHosts) {
						sim.endpoints[11+ep].state = Draining
						sim.updateEndpoints(sim.endpoints[11+ep])
					}
				}
				open = append(open, sim.arrive(id, 0, 2000, 6*sec))
				sim.stepAll(open)
				open = slices.DeleteFunc(open, func(req *simRequest) bool { return req.settled() && req.inFlight() == nil })
			}
			if ep := sim.endpoints[20]; ep != nil {
				sent = append(sent, ep.sent...)
			}
		}
		within := func(times []Micros, from Micros) (n float64) {
			for _, at := range times {
				if at >= from && at < from+config.OverloadWindow {
					n++
				}
			}
			return n
		}
		for from := start; from+config.OverloadWindow <= start+config.WarmUp; from += 50 * ms {
			got := within(sent, from)
			// What it can do at the span's end, if warm hosts do what they can.
			now := config.SlowStartFactor + (1-config.SlowStartFactor)*float64(from+config.OverloadWindow-start)/float64(config.WarmUp)
			allowed := config.OverloadFactor * min(now, 1) * perS / warmHosts * secs(config.OverloadWindow)
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
	fill := func(sim *fleetSim) {
		sim.updateEndpoints(&simEndpoint{id: 1}, &simEndpoint{id: 11, kind: 1}, &simEndpoint{id: 12, kind: 1})
		for i := range EndpointID(6) {
			sim.updateEndpoints(&simEndpoint{id: 13 + i, kind: 1, cell: CellID(1 + i/2)})
		}
		sim.updateEndpoints(&simEndpoint{id: 30, kind: 1, zone: 1, cell: 9})
	}
	at := map[CellID]int{}
	for _, sim := range hundredDispatchers(t, fill) {
		at[sim.prefilled(1, 2000).inFlight().endpoint.cell]++
	}
	if at[0] > 50 || at[9] > 0 {
		t.Errorf("writes by cell: %v", at)
	}
	sim := newFleetSim(t, testConfig(Idempotent), 1)
	fill(sim)
	if ep := sim.prefilled(1, 2000).inFlight().endpoint; ep.cell != 0 {
		t.Errorf("one of two dispatchers left the cell for %d", ep.cell)
	}
}
