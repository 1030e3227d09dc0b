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

// slowStart is the slow start of one endpoint.
type slowStart struct {
	startedAt int64 // 0: so long ago that slow start is over
	arrivals  []arrival
}

// checkSlowStart checks rule 4: no endpoint gets more work during its slow start than it can do. It uses the load that
// the endpoints report, and also compares the work that arrived on their sockets with the deployment's capacities. It
// reports chat requests at endpoints that serve embeddings only, which count as violations of rule 3.
func (c *checker) checkSlowStart(events []record.Event) {
	starts := map[uint32]*slowStart{}
	for i, event := range events {
		line := i + 1
		switch event.Type {
		case record.EndpointUp:
			starts[event.Endpoint] = &slowStart{startedAt: event.Count}
		case record.AttemptArrived:
			if start := starts[event.Endpoint]; start != nil && start.startedAt != 0 {
				c.checkSlowStartArrival(line, event, start)
			}
		case record.SlowStartLoad:
			c.countChecked(ruleSlowStart)
			c.verdict.PeakSlowStartUse = max(c.verdict.PeakSlowStartUse, event.Value)
			if event.Value > 1 {
				c.addViolation(ruleSlowStart, line, "", "endpoint %d was sent %.2f of its slow-start budget, in %d attempts",
					event.Endpoint, event.Value, event.Count)
			}
		case record.ChatAtEmbeddingEndpoint:
			c.addViolation(ruleDrains, line, event.Request,
				"a chat request was sent to endpoint %d, which serves embeddings only", event.Endpoint)
		case record.EndpointOverloaded:
			c.addViolation(ruleSlowStart, line, "", "endpoint %d was overloaded during slow start", event.Endpoint)
		}
	}
}

// checkSlowStartArrival checks the work that arrived at an endpoint within the last FallMs. This includes the attempt
// that has just arrived. A single attempt never breaks the rule.
func (c *checker) checkSlowStartArrival(line int, event record.Event, start *slowStart) {
	age := event.At - start.startedAt
	capacity := c.slowStartCapacity(event.Kind, age)
	if capacity == 0 {
		return
	}
	rules := c.deployment.Rules
	span := int64(rules.FallMs) * millisecond
	start.arrivals = slices.DeleteFunc(start.arrivals, func(a arrival) bool { return a.at < event.At-span })
	sum := event.Value
	for _, a := range start.arrivals {
		sum += a.work
	}
	start.arrivals = append(start.arrivals, arrival{at: event.At, work: event.Value})
	used := sum / (rules.FallMultiple * capacity * float64(span) / second)
	c.countChecked(ruleSlowStart)
	if count := len(start.arrivals); used > 1 && count > 1 {
		c.addViolation(ruleSlowStart, line, event.Request,
			"endpoint %d was sent %.2f of the deployment's slow-start budget %d ms after its start, in %d attempts",
			event.Endpoint, used, age/millisecond, count)
	}
}

// slowStartCapacity returns the work per second that an endpoint of a kind can do at an age since its start. It returns
// 0 if the slow start is over, or if the deployment has no group of that kind.
func (c *checker) slowStartCapacity(kind string, age int64) float64 {
	rules := c.deployment.Rules
	if c.deployment.Fleet == nil || age >= int64(rules.ColdMs)*millisecond {
		return 0
	}
	for _, group := range c.deployment.Fleet.Groups {
		if group.Kind != kind {
			continue
		}
		capacity := group.ReadTokensPerS
		if c.isDecodeOnly(kind) {
			capacity = float64(group.Slots) * second / float64(group.StepUs+group.StepUsPerStream*group.Slots)
		}
		// An endpoint reaches its full capacity shortly before its slow start is over.
		warmUp := float64(rules.ColdMs) * millisecond * 9 / 10
		return capacity * min(rules.ColdFrom+(1-rules.ColdFrom)*float64(age)/warmUp, 1)
	}
	return 0
}

func (c *checker) isDecodeOnly(name string) bool {
	return slices.ContainsFunc(c.deployment.Kinds, func(kind *pb.Kind) bool {
		return kind.Name == name && kind.Role == pb.Kind_WRITER
	})
}
