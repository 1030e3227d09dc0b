package audit

import (
	"fmt"
	"strings"

	"plumspindle/internal/testbed/record"
)

// maxEvidence is for how many requests the events are printed.
const maxEvidence = 3

// gatherEvidence notes the events of the requests by which rules were broken, among the faults and hold-ups of the run:
// a violation that is seen once has to be explained from what is printed.
func (j *judge) gatherEvidence(events []record.Event) {
	requests := j.verdict.requestsInViolation()
	if len(requests) == 0 || len(events) == 0 {
		return
	}
	var text strings.Builder
	for i, event := range events {
		if concernsAll(event) || requests[event.Request] {
			fmt.Fprintf(&text, "%6d %10.3f ms  %s\n", i+1, float64(event.At-events[0].At)/millisecond, event.Text())
		}
	}
	j.verdict.Evidence = text.String()
}

// requestsInViolation returns the first requests by which rules were broken.
func (v *Verdict) requestsInViolation() map[string]bool {
	requests := map[string]bool{}
	for _, rule := range v.Rules {
		for _, violation := range rule.Violations {
			if violation.Request != "" && len(requests) < maxEvidence {
				requests[violation.Request] = true
			}
		}
	}
	return requests
}

// concernsAll reports whether an event may matter for any request.
func concernsAll(event record.Event) bool {
	switch event.Type {
	case record.FaultInjected, record.DispatcherKilled, record.DispatcherUnavailable, record.TestBedDelayed:
		return true
	}
	return false
}
