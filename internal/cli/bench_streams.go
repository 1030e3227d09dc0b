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
	streamTokenIntervalMicros = 500_000 // between two tokens of an open stream
	maxStreamTokens           = 200_000 // enough that no stream ends during the measurement
	streamsPerBatch           = 10      // streams that are opened at once
	openInterval              = 10 * eventloop.Millisecond
	streamsStartTimeout       = 40 * time.Second
	settleTime                = 2 * time.Second // between the start of the streams and the measurement
	stallTimeoutMs            = 600_000         // long enough that the dispatcher never disconnects a stalled client
)

// streamLoad describes the streams that are open at once and the tokens that they carry.
type streamLoad struct {
	streams             int
	stalledClients      int // streams whose clients stop reading after the first token
	tokenIntervalMicros uint32
	tokenBytes          uint32
}

// streamCost holds the measurements of one set of open streams.
type streamCost struct {
	requested, started, ended int
	tokensPerSecond           float64 // received by the clients
	gapP50, gapP99            float64 // ms by which the gap between two tokens exceeds the endpoints' token interval
	cpuPerToken               float64 // µs of the dispatcher's CPU time
	bytesPerStream            float64 // of the dispatcher's resident memory
}

// compareStreams measures few and many open streams through this build, and through another build if one is given. It
// then measures streams through this build while some of their clients stop reading.
func (c *benchCommand) compareStreams(ctx context.Context, env *environment) error {
	binary, err := c.binary()
	if err != nil {
		return err
	}
	env.printf("open streams, one token every %d ms, measured for %v\n", streamTokenIntervalMicros/1000, c.Duration)
	env.printf("  %-14s %7s %7s %7s %10s %12s %12s %12s %12s\n", "", "asked", "begun", "ended", "tokens/s",
		"gap p50 +ms", "gap p99 +ms", "CPU us/token", "bytes/stream")
	builds := []struct{ name, binary string }{{"this build", binary}}
	if c.Against != "" {
		builds = append(builds, struct{ name, binary string }{"other build", c.Against})
	}
	for _, streams := range []int{max(c.Streams/10, 1), c.Streams} {
		for _, build := range builds {
			cost, err := c.measureStreams(ctx, build.binary,
				streamLoad{streams: streams, tokenIntervalMicros: streamTokenIntervalMicros})
			if err != nil {
				return err
			}
			cost.print(env, build.name)
		}
	}
	env.printf("100 streams with a token of 4 kB every 20 ms; some clients stop reading\n")
	for _, stalledClients := range []int{0, 1, 10, 0} {
		load := streamLoad{streams: 100, stalledClients: stalledClients, tokenIntervalMicros: 20_000, tokenBytes: 4096}
		cost, err := c.measureStreams(ctx, binary, load)
		if err != nil {
			return err
		}
		cost.print(env, fmt.Sprintf("%d stalled", stalledClients))
	}
	return nil
}

// print prints the measurements as a line of the table in compareStreams.
func (s streamCost) print(env *environment, name string) {
	env.printf("  %-14s %7d %7d %7d %10.0f %12.2f %12.2f %12.1f %12.0f\n", name, s.requested, s.started, s.ended,
		s.tokensPerSecond, s.gapP50, s.gapP99, s.cpuPerToken, s.bytesPerStream)
}

// openStreams holds the clients of all streams of a load. Only the clients' event loop accesses its fields.
type openStreams struct {
	target    *benchTarget
	load      streamLoad
	gaps      *hdrhistogram.Histogram
	recording bool

	requested, started, ended, tokens int
}

// openBatch opens the next batch of streams and schedules the one after it, until all streams of the load are opened.
func (s *openStreams) openBatch() {
	for range streamsPerBatch {
		if s.requested == s.load.streams {
			return
		}
		s.requested++
		s.openStream()
	}
	s.target.clients.AfterFunc(openInterval, s.openBatch)
}

// openStream opens one stream and counts its tokens and, while recording, the gaps between them.
func (s *openStreams) openStream() {
	stalls := s.requested <= s.load.stalledClients
	var lastToken eventloop.Micros
	var client *benchClient
	client = s.target.startCall(benchCall{model: benchModel, id: fmt.Sprintf("s%d", s.requested),
		maxTokens:    maxStreamTokens,
		onFirstToken: func() { s.started++ },
		onToken: func() {
			now := s.target.clients.Now()
			if s.recording && lastToken > 0 {
				excessGap := int64(now-lastToken) - int64(s.load.tokenIntervalMicros)
				_ = s.gaps.RecordValue(max(excessGap, 1)) // a gap above the histogram's maximum is dropped
			}
			lastToken = now
			s.tokens++
			if stalls {
				client.conn.SetPaused(true)
			}
		},
		onEnd: func(bool) { s.ended++ },
	})
}

// measureStreams opens the streams of a load at a new dispatcher and measures them for the duration of the bench.
func (c *benchCommand) measureStreams(ctx context.Context, binary string, load streamLoad) (cost streamCost,
	err error) {
	dep := benchDeployment(load.tokenIntervalMicros, load.streams)
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
	target.clients.Do(streams.openBatch)
	err = pollFor(ctx, streamsStartTimeout, benchPollInterval, func() bool {
		started := 0
		target.clients.Do(func() { started = streams.started })
		return started >= load.streams*99/100
	})
	if err != nil && !errors.Is(err, errBenchTimeout) { // after the timeout, measure the streams that started
		return cost, err
	}
	if err := pause(ctx, settleTime); err != nil {
		return cost, err
	}
	startTime, cpuBefore, tokensBefore := time.Now(), target.cpuTime(), 0
	target.clients.Do(func() { streams.recording, tokensBefore = true, streams.tokens })
	if err := pause(ctx, c.Duration); err != nil {
		return cost, err
	}
	tokens := 0.0
	target.clients.Do(func() {
		streams.recording = false
		tokens = float64(streams.tokens - tokensBefore)
		cost = streamCost{requested: load.streams, started: streams.started, ended: streams.ended,
			gapP50: quantileMillis(streams.gaps, 50), gapP99: p99Millis(streams.gaps)}
	})
	elapsed, cpu := time.Since(startTime), target.cpuTime()-cpuBefore
	cost.tokensPerSecond = tokens / elapsed.Seconds()
	cost.cpuPerToken = float64(cpu.Microseconds()) / max(tokens, 1)
	cost.bytesPerStream = float64(target.residentBytes()-memoryBefore) / float64(max(cost.started, 1))
	return cost, nil
}
