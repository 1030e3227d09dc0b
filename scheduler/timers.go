package scheduler

import "plumspindle/scheduler/timerqueue"

// periodicInterval is the period at which the scheduler tries the queued requests again, refills the quotas, checks for
// silent endpoints and measures the throughput of warm endpoints.
const periodicInterval = 50 * ms

// timers holds the delayed calls of one instance. The caller's deadline timer is set for the earliest of them.
type timers struct {
	due     timerqueue.Queue
	armedAt Micros // when the caller's deadline timer fires next; 0 if it is not set
}

// TimerFired handles the expiry of a timer that was set by Executor.SetTimer.
func (s *Scheduler) TimerFired(now Micros, timer TimerID) {
	s.now = now
	if timer == PeriodicTimer {
		s.executor.SetTimer(periodicInterval, PeriodicTimer)
		s.quotas.refill(now)
		s.detectSilentEndpoints()
		s.measureWarmThroughput()
		s.placeQueuedByValue()
	} else {
		s.timers.armedAt = 0
	}
	s.timers.due.Run(now)
	s.armDeadlineTimer()
}

// armDeadlineTimer sets the caller's deadline timer to the earliest due time, but at least one microsecond from now. It
// does nothing if the timer is already set for that time or an earlier one.
func (s *Scheduler) armDeadlineTimer() {
	t := &s.timers
	if at, found := t.due.Next(); found && (t.armedAt == 0 || at < t.armedAt) {
		t.armedAt = max(at, s.now+1)
		s.executor.SetTimer(t.armedAt-s.now, DeadlineTimer)
	}
}
