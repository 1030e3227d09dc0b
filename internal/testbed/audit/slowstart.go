package audit

import (
	"slices"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/testbed/record"
)

// arrival is work that reached an endpoint during its slow start.
type arrival struct {
	at   int64
	work float64
}

// slowStart is an endpoint since its start.
type slowStart struct {
	startedAt int64 // 0: long ago
	arrivals  []arrival
}

// checkSlowStart checks rule 4: no endpoint gets more than it bears during its slow start. What the endpoints say of
// themselves counts, and what their sockets were seen to take is summed up here once more, by the deployment alone.
func (j *judge) checkSlowStart(events []record.Event) {
	starts := map[uint32]*slowStart{}
	for i, event := range events {
		line := i + 1
		switch event.Type {
		case record.EndpointUp:
			starts[event.Endpoint] = &slowStart{startedAt: event.Count}
		case record.AttemptArrived:
			if start := starts[event.Endpoint]; start != nil && start.startedAt != 0 {
				j.checkSlowStartArrival(line, event, start)
			}
		case record.SlowStartLoad:
			j.checked(ruleSlowStart)
			j.verdict.PeakSlowStartUse = max(j.verdict.PeakSlowStartUse, event.Value)
			if event.Value > 1 {
				j.violation(ruleSlowStart, line, "", "cold host %d was sent %.2f of what it bears, in %d legs",
					event.Endpoint, event.Value, event.Count)
			}
		case record.ChatAtEmbedder:
			j.violation(ruleDrains, line, event.Request, "chat was sent to host %d, which only embeds", event.Endpoint)
		case record.EndpointOverloaded:
			j.violation(ruleSlowStart, line, "", "cold host %d fell over", event.Endpoint)
		}
	}
}

func (j *judge) checkSlowStartArrival(line int, event record.Event, start *slowStart) {
	age := event.At - start.startedAt
	capacity := j.slowStartCapacity(event.Kind, age)
	if capacity == 0 {
		return
	}
	rules := j.deployment.Rules
	span := int64(rules.FallMs) * millisecond
	start.arrivals = slices.DeleteFunc(start.arrivals, func(a arrival) bool { return a.at < event.At-span })
	sum := event.Value
	for _, a := range start.arrivals {
		sum += a.work
	}
	start.arrivals = append(start.arrivals, arrival{at: event.At, work: event.Value})
	used := sum / (rules.FallMultiple * capacity * float64(span) / second)
	j.checked(ruleSlowStart)
	if count := len(start.arrivals); used > 1 && count > 1 {
		j.violation(ruleSlowStart, line, event.Request,
			"cold host %d was sent %.2f of what a sound one bears %d ms after its start, in %d legs",
			event.Endpoint, used, age/millisecond, count)
	}
}

// slowStartCapacity returns the work a second that an endpoint of a kind can do so long after its start; 0 where it is
// warm, or no group says.
func (j *judge) slowStartCapacity(kind string, age int64) float64 {
	rules := j.deployment.Rules
	if j.deployment.Fleet == nil || age >= int64(rules.ColdMs)*millisecond {
		return 0
	}
	for _, group := range j.deployment.Fleet.Groups {
		if group.Kind != kind {
			continue
		}
		capacity := group.ReadTokensPerS
		if j.isDecodeOnly(kind) {
			capacity = float64(group.Slots) * second / float64(group.StepUs+group.StepUsPerStream*group.Slots)
		}
		// An endpoint has its full capacity a little before it counts as warm.
		warmUp := float64(rules.ColdMs) * millisecond * 9 / 10
		return capacity * min(rules.ColdFrom+(1-rules.ColdFrom)*float64(age)/warmUp, 1)
	}
	return 0
}

func (j *judge) isDecodeOnly(name string) bool {
	return slices.ContainsFunc(j.deployment.Kinds, func(kind *pb.Kind) bool {
		return kind.Name == name && kind.Role == pb.Kind_WRITER
	})
}
