package dispatch

import (
	"fmt"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
)

var chatProducts = []string{"explain", "build-note", "review-post"}

// A request ends early at each stage, in each way and for each product's effect, with endpoints that do or don't stop
// cancelled attempts and a scheduler that is or is not allowed to cancel. In each case the rules of the audit hold and
// nothing is left.
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
	f.network.Run(atStage.after)
	seen, at := f.fleet.Stage("g")
	if seen != atStage.seen {
		f.t.Fatalf("after %d ms the request is in the stage %q", atStage.after/eventloop.Millisecond, seen)
	}
	if how.end != nil {
		how.end(f, c, at)
	}
	f.expectCleanEnd(c, expectation{product, how.want(atStage, f.effectOf(product)), how.disconnected})
}

// endRace is an outcome and an early end of one request that reach the dispatcher in the same turn of its event loop.
type endRace struct {
	request  fleetRequest
	outcome  string
	at       eventloop.Micros // when the outcome happens, counted from the request's sending
	ending   ending
	endFirst bool
}

// An outcome and an early end of the same request reach the dispatcher in one turn of its event loop, in either order.
// The test freezes the dispatcher for a moment, so that the dispatcher finds both when it continues.
func TestOutcomeAndEndInOneTurn(t *testing.T) {
	cases := 0
	for _, product := range chatProducts {
		for _, unstreamed := range []bool{false, true} {
			request := fleetRequest{id: "g", product: product, tokens: 5000, unstreamed: unstreamed}
			outcomes := outcomeTimes(newFleetHarness(t, fleetMode{true, true}), request)
			for _, outcome := range []string{"answered", "ran", "streamed"} {
				for _, how := range endings[:3] {
					if how.end == nil && outcome == "streamed" && !unstreamed { // a stream that has begun has no deadline any more
						continue
					}
					for _, endFirst := range []bool{false, true} {
						cases++
						name := fmt.Sprintf("%s, unstreamed %v/%s/%s/the end first: %v", product, unstreamed, outcome, how.name, endFirst)
						race := endRace{request, outcome, outcomes[outcome], how, endFirst}
						t.Run(name, func(t *testing.T) { race.test(newFleetHarness(t, fleetMode{true, true})) })
					}
				}
			}
		}
	}
	t.Logf("%d cases", cases)
}

// outcomeTimes returns when the outcomes of a request happen if nothing ends the request early. The outcomes are that
// the prefill is answered, that the decode has run, and that the answer is complete.
func outcomeTimes(f *fleetHarness, request fleetRequest) map[string]eventloop.Micros {
	f.t.Helper()
	began := f.network.Now()
	c := f.askRecorded(request)
	f.runUntil(20*eventloop.Second, func() bool { return len(c.finals) > 0 })
	times := map[string]eventloop.Micros{"streamed": f.network.Now() - began - f.network.Latency}
	events, _ := f.recorder.Close()
	for _, event := range events {
		isPrefill := event.Type == record.AttemptAnswered && event.Detail == "read"
		if event.Request == request.id && (event.Type == record.AttemptRan || isPrefill) {
			times[string(event.Type)] = eventloop.Micros(event.At) - began
		}
	}
	return times
}

func (x endRace) test(f *fleetHarness) {
	f.t.Helper()
	const frozen = 60 * eventloop.Millisecond
	freezesAt := x.at - 20*eventloop.Millisecond
	endsAt := x.at + 20*eventloop.Millisecond
	if x.endFirst {
		endsAt = x.at - 10*eventloop.Millisecond
	}
	request := x.request
	if x.ending.end == nil {
		request.limit = endsAt + 9*eventloop.Millisecond // the scheduler gives up 9 ms before the deadline
		if x.outcome == "streamed" {
			request.limit = endsAt + unstreamedGrace
		}
	}
	c := f.askRecorded(request)
	f.network.Run(freezesAt)
	f.record(record.Event{Type: record.DispatcherUnavailable, Dispatcher: "d", Detail: "stands", Count: int64(frozen)})
	f.virtual().Freeze(frozen)
	f.network.Run(endsAt - freezesAt)
	if x.ending.end != nil {
		x.ending.end(f, c, nil)
	}
	finals := []string{"streamed", "throttled", "terminated"}
	f.expectCleanEnd(c, expectation{request.product, finals, x.ending.disconnected})
}

// The subscription to discovery breaks while clients take each file descriptor that becomes free. The dispatcher
// subscribes again with a reserved descriptor. If no reserved descriptor is free either, the dispatcher goes on with
// the known endpoint list. Once descriptors are free, it gets the missed updates without a restart.
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
	f.network.Run(10 * eventloop.Millisecond)
	if !reserved {
		f.virtual().DescriptorLimit = 1
	}
	f.remote.Do(f.fleet.Discovery.ResetWatches)
	f.network.Run(500 * eventloop.Millisecond)
	updates := f.dispatcher.endpointUpdates
	f.remote.Do(func() { f.fleet.Endpoints[1].Drain(60*eventloop.Second, 0) })
	f.network.Run(2 * eventloop.Second)
	if (f.dispatcher.endpointUpdates != updates) != reserved {
		t.Fatalf("an update from discovery arrived: %v", !reserved)
	}
	if reserved {
		updates = 0
	}
	f.virtual().DescriptorLimit = 0
	for _, client := range *clients {
		f.remote.Do(client.conn.Abort)
	}
	f.network.Run(8 * eventloop.Second)
	entry := f.dispatcher.endpoints[f.fleet.Endpoints[1].Entry("").ID]
	if f.dispatcher.endpointUpdates == updates || entry.Condition != "draining" {
		t.Errorf("%d updates, then %d; the endpoint is %q", updates, f.dispatcher.endpointUpdates, entry.Condition)
	}
	c = f.askRecorded(fleetRequest{id: "after", product: "review-post", tokens: 500})
	f.runUntil(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if len(c.finals) != 1 || c.finals[0] != "streamed" {
		t.Errorf("afterwards: final answers %v", c.finals)
	}
}
