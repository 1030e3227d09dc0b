// Package platform hosts the decision module on the users' platform, as package dispatch does for the chat API: it tells the module
// what happens and does what it orders. Clients come by door, legs go by legs, the list comes by watch; nothing is decided here.
package platform

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"plumspindle/choice"
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/platform/discovery"
	"plumspindle/internal/platform/server"
	"plumspindle/internal/platform/upstream"
	"plumspindle/internal/settings"
)

// Post is where a dispatcher stands, and what it may use.
type Post struct {
	Name      string
	Discovery string // address
	Seed      int64
	Terms     *settings.Terms
	Known     []byte // the list as it was last known, in discovery's form; empty: none
	Sockets   int    // descriptors
	Memory    int    // bytes
	Log       zerolog.Logger
}

const (
	// A stream that has begun and brings nothing for so long is broken: a client may not be left waiting for 5 s.
	silence = 4200 * eventloop.Millisecond
	// An id is not taken again for so long after its answer: a copy of an open request may come when that has just ended.
	idKept      = 10 * eventloop.Second
	unknownKind = 255
	// Part of the time in which a state has to be taken or let go of, after which a leg that has no connection yet does not get it any
	// more: to the rule the state lies there, and letting go needs a part too.
	leasePart = 0.6
	// The agent on this machine tells what it has at once; without a word of it for so long, what was known before will do.
	agentWithin = eventloop.Second
	// A leg that is given up is out until its host sees its connection closed, which takes a way through the network, between zones at the
	// most. Nothing else is done for its generation for so long.
	closeSeen = 20 * eventloop.Millisecond
	// What runs on after SIGTERM may be on new connections for so long.
	leaveAfter = 500 * eventloop.Millisecond
)

// Counts are what the dispatcher has done since its start.
type Counts struct {
	Taken, Streamed, Broken, Throttled, Terminated, Left, Legs uint64
	Endings                                                    [9]uint64 // by choice.Ending
}

// Dispatcher is one.
type Dispatcher struct {
	loop    eventloop.Loop
	post    Post
	terms   *settings.Terms
	module  *choice.Dispatcher
	legs    *upstream.Legs
	door    *server.Server
	watch   *discovery.Watch
	gens    map[choice.GenID]*gen
	lastGen choice.GenID
	ids     map[string]bool // open ones
	lately  [2]map[string]bool
	hosts   map[choice.HostID]discovery.Entry
	ready   []choice.HostID
	began   eventloop.Micros
	leaving func()
	Counts
}

// gen is what the dispatcher keeps of a generation: what the module does not know, and nothing that it does.
type gen struct {
	id       choice.GenID
	ask      *server.Request
	reply    *server.Response
	legs     choice.LegNo // sent so far
	leg      *engine.Leg  // that is out
	host     choice.HostID
	sent     eventloop.Micros // when the leg was ordered
	reads    bool             // the leg does
	closing  bool             // it is given up, and its host may not have seen it yet
	started  bool             // the leg's stream has, and the client has it
	answered bool             // or nobody waits any more
	// A host may hold something for it, likely this one.
	lies      bool
	lieAt     choice.HostID
	lease     eventloop.Wait // for what lies
	releasing bool           // that is being let go of
	next      func()         // the leg that waits for it, as the release would take what that leg leaves
}

// Start makes a dispatcher on a loop; Door's Accept takes its clients.
func Start(loop eventloop.Loop, post Post) *Dispatcher {
	t := post.Terms
	x := &Dispatcher{loop: loop, post: post, terms: t, gens: map[choice.GenID]*gen{}, ids: map[string]bool{},
		lately: [2]map[string]bool{{}, {}}, hosts: map[choice.HostID]discovery.Entry{}, began: loop.Now()}
	place := t.Place
	place.Idle /= 2 // connections are closed well before hosts do: what is written to one that is closed counts as lost
	e := engine.New(loop, post.Name, "", trunks(t, post.Sockets, place.Idle))
	x.legs = upstream.New(loop, e, t.LetGo, func() []choice.HostID { return x.ready })
	x.legs.Log = func(line string) { post.Log.Warn().Msg(line) }
	x.door = server.New(loop, doors(post.Sockets, post.Memory), x)
	x.watch = discovery.New(loop, post.Seed, post.Discovery, x.news, func(line string) { post.Log.Warn().Msg(line) })
	x.module = choice.Start(loop.Now(), post.Seed, place, x)
	if len(post.Known) > 0 {
		if err := x.watch.Take(post.Known); err != nil {
			post.Log.Warn().Err(err).Msg("the known list is not used")
		}
	}
	x.watch.Begin()
	x.forgetIDs()
	return x
}

