package virtual

import (
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler/timerqueue"
)

// reservedDescriptors are those that only DialReserved may use.
const reservedDescriptors = 2

// Loop is one process of a network. It implements eventloop.Loop.
type Loop struct {
	// DescriptorLimit, if above 0, is how many connections the process may have, the last two by DialReserved only.
	DescriptorLimit int

	network   *Network
	name      string
	dead      bool
	frozen    bool
	postponed []func() // calls that became due while frozen
	running   bool     // a call is being made
	deferred  []func()
	clockSkew eventloop.Micros
	listeners []*listener
	conns     map[*conn]bool
	order     []*conn // in which they were opened, with some that are closed
}

// NewLoop makes a process.
func (n *Network) NewLoop(name string) *Loop {
	return &Loop{network: n, name: name, conns: map[*conn]bool{}}
}

// Kill ends the process at once: its timers never run, its connections are reset.
func (l *Loop) Kill() {
	l.dead = true
	for _, ln := range slices.Clone(l.listeners) {
		ln.Close()
	}
	for _, c := range slices.Clone(l.order) {
		if l.conns[c] {
			c.reset()
		}
	}
}

// Freeze stops the process for a while; then it goes on with everything that became due meanwhile.
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

// Do calls f as the process, from outside.
func (l *Loop) Do(f func()) { l.call(f) }

// Post is Do, for code that runs with sockets.Loop too.
func (l *Loop) Post(f func()) { l.call(f) }

// StepClock sets the process's clock forward, or back; its timers are not affected.
func (l *Loop) StepClock(by eventloop.Micros) { l.clockSkew += by }

// OpenConnections returns how many connections the process has.
func (l *Loop) OpenConnections() int { return len(l.conns) }

// Now implements eventloop.Loop.
func (l *Loop) Now() eventloop.Micros { return l.network.now + l.clockSkew }

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

// schedule calls f as the process after a duration.
func (l *Loop) schedule(duration eventloop.Micros, f func()) *timerqueue.Item {
	return l.network.schedule(duration, func() { l.call(f) })
}

// call calls f as the process, and then what it deferred.
func (l *Loop) call(run func()) {
	switch {
	case l.dead:
		return
	case l.frozen:
		l.postponed = append(l.postponed, run)
		return
	case l.running:
		run()
		return
	}
	l.running = true
	run()
	for len(l.deferred) > 0 && !l.dead {
		deferred := l.deferred
		l.deferred = nil
		for _, g := range deferred {
			g()
		}
	}
	l.running = false
}

// track adds a connection, and drops the closed ones from the order once they are most of it.
func (l *Loop) track(c *conn) {
	const minOrder = 64
	l.conns[c] = true
	if len(l.order) > minOrder && len(l.order) > 2*len(l.conns) {
		l.order = slices.DeleteFunc(l.order, func(other *conn) bool { return !l.conns[other] })
	}
	l.order = append(l.order, c)
}

// isFull reports whether no descriptor is left but the reserved ones.
func (l *Loop) isFull() bool {
	return l.DescriptorLimit > 0 && len(l.conns) >= l.DescriptorLimit-reservedDescriptors
}

// isReserveFull reports whether no descriptor is left at all.
func (l *Loop) isReserveFull() bool {
	return l.DescriptorLimit > 0 && len(l.conns) >= l.DescriptorLimit
}
