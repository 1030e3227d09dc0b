package batch

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// callModel simulates the endpoints that serve a call, and checks what the call sends.
type callModel struct {
	t            *rapid.T
	call         *Call
	now          Micros
	tokens       []int // of each input
	limits       PartLimits
	failingInput int // the input that endpoints fail on; below 0: none
	inFlight     map[PartID][]int
	completed    map[int]bool // inputs
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
	m.failingInput = rapid.IntRange(-3, inputs-1).Draw(t, "failing input")
	m.call = NewCall(m.tokens, m.limits)
	return m
}

// step advances the time, and then sends a part, ends one in flight, or advances the time to the next retry.
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
		return m.endPart(id, inputs)
	}
	if at, waits := m.call.NextRetryAt(); waits && !m.call.Ready(m.now) {
		m.now = max(m.now, at)
	}
	return InProgress
}

// checkPart checks that a part to be sent keeps to the limits, and that none of its inputs is in flight or completed.
func (m *callModel) checkPart(id PartID, inputs []int) {
	sum := 0
	for _, input := range inputs {
		sum += m.tokens[input]
		if m.completed[input] {
			m.t.Fatalf("input %d is sent in part %d, but it is completed", input, id)
		}
		for other, others := range m.inFlight {
			if slices.Contains(others, input) {
				m.t.Fatalf("input %d is sent in part %d, but it is in flight in part %d", input, id, other)
			}
		}
	}
	if len(inputs) > m.limits.Inputs || len(inputs) > 1 && sum > m.limits.Tokens {
		m.t.Fatalf("part with %d inputs, %d tokens; limits %+v", len(inputs), sum, m.limits)
	}
}

// endPart lets a part come back with results or a failure.
func (m *callModel) endPart(id PartID, inputs []int) Progress {
	fails := slices.Contains(inputs, m.failingInput)
	switch outcome := rapid.IntRange(0, 5).Draw(m.t, "outcome"); {
	case fails && outcome < 3:
		return m.call.PartFailed(m.now, id, EndpointFailed, 0)
	case fails:
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

// checkEnd checks that the call completed with all inputs or failed for failingInput, and that nothing more is sent.
func (m *callModel) checkEnd(progress Progress) {
	if m.call.Ready(m.now + second*10) {
		m.t.Fatal("a part is ready after the end of the call")
	}
	switch {
	case progress == Completed && len(m.completed) != len(m.tokens):
		m.t.Fatalf("completed with %d of %d inputs", len(m.completed), len(m.tokens))
	case progress == Completed && m.failingInput >= 0:
		m.t.Fatal("completed with an input that always fails")
	case progress == Failed && m.call.FailedInput != m.failingInput:
		m.t.Fatalf("abandoned for input %d, want %d", m.call.FailedInput, m.failingInput)
	}
}

// Parts complete, fail and are split in any order. Each input is in flight in at most one part, a call ends only when
// all inputs are completed or one input fails, and nothing is sent after the end.
func TestCallSendsEachInputOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCallModel(t)
		progress := InProgress
		for step := 0; progress == InProgress; step++ {
			if step > 5000 {
				t.Fatalf("the call did not end: %d pending, %d in flight", m.call.Pending(), m.call.InFlight())
			}
			progress = m.step()
		}
		m.checkEnd(progress)
	})
}
