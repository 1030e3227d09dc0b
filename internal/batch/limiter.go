package batch

import "math"

// Tuned on stand-in hosts, see docs/embeddings.md.
const (
	limitLeast  = 1.0
	limitMost   = 1024.0
	limitStart  = 4.0
	stretchIdle = 3.0    // times the least time of a part, up to which more may be out,
	stretchBusy = 1.6    // and where chat is asked for
	chatFor     = second // for so long after its last generation
	grow        = 1.0    // parts for each whole limit of them that came back in time
	cut         = 0.85   // of the limit, where parts take longer;
	cutLate     = 0.5    // where a generation of chat begins late
	chatLate    = 0.5    // of its SLO time, after which chat that begins is late
	cutEvery    = 100 * millisecond
	lateRest    = 500 * millisecond // without growth after that
	probeEvery  = 4 * second        // few parts are out for a while, so that
	probeFor    = 150 * millisecond // the least time is seen again, and a slower fleet is learnt
	probePart   = 0.25              // of the limit
	floorLeast  = 2 * millisecond
)

// Limiter is how many parts of all calls of a dispatcher may be out at once. It learns from how long parts take: as long as
// they take hardly longer than the quickest lately the readers are not full; once they do, more of them out only wait at
// the readers, and what is interactive waits behind them.
type Limiter struct {
	limit   float64
	out     int
	floor   float64 // µs a token of the quickest since the last probe but one
	lately  float64 // and since the last
	probe   Micros  // the next one's time
	probing bool
	cutAt   Micros
	restTo  Micros
	chatAt  Micros
	fixed   int // for comparison: a limit that does not learn; 0 learns
}

// NewLimiter makes one; fixed is for comparisons, 0 learns.
func NewLimiter(fixed int) *Limiter {
	return &Limiter{limit: limitStart, fixed: fixed, chatAt: math.MinInt64 / 2}
}

// Limit is how many may be out now.
func (l *Limiter) Limit() int {
	if l.fixed > 0 {
		return l.fixed
	}
	if l.probing {
		return max(int(l.limit*probePart), 1)
	}
	return int(l.limit)
}

// clock begins and ends probes. Without them the least time would be forgotten while all parts wait in a queue that they make
// themselves, and the queue would grow without bound.
func (l *Limiter) clock(now Micros) {
	switch {
	case l.probe == 0:
		l.probe = now + probeEvery
	case l.probing && now >= l.probe+probeFor:
		l.probing, l.probe = false, now+probeEvery
		l.floor, l.lately = l.lately, 0
	case !l.probing && now >= l.probe:
		l.probing = true
	}
}

// HasCapacity tells whether one more part may be sent.
func (l *Limiter) HasCapacity() bool { return l.out < l.Limit() }

// InFlight is how many are.
func (l *Limiter) InFlight() int { return l.out }

// Acquire counts one.
func (l *Limiter) Acquire() { l.out++ }

// Completed takes a part's return: what it took from its sending, and whether it was read.
func (l *Limiter) Completed(now Micros, tokens int, took Micros, good bool) {
	full := l.out >= int(l.limit)
	l.out--
	l.clock(now)
	if !good {
		l.shrink(now, cut)
		return
	}
	each := max(float64(took), float64(floorLeast)) / float64(max(tokens, 1))
	if l.lately == 0 || each < l.lately {
		l.lately = each
	}
	if l.floor == 0 || each < l.floor {
		l.floor = each
	}
	stretch := stretchIdle
	if now-l.chatAt < chatFor {
		stretch = stretchBusy
	}
	switch {
	case each > stretch*l.floor:
		l.shrink(now, cut)
	case full && now >= l.restTo:
		l.limit = min(l.limit+grow/l.limit, limitMost)
	}
}

// Cancelled back: it was cancelled, and says nothing.
func (l *Limiter) Cancelled() { l.out-- }

// ChatStarted tells of an interactive generation that begins, after so long, with its SLO time.
func (l *Limiter) ChatStarted(now, took, slo Micros) {
	l.chatAt = now
	if float64(took) > chatLate*float64(slo) {
		l.shrink(now, cutLate)
		l.restTo = now + lateRest
	}
}

func (l *Limiter) shrink(now Micros, by float64) {
	if now-l.cutAt >= cutEvery {
		l.limit, l.cutAt = max(l.limit*by, limitLeast), now
	}
}
