package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/record"
	"plumspindle/internal/virtual"
)

// fleetHarness runs a dispatcher with simulated endpoints, one for prefill and two for decode, and records what the
// endpoints and the client see.
type fleetHarness struct {
	*harness
	fleet    *modelserver.Fleet
	recorder *record.Recorder
}

// fleetMode says whether endpoints stop cancelled attempts, and whether the scheduler may cancel attempts.
type fleetMode struct{ stops, cancels bool }

func newFleetHarness(t *testing.T, mode fleetMode) *fleetHarness {
	t.Helper()
	dep := deployment.Standard()
	dep.Zones, dep.Kinds = dep.Zones[:1], dep.Kinds[:2]
	dep.Fleet.CellsPerZone, dep.Fleet.CellTokensPerS, dep.Fleet.RosterLateMs = 1, 10000, 20
	dep.Fleet.CancelStops = mode.stops
	dep.Fleet.Groups = []*pb.Fleet_Group{
		{Kind: "prefill", HostsPerZone: 1, ReadTokensPerS: 18000, Slots: 1, Queue: 40, StepUs: 5000},
		{Kind: "decode", HostsPerZone: 2, Slots: 100, Queue: 30, StepUs: 16000},
	}
	dep.Dispatching.MayCancel = mode.cancels
	dep.Tenants = []*pb.Tenant{testTenant()}
	network := virtual.NewNetwork(1)
	r := &harness{t: t, network: network, loop: network.NewLoop("d"), remote: network.NewLoop("far"), deployment: dep}
	f := &fleetHarness{harness: r}
	f.recorder, _ = record.Open("")
	f.record(record.Event{Type: record.NetworkLatency, Count: int64(network.Latency)})
	var err error
	f.remote.Do(func() { f.fleet, err = modelserver.Start(f.remote, dep, 1, "127.0.0.1:0", f.recorder) })
	if err != nil {
		t.Fatal(err)
	}
	f.startDispatcher(f.loop, func(config *Config) error {
		config.CachedEndpoints, config.Discovery = nil, f.fleet.Discovery.Addr
		return nil
	})
	network.Run(100 * eventloop.Millisecond)
	return f
}

// record adds an event with the current time.
func (f *fleetHarness) record(event record.Event) {
	event.At = int64(f.network.Now())
	f.recorder.Add(event)
}

// fleetRequest is a request that a test sends.
type fleetRequest struct {
	id         string
	product    string
	tokens     int // length of the prompt
	unstreamed bool
	limit      eventloop.Micros // time limit; 0: the product's
}

