package engine

import (
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

// deaf takes in what its window holds.
type deaf struct{}

func (deaf) Opened()      {}
func (deaf) Data([]byte)  {}
func (deaf) Drained()     {}
func (deaf) Closed(error) {}

// TestTimeIsOver: an attempt whose last byte never left can't have run; one that left whole may have.
func TestTimeIsOver(t *testing.T) {
	for size, want := range map[int]scheduler.Outcome{100 << 10: scheduler.Unreachable, 1 << 10: scheduler.TimedOut} {
		w := virtual.NewNetwork(1)
		w.ReceiveWindow = 16 << 10
		far, own := w.NewLoop("far"), w.NewLoop("own")
		ln, err := far.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler { c.Pause(true); return deaf{} })
		if err != nil {
			t.Fatal(err)
		}
		var got []Result
		own.Do(func() {
			e := New(own, "d", "", Limits{ConnectTimeout: eventloop.Second, IdleTimeout: eventloop.Second, MaxPerEndpoint: 4, MaxOpening: 4})
			e.SetAddress(1, ln.Addr())
			e.Call(1, Call{BuildRequest: func(addr string, _ eventloop.Micros) []byte {
				return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: "/", Host: addr, Body: make([]byte, size)})
			}},
				300*eventloop.Millisecond, Callbacks{Ended: func(o Result) { got = append(got, o) }})
		})
		w.Run(2 * eventloop.Second)
		if len(got) != 1 || got[0].Outcome != want {
			t.Errorf("%d bytes: %+v, want one ending %d", size, got, want)
		}
	}
}

// TestLeavesInTime: an attempt that waited for its turn to open a connection has the rest of the time for one, not all of it anew: whether it
// may still be sent was looked at when it was ordered.
func TestLeavesInTime(t *testing.T) {
	w := virtual.NewNetwork(1)
	far, own := w.NewLoop("far"), w.NewLoop("own")
	ln, err := far.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler { return deaf{} })
	if err != nil {
		t.Fatal(err)
	}
	w.Block(own, far, 10*eventloop.Second)
	e := New(own, "d", "", Limits{ConnectTimeout: eventloop.Second, IdleTimeout: eventloop.Second, MaxPerEndpoint: 4, MaxOpening: 1})
	var took []eventloop.Micros
	call := func() {
		began := w.Now()
		e.Call(1, Call{BuildRequest: func(addr string, _ eventloop.Micros) []byte {
			return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: "/", Host: addr})
		}},
			5*eventloop.Second, Callbacks{Ended: func(o Result) {
				if took = append(took, w.Now()-began); o.Outcome != scheduler.Unreachable {
					t.Errorf("it ended %d: %s", o.Outcome, o.Reason)
				}
			}})
	}
	own.Do(func() { e.SetAddress(1, ln.Addr()); call() })
	w.Run(500 * eventloop.Millisecond)
	own.Do(call)
	w.Run(4 * eventloop.Second)
	if len(took) != 2 || took[1] > eventloop.Second+eventloop.Millisecond {
		t.Errorf("the legs took %v", took)
	}
}
