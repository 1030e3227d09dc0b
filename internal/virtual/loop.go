package virtual

import (
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler/timerqueue"
)

// reservedDescriptors is the number of file descriptors that only DialReserved may use.
const reservedDescriptors = 2

// Loop is one simulated process of a network and its event loop. It implements eventloop.Loop.
type Loop struct {
	// DescriptorLimit, if above 0, is how many connections the process may have. Only DialReserved may open the last two.
	DescriptorLimit int

	network      *Network
	name         string
	dead         bool
	frozen       bool
	postponed    []func() // calls that became due while the process was frozen
	running      bool     // the process is in a call
	deferred     []func() // functions that Defer got during the current call
	clockSkew    eventloop.Micros
	listeners    []*listener
	conns        map[*conn]bool
	connsInOrder []*conn // all of conns in the order in which they were added, and some that are closed
}

// NewLoop returns a new process. The name is part of the network's trace hash.
func (n *Network) NewLoop(name string) *Loop {
	return &Loop{network: n, name: name, conns: map[*conn]bool{}}
}

// Kill ends the process at once. Its timers never fire, its listeners close and its connections are reset.
func (l *Loop) Kill() {
	l.dead = true
	for _, ln := range slices.Clone(l.listeners) {
		ln.Close()
	}
	for _, c := range slices.Clone(l.connsInOrder) {
		if l.conns[c] {
			c.reset()
		}
	}
}

// Freeze stops the process for a duration. The process then catches up on all calls that became due in the meantime.
func (l *Loop) Freeze(duration eventloop.Micros) {
	l.frozen = true
	l.network.schedule(duration, func() {
		l.frozen = false
		postponed := l.postponed
		l.postponed = nil
		for _, f := range postponed {
			l.call(f)
		}
	})
}

// Do runs f on the loop of the process, for callers outside it.
func (l *Loop) Do(f func()) { l.call(f) }

// Post is the same as Do. Code that also runs on a sockets.Loop needs a method of this name.
func (l *Loop) Post(f func()) { l.call(f) }

// StepClock moves the clock of the process forward, or back if by is negative. It doesn't change when timers fire.
func (l *Loop) StepClock(by eventloop.Micros) { l.clockSkew += by }

// OpenConnections returns how many connections the process has, including those that it is still opening.
func (l *Loop) OpenConnections() int { return len(l.conns) }

// Now implements eventloop.Loop.
func (l *Loop) Now() eventloop.Micros { return l.network.now + l.clockSkew }

// timer implements eventloop.Timer.
type timer struct {
	network *Network
	item    *timerqueue.Item
}

// Stop implements eventloop.Timer.
func (t timer) Stop() { t.network.timers.Drop(t.item) }

// AfterFunc implements eventloop.Loop.
func (l *Loop) AfterFunc(duration eventloop.Micros, f func()) eventloop.Timer {
	return timer{l.network, l.schedule(max(duration, 0), f)}
}

// Defer implements eventloop.Loop.
func (l *Loop) Defer(f func()) {
	if !l.running {
		l.schedule(0, f)
		return
	}
	l.deferred = append(l.deferred, f)
}

// schedule runs f on the loop of the process after a duration.
func (l *Loop) schedule(duration eventloop.Micros, f func()) *timerqueue.Item {
	return l.network.schedule(duration, func() { l.call(f) })
}

// call runs f on the loop of the process, and then the functions that f deferred. It drops f if the process is dead,
// and postpones it if the process is frozen.
func (l *Loop) call(f func()) {
	switch {
	case l.dead:
		return
	case l.frozen:
		l.postponed = append(l.postponed, f)
		return
	case l.running:
		f()
		return
	}
	l.running = true
	f()
	for len(l.deferred) > 0 && !l.dead {
		deferred := l.deferred
		l.deferred = nil
		for _, deferredFunc := range deferred {
			deferredFunc()
		}
	}
	l.running = false
}

// track adds a connection to those of the process. It removes closed connections from connsInOrder once they are more
// than half of a long list.
func (l *Loop) track(c *conn) {
	const minOrder = 64
	l.conns[c] = true
	if len(l.connsInOrder) > minOrder && len(l.connsInOrder) > 2*len(l.conns) {
		l.connsInOrder = slices.DeleteFunc(l.connsInOrder, func(other *conn) bool { return !l.conns[other] })
	}
	l.connsInOrder = append(l.connsInOrder, c)
}

// outOfDescriptors reports whether no descriptor is free except the reserved ones.
func (l *Loop) outOfDescriptors() bool {
	return l.DescriptorLimit > 0 && len(l.conns) >= l.DescriptorLimit-reservedDescriptors
}

// outOfReservedDescriptors reports whether no descriptor is free, not even a reserved one.
func (l *Loop) outOfReservedDescriptors() bool {
	return l.DescriptorLimit > 0 && len(l.conns) >= l.DescriptorLimit
}
