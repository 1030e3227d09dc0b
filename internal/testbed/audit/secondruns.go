package audit

import (
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/testbed/record"
)

// maxClientAttempts is the highest client attempt number that the check looks for, because no client makes more
// attempts.
const maxClientAttempts = 9

// mayRunAgain reports whether a product's requests may run any number of times, at any endpoint.
func mayRunAgain(product *pb.Product) bool {
	return product == nil || product.Effect == pb.Product_IDEMPOTENT ||
		product.Effect == pb.Product_DEDUPLICATED && product.Group == pb.Product_ALL_HOSTS
}

// checkSecondRuns checks rule 2: no effect takes place twice, no request that may have run is rejected as safe to
// retry, and no request has two attempts in flight.
func (c *checker) checkSecondRuns(events []record.Event) {
	for _, request := range sortedKeys(c.runLines) {
		c.countChecked(ruleRepeatedEffect)
		lines := c.runLines[request]
		first := events[lines[0]-1]
		for _, line := range lines[1:] {
			c.checkSecondRun(request, lines[0], first, line, events[line-1])
		}
		if mayRunAgain(c.products[first.Product]) {
			continue
		}
		for number := 1; number <= maxClientAttempts; number++ {
			a := c.clientAttempts[clientAttemptKey{request: request, number: number}]
			if a != nil && a.outcome == record.Rejected && a.finalAt+c.slack > first.At && a.sentAt < first.At {
				c.addViolation(ruleRepeatedEffect, lines[0], request, "rejected (client attempt %d), though it ran", number)
			}
		}
	}
	c.checkRejections(events)
	for _, request := range sortedKeys(c.attempts) {
		attempts := c.attempts[request]
		for i, a := range attempts[1:] {
			if before := attempts[i]; before.end == 0 || a.event.At < before.end-c.slack {
				c.addViolation(ruleRepeatedEffect, a.line, a.event.Request, "attempt %s while %s was in flight",
					a.event.Attempt, before.event.Attempt)
			}
		}
	}
}

// checkSecondRun checks a run of a request that has run before.
func (c *checker) checkSecondRun(request string, firstLine int, first record.Event, line int, again record.Event) {
	product := c.products[first.Product]
	switch {
	case product == nil || product.Effect == pb.Product_IDEMPOTENT:
	case product.Effect == pb.Product_SIDE_EFFECTING:
		c.addViolation(ruleRepeatedEffect, line, request, "a side-effecting request ran again (first on line %d)", firstLine)
	case again.At-first.At > int64(product.WindowMs)*millisecond+socketSlack:
		c.addViolation(ruleRepeatedEffect, line, request, "a deduplicated request ran again %d ms after its first run",
			(again.At-first.At)/millisecond)
	case product.Group == pb.Product_SAME_ZONE && again.Zone != first.Zone,
		product.Group == pb.Product_SAME_CELL && again.Cell != first.Cell:
		c.addViolation(ruleRepeatedEffect, line, request, "a deduplicated request ran again outside its group")
	}
}

// checkRejections checks the rejections of requests that may not run twice. Once a decode of such a request has reached
// an endpoint and was not refused there, the dispatcher must not reject the request, whether or not the decode has
// begun, because a rejection invites the client to retry.
func (c *checker) checkRejections(events []record.Event) {
	decodes := map[string][]*attempt{} // by the client's request id
	for _, request := range sortedKeys(c.attempts) {
		for _, a := range c.attempts[request] {
			if a.event.Detail == record.Decode {
				decodes[a.event.Request] = append(decodes[a.event.Request], a)
			}
		}
	}
	for _, event := range events {
		if event.Type != record.FinalAnswer || event.Detail != record.Rejected {
			continue
		}
		client := c.clientAttempts[keyOf(event)]
		if client == nil || mayRunAgain(c.products[client.product]) {
			continue
		}
		c.countChecked(ruleRepeatedEffect)
		for _, a := range decodes[event.Request] {
			if a.event.Dispatcher != event.Dispatcher || a.event.At < client.sentAt || a.event.At > event.At {
				continue
			}
			if refusedAt, refused := c.refusedAt[a.event.Attempt]; !refused || refusedAt > event.At+c.slack {
				c.addViolation(ruleRepeatedEffect, a.line, event.Request,
					"rejected (client attempt %d) with attempt %s at an endpoint that had not refused it",
					event.ClientAttempt, a.event.Attempt)
			}
		}
	}
}
