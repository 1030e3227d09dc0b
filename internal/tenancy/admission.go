// Package tenancy decides what each tenant may do: how much of the service it may ask for (Gate), who it is and what it
// may see (Registry), and what it has used (Usage). It is free of I/O. What becomes of a generation that is let through
// is the decision module's, which keeps its own rule about shares.
package tenancy

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"plumspindle/scheduler/timerqueue"
)

// Micros is a time or a span in whole microseconds.
type Micros = timerqueue.Micros

const (
	second Micros = 1_000_000

	shareBurst  = 2.0    // seconds of its share that a tenant may ask for at once,
	burstLeast  = 4.0    // and so many generations: where many dispatchers have a small part each, chance alone goes beyond it
	ownSurplus  = 2      // generations beyond its share that each tenant may have through whatever the others have
	quantum     = 2000.0 // tokens; about what a generation costs
	waitingMost = 200    // of one tenant, where nothing else is stated
	windowStart = 8.0    // generations beyond a share that are let through at once, before anything was learnt
	windowLeast = 1.0    //
	windowMost  = 4096.0 //
	windowCut   = 0.6    // of what was through, when generations inside their share begin late
	cutEvery    = second / 4
	windowGrow  = 1.0    // for each that came to its end well, spread over as many as are through
	lateShare   = 0.25   // of the SLO time; one inside its share that begins later is late
	readPart    = 0.20   // of the readers that may be reading surplus while others ask
	quietFor    = second // without one late, before the window grows again
	unlimited   = 1e12
)

// ID names a tenant within one process; a name that is used again is another ID.
type ID uint32

// Limits are what a tenant, a key or a product of a tenant may do, over all dispatchers. 0 is no limit.
type Limits struct {
	SharePerS     float64 `json:"share_per_s,omitempty"`    // generations a second that come before all others' surplus
	Weight        float64 `json:"weight,omitempty"`         // of its turns for what is beyond the shares; 1 if not given
	PerS          float64 `json:"per_s,omitempty"`          // generations a second, at most
	TokensPerS    float64 `json:"tokens_per_s,omitempty"`   // prompt and answer
	BurstS        float64 `json:"burst_s,omitempty"`        // seconds of PerS and TokensPerS that may come at once; 1 if not given
	Concurrent    int     `json:"concurrent,omitempty"`     // generations at once
	LargestPrompt int     `json:"largest_prompt,omitempty"` // tokens
	Waiting       int     `json:"waiting,omitempty"`        // generations that may wait for their turn; 200 if not given
}

// bucket fills at a rate and holds so many seconds of it. While a clock runs again through time that it has shown already
// nothing is filled; one that steps back further than a second is taken to have been wrong before.
type bucket struct {
	level float64
	at    Micros
}

func (b *bucket) fill(now Micros, rate, most float64) {
	if b.at == 0 {
		b.level = most
	} else if now > b.at {
		b.level = min(b.level+rate*float64(now-b.at)/float64(second), most)
	}
	b.level = min(b.level, most) // a limit that was lowered counts at once
	if now > b.at || b.at-now > second {
		b.at = now
	}
}

// after is how long until the bucket holds so much, µs.
func (b *bucket) after(want, rate float64) Micros {
	if rate <= 0 {
		return 0
	}
	return Micros(math.Ceil(max(want-b.level, 0) / rate * float64(second)))
}

// account is one level of a tenant: itself, one of its keys, one of its products.
type account struct {
	limits Limits
	gens   bucket
	tokens bucket
	open   int
}

// Reason is why a generation is refused.
type Reason uint8

const (
	NotRejected Reason = iota
	RequestRateExceeded
	TokenRateExceeded
	ConcurrencyExceeded
	QueueFull
	PromptTooLarge
	NotServed // the tenant is suspended, or is going
)

var reasons = [...]string{"", "more generations a second than its limit", "more tokens a second than its limit", "more generations at once than its limit",
	"too many of its generations wait", "the prompt is larger than its limit", "the tenant is not served"}

