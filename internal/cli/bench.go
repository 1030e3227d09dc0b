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
	Rate    float64       `default:"160" help:"Requests a second, half of them through the dispatcher and half straight to the endpoints."`
	For     time.Duration `default:"15s" help:"How long to ask at that rate."`
	Streams int           `default:"5000" help:"Open streams whose memory, gaps and CPU are measured, beside a tenth of them; 0 leaves that part out."`
	Against string        `type:"existingfile" help:"Another build, whose open streams are measured beside this one's."`
	Binary  string        `type:"existingfile" help:"Program whose dispatcher is measured, such as an earlier build; this one if none is given."`
	Intents bool          `help:"Measure, in place of all else, what the record of intents adds to the time to first token, with it and without in the same run."`
	Profile string        `type:"path" help:"File for a CPU profile of the dispatcher at that rate."`
	Seed    int64         `default:"1" help:"Seed of all random choices."`
}

const (
	maxBenchRate      = 5000
	maxBenchStreams   = 15000
	benchAnswerTokens = 40
	benchStepMicros   = 4000 // between two tokens of an answer
	benchPollInterval = 250 * time.Millisecond
)

// Run measures and prints.
func (c *benchCommand) Run(ctx context.Context, env *environment) error {
	if c.Rate <= 0 || c.Rate > maxBenchRate || c.Streams < 0 || c.Streams > maxBenchStreams {
		return fmt.Errorf("bench: the rate must be above 0 and at most %d, the streams at most %d", maxBenchRate,
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

// benchFleet has endpoints whose own times are short and even, so that what the dispatcher adds can be seen.
func benchFleet(stepMicros uint32, streams int) deployment.Deployment {
	const (
		plentyOfMemory  = 1 << 30 // tokens
		minSlots        = 1000
		prefillStep     = 2000 // µs
		endpointsInZone = 3
	)
	dep := deployment.Standard()
	dep.Kinds = dep.Kinds[:2]
	dep.Kinds[0].MemoryTokens, dep.Kinds[1].MemoryTokens = plentyOfMemory, plentyOfMemory
	slots := uint32(max(streams, minSlots))
	dep.Fleet.Groups = []*pb.Fleet_Group{
		{Kind: "prefill", HostsPerZone: endpointsInZone, ReadTokensPerS: 2e6, Slots: slots, Queue: slots,
			StepUs: prefillStep},
		{Kind: "decode", HostsPerZone: endpointsInZone, Slots: slots, Queue: slots, StepUs: stepMicros},
	}
	dep.Fleet.CellTokensPerS, dep.Fleet.LinkTokensPerS, dep.Fleet.FarFactor = 1e9, 1e9, 1
	for _, product := range dep.Products {
		product.TimeLimitMs, product.SloMs, product.MostTokens = 120000, 60000, benchAnswerTokens
	}
	dep.Dispatching.Connections, dep.Dispatching.Openings = maxBenchConnections, maxBenchOpening
	return dep
}

// Connections of the dispatcher, and of the clients that go straight to the endpoints.
const (
	maxBenchConnections = 8192
	maxBenchOpening     = 1000
)

// benchLoad asks at random times, whatever the answers do. Its fields belong to the clients' event loop.
type benchLoad struct {
	target *benchTarget
	rate   float64
	until  eventloop.Micros
	random *rand.Rand
	start  func(request *benchRequest)

	asked, failed, open int
}

// benchRequest is one request of a load.
type benchRequest struct {
	number int
	id     string
	began  eventloop.Micros
	ended  func(ok bool)
}

// runLoad runs a load to its last answer. start is called on the clients' loop for each request.
func (c *benchCommand) runLoad(ctx context.Context, target *benchTarget, start func(*benchLoad, *benchRequest)) (
	*benchLoad, error) {
	load := &benchLoad{target: target, rate: c.Rate, random: rand.New(rand.NewSource(c.Seed))}
	load.start = func(request *benchRequest) { start(load, request) }
	target.clients.Do(func() {
		load.until = target.clients.Now() + eventloop.Micros(c.For.Microseconds())
		load.next()
	})
	return load, pollUntil(ctx, benchPollInterval, func() bool {
		open := 0
		target.clients.Do(func() { open = load.open })
		return open == 0
	})
}

func (l *benchLoad) next() {
	now := l.target.clients.Now()
	if now >= l.until {
		return
	}
	l.target.clients.AfterFunc(eventloop.Micros(l.random.ExpFloat64()/l.rate*1e6), l.next)
	l.asked++
	l.open++
	l.start(&benchRequest{number: l.asked, id: fmt.Sprintf("b%d", l.asked), began: now, ended: func(ok bool) {
		l.open--
		if !ok {
			l.failed++
		}
	}})
}

// printHeading prints what a load was.
func (l *benchLoad) printHeading(env *environment) {
	env.printf("time to first token, ms, stand-in hosts, %.0f generations a second, %d asked, %d failed\n",
		l.rate, l.asked, l.failed)
}

// printPercentiles prints a line of times to first token.
func printPercentiles(env *environment, name string, h *hdrhistogram.Histogram) {
	env.printf("  %-24s p50 %7.2f  p90 %7.2f  p99 %7.2f  (%d)\n", name,
		quantileMillis(h, 50), quantileMillis(h, 90), p99Millis(h), h.TotalCount())
}

// errBenchTimeout says that a condition did not hold in time.
var errBenchTimeout = errors.New("timed out")

// pollUntil returns once the condition holds, or with the context's error.
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

// pollFor is pollUntil with errBenchTimeout after a time.
func pollFor(ctx context.Context, timeout, interval time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, errBenchTimeout)
	defer cancel()
	if err := pollUntil(ctx, interval, condition); err != nil {
		return context.Cause(ctx)
	}
	return nil
}

// pause waits for a time, or returns the context's error.
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
