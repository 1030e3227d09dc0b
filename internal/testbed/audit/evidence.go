package audit

import (
	"fmt"
	"strings"

	"plumspindle/internal/testbed/record"
)

// maxEvidenceRequests is the largest number of requests whose events are printed.
const maxEvidenceRequests = 3

// gatherEvidence prints the events of the requests in violation, together with the run's faults and the test bed's
// delays, into the verdict, because a violation that cannot be reproduced has to be explained from the printed text.
func (c *checker) gatherEvidence(events []record.Event) {
	requests := c.verdict.requestsInViolation()
	if len(requests) == 0 || len(events) == 0 {
		return
	}
	var text strings.Builder
	for i, event := range events {
		if concernsAllRequests(event) || requests[event.Request] {
			fmt.Fprintf(&text, "%6d %10.3f ms  %s\n", i+1, float64(event.At-events[0].At)/millisecond, event.Text())
		}
	}
	c.verdict.Evidence = text.String()
}

// requestsInViolation returns the first requests that rules were broken for.
func (v *Verdict) requestsInViolation() map[string]bool {
	requests := map[string]bool{}
	for _, rule := range v.Rules {
		for _, violation := range rule.Violations {
			if violation.Request != "" && len(requests) < maxEvidenceRequests {
				requests[violation.Request] = true
			}
		}
	}
	return requests
}

// concernsAllRequests reports whether an event may matter for every request, whichever request it names.
func concernsAllRequests(event record.Event) bool {
	switch event.Type {
	case record.FaultInjected, record.DispatcherKilled, record.DispatcherUnavailable, record.TestBedDelayed:
		return true
	}
	return false
}