func (r Reason) String() string { return reasons[r] }

// Decision is what becomes of a request at the gate.
type Decision struct {
	Admitted   bool   // let it through now
	Queued     bool   // its turn will come, or it will have to be given up in time
	Reason     Reason // else it is refused,
	RetryAfter Micros // and may come again after this; 0 if that is not known
}

// Ticket is one generation at the gate and beyond it.
type Ticket struct {
	tenant  *member
	levels  [3]*account
	cost    float64 // tokens reserved
	over    bool    // beyond its tenant's share
	through bool
	waits   bool
	ended   bool
	begun   bool
	passed  Micros
	Owner   any // the caller's
}

// OverQuota tells whether it is beyond its tenant's share.
func (t *Ticket) OverQuota() bool { return t.over }

type member struct {
	id ID
	account
	share    bucket
	keys     map[string]*account
	products map[string]*account
	open     map[*Ticket]uint64 // at the gate and beyond, by the order of their coming
	serves   bool
	surplus  int // beyond its share and through
	unbegun  int // of these, those whose answer has not begun
}

// coming is when a tenant last asked for something inside its share.
type coming struct {
	tenant *member
	at     Micros
}

// AdmissionController keeps one dispatcher's even part of all limits.
type AdmissionController struct {
	parts     float64
	members   map[ID]*member
	fair      *FairQueue[*Ticket]
	window    float64 // generations beyond their share that may be through at once
	surplus   int     // that are
	unbegun   int     // of these, those whose answer has not begun
	places    int
	now       Micros
	restUntil Micros    // no surplus is let through before it, while others ask
	came      [2]coming // the last two tenants that asked for something inside their share
	lateAt    Micros
	cutAt     Micros
	last      uint64
}

// NewAdmissionController makes one of so many that share the limits.
func NewAdmissionController(parts int) *AdmissionController {
	return &AdmissionController{parts: float64(max(parts, 1)), members: map[ID]*member{}, fair: NewFairQueue[*Ticket](quantum), window: windowStart}
}

// SetTenant makes a tenant known, or changes what it may do. Limits lowered under what runs bind what comes next.
func (g *AdmissionController) SetTenant(id ID, l Limits, keys, products map[string]Limits, serves bool) {
	m := g.members[id]
	if m == nil {
		m = &member{id: id, open: map[*Ticket]uint64{}}
		g.members[id] = m
	}
	m.limits, m.serves = l, serves
	set := func(old map[string]*account, now map[string]Limits) map[string]*account {
		next := make(map[string]*account, len(now))
		for name, l := range now {
			a := old[name]
			if a == nil {
				a = &account{}
			}
			a.limits = l
			next[name] = a
		}
		return next
	}
	m.keys, m.products = set(m.keys, keys), set(m.products, products)
}

// RemoveTenant drops a tenant of which nothing is open any more, and tells whether it could.
func (g *AdmissionController) RemoveTenant(id ID) bool {
	m := g.members[id]
	if m != nil && len(m.open) > 0 {
		return false
	}
	delete(g.members, id)
	return true
}

// OpenTickets are a tenant's generations at the gate and beyond, in the order of their coming.
func (g *AdmissionController) OpenTickets(id ID) []*Ticket {
	m := g.members[id]
	if m == nil {
		return nil
	}
	return slices.SortedFunc(maps.Keys(m.open), func(a, b *Ticket) int { return cmp.Compare(m.open[a], m.open[b]) })
}

// QueueLength is how many wait for their turn; Window how many beyond their share may be through at once.
func (g *AdmissionController) QueueLength() int { return g.fair.Len() }
func (g *AdmissionController) Window() float64  { return g.window }

// AdmissionRequest is one request as the limits see it.
type AdmissionRequest struct {
	Tenant          ID
	Key             string // the id of the key it came with; empty if that key has no limits
	Product         string
	PromptTokens    int
	MaxOutputTokens int
}

