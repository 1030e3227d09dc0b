package cli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plumspindle/internal/eventloop"
)

const (
	streamStepMicros  = 500_000 // between two tokens of an open stream
	streamTokens      = 200_000 // so that no stream ends while it is watched
	streamsPerRound   = 10      // that are opened at once
	roundInterval     = 10 * eventloop.Millisecond
	streamsStartLimit = 40 * time.Second
	settlingPause     = 2 * time.Second
	stallTimeoutMs    = 600_000 // so that a client that stalls stays
)

// streamLoad is how many streams run at once, and what they carry.
type streamLoad struct {
	streams    int
	stalled    int // of them, whose clients stop reading once they have begun
	stepMicros uint32
	tokenBytes uint32
}

// streamCost is what open streams were seen to cost.
type streamCost struct {
	asked, started, ended int
	tokensPerSecond       float64 // to the clients
	gapP50, gapP99        float64 // ms beyond the endpoints' own step, between two tokens of a stream
	cpuPerToken           float64 // µs of the dispatcher's CPU
	bytesPerStream        float64 // of its resident memory
}

// compareStreams compares few and many streams, and this build with another.
func (c *benchCommand) compareStreams(ctx context.Context, env *environment) error {
	binary, err := c.binary()
	if err != nil {
		return err
	}
	env.printf("open streams, one token each %d ms, %v watched\n", streamStepMicros/1000, c.For)
	env.printf("  %-14s %7s %7s %7s %10s %12s %12s %12s %12s\n", "", "asked", "begun", "ended", "tokens/s",
		"gap p50 +ms", "gap p99 +ms", "CPU us/token", "bytes/stream")
	builds := []struct{ name, binary string }{{"this build", binary}}
	if c.Against != "" {
		builds = append(builds, struct{ name, binary string }{"the other", c.Against})
	}
	for _, streams := range []int{max(c.Streams/10, 1), c.Streams} {
		for _, build := range builds {
			cost, err := c.measureStreams(ctx, build.binary, streamLoad{streams: streams, stepMicros: streamStepMicros})
			if err != nil {
				return err
			}
			cost.print(env, build.name)
		}
	}
	env.printf("100 streams of 4 kB tokens each 20 ms, some of whose clients do not read\n")
	for _, stalled := range []int{0, 1, 10, 0} {
		load := streamLoad{streams: 100, stalled: stalled, stepMicros: 20_000, tokenBytes: 4096}
		cost, err := c.measureStreams(ctx, binary, load)
		if err != nil {
			return err
		}
		cost.print(env, fmt.Sprintf("%d stalled", stalled))
	}
	return nil
}

func (s streamCost) print(env *environment, name string) {
	env.printf("  %-14s %7d %7d %7d %10.0f %12.2f %12.2f %12.1f %12.0f\n", name, s.asked, s.started, s.ended,
		s.tokensPerSecond, s.gapP50, s.gapP99, s.cpuPerToken, s.bytesPerStream)
}

// openStreams are the clients of many streams. Its fields belong to the clients' event loop.
type openStreams struct {
	target   *benchTarget
	load     streamLoad
	gaps     *hdrhistogram.Histogram
	watching bool

	asked, started, ended, tokens int
}

// open opens some more streams until all are asked for.
func (s *openStreams) open() {
	for range streamsPerRound {
		if s.asked == s.load.streams {
			return
		}
		s.asked++
		s.openOne()
	}
	s.target.clients.AfterFunc(roundInterval, s.open)
}

func (s *openStreams) openOne() {
	stalls := s.asked <= s.load.stalled
	var last eventloop.Micros
	var client *benchClient
	client = s.target.ask(benchCall{model: benchModel, id: fmt.Sprintf("s%d", s.asked), maxTokens: streamTokens,
		firstToken: func() { s.started++ },
		token: func() {
			now := s.target.clients.Now()
			if s.watching && last > 0 {
				beyondStep := int64(now-last) - int64(s.load.stepMicros)
				_ = s.gaps.RecordValue(max(beyondStep, 1)) // a gap beyond the histogram's is lost
			}
			last = now
			s.tokens++
			if stalls {
				client.conn.SetPaused(true)
			}
		},
		ended: func(bool) { s.ended++ },
	})
}

// measureStreams runs many streams at once and watches them for some seconds.
func (c *benchCommand) measureStreams(ctx context.Context, binary string, load streamLoad) (cost streamCost,
	err error) {
	dep := benchFleet(load.stepMicros, load.streams)
	for _, group := range dep.Fleet.Groups {
		group.TokenBytes = load.tokenBytes
	}
	dep.Doors.StallMs = stallTimeoutMs
	target, err := c.startTarget(ctx, binary, dep)
	if err != nil {
		return cost, err
	}
	defer target.cleanUp()
	memoryBefore := target.residentBytes()
	streams := &openStreams{target: target, load: load, gaps: newLatencyHistogram()}
	target.clients.Do(streams.open)
	err = pollFor(ctx, streamsStartLimit, benchPollInterval, func() bool {
		started := 0
		target.clients.Do(func() { started = streams.started })
		return started >= load.streams*99/100
	})
	if err != nil && !errors.Is(err, errBenchTimeout) { // fewer streams are measured all the same
		return cost, err
	}
	if err := pause(ctx, settlingPause); err != nil {
		return cost, err
	}
	began, cpuBefore, tokensBefore := time.Now(), target.cpuTime(), 0
	target.clients.Do(func() { streams.watching, tokensBefore = true, streams.tokens })
	if err := pause(ctx, c.For); err != nil {
		return cost, err
	}
	tokens := 0.0
	target.clients.Do(func() {
		streams.watching = false
		tokens = float64(streams.tokens - tokensBefore)
		cost = streamCost{asked: load.streams, started: streams.started, ended: streams.ended,
			gapP50: quantileMillis(streams.gaps, 50), gapP99: p99Millis(streams.gaps)}
	})
	took, cpu := time.Since(began), target.cpuTime()-cpuBefore
	cost.tokensPerSecond = tokens / took.Seconds()
	cost.cpuPerToken = float64(cpu.Microseconds()) / max(tokens, 1)
	cost.bytesPerStream = float64(target.residentBytes()-memoryBefore) / float64(max(cost.started, 1))
	return cost, nil
}
