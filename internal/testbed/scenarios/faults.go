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
	defaultNeighbourShare = 0.25 // share of the endpoints that a noisy neighbour slows down by default
	minRateFactor         = 0.01
	minTimeLimitShare     = 0.05
)

// injection is one fault of the script that is being injected into a run. It is used on the fleet's loop.
type injection struct {
	run       *Run
	fault     *pb.Day_Trouble
	duration  eventloop.Micros
	endpoints []*modelserver.Endpoint // the endpoints drawn for the fault
}

// injector injects one kind of fault.
type injector func(ctx context.Context, i injection)

// onEndpoints returns an injector that injects the fault into each endpoint that was drawn.
func onEndpoints(inject func(endpoint *modelserver.Endpoint, i injection)) injector {
	return func(_ context.Context, i injection) {
		for _, endpoint := range i.endpoints {
			inject(endpoint, i)
		}
	}
}

// onClients returns an injector that changes the clients' load for the duration of the fault.
func onClients(change func(generator *load.Generator, factor float64) (undo func())) injector {
	return func(_ context.Context, i injection) {
		clients := i.run.clientLoop
		clients.Post(func() {
			undo := change(i.run.generator, i.fault.Factor)
			clients.AfterFunc(i.duration, undo)
		})
	}
}

// factorTimes returns the fault's factor as a number of time units.
func (i injection) factorTimes(unit eventloop.Micros) eventloop.Micros {
	return eventloop.Micros(i.fault.Factor * float64(unit))
}

// injectors inject the kinds of fault that work both in virtual time and over sockets.
var injectors = map[string]injector{
	"crash":          onEndpoints(crashEndpoint),
	"mass_restart":   onEndpoints(crashEndpoint),
	"vanish":         onEndpoints(func(e *modelserver.Endpoint, i injection) { e.Blackhole(i.duration) }),
	"hang":           onEndpoints(func(e *modelserver.Endpoint, i injection) { e.Hang(i.duration) }),
	"pauses":         onEndpoints(func(e *modelserver.Endpoint, i injection) { e.Pause(i.duration) }),
	"flush":          onEndpoints(func(e *modelserver.Endpoint, _ injection) { e.ClearPrefixCache() }),
	"drain":          onEndpoints(func(e *modelserver.Endpoint, i injection) { e.Drain(i.duration, i.duration) }),
	"slow":           onEndpoints(slowDownEndpoint),
	"neighbour":      onEndpoints(slowDownEndpoint),
	"fast_errors":    onEndpoints(failAttempts),
	"handshake_slow": onEndpoints(delayConnections),
	"report_late":    onEndpoints(delayLoadReports),
	"throttle":       rejectProduct,
	"zone_cut":       partitionZone,
	"balancer_crash": crashDispatchers,
	"descriptors":    limitDescriptors,
	"burst":          onClients(multiplyRate),
	"tenant_burst":   onClients(multiplyRateOfOneTenant),
	"give_up":        onClients(shortenTimeLimits),
}

func crashEndpoint(endpoint *modelserver.Endpoint, i injection) { endpoint.Crash(i.duration) }

func slowDownEndpoint(endpoint *modelserver.Endpoint, i injection) {
	endpoint.SlowDown(max(i.fault.Factor, 1), i.duration)
}

func failAttempts(endpoint *modelserver.Endpoint, i injection) {
	endpoint.FailAttempts(i.fault.Factor, i.duration)
}

func delayConnections(endpoint *modelserver.Endpoint, i injection) {
	endpoint.DelayConnections(i.factorTimes(eventloop.Millisecond), i.duration)
}

func delayLoadReports(endpoint *modelserver.Endpoint, i injection) {
	endpoint.DelayLoadReports(i.factorTimes(eventloop.Second), i.duration)
}

// rejectProduct makes endpoints refuse one product, the first of the deployment by default.
func rejectProduct(_ context.Context, i injection) {
	product := i.fault.Product
	if product == "" {
		product = i.run.Deployment.Products[0].Name
	}
	for _, endpoint := range i.endpoints {
		endpoint.RejectProduct(product, i.duration)
	}
}

// partitionZone partitions one zone from the others, the last of the deployment by default.
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

// limitDescriptors limits dispatchers to the file descriptors that they have open plus a few spare ones.
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

// multiplyRateOfOneTenant multiplies the rate of the first tenant and leaves that of the others unchanged.
func multiplyRateOfOneTenant(generator *load.Generator, factor float64) (undo func()) {
	before := generator.Rate
	ofOneTenant := before / float64(len(generator.TenantShares))
	generator.TenantShares[0], generator.Rate = max(factor, minRateFactor), before+ofOneTenant*(factor-1)
	return func() { generator.TenantShares[0], generator.Rate = 1, before }
}

// shortenTimeLimits lets clients give up earlier.
func shortenTimeLimits(generator *load.Generator, factor float64) (undo func()) {
	before := generator.MinTimeLimitShare
	generator.MinTimeLimitShare = max(factor, minTimeLimitShare)
	return func() { generator.MinTimeLimitShare = before }
}

// FaultKinds returns the sorted kinds of fault that a script may name.
func FaultKinds() []string {
	kinds := slices.AppendSeq(slices.Collect(maps.Keys(injectors)), maps.Keys(virtualInjectors))
	slices.Sort(kinds)
	return kinds
}

// inject records and injects a fault. It must be called on the fleet's loop.
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
