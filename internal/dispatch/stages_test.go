package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
)

// A generation ends at each stage, in each way, for each effect, at hosts that do or don't stop what is cancelled, with a module
// that may or may not cancel: each cell keeps the rules and leaves nothing behind.
func TestEndAtEachStage(t *testing.T) {
	cells := 0
	for _, mode := range []struct{ stops, cancels bool }{{true, true}, {false, true}, {false, false}} {
		for _, s := range stages {
			for _, e := range endings {
				for _, product := range []string{"explain", "build-note", "review-post"} {
					cells++
					t.Run(fmt.Sprintf("%s/%s/%s/stops %v, cancels %v", s.name, e.name, product, mode.stops, mode.cancels), func(t *testing.T) {
						y := newFleetHarness(t, mode.stops, mode.cancels)
						if s.before != nil {
							s.before(y)
						}
						limit := eventloop.Micros(0)
						if e.do == nil {
							limit = s.after + 10*eventloop.Millisecond
							if s.whole {
								limit += unstreamedGrace + 20*eventloop.Millisecond
							}
						}
						c := y.askRecorded("g", product, s.tokens, s.whole, limit)
						y.world.Run(s.after)
						seen, at := y.fleet.Stage("g")
						if seen != s.seen {
							t.Fatalf("after %d ms it is %q", s.after/eventloop.Millisecond, seen)
						}
						if e.do != nil {
							e.do(y, c, at)
						}
						effect := y.deployment.Products[slices.IndexFunc(y.deployment.Products, func(p *pb.Product) bool { return p.Name == product })].Effect
						y.expectCleanEnd(c, product, e.want(s, effect), e.name == "its client leaves")
					})
				}
			}
		}
	}
	t.Logf("%d cells", cells)
}

// An outcome and the end of its generation reach the dispatcher in the same turn, in either order: it stands still for a moment and
// finds both when it goes on.
func TestOutcomeAndEndInOneTurn(t *testing.T) {
	const still = 60 * eventloop.Millisecond
	cells := 0
	for _, product := range []string{"explain", "build-note", "review-post"} {
		for _, whole := range []bool{false, true} {
			// When things happen is seen on a day on which nothing ends early.
			y := newFleetHarness(t, true, true)
			began := y.world.Now()
			c := y.askRecorded("g", product, 5000, whole, 0)
			y.runUntil(20*eventloop.Second, func() bool { return len(c.finals) > 0 })
			ended := y.world.Now() - began
			events, _ := y.recorder.Close()
			at := map[string]eventloop.Micros{"streamed": ended - y.world.Latency}
			for _, e := range events {
				if e.Gen == "g" && (e.What == "ran" || e.What == "answered" && e.How == "read") {
					at[e.What] = eventloop.Micros(e.At) - began
				}
			}
			for _, what := range []string{"answered", "ran", "streamed"} {
				for _, e := range endings[:3] {
					for _, first := range []bool{false, true} {
						if e.do == nil && what == "streamed" && !whole { // a stream that has begun has no time limit
							continue
						}
						cells++
						t.Run(fmt.Sprintf("%s, whole %v/%s/%s/the end first: %v", product, whole, what, e.name, first), func(t *testing.T) {
							y := newFleetHarness(t, true, true)
							stands := at[what] - 20*eventloop.Millisecond
							ends := at[what] + 20*eventloop.Millisecond
							if first {
								ends = at[what] - 10*eventloop.Millisecond
							}
							limit := eventloop.Micros(0)
							if e.do == nil {
								limit = ends + 9*eventloop.Millisecond // the module gives up so much earlier
								if what == "streamed" {
									limit = ends + unstreamedGrace
								}
							}
							c := y.askRecorded("g", product, 5000, whole, limit)
							y.world.Run(stands)
							y.recorder.Add(record.Event{At: int64(y.world.Now()), What: "away", Dispatcher: "d", How: "stands", N: int64(still)})
							y.virtual().Freeze(still)
							y.world.Run(ends - stands)
							if e.do != nil {
								e.do(y, c, nil)
							}
							y.expectCleanEnd(c, product, []string{"streamed", "throttled", "terminated"}, e.name == "its client leaves")
						})
					}
				}
			}
		}
	}
	t.Logf("%d crossings", cells)
}

// The subscription to the list's source breaks while clients take each descriptor that is given back: it is heard all the same, by one that
// is kept back. Where not even that is left, the list known is served from, and once there is room the source is heard again, without a
// restart, with what it told meanwhile.
func TestEndpointWatchReconnectsOnceDescriptorsAreFree(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprintf("kept back %v", kept), func(t *testing.T) { testEndpointWatchWithoutDescriptors(t, kept) })
	}
}

func testEndpointWatchWithoutDescriptors(t *testing.T, kept bool) {
	y := newFleetHarness(t, true, true)
	c := y.askRecorded("warm", "explain", 500, false, 0)
	y.runUntil(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	var mutes []*silentClient
	y.virtual().DescriptorLimit = y.virtual().OpenConnections() + 2
	for i := range 6000 {
		y.remote.Do(func() {
			y.remote.AfterFunc(eventloop.Micros(i)*500, func() {
				m := &silentClient{}
				m.conn = y.remote.Dial(y.addr, eventloop.Second, m)
				mutes = append(mutes, m)
			})
		})
	}
	y.world.Run(10 * eventloop.Millisecond)
	if !kept {
		y.virtual().DescriptorLimit = 1
	}
	y.remote.Do(y.fleet.Roster.Break)
	y.world.Run(500 * eventloop.Millisecond)
	heard := y.dispatcher.endpointUpdates
	y.remote.Do(func() { y.fleet.Hosts[1].Drain(60*eventloop.Second, 0) })
	y.world.Run(2 * eventloop.Second)
	if (y.dispatcher.endpointUpdates != heard) != kept {
		t.Fatalf("the source was heard: %v", !kept)
	}
	if kept {
		heard = 0
	}
	y.virtual().DescriptorLimit = 0
	for _, m := range mutes {
		y.remote.Do(m.conn.Abort)
	}
	y.world.Run(8 * eventloop.Second)
	if e := y.dispatcher.endpoints[y.fleet.Hosts[1].Entry("").ID]; y.dispatcher.endpointUpdates == heard || e.Condition != "draining" {
		t.Errorf("heard %d times, then %d; the host is %q", heard, y.dispatcher.endpointUpdates, e.Condition)
	}
	c = y.askRecorded("after", "review-post", 500, false, 0)
	y.runUntil(5*eventloop.Second, func() bool { return len(c.finals) > 0 })
	if len(c.finals) != 1 || c.finals[0] != "streamed" {
		t.Errorf("afterwards: %v", c.finals)
	}
}
