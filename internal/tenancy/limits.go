package tenancy

import "math"

const (
	unlimited        = 1e12 // tokens or requests a second
	defaultBurstS    = 1.0
	defaultWeight    = 1.0
	defaultMaxQueued = 200 // requests of one tenant
)

// orDefault returns a limit, or its default value if the limit is not set.
func orDefault(limit, defaultLimit float64) float64 {
	if limit == 0 {
		return defaultLimit
	}
	return limit
}

// tokenBucket is a bucket that fills at a rate up to a capacity. After the clock has stepped back, the bucket does not
// fill until the clock has caught up. After a step back of more than a second it fills again at once, as the time
// before the step is assumed to have been wrong.
type tokenBucket struct {
	level    float64
	filledAt Micros // 0 if it was never filled
}

func (b *tokenBucket) fill(now Micros, ratePerS, capacity float64) {
	if b.filledAt == 0 {
		b.level = capacity
	} else if now > b.filledAt {
		b.level += ratePerS * float64(now-b.filledAt) / float64(second)
	}
	b.level = min(b.level, capacity) // the capacity may have been lowered
	if now > b.filledAt || b.filledAt-now > second {
		b.filledAt = now
	}
}

// timeUntil returns how long the bucket takes to fill up to a level.
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
	inFlight int // requests that are admitted or queued
}

// check returns the reason why one more request would exceed the limits, or NotRejected if it would not. It also
// returns how long to wait until a retry is within the limits, or 0 if that is unknown. dispatchers is the number of
// dispatchers that share the limits.
func (l *limiter) check(now Micros, dispatchers float64, promptTokens int, cost float64) (Reason, Micros) {
	limits := l.limits
	if limits.MaxPromptTokens > 0 && promptTokens > limits.MaxPromptTokens {
		return PromptTooLarge, 0
	}
	if limits.MaxConcurrent > 0 && l.inFlight >= max(int(float64(limits.MaxConcurrent)/dispatchers), 1) {
		return ConcurrencyExceeded, 0
	}
	burst := orDefault(limits.BurstS, defaultBurstS)

	// The bucket may still be empty because of a limit that was removed, so the limit itself is checked as well.
	requestRate := perDispatcher(limits.RequestsPerS, dispatchers)
	l.requests.fill(now, requestRate, max(requestRate*burst, 1))
	if limits.RequestsPerS > 0 && l.requests.level < 1 {
		return RequestRateExceeded, l.requests.timeUntil(1, requestRate)
	}

	tokenRate := perDispatcher(limits.TokensPerS, dispatchers)
	capacity := tokenRate * burst
	l.tokens.fill(now, tokenRate, capacity)
	// A request that costs more than the capacity is admitted when the bucket is full, and then makes the level negative.
	needed := min(cost, capacity)
	if limits.TokensPerS > 0 && l.tokens.level < needed {
		return TokenRateExceeded, l.tokens.timeUntil(needed, tokenRate)
	}
	return NotRejected, 0
}

// perDispatcher returns one dispatcher's share of a rate. A rate of 0 means no limit.
func perDispatcher(ratePerS, dispatchers float64) float64 {
	if ratePerS == 0 {
		return unlimited
	}
	return ratePerS / dispatchers
}

// reserve takes one request and its cost in tokens from the buckets.
func (l *limiter) reserve(cost float64) {
	l.requests.level--
	l.tokens.level -= cost
	l.inFlight++
}

// release ends a request, and replaces its reserved cost by the tokens that it used.
func (l *limiter) release(cost float64, usedTokens int) {
	l.inFlight--
	l.tokens.level += cost - float64(usedTokens)
}
