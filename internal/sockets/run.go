package sockets

import (
	"time"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler/timerqueue"
)

// maxWait is how long the loop waits for new work if no timer is set.
const maxWait = time.Hour

// run is the body of the loop's goroutine. It returns after Stop was called.
func (l *Loop) run() {
	defer close(l.done)
	waitTimer := time.NewTimer(maxWait)
	defer waitTimer.Stop()
	var batch []func()
	for {
		var stopping bool
		batch, stopping = l.takePosted(batch)
		if stopping {
			return
		}
		for i, f := range batch {
			f()
			batch[i] = nil
			l.runDeferred()
		}
		l.runTimers()
		if len(batch) > 0 {
			continue // check for functions posted by the batch before waiting
		}
		wait := l.untilNextTimer()
		if wait <= 0 {
			continue
		}
		waitTimer.Reset(wait)
		select {
		case <-l.wake:
		case <-waitTimer.C:
		}
	}
}

// takePosted returns the posted functions. reuse is a slice that an earlier call returned. Functions that are posted
// from now on are stored in the memory of reuse.
func (l *Loop) takePosted(reuse []func()) (batch []func(), stopping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch, l.posted = l.posted, reuse[:0]
	return batch, l.stopping
}

func (l *Loop) untilNextTimer() time.Duration {
	due, pending := l.timers.Next()
	if !pending {
		return maxWait
	}
	return time.Duration(due-l.Now()) * time.Microsecond
}

func (l *Loop) runDeferred() {
	for len(l.deferred) > 0 {
		deferred := l.deferred
		l.deferred = nil
		for _, f := range deferred {
			f()
		}
	}
}

func (l *Loop) runTimers() {
	now := l.Now()
	for {
		due, pending := l.timers.Next()
		if !pending || due > now {
			return
		}
		l.timers.RunOne()
		l.runDeferred()
	}
}

// Now implements eventloop.Loop. It returns the wall-clock time at the loop's start plus the time elapsed since then on
// the monotonic clock, so later adjustments of the system clock have no effect.
func (l *Loop) Now() eventloop.Micros {
	return eventloop.Micros(l.startTime.UnixMicro()) + eventloop.Micros(time.Since(l.startTime).Microseconds())
}

// timer implements eventloop.Timer.
type timer struct {
	loop *Loop
	item *timerqueue.Item
}

// Stop implements eventloop.Timer.
func (t timer) Stop() { t.loop.timers.Drop(t.item) }

// AfterFunc implements eventloop.Loop.
func (l *Loop) AfterFunc(duration eventloop.Micros, f func()) eventloop.Timer {
	return timer{l, l.timers.Set(l.Now()+max(duration, 0), f)}
}

// Defer implements eventloop.Loop.
func (l *Loop) Defer(f func()) {
	if l.deferred = append(l.deferred, f); len(l.deferred) == 1 {
		l.Post(func() {}) // wakes the loop, so that f runs even if nothing else is posted
	}
}
