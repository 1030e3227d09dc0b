package batch

import "math"

// Parameters of the control loop; see docs/embeddings.md.
const (
	minLimit     = 1.0 // parts
	maxLimit     = 1024.0
	initialLimit = 4.0

	// A part is slow if its time per token exceeds the minimum by this factor.
	slowFactor         = 3.0
	slowFactorWithChat = 1.6    // while chat is active
	chatActiveFor      = second // how long chat counts as active after the first token of a chat request

	increase               = 1.0               // parts; a part that is not slow adds increase/limit to the limit
	decreaseFactor         = 0.85              // applied to the limit when a part is slow or fails
	decreaseFactorLateChat = 0.5               // applied to the limit when a chat request starts late
	lateChatFraction       = 0.5               // of the latency objective; a chat request with more latency starts late
	decreaseInterval       = 100 * millisecond // minimum time between two decreases
	increasePause          = 500 * millisecond // time without increases after a chat request started late

	// A probe lowers the number of parts in flight for a while, so that the minimum time is measured anew.
	probeInterval = 4 * second
	probeDuration = 150 * millisecond
	probeFraction = 0.25 // of the limit

	minPartTime = 2 * millisecond // shorter times count as this
)

// Limiter limits how many parts of all calls of a dispatcher are in flight at once. It learns the limit from how long
// parts take. While parts take hardly longer than the fastest recent ones, the endpoints have spare capacity. Once
// parts take longer, additional ones only queue at the endpoints, and interactive requests queue behind them.
type Limiter struct {
	limit    float64
	fixed    int // a constant limit, for comparisons; 0: the limit is learned
	inFlight int

	// These are the minimum times per token in microseconds, in two periods that last until now. 0 means that no part
	// has come back in the period.
	minTimePerToken       float64 // since the end of the last probe but one
	recentMinTimePerToken float64 // since the end of the last probe

	probeAt         Micros // when the current or next probe begins
	probing         bool
	decreasedAt     Micros
	noIncreaseUntil Micros
	lastChatAt      Micros // when the last chat request got its first token
}

// NewLimiter returns a limiter that learns its limit, or one with a constant limit if fixed is above 0.
func NewLimiter(fixed int) *Limiter {
	return &Limiter{limit: initialLimit, fixed: fixed, lastChatAt: math.MinInt64 / 2}
}

// Limit returns how many parts may be in flight at present.
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

// Acquire records that a part is sent. The caller calls Completed or Cancelled when the part is no longer in flight.
func (l *Limiter) Acquire() { l.inFlight++ }

// Cancelled records that a part in flight was cancelled. The limiter learns nothing from it.
func (l *Limiter) Cancelled() { l.inFlight-- }

// Completed records that a part came back, and adjusts the limit to how long the part took for its tokens and whether
// the part succeeded.
func (l *Limiter) Completed(now Micros, tokens int, duration Micros, succeeded bool) {
	atLimit := l.inFlight >= int(l.limit)
	l.inFlight--
	l.updateProbe(now)
	if !succeeded {
		l.decrease(now, decreaseFactor)
		return
	}
	timePerToken := max(float64(duration), float64(minPartTime)) / float64(max(tokens, 1))
	if l.recentMinTimePerToken == 0 || timePerToken < l.recentMinTimePerToken {
		l.recentMinTimePerToken = timePerToken
	}
	if l.minTimePerToken == 0 || timePerToken < l.minTimePerToken {
		l.minTimePerToken = timePerToken
	}
	slow := slowFactor
	if now-l.lastChatAt < chatActiveFor {
		slow = slowFactorWithChat
	}
	switch {
	case timePerToken > slow*l.minTimePerToken:
		l.decrease(now, decreaseFactor)
	case atLimit && now >= l.noIncreaseUntil:
		l.limit = min(l.limit+increase/l.limit, maxLimit)
	}
}

// ChatStarted records that a chat request got its first token; latency is the time from the arrival of the request to
// that token, and objective is the longest time that this should take.
func (l *Limiter) ChatStarted(now, latency, objective Micros) {
	l.lastChatAt = now
	if float64(latency) > lateChatFraction*float64(objective) {
		l.decrease(now, decreaseFactorLateChat)
		l.noIncreaseUntil = now + increasePause
	}
}

// updateProbe begins and ends probes. Without probes, the parts could cause a queue that they all wait in. Each
// measured time would then include the wait, the time without a queue would be forgotten, and the queue would grow
// without bound.
func (l *Limiter) updateProbe(now Micros) {
	switch {
	case l.probeAt == 0:
		l.probeAt = now + probeInterval
	case l.probing && now >= l.probeAt+probeDuration:
		l.probing, l.probeAt = false, now+probeInterval
		l.minTimePerToken, l.recentMinTimePerToken = l.recentMinTimePerToken, 0
	case !l.probing && now >= l.probeAt:
		l.probing = true
	}
}

// decrease multiplies the limit by a factor, unless the last decrease was less than decreaseInterval ago.
func (l *Limiter) decrease(now Micros, factor float64) {
	if now-l.decreasedAt >= decreaseInterval {
		l.limit, l.decreasedAt = max(l.limit*factor, minLimit), now
	}
}
