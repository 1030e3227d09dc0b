package engine

import (
	"fmt"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

// silentEndpoint takes in what its window holds and answers nothing.
type silentEndpoint struct{}

func (silentEndpoint) Opened()      {}
func (silentEndpoint) Data([]byte)  {}
func (silentEndpoint) Drained()     {}
func (silentEndpoint) Closed(error) {}

func testLimits(maxOpening int) Limits {
	return Limits{
		ConnectTimeout:    eventloop.Second,
		IdleTimeout:       eventloop.Second,
		StreamIdleTimeout: eventloop.Second,
		MaxPerEndpoint:    4,
		MaxOpening:        maxOpening,
	}
}

// listen starts an endpoint that does not read where paused.
func listen(t *testing.T, loop *virtual.Loop, paused bool) (addr string) {
	t.Helper()
	listener, err := loop.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
		c.SetPaused(paused)
		return silentEndpoint{}
	})
	if err != nil {
		t.Fatal(err)
	}
	return listener.Addr()
}

// post returns a call that sends a body of a size.
func post(size int) Call {
	return Call{BuildRequest: func(addr string, _ eventloop.Micros) []byte {
		return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: "/", Host: addr, Body: make([]byte, size)})
	}}
}

// TestTimeoutOutcomeShowsWhetherTheRequestWasSent: an attempt whose last byte was never sent cannot have run; one that
// was sent completely may have.
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
			far, own := network.NewLoop("endpoint"), network.NewLoop("dispatcher")
			addr := listen(t, far, true)
			var results []Result
			own.Do(func() {
				e := New(own, "d", "", testLimits(4))
				e.SetAddress(1, addr)
				e.Call(1, post(test.size), 300*eventloop.Millisecond, Callbacks{
					Ended: func(result Result) { results = append(results, result) },
				})
			})
			network.Run(2 * eventloop.Second)
			if len(results) != 1 || results[0].Outcome != test.want {
				t.Errorf("ended as %+v, want once with outcome %d", results, test.want)
			}
		})
	}
}

// TestQueuedAttemptKeepsItsSendDeadline: an attempt that queued for a connection has the rest of its time to send, not
// all of it anew, as whether it may still be sent was decided when it was ordered.
func TestQueuedAttemptKeepsItsSendDeadline(t *testing.T) {
	network := virtual.NewNetwork(1)
	far, own := network.NewLoop("endpoint"), network.NewLoop("dispatcher")
	addr := listen(t, far, false)
	network.Block(own, far, 10*eventloop.Second)
	e := New(own, "d", "", testLimits(1))
	var took []eventloop.Micros
	call := func() {
		began := network.Now()
		e.Call(1, post(0), 5*eventloop.Second, Callbacks{Ended: func(result Result) {
			took = append(took, network.Now()-began)
			if result.Outcome != scheduler.Unreachable {
				t.Errorf("ended with outcome %d: %s", result.Outcome, result.Reason)
			}
		}})
	}
	own.Do(func() {
		e.SetAddress(1, addr)
		call()
	})
	network.Run(500 * eventloop.Millisecond)
	own.Do(call)
	network.Run(4 * eventloop.Second)
	if len(took) != 2 || took[1] > eventloop.Second+eventloop.Millisecond {
		t.Errorf("the attempts took %v, want two and the second at most a second", took)
	}
}
