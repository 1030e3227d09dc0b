package cli

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
)

type benchCommand struct {
	Rate     float64       `default:"160" help:"Requests a second, half of them through the dispatcher and half directly to the endpoints."`
	Duration time.Duration `name:"for" default:"15s" help:"How long to send requests at that rate."`
	Streams  int           `default:"5000" help:"Open streams whose memory, token gaps and CPU time are measured; a tenth of them is measured for comparison. 0 skips this part."`
	Against  string        `type:"existingfile" help:"Program of another build, whose open streams are measured for comparison."`
	Binary   string        `type:"existingfile" help:"Program whose dispatcher is measured, such as an earlier build; this program if none is given."`
	Intents  bool          `help:"Measure only how much the intent store adds to the time to first token, by requests with and without it in the same run."`
	Profile  string        `type:"path" help:"File for a CPU profile of the dispatcher in the latency measurement."`
	Seed     int64         `default:"1" help:"Seed of all random choices."`
}

const (
	maxBenchRate             = 5000
	maxBenchStreams          = 15000
	benchMaxTokens           = 40
	benchTokenIntervalMicros = 4000 // between two tokens of an answer
	benchPollInterval        = 250 * time.Millisecond
)

// Run measures the overhead of the dispatcher and prints the results.
func (c *benchCommand) Run(ctx context.Context, env *environment) error {
	if c.Rate <= 0 || c.Rate > maxBenchRate || c.Streams < 0 || c.Streams > maxBenchStreams {
		return fmt.Errorf("bench: the rate must be above 0 and at most %d, and the streams from 0 to %d", maxBenchRate,
			maxBenchStreams)
	}
	if c.Intents {
		return c.measureIntents(ctx, env)
	}
	if err := c.measureLatency(ctx, env); err != nil {
		return err
	}
	if c.Streams > 0 {
		return c.compareStreams(ctx, env)
	}
	return nil
}

// benchDeployment returns a deployment whose endpoints have short and constant processing times, so that the overhead
// of the dispatcher stands out.
func benchDeployment(tokenIntervalMicros uint32, streams int) deployment.Deployment {
	const (
		memoryTokens      = 1 << 30 // so large that it never limits requests
		minSlots          = 1000
		prefillStepMicros = 2000
		endpointsPerZone  = 3
	)
	dep := deployment.Standard()
	dep.Kinds = dep.Kinds[:2]
	dep.Kinds[0].MemoryTokens, dep.Kinds[1].MemoryTokens = memoryTokens, memoryTokens
	slots := uint32(max(streams, minSlots))
	dep.Fleet.Groups = []*pb.Fleet_Group{
		{Kind: "prefill", HostsPerZone: endpointsPerZone, ReadTokensPerS: 2e6, Slots: slots, Queue: slots,
			StepUs: prefillStepMicros},
		{Kind: "decode", HostsPerZone: endpointsPerZone, Slots: slots, Queue: slots, StepUs: tokenIntervalMicros},
	}
	dep.Fleet.CellTokensPerS, dep.Fleet.LinkTokensPerS, dep.Fleet.FarFactor = 1e9, 1e9, 1
	for _, product := range dep.Products {
		product.TimeLimitMs, product.SloMs, product.MostTokens = 120000, 60000, benchMaxTokens
	}
	dep.Dispatching.Connections, dep.Dispatching.Openings = maxBenchConnections, maxBenchOpeningConnections
	return dep
}

// Limits on the connections to each endpoint, for the dispatcher and for the clients that call endpoints directly.
const (
	maxBenchConnections        = 8192
	maxBenchOpeningConnections = 1000
)

// benchLoad is an open-loop load: it sends requests at random times, whether or not earlier ones have ended. Only the
// clients' event loop accesses its fields.
type benchLoad struct {
	target *benchTarget
	rate   float64
	until  eventloop.Micros
	random *rand.Rand
	send   func(request *benchRequest)

	sent, failed, open int
}

// benchRequest is one request of a load.
type benchRequest struct {
	number int
	id     string
	sentAt eventloop.Micros
	onEnd  func(ok bool)
}

// runLoad runs a load until its last request has ended. It calls send on the clients' event loop for each request. It
// returns early if a poll finds no request in flight before the load's end, which can happen at a low rate.
func (c *benchCommand) runLoad(ctx context.Context, target *benchTarget, send func(*benchLoad, *benchRequest)) (
	*benchLoad, error) {
	load := &benchLoad{target: target, rate: c.Rate, random: rand.New(rand.NewSource(c.Seed))}
	load.send = func(request *benchRequest) { send(load, request) }
	target.clients.Do(func() {
		load.until = target.clients.Now() + eventloop.Micros(c.Duration.Microseconds())
		load.sendNext()
	})
	return load, pollUntil(ctx, benchPollInterval, func() bool {
		open := 0
		target.clients.Do(func() { open = load.open })
		return open == 0
	})
}

// sendNext sends a request and schedules the next one after an exponentially distributed time, until the load ends.
func (l *benchLoad) sendNext() {
	now := l.target.clients.Now()
	if now >= l.until {
		return
	}
	l.target.clients.AfterFunc(eventloop.Micros(l.random.ExpFloat64()/l.rate*1e6), l.sendNext)
	l.sent++
	l.open++
	l.send(&benchRequest{number: l.sent, id: fmt.Sprintf("b%d", l.sent), sentAt: now, onEnd: func(ok bool) {
		l.open--
		if !ok {
			l.failed++
		}
	}})
}

// printHeading prints the rate of a load and how many of its requests were sent and failed.
func (l *benchLoad) printHeading(env *environment) {
	env.printf("time to first token, ms, stand-in endpoints, %.0f requests a second, %d sent, %d failed\n",
		l.rate, l.sent, l.failed)
}

// printPercentiles prints a line with percentiles of the time to first token.
func printPercentiles(env *environment, name string, h *hdrhistogram.Histogram) {
	env.printf("  %-24s p50 %7.2f  p90 %7.2f  p99 %7.2f  (%d)\n", name,
		quantileMillis(h, 50), quantileMillis(h, 90), p99Millis(h), h.TotalCount())
}

// errBenchTimeout reports that a condition was not met in time.
var errBenchTimeout = errors.New("timed out")

// pollUntil returns nil once the condition holds, or the context's error if ctx ends first.
func pollUntil(ctx context.Context, interval time.Duration, condition func() bool) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// pollFor is like pollUntil but returns errBenchTimeout if the condition does not hold within timeout.
func pollFor(ctx context.Context, timeout, interval time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, errBenchTimeout)
	defer cancel()
	if err := pollUntil(ctx, interval, condition); err != nil {
		return context.Cause(ctx)
	}
	return nil
}

// pause waits for a duration, or returns the context's error if ctx ends first.
func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
