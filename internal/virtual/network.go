// Package virtual implements package eventloop in virtual time, for simulations: several processes, each with its loop,
// share one simulated network, one clock and one thread. Nothing waits for real, and the same seed gives the same run.
// What runs over real sockets runs here unchanged. Each process may also have a simulated disk.
//
// A Network owns the virtual time, all timers and connections, and the source of random numbers; whoever made it drives
// it with Run or RunUntil, and nothing has to be ended. It relies on being used from one goroutine, and never reads a
// clock or starts a goroutine. The order in which timers are set and random numbers are drawn is part of a run: a
// change of it changes every simulation.
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
	firstPort            = 10001                            // of listeners that leave the choice open

	// FNV-1a with 64 bits.
	traceHashOffset = 14695981039346656037
	traceHashPrime  = 1099511628211
)

// link is one direction between two processes.
type link struct{ from, to *Loop }

// Network is the simulated network of one run, with its time and its random numbers.
type Network struct {
	// Latency is how long bytes and the ends of connections travel in one direction.
	Latency eventloop.Micros
	// MaxSegment, if above 0, is how many bytes arrive in one piece at most: they are cut at random places.
	MaxSegment int
	// ReceiveWindow is how many bytes are taken for a process that doesn't read, before its sender has to wait.
	ReceiveWindow int
	// DeliveryDelay is how long what has arrived waits before its process sees it, as when that is busy.
	DeliveryDelay eventloop.Micros
	// ExtraLatency, if set, returns what is added to the latency of one piece.
	ExtraLatency func() eventloop.Micros
	// AfterStep, if set, is called after each step.
	AfterStep func()
	// Steps counts the steps so far: calls of timers, arrivals of bytes and the like.
	Steps int
	// TraceHash is a hash of what has happened, by which two runs can be compared.
	TraceHash uint64

	now       eventloop.Micros
	timers    timerqueue.Queue
	random    *rand.Rand
	listeners map[string]*listener
	nextPort  int
	blocked   map[link]eventloop.Micros // until when nothing arrives
	atStep    []stepCall
}

// stepCall is a call that is due after a step.
type stepCall struct {
	step int
	f    func()
}

// NewNetwork makes a network whose random numbers come from a seed.
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

// Run lets a duration pass.
func (n *Network) Run(duration eventloop.Micros) {
	end := n.now + duration
	for n.stepBefore(end) {
	}
	n.now = end
}

// RunUntil lets time pass until the condition holds, for a duration at most, and reports whether it holds.
func (n *Network) RunUntil(duration eventloop.Micros, condition func() bool) bool {
	for end := n.now + duration; !condition(); {
		if !n.stepBefore(end) {
			n.now = end
			return condition()
		}
	}
	return true
}

// AtStep calls f between two steps, so many from now.
func (n *Network) AtStep(steps int, f func()) {
	n.atStep = append(n.atStep, stepCall{n.Steps + steps, f})
}

// Block keeps everything that one process sends from arriving at another for a while; it arrives afterwards. The other
// direction stays open.
func (n *Network) Block(from, to *Loop, duration eventloop.Micros) {
	n.blocked[link{from, to}] = n.now + duration
}

// stepBefore makes the next step if it is due by the end, and reports whether it was.
func (n *Network) stepBefore(end eventloop.Micros) bool {
	due, pending := n.timers.Next()
	if !pending || due > end {
		return false
	}
	n.now = max(n.now, due)
	n.step()
	return true
}

func (n *Network) step() {
	n.Steps++
	n.timers.RunOne()
	for i := 0; i < len(n.atStep); i++ {
		if call := n.atStep[i]; call.step <= n.Steps {
			n.atStep = slices.Delete(n.atStep, i, i+1)
			i--
			call.f()
		}
	}
	if n.AfterStep != nil {
		n.AfterStep()
	}
}

// arrivalTime returns when something that is sent now arrives.
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

// schedule calls f after a duration.
func (n *Network) schedule(duration eventloop.Micros, f func()) *timerqueue.Item {
	return n.timers.Set(n.now+duration, f)
}

// trace adds an event and the time to the hash.
func (n *Network) trace(event string) {
	for i := range len(event) {
		n.TraceHash = (n.TraceHash ^ uint64(event[i])) * traceHashPrime
	}
	n.TraceHash = (n.TraceHash ^ uint64(n.now)) * traceHashPrime
}
