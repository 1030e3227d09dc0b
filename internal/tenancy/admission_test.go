package tenancy

import (
	"testing"

	"pgregory.net/rapid"
)

// testStart is a time at which a test begins; 0 would be a clock that was never read.
const testStart = 1000 * second

// BenchmarkAdmit measures one request from its admission to its release, among 10,000 tenants with limits of
// all kinds.
func BenchmarkAdmit(b *testing.B) {
	const tenants = 10000
	controller := NewAdmissionController(4)
	limits := Limits{QuotaPerS: 4, PerS: 1e6, TokensPerS: 1e9, Concurrent: 1000}
	for i := range tenants {
		controller.SetTenant(ID(i), TenantSettings{
			Limits:   limits,
			Keys:     map[string]Limits{"k": {PerS: 1e6}},
			Products: map[string]Limits{"p": {PerS: 1e6}},
			Serving:  true,
		})
	}
	controller.SetPrefillEndpoints(100)
	b.ReportAllocs()
	now := Micros(1)
	request := AdmissionRequest{Key: "k", Product: "p", PromptTokens: 1500, MaxOutputTokens: 200}
	for i := 0; b.Loop(); i++ {
		now += 50
		request.Tenant = ID(i % tenants)
		ticket, decision := controller.Admit(now, request)
		if ticket == nil {
			b.Fatal(decision)
		}
		if decision.Queued {
			controller.AdmitNext(now)
		}
		controller.FirstToken(now, ticket, 1000, second)
		controller.Release(now, ticket, 1600)
	}
}

// All dispatchers together stay within a limit, except for what each may burst by. A clock that steps back
// opens nothing, and a limit that is lowered counts at once.
func TestDispatchersTogetherStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatchers := rapid.IntRange(1, 8).Draw(t, "dispatchers")
		run := &limitsRun{
			t: t,
			limits: Limits{
				PerS:       float64(rapid.IntRange(1, 50).Draw(t, "per_s")),
				Concurrent: rapid.IntRange(0, 20).Draw(t, "concurrent"),
				TokensPerS: float64(rapid.IntRange(0, 1).Draw(t, "tokens")) * 20000,
			},
			now:  testStart,
			open: map[*Ticket]*AdmissionController{},
		}
		for range dispatchers {
			controller := NewAdmissionController(dispatchers)
			controller.SetTenant(1, TenantSettings{Limits: run.limits, Serving: true})
			controller.SetPrefillEndpoints(1000)
			run.controllers = append(run.controllers, controller)
		}
		for range 300 {
			run.step()
		}
		run.checkRates()
		run.checkLoweredLimit()
	})
}

const (
	limitsRunTokens = 1000 // of each request: prompt and half of the answer
	limitsRunPrompt = 900
	limitsRunOutput = 200
)

// limitsRun is one tenant that sends requests to several dispatchers.
type limitsRun struct {
	t           *rapid.T
	limits      Limits
	controllers []*AdmissionController
	now, latest Micros
	accepted    int // admitted or queued
	open        map[*Ticket]*AdmissionController
}

// step sends one request after a random time, which may be negative.
func (r *limitsRun) step() {
	elapsed := Micros(rapid.IntRange(-2000, 8000).Draw(r.t, "step"))
	r.now = max(r.now+elapsed, testStart)
	r.latest = max(r.latest, r.now)
	controller := r.controllers[rapid.IntRange(0, len(r.controllers)-1).Draw(r.t, "dispatcher")]
	request := AdmissionRequest{Tenant: 1, PromptTokens: limitsRunPrompt, MaxOutputTokens: limitsRunOutput}
	ticket, decision := controller.Admit(r.now, request)
	if ticket != nil {
		r.accepted++
		r.open[ticket] = controller
	} else if decision.Reason == NotRejected {
		r.t.Fatal("rejected without a reason")
	}
	if r.limits.Concurrent > 0 && len(r.open) > max(r.limits.Concurrent, len(r.controllers)) {
		r.t.Fatalf("%d open of %d, by %d", len(r.open), r.limits.Concurrent, len(r.controllers))
	}
	for ticket, controller := range r.open {
		if rapid.IntRange(0, 3).Draw(r.t, "end") == 0 {
			controller.Release(r.now, ticket, limitsRunTokens)
			delete(r.open, ticket)
		}
	}
}

