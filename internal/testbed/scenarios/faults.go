package scenarios

import (
	"context"
	"maps"
	"slices"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/load"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/record"
)

const (
	defaultNeighbourShare = 0.25 // of the endpoints that a noisy neighbour slows down
	minRateFactor         = 0.01
	minPatience           = 0.05
)

// injection is one fault on its way into a run. It runs on the fleet's loop.
type injection struct {
	run       *Run
	fault     *pb.Day_Trouble
	duration  eventloop.Micros
	endpoints []*modelserver.Endpoint // drawn as the fault asks for
}

type injector func(ctx context.Context, i injection)

// ofEndpoints has each endpoint that was drawn fail.
func ofEndpoints(inject func(endpoint *modelserver.Endpoint, i injection)) injector {
	return func(_ context.Context, i injection) {
		for _, endpoint := range i.endpoints {
			inject(endpoint, i)
		}
	}
}

// ofClients changes what the clients do, for a while.
func ofClients(change func(generator *load.Generator, factor float64) (undo func())) injector {
	return func(_ context.Context, i injection) {
		clients := i.run.clientLoop
		clients.Post(func() {
			undo := change(i.run.generator, i.fault.Factor)
			clients.AfterFunc(i.duration, undo)
		})
	}
}

// times returns the fault's factor in some unit of time.
func (i injection) times(unit eventloop.Micros) eventloop.Micros {
	return eventloop.Micros(i.fault.Factor * float64(unit))
}

// injectors are the kinds of fault that can be injected in virtual time and over sockets.
var injectors = map[string]injector{
	"crash":          ofEndpoints(crashEndpoint),
	"mass_restart":   ofEndpoints(crashEndpoint),
	"vanish":         ofEndpoints(func(e *modelserver.Endpoint, i injection) { e.Blackhole(i.duration) }),
	"hang":           ofEndpoints(func(e *modelserver.Endpoint, i injection) { e.Hang(i.duration) }),
	"pauses":         ofEndpoints(func(e *modelserver.Endpoint, i injection) { e.Pause(i.duration) }),
	"flush":          ofEndpoints(func(e *modelserver.Endpoint, _ injection) { e.ClearPrefixCache() }),
	"drain":          ofEndpoints(func(e *modelserver.Endpoint, i injection) { e.Drain(i.duration, i.duration) }),
	"slow":           ofEndpoints(slowDownEndpoint),
	"neighbour":      ofEndpoints(slowDownEndpoint),
	"fast_errors":    ofEndpoints(failAttempts),
	"handshake_slow": ofEndpoints(delayConnections),
	"report_late":    ofEndpoints(delayLoadReports),
	"throttle":       rejectProduct,
	"zone_cut":       partitionZone,
	"balancer_crash": crashDispatchers,
	"descriptors":    limitDescriptors,
	"burst":          ofClients(multiplyRate),
	"tenant_burst":   ofClients(multiplyRateOfOneTenant),
	"give_up":        ofClients(shortenPatience),
}

func crashEndpoint(endpoint *modelserver.Endpoint, i injection) { endpoint.Crash(i.duration) }

func slowDownEndpoint(endpoint *modelserver.Endpoint, i injection) {
	endpoint.SlowDown(max(i.fault.Factor, 1), i.duration)
}

func failAttempts(endpoint *modelserver.Endpoint, i injection) {
	endpoint.FailAttempts(i.fault.Factor, i.duration)
}

func delayConnections(endpoint *modelserver.Endpoint, i injection) {
	endpoint.DelayConnections(i.times(eventloop.Millisecond), i.duration)
}

func delayLoadReports(endpoint *modelserver.Endpoint, i injection) {
	endpoint.DelayLoadReports(i.times(eventloop.Second), i.duration)
}

func rejectProduct(_ context.Context, i injection) {
	product := i.fault.Product
	if product == "" {
		product = i.run.Deployment.Products[0].Name
	}
	for _, endpoint := range i.endpoints {
		endpoint.RejectProduct(product, i.duration)
	}
}

func partitionZone(_ context.Context, i injection) {
	zone := i.fault.Zone
	if zone == "" {
		zone = i.run.Deployment.Zones[len(i.run.Deployment.Zones)-1]
	}
	i.run.fleet.Partition(zone, i.duration)
}

func crashDispatchers(ctx context.Context, i injection) {
	for _, dispatcher := range pickShare(i.run.random, i.run.faultTargets, i.fault.Share) {
		dispatcher.crash(ctx, i.duration)
	}
}

// limitDescriptors leaves dispatchers only a few descriptors beyond those that they have open.
func limitDescriptors(_ context.Context, i injection) {
	for _, dispatcher := range pickShare(i.run.random, i.run.faultTargets, i.fault.Share) {
		i.run.fleetLoop.AfterFunc(i.duration, dispatcher.limitDescriptors(int(i.fault.Factor)))
	}
}

func multiplyRate(generator *load.Generator, factor float64) (undo func()) {
	factor = max(factor, minRateFactor)
	generator.Rate *= factor
	return func() { generator.Rate /= factor }
}

func multiplyRateOfOneTenant(generator *load.Generator, factor float64) (undo func()) {
	before := generator.Rate
	ofOneTenant := before / float64(len(generator.TenantShares))
	generator.TenantShares[0], generator.Rate = max(factor, minRateFactor), before+ofOneTenant*(factor-1)
	return func() { generator.TenantShares[0], generator.Rate = 1, before }
}

func shortenPatience(generator *load.Generator, factor float64) (undo func()) {
	before := generator.MinPatience
	generator.MinPatience = max(factor, minPatience)
	return func() { generator.MinPatience = before }
}

// FaultKinds returns the kinds of fault that a script may name.
func FaultKinds() []string {
	kinds := slices.AppendSeq(slices.Collect(maps.Keys(injectors)), maps.Keys(virtualInjectors))
	slices.Sort(kinds)
	return kinds
}

// inject begins a fault; it runs on the fleet's loop.
func (r *Run) inject(ctx context.Context, fault *pb.Day_Trouble) {
	r.recorder.Add(record.Event{At: int64(r.fleetLoop.Now()), Type: record.FaultInjected, Kind: fault.Kind,
		Detail: fault.String(), Value: fault.Share})
	i := injection{run: r, fault: fault, duration: eventloop.Micros(fault.ForMs) * eventloop.Millisecond}
	if inject := virtualInjectors[fault.Kind]; inject != nil {
		inject(i)
		return
	}
	share := fault.Share
	if fault.Kind == "neighbour" && share == 0 {
		share = defaultNeighbourShare
	}
	i.endpoints = r.fleet.Pick(fault.HostKind, share)
	injectors[fault.Kind](ctx, i)
}
