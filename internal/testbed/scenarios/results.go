package scenarios

import "plumspindle/internal/testbed/record"

// Events returns what clients and endpoints saw.
func (r *Run) Events() []record.Event { return r.events }

// firstAttemptSeconds returns the second of the load in which each request was first sent, by its id.
func (r *Run) firstAttemptSeconds() map[string]int {
	seconds, begin := map[string]int{}, int64(0)
	for _, event := range r.events {
		if event.Type != record.RequestSent || event.ClientAttempt != 1 {
			continue
		}
		if begin == 0 {
			begin = event.At
		}
		seconds[event.Request] = int((event.At - begin) / 1e6)
	}
	return seconds
}

// CompletedInSecond returns how many requests were first sent in one second of the load, and how many of them were
// completed.
func (r *Run) CompletedInSecond(second int) (asked, completed int) {
	seconds := r.firstAttemptSeconds()
	for _, event := range r.events {
		askedIn, known := seconds[event.Request]
		if event.Type != record.RequestOver || !known || askedIn != second {
			continue
		}
		asked++
		if event.Detail == record.Completed {
			completed++
		}
	}
	return asked, completed
}

// WithinSLOBySecond is, for each second of the load, how many requests were first sent in it and how many of them got
// their answer within the SLO time.
func (r *Run) WithinSLOBySecond() (asked, inSLO []int) {
	seconds := r.firstAttemptSeconds()
	asked, inSLO = make([]int, r.Script.Seconds+1), make([]int, r.Script.Seconds+1)
	for _, event := range r.events {
		second, known := seconds[event.Request]
		if event.Type != record.RequestOver || !known || second >= len(asked) {
			continue
		}
		asked[second]++
		if event.Detail == record.Completed && event.Exact {
			inSLO[second]++
		}
	}
	return asked, inSLO
}