func (r *limitsRun) checkRates() {
	r.t.Helper()
	seconds := float64(r.latest-testStart) / float64(second)
	parts := float64(len(r.controllers))
	// Each part begins full: a second of the limit in all, or one request where its part is smaller.
	if bound := r.limits.PerS*seconds + max(r.limits.PerS, parts) + parts; float64(r.accepted) > bound {
		r.t.Fatalf("%d accepted in %.2f s, %.0f allowed", r.accepted, seconds, bound)
	}
	tokens := float64(r.accepted * limitsRunTokens)
	bound := r.limits.TokensPerS*(seconds+1) + parts*limitsRunTokens
	if r.limits.TokensPerS > 0 && tokens > bound {
		r.t.Fatalf("%.0f tokens in %.2f s, %.0f allowed", tokens, seconds, bound)
	}
}

func (r *limitsRun) checkLoweredLimit() {
	r.t.Helper()
	controller := r.controllers[0]
	controller.SetTenant(1, TenantSettings{Limits: Limits{PerS: 0.001}, Serving: true})
	request := AdmissionRequest{Tenant: 1, PromptTokens: 10, MaxOutputTokens: 10}
	first, _ := controller.Admit(r.now, request)
	ticket, decision := controller.Admit(r.now, request)
	if ticket != nil || decision.Reason != RequestRateExceeded || decision.RetryAfter <= 0 {
		r.t.Fatalf("after the limit was lowered: %v, %+v", ticket, decision)
	}
	if first != nil { // the bucket was full, and is empty now
		if decision.RetryAfter < 999*second {
			r.t.Fatalf("with an empty bucket the wait is %d us", decision.RetryAfter)
		}
		return
	}
	// A part of one request was missing, perhaps a small one: the wait is just as long as it takes to come.
	if ticket, _ := controller.Admit(r.now+decision.RetryAfter/2, request); ticket != nil {
		r.t.Fatal("admitted in half of the wait")
	}
	if ticket, late := controller.Admit(r.latest+decision.RetryAfter+1, request); ticket == nil {
		r.t.Fatalf("rejected after the wait of %d us: %+v", decision.RetryAfter, late)
	}
}

// The quota that one tenant does not use serves others at once, and again its own requests as soon as there are some.
func TestUnusedQuotaIsLentAndReturned(t *testing.T) {
	const (
		borrower ID = 1
		owner    ID = 2
	)
	fleet := newLendingFleet(borrower, owner)
	const steps = 1000 // of 10 ms
	for range steps {
		fleet.step(borrower)
	}
	if served := fleet.served[borrower]; served < 500 {
		t.Errorf("alone, the first was served %d in 10 s; ten times its quota of 50 was available", served)
	}
	for i := range steps {
		if i%20 == 19 {
			fleet.step(borrower, owner)
		} else {
			fleet.step(borrower)
		}
	}
	if fleet.queued[owner] > 0 || fleet.served[owner] < 45 {
		t.Errorf("the owner's requests: %d were queued, %d served", fleet.queued[owner], fleet.served[owner])
	}
}

// lendingFleet serves two tenants with equal quotas.
type lendingFleet struct {
	controller *AdmissionController
	now        Micros
	running    []*Ticket
	queued     map[ID]int
	served     map[ID]int
}

func newLendingFleet(tenants ...ID) *lendingFleet {
	fleet := &lendingFleet{
		controller: NewAdmissionController(1), now: testStart, queued: map[ID]int{}, served: map[ID]int{},
	}
	for _, id := range tenants {
		fleet.controller.SetTenant(id, TenantSettings{Limits: Limits{QuotaPerS: 5}, Serving: true})
	}
	fleet.controller.SetPrefillEndpoints(8)
	return fleet
}

// send sends one request.
func (f *lendingFleet) send(id ID) {
	ticket, decision := f.controller.Admit(f.now, AdmissionRequest{Tenant: id, PromptTokens: 500, MaxOutputTokens: 100})
	if decision.Admitted {
		f.running = append(f.running, ticket)
	} else {
		f.queued[id]++
	}
}

// step lets 10 ms pass, in which some tenants send a request each and the fleet ends all but three.
func (f *lendingFleet) step(tenants ...ID) {
	const capacity = 3
	f.now += second / 100
	for _, id := range tenants {
		f.send(id)
	}
	for ticket, found := f.controller.AdmitNext(f.now); found; ticket, found = f.controller.AdmitNext(f.now) {
		f.running = append(f.running, ticket)
	}
	for len(f.running) > capacity {
		ticket := f.running[0]
		f.running = f.running[1:]
		f.controller.FirstToken(f.now, ticket, second/20, second)
		f.served[ticket.tenant.id]++
		f.controller.Release(f.now, ticket, 600)
	}
}
