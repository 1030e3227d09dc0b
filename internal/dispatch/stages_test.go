package dispatch

import (
	"fmt"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
)

var chatProducts = []string{"explain", "build-note", "review-post"}

// A request ends at each stage, in each way, for each effect, at endpoints that do or don't stop what is cancelled,
// with a scheduler that may or may not cancel: each case keeps the rules and leaves nothing behind.
func TestEndAtEachStage(t *testing.T) {
	cases := 0
	for _, mode := range []fleetMode{{true, true}, {false, true}, {false, false}} {
		for _, s := range stages {
			for _, how := range endings {
				for _, product := range chatProducts {
					cases++
					name := fmt.Sprintf("%s/%s/%s/stops %v, cancels %v", s.name, how.name, product, mode.stops, mode.cancels)
					t.Run(name, func(t *testing.T) { testEndAtStage(newFleetHarness(t, mode), s, how, product) })
				}
			}
		}
	}
	t.Logf("%d cases", cases)
}

func testEndAtStage(f *fleetHarness, atStage stage, how ending, product string) {
	f.t.Helper()
	if atStage.before != nil {
		atStage.before(f)
	}
	request := fleetRequest{id: "g", product: product, tokens: atStage.tokens, unstreamed: atStage.unstreamed}
	if how.end == nil {
		request.limit = atStage.after + 10*eventloop.Millisecond
		if atStage.unstreamed {
			request.limit += unstreamedGrace + 20*eventloop.Millisecond
		}
	}
	c := f.askRecorded(request)
	f.world.Run(atStage.after)
	seen, at := f.fleet.Stage("g")
	if seen != atStage.seen {
		f.t.Fatalf("after %d ms it is %q", atStage.after/eventloop.Millisecond, seen)
	}
	if how.end != nil {
		how.end(f, c, at)
	}
	f.expectCleanEnd(c, expectation{product, how.want(atStage, f.effectOf(product)), how.disconnected})
}

// crossing is an outcome and an end of one request that reach the dispatcher in the same turn.
type crossing struct {
	request  fleetRequest
	outcome  string
	at       eventloop.Micros // of the outcome, after the request
	ending   ending
	endFirst bool
}

// An outcome and the end of its request reach the dispatcher in the same turn, in either order: it is frozen for a
// moment and finds both when it goes on.
func TestOutcomeAndEndInOneTurn(t *testing.T) {
	cases := 0
	for _, product := range chatProducts {
		for _, unstreamed := range []bool{false, true} {
			request := fleetRequest{id: "g", product: product, tokens: 5000, unstreamed: unstreamed}
			outcomes := outcomeTimes(newFleetHarness(t, fleetMode{true, true}), request)
			for _, outcome := range []string{"answered", "ran", "streamed"} {
				for _, how := range endings[:3] {
					if how.end == nil && outcome == "streamed" && !unstreamed { // a stream that has begun has no deadline
						continue
					}
					for _, endFirst := range []bool{false, true} {
						cases++
						name := fmt.Sprintf("%s, unstreamed %v/%s/%s/the end first: %v", product, unstreamed, outcome, how.name, endFirst)
						x := crossing{request, outcome, outcomes[outcome], how, endFirst}
						t.Run(name, func(t *testing.T) { x.test(newFleetHarness(t, fleetMode{true, true})) })
					}
				}
			}
		}
	}
	t.Logf("%d crossings", cases)
}

// outcomeTimes returns when a request's outcomes happen where nothing ends it early: its prefill is answered, its
// decode has run, its answer is complete.
func outcomeTimes(f *fleetHarness, request fleetRequest) map[string]eventloop.Micros {
	f.t.Helper()
	began := f.world.Now()
	c := f.askRecorded(request)
	f.runUntil(20*eventloop.Second, func() bool { return len(c.finals) > 0 })
	times := map[string]eventloop.Micros{"streamed": f.world.Now() - began - f.world.Latency}
	events, _ := f.recorder.Close()
	for _, event := range events {
		isPrefill := event.Type == record.AttemptAnswered && event.Detail == "read"
		if event.Request == request.id && (event.Type == record.AttemptRan || isPrefill) {
			times[string(event.Type)] = eventloop.Micros(event.At) - began
		}
	}
	return times
}

func (x crossing) test(f *fleetHarness) {
	f.t.Helper()
	const frozen = 60 * eventloop.Millisecond
	freezesAt := x.at - 20*eventloop.Millisecond
	endsAt := x.at + 20*eventloop.Millisecond
	if x.endFirst {
		endsAt = x.at - 10*eventloop.Millisecond
	}
	request := x.request
	if x.ending.end == nil {
		request.limit = endsAt + 9*eventloop.Millisecond // the scheduler gives up so much earlier
		if x.outcome == "streamed" {
			request.limit = endsAt + unstreamedGrace
		}
	}
	c := f.askRecorded(request)
	f.world.Run(freezesAt)
	f.record(record.Event{Type: record.DispatcherUnavailable, Dispatcher: "d", Detail: "stands", Count: int64(frozen)})
	f.virtual().Freeze(frozen)
	f.world.Run(endsAt - freezesAt)
	if x.ending.end != nil {
		x.ending.end(f, c, nil)
	}
	finals := []string{"streamed", "throttled", "terminated"}
	f.expectCleanEnd(c, expectation{request.product, finals, x.ending.disconnected})
}

// The subscription to discovery breaks while clients take each descriptor that is given back: it is made again all the
// same, with a reserved one. Where not even that is free, the known list is served from, and once descriptors are free
// discovery is heard again, without a restart, with what it said meanwhile.
func TestEndpointWatchReconnectsOnceDescriptorsAreFree(t *testing.T) {
	for _, reserved := range []bool{true, false} {
		t.Run(fmt.Sprintf("reserved %v", reserved), func(t *testing.T) {
			testEndpointWatchWithoutDescriptors(t, reserved)
		})
	}
}

func testEndpointWatchWithoutDescriptors(t *testing.T, reserved bool) {
	t.Helper()
	f := newFleetHarness(t, fleetMode{true, true})
	c := f.askRecorded(fleetRequest{id: "warm", product: "explain", tokens: 500})
	f.runUntil(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	clients := f.takeDescriptors(6000, 500)
	f.world.Run(10 * eventloop.Millisecond)
	if !reserved {
		f.virtual().DescriptorLimit = 1
	}
	f.remote.Do(f.fleet.Discovery.ResetWatches)
	f.world.Run(500 * eventloop.Millisecond)
	updates := f.dispatcher.endpointUpdates
	f.remote.Do(func() { f.fleet.Endpoints[1].Drain(60*eventloop.Second, 0) })
	f.world.Run(2 * eventloop.Second)
	if (f.dispatcher.endpointUpdates != updates) != reserved {
		t.Fatalf("discovery was heard: %v", !reserved)
	}
	if reserved {
		updates = 0
	}
	f.virtual().DescriptorLimit = 0
	for _, client := range *clients {
		f.remote.Do(client.conn.Abort)
	}
	f.world.Run(8 * eventloop.Second)
	entry := f.dispatcher.endpoints[f.fleet.Endpoints[1].Entry("").ID]
	if f.dispatcher.endpointUpdates == updates || entry.Condition != "draining" {
		t.Errorf("%d updates, then %d; the endpoint is %q", updates, f.dispatcher.endpointUpdates, entry.Condition)
	}
	c = f.askRecorded(fleetRequest{id: "after", product: "review-post", tokens: 500})
	f.runUntil(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if len(c.finals) != 1 || c.finals[0] != "streamed" {
		t.Errorf("afterwards: %v", c.finals)
	}
}