// trunks are the terms of connections to hosts. Clients may hold about half of the descriptors, and each request needs one on either
// side; what is left is for releases, discovery and the poller.
func trunks(t *settings.Terms, sockets int, idle eventloop.Micros) engine.Trunks {
	most := max(sockets*2/5, 8)
	return engine.Trunks{Connect: t.Connect, Idle: idle, Silence: silence, Most: most, Opening: max(most/4, 4), All: most}
}

func doors(sockets, memory int) server.Limits {
	b := server.DefaultLimits
	b.Most = max(sockets/2, 8)
	b.Kept = max(memory/8, 2*b.Body)
	b.Unsent = min(max(memory/4/b.Most, 8<<10), 64<<10)
	return b
}

// Door is the clients' side.
func (x *Dispatcher) Door() *server.Server { return x.door }

// Move has discovery asked at another address.
func (x *Dispatcher) Move(discovery string) { x.watch.Move(discovery) }

// Leave answers all that was taken, takes what still comes for a short while, and then calls done.
func (x *Dispatcher) Leave(shut, done func()) {
	x.door.Drain()
	x.loop.After(leaveAfter, func() {
		shut()
		x.door.Shutdown()
		x.leaving = done
		x.left()
	})
}

func (x *Dispatcher) left() {
	if x.leaving == nil || len(x.gens) > 0 || x.door.Open > 0 {
		return
	}
	done, until := x.leaving, x.loop.Now()+leaveAfter
	x.leaving = nil
	x.watch.Close()
	x.legs.Close()
	var last func() // what was written last is on its way: clients close once they have it
	last = func() {
		if x.door.Connections() == 0 || x.loop.Now() >= until {
			done()
			return
		}
		x.loop.After(leaveAfter/20, last)
	}
	x.loop.After(leaveAfter/20, last)
}

// --- The list ---

func (x *Dispatcher) news(entries []discovery.Entry, whole bool) {
	now := x.loop.Now()
	listed := map[choice.HostID]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		zone, kind := slices.Index(x.terms.Zones, e.Zone), slices.Index(x.terms.Kinds, e.Kind)
		if zone < 0 || kind < 0 || kind >= len(x.terms.Place.Kinds) {
			x.post.Log.Warn().Str("host", e.Name).Str("zone", e.Zone).Str("kind", e.Kind).Msg("a host of a zone or kind that the settings do not name; nothing is sent there")
			zone, kind = max(zone, 0), unknownKind
		}
		if e.Condition == choice.Gone {
			delete(x.hosts, e.ID)
		} else {
			x.hosts[e.ID] = e
			x.legs.Place(e.ID, e.Addr)
		}
		x.post.Log.Debug().Str("host", e.Name).Uint32("number", uint32(e.ID)).Str("addr", e.Addr).Str("kind", e.Kind).Str("zone", e.Zone).
			Uint16("cell", uint16(e.Cell)).Int("condition", int(e.Condition)).Int64("started", int64(e.Started)).Msg("listed")
		x.module.Listed(now, e.ID, choice.ZoneID(zone), choice.KindID(kind), e.Cell, e.Condition, min(e.Started, now))
	}
	for id := range x.hosts {
		if whole && !listed[id] {
			delete(x.hosts, id)
		}
	}
	x.ready = x.ready[:0]
	for id, e := range x.hosts {
		if e.Condition == choice.Ready {
			x.ready = append(x.ready, id)
		}
	}
	slices.Sort(x.ready)
	x.recall()
	x.module.ListEnded(now, whole)
	for _, e := range entries {
		if e.Condition == choice.Gone {
			x.legs.Forget(e.ID)
		}
	}
	if whole {
		x.legs.ForgetOthers(listed)
	}
}

// recall takes back what has not left yet to hosts that want nothing new: a connection that opens only now must not carry it.
func (x *Dispatcher) recall() {
	for _, g := range x.inOrder() {
		if g.leg != nil && g.leg.Unsent() && !slices.Contains(x.ready, g.host) {
			x.takeBack(g, engine.Outcome{How: choice.Unreachable, Memory: choice.NoReport, Why: "the host is going"})
		}
	}
}

// --- Clients ---

