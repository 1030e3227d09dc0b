package subscribe

import (
	"math/rand"

	"plumspindle/internal/eventloop"
)

// backoff computes the delays before retries. The base delay doubles with each failure, and each delay is drawn at
// random from 0.5 to 1.5 times the base delay, because dispatchers that lost a source at the same time must not all
// reconnect at the same time.
type backoff struct {
	minDelay, maxDelay eventloop.Micros
	baseDelay          eventloop.Micros // 0 before the first use
	random             *rand.Rand
}

// reset sets the base delay to its minimum.
func (b *backoff) reset() { b.baseDelay = b.minDelay }

// grow doubles the base delay, up to its maximum.
func (b *backoff) grow() { b.baseDelay = min(2*max(b.baseDelay, b.minDelay), b.maxDelay) }

// nextDelay draws the next delay.
func (b *backoff) nextDelay() eventloop.Micros {
	b.baseDelay = max(b.baseDelay, b.minDelay)
	return b.baseDelay/2 + eventloop.Micros(b.random.Int63n(int64(b.baseDelay)))
}
