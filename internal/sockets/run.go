package sockets

import (
	"time"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler/timerqueue"
)

// maxWait is how long the loop waits if no timer is set.
const maxWait = time.Hour

// run is the loop's goroutine. It ends with Stop.
func (l *Loop) run() {
	defer close(l.done)
	clock := time.NewTimer(maxWait)
	defer clock.Stop()
	var batch []func()
	for {
		var stopping bool
		batch, stopping = l.takeInbox(batch)
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
			continue // something may have been posted meanwhile
		}
		wait := l.untilNextTimer()
		if wait <= 0 {
			continue
		}
		clock.Reset(wait)
		select {
		case <-l.wake:
		case <-clock.C:
		}
	}
}

// takeInbox returns what was posted, and reuses the slice that it returned before.
func (l *Loop) takeInbox(reuse []func()) (batch []func(), stopping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch, l.inbox = l.inbox, reuse[:0]
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

// Now implements eventloop.Loop: it is the system's time as it was when the loop was started, going forward evenly from
// there.
func (l *Loop) Now() eventloop.Micros {
	return eventloop.Micros(l.epoch.UnixMicro()) + eventloop.Micros(time.Since(l.epoch).Microseconds())
}

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
		l.Post(func() {}) // so that it is called even if nothing else is posted
	}
}
