package cli

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"plumspindle/internal/chat"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// directAttemptTimeout is for one attempt of a request that goes straight to the endpoints.
const directAttemptTimeout = 10 * eventloop.Second

// benchEngineLimits are those of the engine that calls the endpoints directly.
var benchEngineLimits = engine.Limits{
	ConnectTimeout:    eventloop.Second,
	IdleTimeout:       20 * eventloop.Second,
	StreamIdleTimeout: 30 * eventloop.Second,
	MaxPerEndpoint:    maxBenchConnections,
	MaxOpening:        maxBenchOpening,
}

// directCaller sends requests straight to the endpoints, which take turns: prefill, then decode.
type directCaller struct {
	engine          *engine.Engine
	prefill, decode []scheduler.EndpointID
	request         *chat.Request
}

// newDirectCaller is called on the clients' loop.
func newDirectCaller(t *benchTarget, request *chat.Request) *directCaller {
	d := &directCaller{engine: engine.New(t.clients, "bench", t.deployment.Zones[0], benchEngineLimits), request: request}
	for _, endpoint := range t.fleet.Endpoints {
		id := scheduler.EndpointID(endpoint.ID)
		d.engine.SetAddress(id, endpoint.Addr)
		if endpoint.Kind() == "prefill" {
			d.prefill = append(d.prefill, id)
		} else {
			d.decode = append(d.decode, id)
		}
	}
	return d
}

// ask runs both attempts of a request.
func (d *directCaller) ask(request *benchRequest, firstToken func()) {
	target := func(endpoint scheduler.EndpointID, attempt scheduler.AttemptNo) engine.Target {
		name := d.engine.AttemptName(scheduler.RequestID(request.number), attempt)
		return engine.Target{Endpoint: endpoint, RequestID: name, ClientID: request.id, Timeout: directAttemptTimeout}
	}
	started := false
	stream := engine.Callbacks{
		Event: func([]byte) {
			if !started {
				started = true
				firstToken()
			}
		},
		Ended: func(result engine.Result) { request.ended(result.Outcome == scheduler.Completed) },
	}
	prefilled := func(result engine.Result) {
		if result.Outcome != scheduler.PrefillDone {
			request.ended(false)
			return
		}
		d.engine.Decode(target(d.decode[request.number%len(d.decode)], 1),
			engine.DecodeRequest{Chat: d.request, KVParams: result.State, MaxTokens: benchAnswerTokens}, stream)
	}
	d.engine.Prefill(target(d.prefill[request.number%len(d.prefill)], 0), d.request, engine.Callbacks{Ended: prefilled})
}

// measureLatency compares requests through the dispatcher with others straight to the endpoints.
func (c *benchCommand) measureLatency(ctx context.Context, env *environment) error {
	plain, problem := chat.ParseRequest(chatBody(benchModel, benchAnswerTokens), "bench", nil)
	if problem != nil {
		return problem
	}
	binary, err := c.binary()
	if err != nil {
		return err
	}
	target, err := c.startTarget(ctx, binary, benchFleet(benchStepMicros, 0))
	if err != nil {
		return err
	}
	defer target.cleanUp()
	direct, through := newLatencyHistogram(), newLatencyHistogram()
	var caller *directCaller
	target.clients.Do(func() { caller = newDirectCaller(target, plain) })
	warmUp := eventloop.Micros(c.For.Microseconds()) / 10
	load, err := c.runLoad(ctx, target, func(load *benchLoad, request *benchRequest) {
		measured := request.began > load.until-eventloop.Micros(c.For.Microseconds())+warmUp
		recordIn := func(h *hdrhistogram.Histogram) func() {
			return func() {
				if measured {
					_ = h.RecordValue(int64(target.clients.Now() - request.began)) // a time beyond the histogram's is lost
				}
			}
		}
		if load.random.Intn(2) == 0 {
			target.ask(benchCall{model: benchModel, id: request.id, maxTokens: benchAnswerTokens,
				firstToken: recordIn(through), token: func() {}, ended: request.ended})
			return
		}
		caller.ask(request, recordIn(direct))
	})
	if err != nil {
		return err
	}
	final, cpu := target.close()
	load.printHeading(env)
	printPercentiles(env, "straight to the hosts", direct)
	printPercentiles(env, "through the dispatcher", through)
	env.printf("  added                    p50 %7.2f  p90 %7.2f  p99 %7.2f\n",
		quantileMillis(through, 50)-quantileMillis(direct, 50), quantileMillis(through, 90)-quantileMillis(direct, 90),
		p99Millis(through)-p99Millis(direct))
	c.printCost(env, final, cpu)
	return nil
}

// printCost prints what the dispatcher used.
func (c *benchCommand) printCost(env *environment, final finalLog, cpu time.Duration) {
	seconds := c.For.Seconds()
	env.printf("dispatcher: %.3f of a core at %.0f generations a second through it (%.0f events a second), "+
		"%.0f µs a generation\n", cpu.Seconds()/seconds, final.accepted/seconds, final.events/seconds,
		cpu.Seconds()*1e6/max(final.accepted, 1))
	env.printf("allocations: %.1f a streamed event, all of a generation's other work included\n",
		final.allocations/max(final.events, 1))
}

// measuredSort is one sort of request whose times are compared.
type measuredSort struct {
	name, model string
	keyed       bool // with an Idempotency-Key
	firstToken  *hdrhistogram.Histogram
}

// measureIntents compares requests that are recorded before they may run with others that are not, through one
// dispatcher.
func (c *benchCommand) measureIntents(ctx context.Context, env *environment) error {
	const recordedProduct, lateProduct = "review-post", "late"
	dep := benchFleet(benchStepMicros, 0)
	for _, product := range dep.Products {
		if product.Name == recordedProduct {
			late := proto.CloneOf(product)
			late.Name, late.Intent = lateProduct, pb.Product_BEFORE_WRITE
			dep.Products = append(dep.Products, late)
		}
	}
	binary, err := c.binary()
	if err != nil {
		return err
	}
	target, err := c.startTarget(ctx, binary, dep)
	if err != nil {
		return err
	}
	defer target.cleanUp()
	sorts := []*measuredSort{
		{name: "no key, no record", model: recordedProduct},
		{name: "record while it is read", model: recordedProduct, keyed: true},
		{name: "record before the write", model: lateProduct, keyed: true},
	}
	for _, sort := range sorts {
		sort.firstToken = newLatencyHistogram()
	}
	load, err := c.runLoad(ctx, target, func(load *benchLoad, request *benchRequest) {
		sort := sorts[load.random.Intn(len(sorts))]
		call := benchCall{model: sort.model, id: request.id, maxTokens: benchAnswerTokens, token: func() {},
			ended: request.ended}
		if sort.keyed {
			call.headers = []string{"Idempotency-Key", request.id}
		}
		call.firstToken = func() { _ = sort.firstToken.RecordValue(int64(target.clients.Now() - request.began)) }
		target.ask(call)
	})
	if err != nil {
		return err
	}
	target.close()
	load.printHeading(env)
	for _, sort := range sorts {
		printPercentiles(env, sort.name, sort.firstToken)
	}
	return nil
}
