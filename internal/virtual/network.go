// Package virtual implements package eventloop in virtual time, for simulations. Several simulated processes, each with
// its own event loop, share one network, one clock and one goroutine. No real time passes, and the same seed gives the
// same run. Code that runs over real sockets runs here unchanged. A process can also have a simulated disk.
//
// A Network owns the virtual time, all timers and connections, and the source of random numbers. Its user advances the
// time with Run or RunUntil, and needn't close anything. A Network must be used from one goroutine; it never reads a
// clock or starts a goroutine. The order in which code sets timers and draws random numbers determines a run, so that a
// change of this order changes all simulations.
package virtual

import (
	"math/rand"
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler/timerqueue"
)

const (
	startTime            = 1_700_000_000 * eventloop.Second // an arbitrary date
	defaultLatency       = 200                              // microseconds
	defaultReceiveWindow = 128 << 10                        // bytes
	firstPort            = 10001                            // first port of listeners that ask for port 0

	// The parameters of the 64-bit FNV-1a hash.
	traceHashOffset = 14695981039346656037
	traceHashPrime  = 1099511628211
)

// link is the connection between two processes in one direction.
type link struct{ from, to *Loop }

// Network is the simulated network of one run, with its virtual time and its source of random numbers.
type Network struct {
	// Latency is how long dials, data and closes take to the other side.
	Latency eventloop.Micros
	// MaxSegment, if above 0, is the largest size of a segment in bytes. The network then splits writes into segments of
	// random sizes.
	MaxSegment int
	// ReceiveWindow is how many bytes the network buffers for a process that doesn't read them. Beyond that, bytes stay
	// unsent on the side of the sender.
	ReceiveWindow int
	// DeliveryDelay is how long after its arrival a process receives data or a close, as if the process were busy.
	DeliveryDelay eventloop.Micros
	// ExtraLatency, if set, returns a duration that is added to the latency of one segment or close.
	ExtraLatency func() eventloop.Micros
	// AfterStep, if set, is called after each step.
	AfterStep func()
	// Steps is the number of steps so far. A step is one due call, such as a timer that fires or a segment that arrives.
	Steps int
	// TraceHash is a hash of the times and receivers of all segments that have arrived, by which two runs can be compared.
	TraceHash uint64

	now       eventloop.Micros
	timers    timerqueue.Queue
	random    *rand.Rand
	listeners map[string]*listener
	nextPort  int
	blocked   map[link]eventloop.Micros // time until which nothing arrives over a link
	stepCalls []stepCall
}

// stepCall is a call that is due once the network has made a number of steps.
type stepCall struct {
	step int
	f    func()
}

// NewNetwork returns a network whose random numbers come from a seed.
func NewNetwork(seed int64) *Network {
	return &Network{
		Latency:       defaultLatency,
		ReceiveWindow: defaultReceiveWindow,
		TraceHash:     traceHashOffset,
		now:           startTime,
		random:        rand.New(rand.NewSource(seed)),
		listeners:     map[string]*listener{},
		nextPort:      firstPort,
		blocked:       map[link]eventloop.Micros{},
	}
}

// Now returns the virtual time.
func (n *Network) Now() eventloop.Micros { return n.now }

// Run advances the virtual time by a duration and makes all steps that are due in it.
func (n *Network) Run(duration eventloop.Micros) {
	end := n.now + duration
	for n.stepIfDue(end) {
	}
	n.now = end
}

// RunUntil advances the virtual time until the condition holds, by a duration at most. It reports whether the condition
// holds.
func (n *Network) RunUntil(duration eventloop.Micros, condition func() bool) bool {
	for end := n.now + duration; !condition(); {
		if !n.stepIfDue(end) {
			n.now = end
			return condition()
		}
	}
	return true
}

// AtStep calls f once after the given number of further steps.
func (n *Network) AtStep(steps int, f func()) {
	n.stepCalls = append(n.stepCalls, stepCall{n.Steps + steps, f})
}

// Block stops the traffic from one process to another for a duration. Data and closes that the process sends in that
// time arrive afterwards. Those in the other direction arrive as usual. A dial between the two processes, in either
// direction, fails with ErrConnectTimeout if it arrives in that time.
func (n *Network) Block(from, to *Loop, duration eventloop.Micros) {
	n.blocked[link{from, to}] = n.now + duration
}

// stepIfDue makes the next step if that step is due no later than end. It reports whether it made a step.
func (n *Network) stepIfDue(end eventloop.Micros) bool {
	due, pending := n.timers.Next()
	if !pending || due > end {
		return false
	}
	n.now = max(n.now, due)
	n.step()
	return true
}

// step runs the earliest due call, and then the calls of AtStep that are due after it.
func (n *Network) step() {
	n.Steps++
	n.timers.RunOne()
	for i := 0; i < len(n.stepCalls); i++ {
		if call := n.stepCalls[i]; call.step <= n.Steps {
			n.stepCalls = slices.Delete(n.stepCalls, i, i+1)
			i--
			call.f()
		}
	}
	if n.AfterStep != nil {
		n.AfterStep()
	}
}

// arrivalTime returns the time at which data or a close that one process sends now arrives at another.
func (n *Network) arrivalTime(from, to *Loop) eventloop.Micros {
	arrival := n.now + n.Latency
	if n.ExtraLatency != nil {
		arrival += n.ExtraLatency()
	}
	if len(n.blocked) > 0 {
		arrival = max(arrival, n.blocked[link{from, to}])
	}
	return arrival
}

// schedule calls f after a duration, outside any process.
func (n *Network) schedule(duration eventloop.Micros, f func()) *timerqueue.Item {
	return n.timers.Set(n.now+duration, f)
}

// trace adds the name of the process that receives a segment and the current virtual time to the trace hash.
func (n *Network) trace(receiver string) {
	for i := range len(receiver) {
		n.TraceHash = (n.TraceHash ^ uint64(receiver[i])) * traceHashPrime
	}
	n.TraceHash = (n.TraceHash ^ uint64(n.now)) * traceHashPrime
}
