package subscribe

import (
	"math/rand"
	"testing"

	"plumspindle/internal/eventloop"
)

// TestBackoffDoublesUpToItsBound checks that each delay is 0.5 to 1.5 times a base delay, which doubles up to its
// bound.
func TestBackoffDoublesUpToItsBound(t *testing.T) {
	const shortest, longest = 40 * eventloop.Millisecond, 400 * eventloop.Millisecond
	for seed := range int64(100) {
		b := backoff{minDelay: shortest, maxDelay: longest, random: rand.New(rand.NewSource(seed))}
		checkDelay := func(base eventloop.Micros) {
			t.Helper()
			if got := b.nextDelay(); got < base/2 || got >= base/2+base {
				t.Errorf("seed %d: delay %d, want 0.5 to 1.5 times %d", seed, got, base)
			}
		}
		checkDelay(shortest)
		for _, base := range []eventloop.Micros{2 * shortest, 4 * shortest, 8 * shortest, longest, longest} {
			b.grow()
			checkDelay(base)
		}
		b.reset()
		checkDelay(shortest)
	}
}

func TestBackoffThatWasNeverUsedGrowsFromTheShortest(t *testing.T) {
	b := backoff{minDelay: 40, maxDelay: 400, random: rand.New(rand.NewSource(1))}
	b.grow()
	if b.baseDelay != 80 {
		t.Errorf("base delay %d, want 80", b.baseDelay)
	}
}
