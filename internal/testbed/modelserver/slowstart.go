package modelserver

import (
	"slices"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
)

// arrival is the work of one attempt that reached an endpoint during its slow start.
type arrival struct {
	at   eventloop.Micros
	work float64
}

// capacityFactor returns the current share of the endpoint's full capacity. The slow-down fault reduces this share.
// During slow start the share rises linearly.
func (e *Endpoint) capacityFactor() float64 {
	factor := 1 / e.slowFactor
	if e.startedAt == 0 {
		return factor
	}
	rules := e.fleet.deployment.Rules
	age := e.fleet.loop.Now() - e.startedAt
	// Full capacity is reached a little before the slow start ends.
	warmUp := eventloop.Micros(rules.ColdMs) * eventloop.Millisecond * 9 / 10
	if age < warmUp {
		factor *= rules.ColdFrom + (1-rules.ColdFrom)*float64(age)/float64(warmUp)
	}
	return factor
}

// fullCapacity returns the tokens per second that the warm endpoint processes.
func (e *Endpoint) fullCapacity() float64 {
	if e.kind.Role == pb.Kind_WRITER {
		return float64(e.group.Slots) * 1e6 / float64(e.group.StepUs+e.group.StepUsPerStream*e.group.Slots)
	}
	return e.group.ReadTokensPerS
}

// countSlowStartLoad counts the work that arrives during slow start. The endpoint crashes permanently if the work
// within a sliding window of FallMs exceeds the slow-start budget. A single attempt never makes it crash, because the
// limit is on the load that all dispatchers send together.
func (e *Endpoint) countSlowStartLoad(work float64) {
	rules := e.fleet.deployment.Rules
	now := e.fleet.loop.Now()
	if e.startedAt == 0 || now-e.startedAt >= eventloop.Micros(rules.ColdMs)*eventloop.Millisecond {
		return
	}
	span := eventloop.Micros(rules.FallMs) * eventloop.Millisecond
	e.arrivals = slices.DeleteFunc(e.arrivals, func(a arrival) bool { return a.at < now-span })
	e.arrivals = append(e.arrivals, arrival{at: now, work: work})
	sum := 0.0
	for _, a := range e.arrivals {
		sum += a.work
	}
	if len(e.arrivals) < 2 {
		return
	}
	used := sum / (rules.FallMultiple * e.fullCapacity() * e.capacityFactor() * float64(rules.FallMs) / 1000)
	if e.fleet.recorder != nil {
		e.fleet.recorder.Add(record.Event{At: int64(now), Type: record.SlowStartLoad, Endpoint: e.ID,
			Value: used, Count: int64(len(e.arrivals))})
	}
	if used > 1 {
		e.fleet.record(e, record.EndpointOverloaded, nil)
		e.Crash(0)
	}
}
