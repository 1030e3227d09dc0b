package engine

import (
	"fmt"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

// unresponsiveEndpoint accepts connections and never answers.
type unresponsiveEndpoint struct{}

func (unresponsiveEndpoint) Opened()      {}
func (unresponsiveEndpoint) Data([]byte)  {}
func (unresponsiveEndpoint) Drained()     {}
func (unresponsiveEndpoint) Closed(error) {}

func testLimits(maxOpening int) Limits {
	return Limits{
		ConnectTimeout:    eventloop.Second,
		IdleTimeout:       eventloop.Second,
		StreamIdleTimeout: eventloop.Second,
		MaxPerEndpoint:    4,
		MaxOpening:        maxOpening,
	}
}

// listen starts an unresponsive endpoint and returns its address. If paused is set, the endpoint does not read: it
// accepts no more bytes than its receive window holds.
func listen(t *testing.T, loop *virtual.Loop, paused bool) (addr string) {
	t.Helper()
	listener, err := loop.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
		c.SetPaused(paused)
		return unresponsiveEndpoint{}
	})
	if err != nil {
		t.Fatal(err)
	}
	return listener.Addr()
}

// post returns a call that sends a body of the given size in bytes.
func post(size int) Call {
	return Call{BuildRequest: func(addr string, _ eventloop.Micros) []byte {
		return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: "/", Host: addr, Body: make([]byte, size)})
	}}
}

// TestTimeoutOutcomeShowsWhetherTheRequestWasSent checks the outcome of a timeout. An attempt whose request was never
// sent completely cannot have run, and ends as Unreachable. An attempt whose request was sent completely may have run,
// and ends as TimedOut.
func TestTimeoutOutcomeShowsWhetherTheRequestWasSent(t *testing.T) {
	const window = 16 << 10
	cases := []struct {
		size int
		want scheduler.Outcome
	}{
		{100 << 10, scheduler.Unreachable},
		{1 << 10, scheduler.TimedOut},
	}
	for _, test := range cases {
		t.Run(fmt.Sprintf("%d bytes", test.size), func(t *testing.T) {
			network := virtual.NewNetwork(1)
			network.ReceiveWindow = window
			endpointLoop, dispatcherLoop := network.NewLoop("endpoint"), network.NewLoop("dispatcher")
			addr := listen(t, endpointLoop, true)
			var results []Result
			dispatcherLoop.Do(func() {
				e := New(dispatcherLoop, "d", "", testLimits(4))
				e.SetAddress(1, addr)
				e.Call(1, post(test.size), 300*eventloop.Millisecond, Callbacks{
					Ended: func(result Result) { results = append(results, result) },
				})
			})
			network.Run(2 * eventloop.Second)
			if len(results) != 1 || results[0].Outcome != test.want {
				t.Errorf("results %+v, want one with outcome %d", results, test.want)
			}
		})
	}
}

// TestQueuedAttemptKeepsItsSendDeadline checks that time in the queue counts towards an attempt's send deadline. A new
// deadline at the end of the queue would send the attempt later than the decision to send it allows.
func TestQueuedAttemptKeepsItsSendDeadline(t *testing.T) {
	network := virtual.NewNetwork(1)
	endpointLoop, dispatcherLoop := network.NewLoop("endpoint"), network.NewLoop("dispatcher")
	addr := listen(t, endpointLoop, false)
	network.Block(dispatcherLoop, endpointLoop, 10*eventloop.Second)
	e := New(dispatcherLoop, "d", "", testLimits(1))
	var durations []eventloop.Micros
	call := func() {
		began := network.Now()
		e.Call(1, post(0), 5*eventloop.Second, Callbacks{Ended: func(result Result) {
			durations = append(durations, network.Now()-began)
			if result.Outcome != scheduler.Unreachable {
				t.Errorf("ended with outcome %d: %s", result.Outcome, result.Reason)
			}
		}})
	}
	dispatcherLoop.Do(func() {
		e.SetAddress(1, addr)
		call()
	})
	network.Run(500 * eventloop.Millisecond)
	dispatcherLoop.Do(call)
	network.Run(4 * eventloop.Second)
	if len(durations) != 2 || durations[1] > eventloop.Second+eventloop.Millisecond {
		t.Errorf("the attempts took %v us, want two durations and the second at most one second", durations)
	}
}
