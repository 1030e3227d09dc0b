package subscribe

import (
	"math/rand"

	"plumspindle/internal/eventloop"
)

// backoff is the delay before a retry: it doubles with each failure, and is drawn at random from half to one and a
// half of that, as dispatchers that lost a source together must not return to it together.
type backoff struct {
	shortest, longest eventloop.Micros
	current           eventloop.Micros // 0: not used yet
	random            *rand.Rand
}

// reset has the next delay be the shortest.
func (b *backoff) reset() { b.current = b.shortest }

// grow doubles the delay.
func (b *backoff) grow() { b.current = min(2*max(b.current, b.shortest), b.longest) }

// delay draws the next delay.
func (b *backoff) delay() eventloop.Micros {
	b.current = max(b.current, b.shortest)
	return b.current/2 + eventloop.Micros(b.random.Int63n(int64(b.current)))
}
