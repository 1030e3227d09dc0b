package eventloop_test

import (
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/virtual"
)

// unsentConn is a connection that only reports a number of unsent bytes.
type unsentConn struct {
	eventloop.Conn
	unsent int
}

func (c unsentConn) Unsent() int { return c.unsent }

func TestTimeoutReplacesTheOneSetBefore(t *testing.T) {
	network := virtual.NewNetwork(1)
	loop := network.NewLoop("process")
	var timeout eventloop.Timeout
	var calls []string
	timeout.Set(loop, eventloop.Second, func() { calls = append(calls, "first") })
	timeout.Set(loop, eventloop.Second, func() { calls = append(calls, "second") })
	network.Run(2 * eventloop.Second)
	if len(calls) != 1 || calls[0] != "second" {
		t.Errorf("calls %v, want only the second", calls)
	}
}

func TestClearedTimeoutIsNotCalled(t *testing.T) {
	network := virtual.NewNetwork(1)
	var timeout eventloop.Timeout
	timeout.Set(network.NewLoop("process"), eventloop.Second, func() { t.Error("a cleared timeout was called") })
	timeout.Clear()
	network.Run(2 * eventloop.Second)
}

func TestLimitUnsent(t *testing.T) {
	const limit = 10
	for _, test := range []struct {
		name         string
		unsent       int
		wantExceeded bool
		wantStalled  bool
	}{
		{"nothing unsent", 0, false, false},
		{"as much as the limit", limit, false, true},
		{"more than the limit", limit + 1, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			network := virtual.NewNetwork(1)
			loop := network.NewLoop("process")
			var timeout eventloop.Timeout
			stalled := 0
			check := func() bool {
				return timeout.LimitUnsent(loop, unsentConn{unsent: test.unsent}, limit, eventloop.Second,
					func() { stalled++ })
			}
			if exceeded := check(); exceeded != test.wantExceeded {
				t.Errorf("exceeded is %v, want %v", exceeded, test.wantExceeded)
			}
			network.Run(eventloop.Second / 2)
			check() // must not extend the timeout
			network.Run(eventloop.Second / 2)
			if (stalled == 1) != test.wantStalled {
				t.Errorf("stalled was called %d times, want a call: %v", stalled, test.wantStalled)
			}
		})
	}
}