// Admit decides what becomes of one more request. The ticket is nil when it is rejected; else the caller must Release it.
func (g *AdmissionController) Admit(now Micros, r AdmissionRequest) (*Ticket, Decision) {
	g.now = now
	m := g.members[r.Tenant]
	if m == nil || !m.serves {
		return nil, Decision{Reason: NotServed}
	}
	t := &Ticket{tenant: m, levels: [3]*account{&m.account, m.keys[r.Key], m.products[r.Product]}, cost: float64(r.PromptTokens + r.MaxOutputTokens/2)}
	for _, a := range t.levels {
		if a == nil {
			continue
		}
		if reason, after := a.check(now, g.parts, r.PromptTokens, t.cost); reason != NotRejected {
			return nil, Decision{Reason: reason, RetryAfter: after}
		}
	}
	share := g.sharePerS(m)
	m.share.fill(now, share, max(share*shareBurst, burstLeast))
	t.over = m.share.level < 1
	if t.over {
		most := m.limits.Waiting
		if most == 0 {
			most = waitingMost
		}
		if g.fair.LenOf(r.Tenant) >= max(int(float64(most)/g.parts), 1) {
			return nil, Decision{Reason: QueueFull, RetryAfter: second / 2}
		}
	} else {
		m.share.level--
		if g.came[0].tenant != m {
			g.came[1] = g.came[0]
		}
		g.came[0] = coming{m, now}
	}
	for _, a := range t.levels {
		if a != nil {
			a.gens.level--
			a.tokens.level -= t.cost
			a.open++
		}
	}
	g.last++
	m.open[t] = g.last
	if !t.over {
		t.through = true
		return t, Decision{Admitted: true}
	}
	if g.fair.Len() == 0 && g.mayPass(t) || g.fair.LenOf(r.Tenant) == 0 && g.own(t) {
		g.pass(t)
		return t, Decision{Admitted: true}
	}
	t.waits = true
	weight := m.limits.Weight
	if weight == 0 {
		weight = 1
	}
	g.fair.Add(r.Tenant, weight, t, t.cost)
	return t, Decision{Queued: true}
}

func (g *AdmissionController) sharePerS(m *member) float64 {
	if m.limits.SharePerS == 0 {
		return unlimited
	}
	return m.limits.SharePerS / g.parts
}

// check holds one level's limits against one more generation.
func (a *account) check(now Micros, parts float64, prompt int, cost float64) (Reason, Micros) {
	l := a.limits
	if l.LargestPrompt > 0 && prompt > l.LargestPrompt {
		return PromptTooLarge, 0
	}
	if l.Concurrent > 0 && a.open >= max(int(float64(l.Concurrent)/parts), 1) {
		return ConcurrencyExceeded, 0
	}
	burst := l.BurstS
	if burst == 0 {
		burst = 1
	}
	rate := func(perS float64) float64 {
		if perS == 0 {
			return unlimited
		}
		return perS / parts
	}
	a.gens.fill(now, rate(l.PerS), max(rate(l.PerS)*burst, 1))
	if l.PerS > 0 && a.gens.level < 1 { // a limit that was lifted binds no more, though its bucket is still empty
		return RequestRateExceeded, a.gens.after(1, rate(l.PerS))
	}
	// A generation larger than the whole bucket goes when the bucket is full, and leaves a debt.
	most := rate(l.TokensPerS) * burst
	a.tokens.fill(now, rate(l.TokensPerS), most)
	if want := min(cost, most); l.TokensPerS > 0 && a.tokens.level < want {
		return TokenRateExceeded, a.tokens.after(want, rate(l.TokensPerS))
	}
	return NotRejected, 0
}