// askRecorded sends a request, and records that it was sent.
func (f *fleetHarness) askRecorded(request fleetRequest) *clientCall {
	fields := []string{"x-client-request-id", request.id}
	if request.limit > 0 {
		fields = append(fields, "x-time-limit-ms", fmt.Sprint(request.limit/eventloop.Millisecond))
	}
	f.record(record.Event{
		Type: record.RequestSent, Request: request.id, ClientAttempt: 1, Dispatcher: "d",
		Product: request.product, Value: float64(request.limit),
	})
	prompt := strings.Repeat("tell ", request.tokens*4/5)
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`,
		request.product, !request.unstreamed, prompt)
	return f.send(body, fields...)
}

// effectOf returns the effect of a product.
func (f *fleetHarness) effectOf(product string) pb.Product_Effect {
	for _, p := range f.deployment.Products {
		if p.Name == product {
			return p.Effect
		}
	}
	f.t.Fatalf("no product %s", product)
	return 0
}

// stage is a point in the life of a request at which a test ends it, and how the request gets there.
type stage struct {
	name       string
	tokens     int
	after      eventloop.Micros // when the request is at the stage, counted from its sending
	seen       string           // the stage that the endpoints report; empty: the request is at no endpoint
	unstreamed bool             // the answer is not streamed; otherwise a request in decode has no deadline
	before     func(f *fleetHarness)
}

var stages = []stage{
	{"pending without decode endpoints", 1800, 300 * eventloop.Millisecond, "", false, (*fleetHarness).drainDecodes},
	{"queued at the prefill endpoint", 1800, 50 * eventloop.Millisecond, "waiting", false, (*fleetHarness).occupyPrefill},
	{"prefilling", 5000, 150 * eventloop.Millisecond, "reading", false, nil},
	{"fetching its state", 5000, 530 * eventloop.Millisecond, "fetching", false, nil},
	{"decoding", 5000, 1100 * eventloop.Millisecond, "writing", true, nil},
}

func (f *fleetHarness) drainDecodes() {
	f.remote.Do(func() {
		for _, endpoint := range f.fleet.Endpoints {
			if endpoint.Kind() == "decode" {
				endpoint.Drain(60*eventloop.Second, 0)
			}
		}
	})
	f.network.Run(100 * eventloop.Millisecond)
}

func (f *fleetHarness) occupyPrefill() {
	f.askRecorded(fleetRequest{id: "blocker", product: "explain", tokens: 1800})
	f.network.Run(10 * eventloop.Millisecond)
}

// ending is a way in which a request ends early. The function want returns the final answers that are right for a stage
// and the product's effect; none if the client has disconnected.
type ending struct {
	name         string
	end          func(f *fleetHarness, c *clientCall, at *modelserver.Endpoint) // nil: the request reaches its deadline
	want         func(s stage, effect pb.Product_Effect) []string
	disconnected bool
}

// wantAtDeadline returns the right final answers at a deadline. An unstreamed request in decode fails. Any other
// request is rejected if it is known not to have run or may run again, and fails otherwise.
func wantAtDeadline(s stage, effect pb.Product_Effect) []string {
	switch {
	case s.unstreamed:
		return []string{"terminated"}
	case effect == pb.Product_IDEMPOTENT || s.seen == "":
		return []string{"throttled"}
	}
	return []string{"terminated"} // an attempt is in flight, and even a prefill counts as a possible run
}

func wantAfterCrash(s stage, effect pb.Product_Effect) []string {
	if s.unstreamed || s.seen == "fetching" && effect == pb.Product_SIDE_EFFECTING {
		return []string{"terminated"}
	}
	return []string{"streamed", "throttled"}
}

var endings = []ending{
	{"its client disconnects", (*fleetHarness).disconnect, func(stage, pb.Product_Effect) []string { return nil }, true},
	{"its deadline", nil, wantAtDeadline, false},
	{"its tenant is removed", (*fleetHarness).removeTenant, wantAtDeadline, false},
	{"its endpoint crashes", (*fleetHarness).crash, wantAfterCrash, false},
}

func (f *fleetHarness) disconnect(c *clientCall, _ *modelserver.Endpoint) { f.remote.Do(c.conn.Abort) }

func (f *fleetHarness) removeTenant(*clientCall, *modelserver.Endpoint) {
	f.loop.Do(func() { f.dispatcher.removeTenant(f.dispatcher.tenantSlots["one"], true) })
}

func (f *fleetHarness) crash(_ *clientCall, at *modelserver.Endpoint) {
	if at == nil { // the request is at no endpoint: the prefill endpoint crashes
		at = f.fleet.Endpoints[0]
	}
	f.remote.Do(func() { at.Crash(500 * eventloop.Millisecond) })
}

// expectation says how the request with the id "g" must end.
type expectation struct {
	product      string
	finals       []string // the right final answers
	disconnected bool
}

// expectCleanEnd checks at the end of a test that the client got the right final answer, or none if the client
// disconnected, that no rule of the audit was violated, and that nothing is left in the dispatcher, the scheduler or
// the endpoints.
func (f *fleetHarness) expectCleanEnd(c *clientCall, want expectation) {
	f.t.Helper()
	f.recordFinal(c, want)
	f.network.Run(eventloop.Second)
	if f.deployment.Fleet.CancelStops {
		f.expectIdleFleet("a second later")
	}
	f.network.Run(15 * eventloop.Second)
	n := len(c.finals)
	switch {
	case want.disconnected && n > 0, !want.disconnected && n != 1, c.eventsAfterFinal > 0:
		f.t.Errorf("final answers %v, %d events after them, disconnected %v", c.finals, c.eventsAfterFinal, want.disconnected)
	case !want.disconnected && !slices.Contains(want.finals, c.finals[0]):
		f.t.Errorf("final answer %s, want %v; raw %.200q", c.finals[0], want.finals, c.raw)
	}
	f.expectIdleFleet("at the end")
	f.expectNothingOpen()
	f.expectRulesKept()
}

func (f *fleetHarness) recordFinal(c *clientCall, want expectation) {
	final := record.Event{Type: record.FinalAnswer, Request: "g", ClientAttempt: 1, Dispatcher: "d", Product: want.product}
	if want.disconnected {
		final.Detail, final.Count = record.Failed, 1
	} else {
		f.runUntil(8*eventloop.Second, func() bool { return len(c.finals) > 0 })
		final.Detail, final.Exact, final.Count = "gave_up", true, int64(len(c.text))
		if len(c.finals) > 0 {
			final.Detail = c.finals[0]
		}
	}
	f.record(final)
}

func (f *fleetHarness) expectIdleFleet(when string) {
	f.t.Helper()
	if jobs, states, tokens := f.fleet.Outstanding(); jobs > 0 || states > 0 || tokens > 0 {
		f.t.Errorf("%s the endpoints still have %d jobs, %d states, %d tokens\n%s",
			when, jobs, states, tokens, strings.Join(f.fleet.Summary(), "\n"))
	}
}

func (f *fleetHarness) expectNothingOpen() {
	f.t.Helper()
	if open := f.dispatcher.scheduler.InFlight(); open.Requests+open.Attempts+open.Queued > 0 || open.PrefillTokens > 0.5 {
		f.t.Errorf("the scheduler still has %+v in flight", open)
	}
	f.expectIdle()
	if n := f.dispatcher.frontend.OpenRequests; n != 0 {
		f.t.Errorf("%d requests are still open", n)
	}
	for _, endpoint := range f.fleet.Endpoints {
		if n := f.dispatcher.engine.InFlight(endpoint.Entry("ready").ID); n != 0 {
			f.t.Errorf("%d attempts are still in flight at endpoint %d", n, endpoint.ID)
		}
	}
	if err := f.dispatcher.CheckInvariants(); err != nil {
		f.t.Error(err)
	}
}

func (f *fleetHarness) expectRulesKept() {
	f.t.Helper()
	events, _ := f.recorder.Close()
	events = slices.DeleteFunc(events, func(event record.Event) bool {
		return event.Request == "blocker" && event.Type == record.RequestSent
	})
	verdict := audit.Judge(f.deployment, events)
	for i, rule := range verdict.Rules {
		for _, violation := range rule.Violations {
			f.t.Errorf("rule %d: %s", i+1, violation.Text)
		}
	}
	for _, event := range events {
		if event.Type == record.StateLeaseExpired {
			f.t.Errorf("the state of attempt %s was not released before its lease expired at its endpoint", event.Attempt)
		}
	}
}
