package batch

import "math"

// Tuned with simulated endpoints, see docs/embeddings.md.
const (
	minLimit     = 1.0 // parts
	maxLimit     = 1024.0
	initialLimit = 4.0

	// A part is slow if it takes so many times the minimum.
	slowFactor         = 3.0
	slowFactorWithChat = 1.6    // while chat is requested,
	chatActiveFor      = second // that is for so long after a chat request has begun

	increase           = 1.0  // parts, for each limit of them that completed in time
	decreaseFactor     = 0.85 // of the limit, when a part is slow
	decreaseFactorChat = 0.5  // of the limit, when chat begins late
	lateChatFraction   = 0.5  // of its latency objective, after which chat begins late
	decreaseInterval   = 100 * millisecond
	increasePause      = 500 * millisecond // after chat began late

	// Now and then few parts are in flight for a while, so that the minimum time is measured anew.
	probeInterval = 4 * second
	probeDuration = 150 * millisecond
	probeFraction = 0.25 // of the limit

	minPartTime = 2 * millisecond // shorter times count as this
)

// Limiter limits how many parts of all calls of a dispatcher are in flight at once. It learns the limit from how long
// parts take: while they take hardly longer than the fastest recent ones, the endpoints have capacity left; once they
// do, more parts in flight only wait at the endpoints, and interactive requests wait behind them.
type Limiter struct {
	limit    float64
	fixed    int // a limit that does not change, for comparisons; 0 means to learn
	inFlight int

	minTime        float64 // microseconds a token of the fastest part since the last probe but one
	recentMinTime  float64 // and since the last probe
	probeAt        Micros  // when the current or next probe begins
	probing        bool
	decreasedAt    Micros
	noIncreaseTill Micros
	chatAt         Micros // when chat was last begun
}

// NewLimiter makes a limiter that learns, or one with a fixed limit if that is above 0.
func NewLimiter(fixed int) *Limiter {
	return &Limiter{limit: initialLimit, fixed: fixed, chatAt: math.MinInt64 / 2}
}

// Limit returns how many parts may be in flight now.
func (l *Limiter) Limit() int {
	if l.fixed > 0 {
		return l.fixed
	}
	if l.probing {
		return max(int(l.limit*probeFraction), 1)
	}
	return int(l.limit)
}

// HasCapacity reports whether one more part may be sent.
func (l *Limiter) HasCapacity() bool { return l.inFlight < l.Limit() }

// InFlight returns how many parts are in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// Acquire records that a part is sent. It is followed by Completed or Cancelled.
func (l *Limiter) Acquire() { l.inFlight++ }

// Cancelled records that a part was cancelled, from which nothing is learned.
func (l *Limiter) Cancelled() { l.inFlight-- }

// Completed records that a part came back: how many tokens it had, how long it took, and whether it succeeded.
func (l *Limiter) Completed(now Micros, tokens int, took Micros, succeeded bool) {
	atLimit := l.inFlight >= int(l.limit)
	l.inFlight--
	l.updateProbe(now)
	if !succeeded {
		l.decrease(now, decreaseFactor)
		return
	}
	perToken := max(float64(took), float64(minPartTime)) / float64(max(tokens, 1))
	if l.recentMinTime == 0 || perToken < l.recentMinTime {
		l.recentMinTime = perToken
	}
	if l.minTime == 0 || perToken < l.minTime {
		l.minTime = perToken
	}
	slow := slowFactor
	if now-l.chatAt < chatActiveFor {
		slow = slowFactorWithChat
	}
	switch {
	case perToken > slow*l.minTime:
		l.decrease(now, decreaseFactor)
	case atLimit && now >= l.noIncreaseTill:
		l.limit = min(l.limit+increase/l.limit, maxLimit)
	}
}

// ChatStarted records that a chat request began after a time, and its latency objective.
func (l *Limiter) ChatStarted(now, took, objective Micros) {
	l.chatAt = now
	if float64(took) > lateChatFraction*float64(objective) {
		l.decrease(now, decreaseFactorChat)
		l.noIncreaseTill = now + increasePause
	}
}

// updateProbe begins and ends probes. Without them all parts could wait in a queue that they make themselves, the
// minimum time would be forgotten, and the queue would grow without bound.
func (l *Limiter) updateProbe(now Micros) {
	switch {
	case l.probeAt == 0:
		l.probeAt = now + probeInterval
	case l.probing && now >= l.probeAt+probeDuration:
		l.probing, l.probeAt = false, now+probeInterval
		l.minTime, l.recentMinTime = l.recentMinTime, 0
	case !l.probing && now >= l.probeAt:
		l.probing = true
	}
}

func (l *Limiter) decrease(now Micros, factor float64) {
	if now-l.decreasedAt >= decreaseInterval {
		l.limit, l.decreasedAt = max(l.limit*factor, minLimit), now
	}
}
