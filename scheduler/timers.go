package scheduler

import "plumspindle/scheduler/timerqueue"

// periodicInterval is how often the queue is placed again, quotas are refilled and endpoints are checked for silence.
const periodicInterval = 50 * ms

// timers holds the due times of one instance; the caller has one timer for the earliest of them.
type timers struct {
	due     timerqueue.Queue
	armedAt Micros // when the caller's deadline timer next fires; 0 if it is not set
}

// TimerFired handles the firing of one of the two timers.
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

// armDeadlineTimer sets the caller's timer to the earliest due time, at least one microsecond from now.
func (s *Scheduler) armDeadlineTimer() {
	t := &s.timers
	if at, found := t.due.Next(); found && (t.armedAt == 0 || at < t.armedAt) {
		t.armedAt = max(at, s.now+1)
		s.executor.SetTimer(t.armedAt-s.now, DeadlineTimer)
	}
}