// mayPass lets surplus through up to the window, and a little of each tenant's in any case: one that has gone beyond its
// share by chance must not wait for what another floods the window with.
func (g *AdmissionController) mayPass(t *Ticket) bool {
	if g.own(t) {
		return true
	}
	if float64(g.surplus) >= g.window {
		return false
	}
	if !g.othersCome(t.tenant) {
		return g.unbegun < max(2*g.places/int(g.parts), 2)
	}
	return g.unbegun < max(int(g.duty()), 1) && g.now >= g.restUntil
}

// own is what each tenant may have beyond its share in any case.
func (g *AdmissionController) own(t *Ticket) bool {
	return t.tenant.surplus < ownSurplus && t.tenant.unbegun == 0
}

// othersCome tells whether another tenant has lately asked for something inside its share.
func (g *AdmissionController) othersCome(m *member) bool {
	for _, c := range g.came {
		if c.tenant != m && c.tenant != nil && g.now-c.at < quietFor {
			return true
		}
	}
	return false
}

// duty is how many prompts of the surplus this dispatcher's part of the readers may have at once; below 1 it is the part
// of the time in which there may be one.
func (g *AdmissionController) duty() float64 { return float64(g.places) * readPart / g.parts }

// SetPrefillEndpoints tells how many hosts read prompts now. While others ask, all dispatchers together let prompts of the surplus be
// read at a part of them only: what is beyond its share may fill gaps, but would else stand before everyone's next prompt.
func (g *AdmissionController) SetPrefillEndpoints(n int) { g.places = n }

func (g *AdmissionController) begun(t *Ticket) {
	if t.through && t.over && !t.begun {
		t.begun = true
		if d := g.duty(); d < 1 && d > 0 {
			g.restUntil = g.now + Micros(float64(g.now-t.passed)*(1/d-1))
		}
		g.unbegun--
		t.tenant.unbegun--
	}
}

func (g *AdmissionController) pass(t *Ticket) {
	t.through, t.waits, t.passed = true, false, g.now
	g.surplus++
	t.tenant.surplus++
	g.unbegun++
	t.tenant.unbegun++
}

// AdmitNext gives one that has waited and may go now.
func (g *AdmissionController) AdmitNext(now Micros) (*Ticket, bool) {
	g.now = now
	t, some := g.fair.Next(g.mayPass)
	if some {
		g.pass(t)
	}
	return t, some
}

// FirstToken tells how long one that is through took to its first token, against its SLO time. Those inside their share must
// not be made late by what is beyond the others': the window is cut when one is, and grows while none is.
func (g *AdmissionController) FirstToken(now Micros, t *Ticket, took, slo Micros) {
	g.now = now
	g.begun(t)
	if t.over || float64(took) <= lateShare*float64(slo) {
		return
	}
	g.late(now)
}

// NoCapacity tells that one inside its share finds no place at all just now.
func (g *AdmissionController) NoCapacity(now Micros, t *Ticket) {
	if !t.over {
		g.late(now)
	}
}

func (g *AdmissionController) late(now Micros) {
	g.lateAt = now
	if now-g.cutAt >= cutEvery || now < g.cutAt {
		g.cutAt = now
		g.window = max(windowCut*min(g.window, float64(g.surplus)), windowLeast)
	}
}

// Release gives back what a generation held, and corrects what was reserved to what it took. It is for one that was refused
// elsewhere or left, too; then nothing was taken.
func (g *AdmissionController) Release(now Micros, t *Ticket, took int) {
	if t.ended {
		return
	}
	g.now = now
	t.ended = true
	delete(t.tenant.open, t)
	for _, a := range t.levels {
		if a != nil {
			a.open--
			a.tokens.level += t.cost - float64(took)
		}
	}
	if t.waits {
		g.fair.Remove(t.tenant.id, func(o *Ticket) bool { return o == t })
	}
	if t.through && t.over {
		g.begun(t)
		g.surplus--
		t.tenant.surplus--
		if now-g.lateAt >= quietFor || now < g.lateAt {
			g.window = min(g.window+windowGrow/max(g.window/8, 1), windowMost)
		}
	}
}