// Ready tells whether there is a host to read and one to answer. What discovery has counts as told from the first moment, and what was
// known before may name hosts that are gone, so a new process first waits a moment for the agent.
func (x *Dispatcher) Ready() bool {
	if !x.watch.Up() && x.loop.Now()-x.began < agentWithin {
		return false
	}
	var reads, answers bool
	for _, id := range x.ready {
		switch x.role(id) {
		case choice.Reader:
			reads = true
		case choice.Writer:
			answers = true
		case choice.Mixed:
			return true
		}
	}
	return reads && answers
}

func (x *Dispatcher) role(id choice.HostID) choice.Role {
	if k := slices.Index(x.terms.Kinds, x.hosts[id].Kind); k >= 0 && k < len(x.terms.Place.Kinds) {
		return x.terms.Place.Kinds[k].Role
	}
	return choice.Writer
}

// Handle takes a request from the door.
func (x *Dispatcher) Handle(ask *server.Request, to *server.Response) *server.Rejection {
	product := slices.Index(x.terms.Products, ask.Class)
	if product < 0 {
		return &server.Rejection{Status: 400, Reason: fmt.Sprintf("unknown kind of request %.40q", ask.Class)}
	}
	if x.ids[ask.ID] || x.lately[0][ask.ID] || x.lately[1][ask.ID] {
		return &server.Rejection{Status: 409, Reason: "the id is that of another request"}
	}
	tenant := max(slices.Index(x.terms.Tenants, ask.Tenant), 0)
	if ask.PromptTokens == 0 {
		ask.PromptTokens = float64(len(ask.Body)) / 4
	}
	x.lastGen++
	x.Taken++
	g := &gen{id: x.lastGen, ask: ask, reply: to}
	x.gens[g.id] = g
	x.ids[ask.ID] = true
	to.OnClientGone = func() { x.loop.Later(func() { x.clientLeft(g) }) } // never within the module's own call
	to.OnWritable = func() {
		if g.leg != nil {
			g.leg.Slow(false)
		}
	}
	now := x.loop.Now()
	x.module.Arrive(now, g.id, choice.SessionID(name(ask.Session)), choice.PrefixID(name(ask.Prefix)), choice.ProductID(product),
		choice.TenantID(tenant), ask.PromptTokens, ask.PrefixTokens, ask.MaxOutputTokens, 0, ask.ReceivedAt+ask.Timeout)
	x.settle(g)
	return nil
}

// name makes a number of a session's or a text's id, alike at every dispatcher; none is 0.
func name(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(xxhash.Sum64String(id), 1)
}

func (x *Dispatcher) clientLeft(g *gen) {
	if g.answered {
		return
	}
	g.answered = true
	x.Left++
	if g.started {
		l, no := g.leg, g.legs-1
		l.Cancel()
		x.ended(g, no, engine.Outcome{How: choice.Cancelled, Memory: choice.NoReport, Why: "its client left"})
		return
	}
	x.module.Left(x.loop.Now(), g.id)
	if !x.terms.Place.MayCancel && (g.next != nil || g.leg != nil && g.leg.Unsent()) { // it has not begun and must not
		x.Cancel(g.id, g.legs-1)
	}
	x.settle(g)
}

// forgetIDs drops the ids of requests that were answered a while ago.
func (x *Dispatcher) forgetIDs() {
	x.lately[1], x.lately[0] = x.lately[0], map[string]bool{}
	x.loop.After(idKept, x.forgetIDs)
}

// settle sees, after each of the module's calls, to what no order comes for: nothing stays held for a generation without a leg that
// is out, and one that is over is forgotten.
func (x *Dispatcher) settle(g *gen) {
	if g.leg != nil || g.next != nil || g.releasing || x.gens[g.id] != g {
		return
	}
	if g.lies {
		x.release(g)
		return
	}
	if g.answered {
		delete(x.gens, g.id)
		delete(x.ids, g.ask.ID)
		x.lately[0][g.ask.ID] = true
		x.left()
	}
}

// inOrder are the generations, so that nothing hangs on the order of a map.
func (x *Dispatcher) inOrder() []*gen {
	return slices.SortedFunc(maps.Values(x.gens), func(a, b *gen) int { return cmp.Compare(a.id, b.id) })
}

// hold: a host may hold something for the generation from now on, for as long as a state may wait.
func (x *Dispatcher) hold(g *gen) {
	g.lies = true
	g.lease.For(x.loop, eventloop.Micros(leasePart*float64(x.terms.LetGo)), func() { x.expired(g) })
}

