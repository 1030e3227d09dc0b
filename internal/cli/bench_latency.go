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

// directAttemptTimeout limits one attempt of a request that goes directly to the endpoints.
const directAttemptTimeout = 10 * eventloop.Second

// benchEngineLimits are the limits of the engine that calls the endpoints directly.
var benchEngineLimits = engine.Limits{
	ConnectTimeout:    eventloop.Second,
	IdleTimeout:       20 * eventloop.Second,
	StreamIdleTimeout: 30 * eventloop.Second,
	MaxPerEndpoint:    maxBenchConnections,
	MaxOpening:        maxBenchOpeningConnections,
}

// directCaller sends requests directly to the endpoints: first a prefill attempt, then a decode attempt. It selects the
// endpoints of each kind in round-robin order.
type directCaller struct {
	engine          *engine.Engine
	prefill, decode []scheduler.EndpointID
	request         *chat.Request
}

// newDirectCaller creates a directCaller. It must run on the clients' event loop.
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

// send runs the prefill and the decode attempt of a request.
func (d *directCaller) send(request *benchRequest, onFirstToken func()) {
	target := func(endpoint scheduler.EndpointID, attempt scheduler.AttemptNumber) engine.Target {
		name := d.engine.AttemptRequestID(scheduler.RequestID(request.number), attempt)
		return engine.Target{Endpoint: endpoint, RequestID: name, ClientID: request.id, Timeout: directAttemptTimeout}
	}
	started := false
	decodeCallbacks := engine.Callbacks{
		Event: func([]byte) {
			if !started {
				started = true
				onFirstToken()
			}
		},
		Ended: func(result engine.Result) { request.onEnd(result.Outcome == scheduler.Completed) },
	}
	onPrefilled := func(result engine.Result) {
		if result.Outcome != scheduler.PrefillDone {
			request.onEnd(false)
			return
		}
		d.engine.Decode(target(d.decode[request.number%len(d.decode)], 1),
			engine.DecodeRequest{Chat: d.request, KVParams: result.KVParams, MaxTokens: benchMaxTokens},
			decodeCallbacks)
	}
	d.engine.Prefill(target(d.prefill[request.number%len(d.prefill)], 0), d.request, engine.Callbacks{Ended: onPrefilled})
}

// measureLatency compares the time to first token of requests through the dispatcher with that of requests directly to
// the endpoints.
func (c *benchCommand) measureLatency(ctx context.Context, env *environment) error {
	parsed, problem := chat.ParseRequest(chatBody(benchModel, benchMaxTokens), "bench", nil)
	if problem != nil {
		return problem
	}
	binary, err := c.binary()
	if err != nil {
		return err
	}
	target, err := c.startTarget(ctx, binary, benchDeployment(benchTokenIntervalMicros, 0))
	if err != nil {
		return err
	}
	defer target.cleanUp()
	direct, routed := newLatencyHistogram(), newLatencyHistogram()
	var caller *directCaller
	target.clients.Do(func() { caller = newDirectCaller(target, parsed) })
	warmUp := eventloop.Micros(c.Duration.Microseconds()) / 10
	load, err := c.runLoad(ctx, target, func(load *benchLoad, request *benchRequest) {
		measured := request.sentAt > load.until-eventloop.Micros(c.Duration.Microseconds())+warmUp
		recordIn := func(h *hdrhistogram.Histogram) func() {
			return func() {
				if measured {
					_ = h.RecordValue(int64(target.clients.Now() - request.sentAt)) // a time above the histogram's maximum is dropped
				}
			}
		}
		if load.random.Intn(2) == 0 {
			target.startCall(benchCall{model: benchModel, id: request.id, maxTokens: benchMaxTokens,
				onFirstToken: recordIn(routed), onToken: func() {}, onEnd: request.onEnd})
			return
		}
		caller.send(request, recordIn(direct))
	})
	if err != nil {
		return err
	}
	final, cpu := target.shutDown()
	load.printHeading(env)
	printPercentiles(env, "directly to endpoints", direct)
	printPercentiles(env, "through the dispatcher", routed)
	env.printf("  added                    p50 %7.2f  p90 %7.2f  p99 %7.2f\n",
		quantileMillis(routed, 50)-quantileMillis(direct, 50), quantileMillis(routed, 90)-quantileMillis(direct, 90),
		p99Millis(routed)-p99Millis(direct))
	c.printDispatcherCost(env, final, cpu)
	return nil
}

// printDispatcherCost prints the CPU time and the allocations of the dispatcher for each request and event.
func (c *benchCommand) printDispatcherCost(env *environment, final finalCounters, cpu time.Duration) {
	seconds := c.Duration.Seconds()
	env.printf("dispatcher: %.3f of a core at %.0f requests a second through it (%.0f events a second), "+
		"%.0f µs a request\n", cpu.Seconds()/seconds, final.accepted/seconds, final.events/seconds,
		cpu.Seconds()*1e6/max(final.accepted, 1))
	env.printf("allocations: %.1f a streamed event, including those for all other work on the request\n",
		final.allocations/max(final.events, 1))
}

// measuredVariant is one variant of requests whose time to first token is compared with that of others.
type measuredVariant struct {
	name, model string
	withKey     bool // requests carry an Idempotency-Key
	firstToken  *hdrhistogram.Histogram
}

// measureIntents compares the time to first token of requests whose intent is recorded, either during prefill or
// between prefill and decode, with that of requests whose intent is not recorded. All requests go through one
// dispatcher.
func (c *benchCommand) measureIntents(ctx context.Context, env *environment) error {
	const duringPrefillProduct, beforeDecodeProduct = "review-post", "late"
	dep := benchDeployment(benchTokenIntervalMicros, 0)
	for _, product := range dep.Products {
		if product.Name == duringPrefillProduct {
			beforeDecode := proto.CloneOf(product)
			beforeDecode.Name, beforeDecode.Intent = beforeDecodeProduct, pb.Product_BEFORE_WRITE
			dep.Products = append(dep.Products, beforeDecode)
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
	variants := []*measuredVariant{
		{name: "no key, no intent", model: duringPrefillProduct},
		{name: "recorded during prefill", model: duringPrefillProduct, withKey: true},
		{name: "recorded before decode", model: beforeDecodeProduct, withKey: true},
	}
	for _, variant := range variants {
		variant.firstToken = newLatencyHistogram()
	}
	load, err := c.runLoad(ctx, target, func(load *benchLoad, request *benchRequest) {
		variant := variants[load.random.Intn(len(variants))]
		call := benchCall{model: variant.model, id: request.id, maxTokens: benchMaxTokens, onToken: func() {},
			onEnd: request.onEnd}
		if variant.withKey {
			call.headers = []string{"Idempotency-Key", request.id}
		}
		call.onFirstToken = func() { _ = variant.firstToken.RecordValue(int64(target.clients.Now() - request.sentAt)) }
		target.startCall(call)
	})
	if err != nil {
		return err
	}
	target.shutDown()
	load.printHeading(env)
	for _, variant := range variants {
		printPercentiles(env, variant.name, variant.firstToken)
	}
	return nil
}
