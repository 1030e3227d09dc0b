package batch

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// callModel plays endpoints to a call, and checks what the call sends.
type callModel struct {
	t         *rapid.T
	call      *Call
	now       Micros
	tokens    []int // of the inputs
	limits    PartLimits
	poison    int // the input that endpoints fail on; below 0 there is none
	inFlight  map[PartID][]int
	completed map[int]bool // inputs
}

func newCallModel(t *rapid.T) *callModel {
	m := &callModel{t: t, now: 1, inFlight: map[PartID][]int{}, completed: map[int]bool{}}
	inputs := rapid.IntRange(1, 40).Draw(t, "inputs")
	for range inputs {
		m.tokens = append(m.tokens, rapid.IntRange(1, 300).Draw(t, "tokens"))
	}
	m.limits = PartLimits{
		Tokens: rapid.IntRange(1, 600).Draw(t, "tokens of a part"),
		Inputs: rapid.IntRange(1, 9).Draw(t, "inputs of a part"),
	}
	m.poison = rapid.IntRange(-3, inputs-1).Draw(t, "poison")
	m.call = NewCall(m.tokens, m.limits)
	return m
}

// step sends a part, or lets one come back, or lets time pass.
func (m *callModel) step() Progress {
	m.now += Micros(rapid.IntRange(0, 60_000).Draw(m.t, "time passes"))
	if m.call.Ready(m.now) && rapid.Bool().Draw(m.t, "send") {
		id, inputs := m.call.SendNext()
		m.checkPart(id, inputs)
		m.inFlight[id] = inputs
		return InProgress
	}
	for id, inputs := range m.inFlight {
		delete(m.inFlight, id)
		return m.comeBack(id, inputs)
	}
	if at, waits := m.call.NextRetryAt(); waits && !m.call.Ready(m.now) {
		m.now = max(m.now, at)
	}
	return InProgress
}

// checkPart checks that the part keeps to the limits, and that none of its inputs is in flight or completed.
func (m *callModel) checkPart(id PartID, inputs []int) {
	sum := 0
	for _, input := range inputs {
		sum += m.tokens[input]
		if m.completed[input] {
			m.t.Fatalf("input %d is sent in part %d, and is completed", input, id)
		}
		for other, others := range m.inFlight {
			if slices.Contains(others, input) {
				m.t.Fatalf("input %d is in flight in part %d, and is sent in part %d", input, other, id)
			}
		}
	}
	if len(inputs) > m.limits.Inputs || len(inputs) > 1 && sum > m.limits.Tokens {
		m.t.Fatalf("a part of %d inputs, %d tokens; %+v", len(inputs), sum, m.limits)
	}
}

func (m *callModel) comeBack(id PartID, inputs []int) Progress {
	poisoned := slices.Contains(inputs, m.poison)
	switch outcome := rapid.IntRange(0, 5).Draw(m.t, "outcome"); {
	case poisoned && outcome < 3:
		return m.call.PartFailed(m.now, id, EndpointFailed, 0)
	case poisoned:
		return m.call.PartFailed(m.now, id, InvalidInput, 0)
	case outcome == 0:
		retryAfter := Micros(rapid.IntRange(1, 90_000).Draw(m.t, "retry after"))
		return m.call.PartFailed(m.now, id, Overloaded, retryAfter)
	}
	for _, input := range inputs {
		m.completed[input] = true
	}
	return m.call.PartCompleted(id)
}

// checkEnd checks that the call ended for a reason, and that nothing more is sent.
func (m *callModel) checkEnd(progress Progress) {
	if m.call.Ready(m.now + second*10) {
		m.t.Fatal("something is to be sent after the end")
	}
	switch {
	case progress == Completed && len(m.completed) != len(m.tokens):
		m.t.Fatalf("completed with %d of %d inputs", len(m.completed), len(m.tokens))
	case progress == Completed && m.poison >= 0:
		m.t.Fatal("completed with an input that never came back")
	case progress == Abandoned && m.call.FailedInput != m.poison:
		m.t.Fatalf("abandoned for input %d, poison is %d", m.call.FailedInput, m.poison)
	}
}

// Parts come back, fail and are split in any order: each input is in flight in one part at most, a call ends only with
// every input completed or with a reason, and nothing is sent after that.
func TestCallSendsEachInputOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCallModel(t)
		progress := InProgress
		for step := 0; progress == InProgress; step++ {
			if step > 5000 {
				t.Fatalf("no end: %d pending, %d in flight", m.call.Pending(), m.call.InFlight())
			}
			progress = m.step()
		}
		m.checkEnd(progress)
	})
}
