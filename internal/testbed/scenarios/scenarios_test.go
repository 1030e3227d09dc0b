package scenarios

import (
	"testing"

	"plumspindle/internal/deployment"
)

func virtualDay(t *testing.T, name string, seed int64, segment int) uint64 {
	t.Helper()
	script, err := Find(name)
	if err != nil {
		t.Fatal(err)
	}
	p := &Run{Script: script, Deployment: deployment.Standard(), Dispatchers: 3, Seed: seed}
	v, left, trace, err := p.RunVirtual(segment)
	if err != nil {
		t.Fatal(err)
	}
	if !v.Passed() || left > 0 {
		t.Errorf("day %s, seed %d: %d generations left over\n%s", name, seed, left, v.Text())
	}
	if v.Rows[0].Asked < 200 || v.Service < 0.2 {
		t.Errorf("day %s, seed %d: nothing to judge by\n%s", name, seed, v.Text())
	}
	return trace
}

// Each built-in day, in virtual time: every rule kept, nothing left over.
func TestDaysKeepTheRules(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			virtualDay(t, name, 1, 0)
			virtualDay(t, name, 2, 700)
		})
	}
}

// The same seed gives the same day, to the last arrival.
func TestSameSeedSameDay(t *testing.T) {
	if a, b := virtualDay(t, "bad", 5, 300), virtualDay(t, "bad", 5, 300); a != b {
		t.Errorf("two runs of one seed differ: %x, %x", a, b)
	}
}
