package subscribe

import (
	"math/rand"
	"testing"

	"plumspindle/internal/eventloop"
)

// TestBackoffDoublesUpToItsBound: delays are drawn from half to one and a half of a span that doubles.
func TestBackoffDoublesUpToItsBound(t *testing.T) {
	const shortest, longest = 40 * eventloop.Millisecond, 400 * eventloop.Millisecond
	for seed := range int64(100) {
		b := backoff{shortest: shortest, longest: longest, random: rand.New(rand.NewSource(seed))}
		checkDelay := func(span eventloop.Micros) {
			t.Helper()
			if got := b.delay(); got < span/2 || got >= span/2+span {
				t.Errorf("seed %d: delay %d, want one around %d", seed, got, span)
			}
		}
		checkDelay(shortest)
		for _, span := range []eventloop.Micros{2 * shortest, 4 * shortest, 8 * shortest, longest, longest} {
			b.grow()
			checkDelay(span)
		}
		b.reset()
		checkDelay(shortest)
	}
}

func TestBackoffThatWasNeverUsedGrowsFromTheShortest(t *testing.T) {
	b := backoff{shortest: 40, longest: 400, random: rand.New(rand.NewSource(1))}
	b.grow()
	if b.current != 80 {
		t.Errorf("grown to %d, want 80", b.current)
	}
}
