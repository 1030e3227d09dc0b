package audit

import (
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/testbed/record"
)

// maxClientAttempts is more than a client makes.
const maxClientAttempts = 9

// mayRunAgain reports whether a product's requests may run any number of times, at any endpoint.
func mayRunAgain(product *pb.Product) bool {
	return product == nil || product.Effect == pb.Product_IDEMPOTENT ||
		product.Effect == pb.Product_DEDUPLICATED && product.Group == pb.Product_ALL_HOSTS
}

// checkSecondRuns checks rule 2: no effect twice, no rejection of what may have run, never two attempts in flight.
func (j *judge) checkSecondRuns(events []record.Event) {
	for _, request := range sortedKeys(j.ran) {
		j.checked(ruleNoSecondRun)
		lines := j.ran[request]
		first := events[lines[0]-1]
		for _, line := range lines[1:] {
			j.checkSecondRun(request, lines[0], first, line, events[line-1])
		}
		if mayRunAgain(j.products[first.Product]) {
			continue
		}
		for number := 1; number <= maxClientAttempts; number++ {
			a := j.clientAttempts[clientAttemptKey{request: request, number: number}]
			if a != nil && a.outcome == record.Rejected && a.finalAt+j.slack > first.At && a.sentAt < first.At {
				j.violation(ruleNoSecondRun, lines[0], request, "throttled (try %d), though it ran", number)
			}
		}
	}
	j.checkRejections(events)
	for _, request := range sortedKeys(j.attempts) {
		attempts := j.attempts[request]
		for i, a := range attempts[1:] {
			if before := attempts[i]; before.end == 0 || a.event.At < before.end-j.slack {
				j.violation(ruleNoSecondRun, a.line, a.event.Request, "leg %s while %s was out",
					a.event.Attempt, before.event.Attempt)
			}
		}
	}
}

// checkSecondRun checks a run after the first one of a request.
func (j *judge) checkSecondRun(request string, firstLine int, first record.Event, line int, again record.Event) {
	product := j.products[first.Product]
	switch {
	case product == nil || product.Effect == pb.Product_IDEMPOTENT:
	case product.Effect == pb.Product_SIDE_EFFECTING:
		j.violation(ruleNoSecondRun, line, request, "a side-effecting write ran again (first on line %d)", firstLine)
	case again.At-first.At > int64(product.WindowMs)*millisecond+socketSlack:
		j.violation(ruleNoSecondRun, line, request, "a deduplicated write ran %d ms after the first",
			(again.At-first.At)/millisecond)
	case product.Group == pb.Product_SAME_ZONE && again.Zone != first.Zone,
		product.Group == pb.Product_SAME_CELL && again.Cell != first.Cell:
		j.violation(ruleNoSecondRun, line, request, "a deduplicated write ran outside its group")
	}
}

// checkRejections checks that what may not run twice is not rejected, which invites a retry, while a decode of it is at
// an endpoint that has not said that it does not run it, whether it has begun by then or will.
func (j *judge) checkRejections(events []record.Event) {
	decodes := map[string][]*attempt{} // by the client's request
	for _, request := range sortedKeys(j.attempts) {
		for _, a := range j.attempts[request] {
			if a.event.Detail == record.Decode {
				decodes[a.event.Request] = append(decodes[a.event.Request], a)
			}
		}
	}
	for _, event := range events {
		if event.Type != record.FinalAnswer || event.Detail != record.Rejected {
			continue
		}
		client := j.clientAttempts[keyOf(event)]
		if client == nil || mayRunAgain(j.products[client.product]) {
			continue
		}
		j.checked(ruleNoSecondRun)
		for _, a := range decodes[event.Request] {
			if a.event.Dispatcher != event.Dispatcher || a.event.At < client.sentAt || a.event.At > event.At {
				continue
			}
			if refusedAt, refused := j.refused[a.event.Attempt]; !refused || refusedAt > event.At+j.slack {
				j.violation(ruleNoSecondRun, a.line, event.Request,
					"throttled (try %d) with leg %s at a host that had not refused it", event.ClientAttempt, a.event.Attempt)
			}
		}
	}
}
