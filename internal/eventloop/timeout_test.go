package eventloop_test

import (
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/virtual"
)

// unsentConn is a connection of which only the number of unsent bytes is asked for.
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
		t.Errorf("called %v", calls)
	}
}

func TestClearedTimeoutIsNotCalled(t *testing.T) {
	network := virtual.NewNetwork(1)
	var timeout eventloop.Timeout
	timeout.Set(network.NewLoop("process"), eventloop.Second, func() { t.Error("called") })
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
			look := func() bool {
				return timeout.LimitUnsent(loop, unsentConn{unsent: test.unsent}, limit, eventloop.Second,
					func() { stalled++ })
			}
			if exceeded := look(); exceeded != test.wantExceeded {
				t.Errorf("exceeded %v", exceeded)
			}
			network.Run(eventloop.Second / 2)
			look() // does not extend the timeout
			network.Run(eventloop.Second / 2)
			if (stalled == 1) != test.wantStalled {
				t.Errorf("stalled %d times", stalled)
			}
		})
	}
}
