package batch

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Parts come back, fail and are halved in any order: each input is out in one part at most at any time, a call ends only with
// every input back or with a reason, and once it is over nothing more is to be sent.
func TestCallInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "inputs")
		var tokens []int
		for range n {
			tokens = append(tokens, rapid.IntRange(1, 300).Draw(t, "tokens"))
		}
		b := PartLimits{Tokens: rapid.IntRange(1, 600).Draw(t, "part"), Inputs: rapid.IntRange(1, 9).Draw(t, "most")}
		c := NewCall(tokens, b)
		poison := rapid.IntRange(-3, n-1).Draw(t, "poison")
		now := Micros(1)
		out := map[PartID][]int{}
		back := map[int]bool{}
		next := InProgress
		for step := 0; next == InProgress; step++ {
			if step > 5000 {
				t.Fatalf("no end: %d open, %d out", c.Pending(), c.InFlight())
			}
			now += Micros(rapid.IntRange(0, 60_000).Draw(t, "passes"))
			if c.HasReady(now) && rapid.Bool().Draw(t, "send") {
				no, inputs := c.SendNext()
				sum := 0
				for _, i := range inputs {
					sum += tokens[i]
					for other, o := range out {
						for _, k := range o {
							if k == i || back[i] {
								t.Fatalf("input %d is out in part %d and goes out in %d, or is back", i, other, no)
							}
						}
					}
				}
				if len(inputs) > b.Inputs || len(inputs) > 1 && sum > b.Tokens {
					t.Fatalf("a part of %d inputs, %d tokens; %+v", len(inputs), sum, b)
				}
				out[no] = inputs
				continue
			}
			if len(out) == 0 {
				if at, some := c.NextRetryAt(); some && !c.HasReady(now) {
					now = max(now, at)
				}
				continue
			}
			for no, inputs := range out {
				delete(out, no)
				has := false
				for _, i := range inputs {
					has = has || i == poison
				}
				switch how := rapid.IntRange(0, 5).Draw(t, "how"); {
				case has && how < 3:
					next = c.PartFailed(now, no, EndpointFailed, 0)
				case has:
					next = c.PartFailed(now, no, InvalidInput, 0)
				case how == 0:
					next = c.PartFailed(now, no, Overloaded, Micros(rapid.IntRange(1, 90_000).Draw(t, "after")))
				default:
					next = c.PartCompleted(no)
					for _, i := range inputs {
						back[i] = true
					}
				}
				break
			}
		}
		if c.HasReady(now + second*10) {
			t.Fatal("something is to be sent after the end")
		}
		if next == Completed && len(back) != n || next == Abandoned && c.InvalidInput != poison {
			t.Fatalf("%v: %d of %d back, blamed %d, poison %d", next, len(back), n, c.InvalidInput, poison)
		}
		if next == Completed && poison >= 0 {
			t.Fatal("ended with an input that never came back")
		}
	})
}

// The limiter against readers of a fixed capacity: it fills them, it yields where chat is late, and it learns a slower fleet.
func TestLimiterFindsTheCapacity(t *testing.T) {
	for _, places := range []int{1, 6, 40} {
		l := NewLimiter(0)
		now := Micros(0)
		var outs []Micros // when each comes back
		free := make([]Micros, places)
		step := func(cost Micros) {
			for l.HasCapacity() {
				l.Acquire()
				best := 0
				for i := range free {
					if free[i] < free[best] {
						best = i
					}
				}
				free[best] = max(free[best], now) + cost
				outs = append(outs, free[best])
			}
			first := 0
			for i := range outs {
				if outs[i] < outs[first] {
					first = i
				}
			}
			now = max(now, outs[first])
			outs = append(outs[:first], outs[first+1:]...)
		}
		run := func(cost, span Micros) (done int, late Micros) {
			for end := now + span; now < end; done++ {
				before := len(outs)
				step(cost)
				late = max(late, outsMax(outs)-now)
				l.Completed(now, 256, cost*Micros(max(before, places))/Micros(places), true)
			}
			return done, late
		}
		run(20*millisecond, 10*second)
		done, late := run(20*millisecond, 10*second)
		if want := places * 500; done < want*9/10 {
			t.Errorf("%d places: %d parts in 10 s, %d fit", places, done, want)
		}
		if late > 150*millisecond {
			t.Errorf("%d places: the last part of a queue waits for %d ms", places, late/millisecond)
		}
		limit := l.Limit()
		for range 5 {
			now += second
			l.ChatStarted(now, second, second)
		}
		if l.Limit() > max(limit/8, 1) {
			t.Errorf("%d places: with chat late the limit is %d, was %d", places, l.Limit(), limit)
		}
		run(60*millisecond, 20*second) // a fleet three times as slow
		if done, _ := run(60*millisecond, 10*second); done < places*166*8/10 {
			t.Errorf("%d places, slower: %d parts in 10 s", places, done)
		}
	}
	if l := NewLimiter(7); fmt.Sprint(l.Limit()) != "7" {
		t.Error("a fixed limit is not kept")
	}
}

func outsMax(outs []Micros) (m Micros) {
	for _, o := range outs {
		m = max(m, o)
	}
	return m
}
