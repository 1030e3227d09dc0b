package tenancy

import "math"

const (
	unlimited        = 1e12 // tokens or requests a second
	defaultBurstS    = 1.0
	defaultWeight    = 1.0
	defaultMaxQueued = 200 // of one tenant
)

// orDefault returns a limit, or its default if it is not given.
func orDefault(limit, byDefault float64) float64 {
	if limit == 0 {
		return byDefault
	}
	return limit
}

// tokenBucket fills at a rate up to a capacity. A clock that steps back fills nothing until it has caught up;
// one that steps back by more than a second is taken to have been wrong before.
type tokenBucket struct {
	level    float64
	filledAt Micros // 0: never
}

func (b *tokenBucket) fill(now Micros, ratePerS, capacity float64) {
	if b.filledAt == 0 {
		b.level = capacity
	} else if now > b.filledAt {
		b.level += ratePerS * float64(now-b.filledAt) / float64(second)
	}
	b.level = min(b.level, capacity) // also if the capacity was lowered
	if now > b.filledAt || b.filledAt-now > second {
		b.filledAt = now
	}
}

// timeUntil returns how long it takes until the bucket has a level.
func (b *tokenBucket) timeUntil(level, ratePerS float64) Micros {
	if ratePerS <= 0 {
		return 0
	}
	return Micros(math.Ceil(max(level-b.level, 0) / ratePerS * float64(second)))
}

// limiter enforces one set of limits: those of a tenant, of one of its keys or of one of its products.
type limiter struct {
	limits   Limits
	requests tokenBucket
	tokens   tokenBucket
	inFlight int // requests
}

// check returns why one more request would exceed the limits, and how long until it would not. The parts are the
// number of dispatchers that share the limits.
func (l *limiter) check(now Micros, parts float64, promptTokens int, cost float64) (Reason, Micros) {
	limits := l.limits
	if limits.LargestPrompt > 0 && promptTokens > limits.LargestPrompt {
		return PromptTooLarge, 0
	}
	if limits.Concurrent > 0 && l.inFlight >= max(int(float64(limits.Concurrent)/parts), 1) {
		return ConcurrencyExceeded, 0
	}
	burst := orDefault(limits.BurstS, defaultBurstS)

	// The bucket of a limit that was removed may still be empty, so the limit is tested as well.
	requestRate := partOf(limits.PerS, parts)
	l.requests.fill(now, requestRate, max(requestRate*burst, 1))
	if limits.PerS > 0 && l.requests.level < 1 {
		return RequestRateExceeded, l.requests.timeUntil(1, requestRate)
	}

	tokenRate := partOf(limits.TokensPerS, parts)
	capacity := tokenRate * burst
	l.tokens.fill(now, tokenRate, capacity)
	// A request that costs more than the capacity is admitted when the bucket is full, and leaves a debt.
	needed := min(cost, capacity)
	if limits.TokensPerS > 0 && l.tokens.level < needed {
		return TokenRateExceeded, l.tokens.timeUntil(needed, tokenRate)
	}
	return NotRejected, 0
}

// partOf returns one dispatcher's part of a rate; 0 is no limit.
func partOf(ratePerS, parts float64) float64 {
	if ratePerS == 0 {
		return unlimited
	}
	return ratePerS / parts
}

// reserve takes a request and its cost from the buckets.
func (l *limiter) reserve(cost float64) {
	l.requests.level--
	l.tokens.level -= cost
	l.inFlight++
}

// release ends a request, and corrects its cost to the tokens that it used.
func (l *limiter) release(cost float64, usedTokens int) {
	l.inFlight--
	l.tokens.level += cost - float64(usedTokens)
}