// expired: what is held has waited for too long, as the time runs on while connections fail to come up. A leg that has left by now takes
// it; one that has not is taken back, and to a write its state is gone.
func (x *Dispatcher) expired(g *gen) {
	l, no := g.leg, g.legs-1
	if !g.lies || g.releasing || l == nil || !l.Unsent() {
		return
	}
	o := engine.Outcome{How: choice.Full, Note: 1, Memory: choice.NoReport, Why: "no connection while its state may wait"}
	if g.reads {
		o.How, o.Note = choice.NeverSent, 0
	}
	l.Cancel()
	x.release(g)
	x.ended(g, no, o)
}

func (x *Dispatcher) release(g *gen) {
	g.lies, g.releasing = false, true
	g.lease.Over()
	x.legs.Release(g.ask.ID, g.lieAt, func(bool) {
		g.releasing = false
		if next := g.next; next != nil {
			g.next = nil
			next()
		}
		x.settle(g)
	})
}

// --- Legs ---

// Send makes a leg.
func (x *Dispatcher) Send(id choice.GenID, host choice.HostID, allow choice.Micros) {
	g := x.gens[id]
	if g == nil {
		return
	}
	no := g.legs
	g.legs++
	x.Legs++
	g.host, g.sent, g.reads, g.started = host, x.loop.Now(), x.role(host) == choice.Reader, false
	carry := func() {
		hear := engine.Hearer{
			Event: func(data []byte) { x.event(g, no, data) },
			Ended: func(o engine.Outcome) { x.ended(g, no, o) },
		}
		request := upstream.Request{ID: g.ask.ID, Target: g.ask.Target, Type: g.ask.ContentType, Body: g.ask.Body}
		if g.reads {
			g.leg = x.legs.Read(host, request, allow, hear)
		} else {
			g.leg = x.legs.Write(host, request, allow, hear)
		}
	}
	if g.releasing {
		g.next = func() { x.afterRelease(g, no, carry) }
		return
	}
	carry()
}

// afterRelease carries a leg that had to wait, unless its host has begun to go meanwhile.
func (x *Dispatcher) afterRelease(g *gen, no choice.LegNo, carry func()) {
	why := "the host is going"
	if slices.Contains(x.ready, g.host) {
		if x.loop.Now()-g.sent <= x.terms.Connect {
			carry()
			return
		}
		why = "what was held was let go of too late" // by now the time for a repeat may be over, which was looked at when it was ordered
	}
	x.ended(g, no, engine.Outcome{How: choice.NeverSent, Memory: choice.NoReport, Why: why})
}

func (x *Dispatcher) event(g *gen, no choice.LegNo, data []byte) {
	if no != g.legs-1 || g.leg == nil || g.answered {
		return
	}
	if !g.started {
		g.started, g.lies = true, false
		g.lease.Over()
		g.leg.Started()
		if e := x.post.Log.Debug(); e.Enabled() {
			e.Str("id", g.ask.ID).Int("leg", int(no)).Str("host", x.hosts[g.host].Name).Int64("took", int64(x.loop.Now()-g.sent)).
				Int64("after", int64(x.loop.Now()-g.ask.ReceivedAt)).Msg("first event")
		}
		x.module.Started(x.loop.Now(), g.id, no)
		if g.answered {
			return
		}
	}
	if g.reply.WriteEvent(data) {
		g.leg.Slow(true)
	}
}

// ended takes the end of a leg.
func (x *Dispatcher) ended(g *gen, no choice.LegNo, o engine.Outcome) {
	if no != g.legs-1 {
		return
	}
	if o.Cut && !g.started && !g.closing && o.How != choice.Unreachable {
		g.closing = true
		x.loop.After(closeSeen, func() { x.ended(g, no, o) })
		return
	}
	g.leg, g.closing = nil, false
	x.Endings[o.How]++
	if e := x.post.Log.Debug(); e.Enabled() {
		e.Str("id", g.ask.ID).Int("leg", int(no)).Str("host", x.hosts[g.host].Name).Bool("reads", g.reads).Bool("started", g.started).
			Int("ending", int(o.How)).Int("note", o.Note).Float64("prompt", g.ask.PromptTokens).Int64("took", int64(x.loop.Now()-g.sent)).
			Int64("waited", int64(g.sent-g.ask.ReceivedAt)).Str("product", g.ask.Class).Str("prefix", g.ask.Prefix).Str("why", o.Why).Msg("leg ended")
	}
	switch o.How {
	case choice.Unreachable, choice.NeverSent: // and what lies has waited on
	case choice.Full:
		if g.lies { // its leg was out until now
			x.hold(g)
		}
	default:
		// Also a read that broke or was given up may have ended well; a write that did may have left what it was to fetch.
		if g.reads {
			g.lieAt = g.host
		}
		if g.reads || g.lies {
			x.hold(g)
		}
	}
	if g.started && !g.answered {
		g.answered = true
		if o.How == choice.Streamed {
			x.Streamed++
			g.reply.Complete()
		} else {
			x.Broken++
			g.reply.Break()
		}
	}
	x.module.Ended(x.loop.Now(), g.id, no, o.How, o.Note, g.answered, o.Memory)
	x.settle(g)
}

