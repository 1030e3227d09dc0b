package tenancy

import (
	"testing"

	"pgregory.net/rapid"
)

// testStart is the time at which the tests begin. It is not 0, because 0 marks a token bucket that was never filled.
const testStart = 1000 * second

// BenchmarkAdmit measures the admission and release of one request, with 10,000 tenants that have limits of all kinds.
func BenchmarkAdmit(b *testing.B) {
	const tenants = 10000
	controller := NewAdmissionController(4)
	limits := Limits{QuotaPerS: 4, RequestsPerS: 1e6, TokensPerS: 1e9, MaxConcurrent: 1000}
	for i := range tenants {
		controller.SetTenant(ID(i), TenantSettings{
			Limits:   limits,
			Keys:     map[string]Limits{"k": {RequestsPerS: 1e6}},
			Products: map[string]Limits{"p": {RequestsPerS: 1e6}},
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
		controller.RecordFirstToken(now, ticket, 1000, second)
		controller.Release(now, ticket, 1600)
	}
}

// All dispatchers together admit no more than a limit and the burst of each dispatcher allow, also if the clock steps
// back. A lowered limit applies at once.
func TestDispatchersTogetherStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatchers := rapid.IntRange(1, 8).Draw(t, "dispatchers")
		run := &limitsRun{
			t: t,
			limits: Limits{
				RequestsPerS:  float64(rapid.IntRange(1, 50).Draw(t, "per_s")),
				MaxConcurrent: rapid.IntRange(0, 20).Draw(t, "concurrent"),
				TokensPerS:    float64(rapid.IntRange(0, 1).Draw(t, "tokens")) * 20000,
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
	limitsRunTokens = 1000 // reserved for each request: the prompt and half of the maximum output
	limitsRunPrompt = 900
	limitsRunOutput = 200
)

// limitsRun sends requests of one tenant to several dispatchers.
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
	if r.limits.MaxConcurrent > 0 && len(r.open) > max(r.limits.MaxConcurrent, len(r.controllers)) {
		r.t.Fatalf("%d open requests, limit %d, %d dispatchers", len(r.open), r.limits.MaxConcurrent, len(r.controllers))
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
	dispatchers := float64(len(r.controllers))
	// The bucket of each dispatcher is full at the start. All buckets together hold one second of the limit, or one
	// request for each dispatcher if that is more.
	if bound := r.limits.RequestsPerS*seconds + max(r.limits.RequestsPerS, dispatchers) +
		dispatchers; float64(r.accepted) > bound {
		r.t.Fatalf("%d requests accepted in %.2f s, %.0f allowed", r.accepted, seconds, bound)
	}
	tokens := float64(r.accepted * limitsRunTokens)
	bound := r.limits.TokensPerS*(seconds+1) + dispatchers*limitsRunTokens
	if r.limits.TokensPerS > 0 && tokens > bound {
		r.t.Fatalf("%.0f tokens accepted in %.2f s, %.0f allowed", tokens, seconds, bound)
	}
}

func (r *limitsRun) checkLoweredLimit() {
	r.t.Helper()
	controller := r.controllers[0]
	controller.SetTenant(1, TenantSettings{Limits: Limits{RequestsPerS: 0.001}, Serving: true})
	request := AdmissionRequest{Tenant: 1, PromptTokens: 10, MaxOutputTokens: 10}
	first, _ := controller.Admit(r.now, request)
	ticket, decision := controller.Admit(r.now, request)
	if ticket != nil || decision.Reason != RequestRateExceeded || decision.RetryAfter <= 0 {
		r.t.Fatalf("after the limit was lowered: ticket %v, decision %+v", ticket, decision)
	}
	if first != nil { // the bucket had a full request, and is empty now
		if decision.RetryAfter < 999*second {
			r.t.Fatalf("RetryAfter is %d µs with an empty bucket", decision.RetryAfter)
		}
		return
	}
	// The bucket had less than one request. RetryAfter is exactly the time until it holds a whole request.
	if ticket, _ := controller.Admit(r.now+decision.RetryAfter/2, request); ticket != nil {
		r.t.Fatal("admitted after half of RetryAfter")
	}
	if ticket, late := controller.Admit(r.latest+decision.RetryAfter+1, request); ticket == nil {
		r.t.Fatalf("rejected after RetryAfter, %d µs: %+v", decision.RetryAfter, late)
	}
}

// Other tenants can use the quota that one tenant does not use. The owner of the quota gets it back as soon as it sends
// requests.
func TestUnusedQuotaIsLentAndReturned(t *testing.T) {
	const (
		borrower ID = 1
		owner    ID = 2
	)
	fleet := newSharedFleet(borrower, owner)
	const steps = 1000 // each step takes 10 ms
	for range steps {
		fleet.step(borrower)
	}
	if served := fleet.served[borrower]; served < 500 {
		t.Errorf("alone, the borrower was served %d requests in 10 s, want at least 500, ten times its quota", served)
	}
	for i := range steps {
		if i%20 == 19 {
			fleet.step(borrower, owner)
		} else {
			fleet.step(borrower)
		}
	}
	if fleet.queued[owner] > 0 || fleet.served[owner] < 45 {
		t.Errorf("owner: %d requests queued, %d served", fleet.queued[owner], fleet.served[owner])
	}
}

// sharedFleet serves tenants with equal quotas.
type sharedFleet struct {
	controller *AdmissionController
	now        Micros
	running    []*Ticket
	queued     map[ID]int
	served     map[ID]int
}

func newSharedFleet(tenants ...ID) *sharedFleet {
	fleet := &sharedFleet{
		controller: NewAdmissionController(1), now: testStart, queued: map[ID]int{}, served: map[ID]int{},
	}
	for _, id := range tenants {
		fleet.controller.SetTenant(id, TenantSettings{Limits: Limits{QuotaPerS: 5}, Serving: true})
	}
	fleet.controller.SetPrefillEndpoints(8)
	return fleet
}

// send sends one request.
func (f *sharedFleet) send(id ID) {
	ticket, decision := f.controller.Admit(f.now, AdmissionRequest{Tenant: id, PromptTokens: 500, MaxOutputTokens: 100})
	if decision.Admitted {
		f.running = append(f.running, ticket)
	} else {
		f.queued[id]++
	}
}

// step advances the time by 10 ms. Each given tenant sends a request, and the fleet completes all requests but the
// newest three.
func (f *sharedFleet) step(tenants ...ID) {
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
		f.controller.RecordFirstToken(f.now, ticket, second/20, second)
		f.served[ticket.tenant.id]++
		f.controller.Release(f.now, ticket, 600)
	}
}