// --- The module's other orders ---

// Throttle is the final answer of a generation that may come again.
func (x *Dispatcher) Throttle(id choice.GenID, comeBackIn choice.Micros) {
	if g := x.gens[id]; g != nil && !g.answered {
		g.answered = true
		x.Throttled++
		g.reply.Reject(comeBackIn)
		x.answered(g, "throttled")
	}
}

// Terminate is the final answer of a generation that failed.
func (x *Dispatcher) Terminate(id choice.GenID) {
	if g := x.gens[id]; g != nil && !g.answered {
		g.answered = true
		x.Terminated++
		g.reply.Fail()
		x.answered(g, "terminated")
	}
}

func (x *Dispatcher) answered(g *gen, how string) {
	x.post.Log.Debug().Str("id", g.ask.ID).Str("product", g.ask.Class).Str("final", how).Int("legs", int(g.legs)).
		Int64("after", int64(x.loop.Now()-g.ask.ReceivedAt)).Msg("answered")
	x.loop.Later(func() { x.settle(g) })
}

// Cancel gives a leg up. That it was cancelled is told after the module's call; one that never left is known not to have run.
func (x *Dispatcher) Cancel(id choice.GenID, no choice.LegNo) {
	g := x.gens[id]
	if g == nil || no != g.legs-1 || g.started || g.closing || g.leg == nil && g.next == nil {
		return
	}
	o := engine.Outcome{How: choice.Cancelled, Cut: true, Memory: choice.NoReport, Why: "given up"}
	if g.leg == nil || g.leg.Unsent() {
		o = engine.Outcome{How: choice.NeverSent, Memory: choice.NoReport, Why: "given up before it left"}
	}
	x.takeBack(g, o)
}

// takeBack ends the leg that is out, or that waits to be; that is told after the call that is under way.
func (x *Dispatcher) takeBack(g *gen, o engine.Outcome) {
	l, no := g.leg, g.legs-1
	if l != nil {
		l.Cancel()
	}
	g.next = nil
	x.loop.Later(func() {
		if no == g.legs-1 && g.leg == l {
			x.ended(g, no, o)
		}
	})
}

// LetGo has what is held dropped now; a leg that follows waits for that.
func (x *Dispatcher) LetGo(id choice.GenID) {
	if g := x.gens[id]; g != nil && g.lies && !g.releasing && g.leg == nil {
		x.release(g)
	}
}

// Subscribe does nothing, as the list comes by itself here.
func (x *Dispatcher) Subscribe() {}

// Ring sets one of the module's two timers.
func (x *Dispatcher) Ring(after choice.Micros, bell choice.Bell) {
	x.loop.After(after, func() { x.module.Rang(x.loop.Now(), bell) })
}

// Log is the module's own line.
func (x *Dispatcher) Log(line string) { x.post.Log.Info().Msg(line) }

// Standing describes the dispatcher in a few numbers, for logs.
func (x *Dispatcher) Standing() string {
	gens, legs, held, _ := x.module.Open()
	return fmt.Sprintf("generations %d, legs %d, held %d; connections: clients %d, hosts %d; unsent %d at most, bodies %d; taken %d, streamed %d, broken %d, throttled %d, terminated %d, left %d, legs %d, endings %v; releases %d in %d tries, late %d; door refused %d, crowded %d, silent %d; hosts ready %d, list heard %s",
		gens, legs, held, x.door.Connections(), x.legs.Connections(), x.door.Unsent(), x.door.Kept(), x.Taken, x.Streamed, x.Broken, x.Throttled, x.Terminated, x.Left, x.Legs, x.Endings,
		x.legs.Releases, x.legs.Tries, x.legs.Late, x.door.Rejected, x.door.Evicted, x.door.TimedOut, len(x.ready), strconv.FormatUint(x.watch.Heard, 10))
}
