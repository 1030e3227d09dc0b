package scenarios

import "plumspindle/internal/testbed/record"

// Events returns the recorded events of clients and endpoints.
func (r *Run) Events() []record.Event { return r.events }

// firstAttemptSeconds returns, by request id, the second of the load in which each request was first sent.
func (r *Run) firstAttemptSeconds() map[string]int {
	seconds, loadStartedAt := map[string]int{}, int64(0)
	for _, event := range r.events {
		if event.Type != record.RequestSent || event.ClientAttempt != 1 {
			continue
		}
		if loadStartedAt == 0 {
			loadStartedAt = event.At
		}
		seconds[event.Request] = int((event.At - loadStartedAt) / 1e6)
	}
	return seconds
}

// CompletedInSecond returns how many requests were first sent in the given second of the load, and how many of these
// requests were completed.
func (r *Run) CompletedInSecond(second int) (sent, completed int) {
	seconds := r.firstAttemptSeconds()
	for _, event := range r.events {
		sentIn, known := seconds[event.Request]
		if event.Type != record.RequestFinished || !known || sentIn != second {
			continue
		}
		sent++
		if event.Detail == record.Completed {
			completed++
		}
	}
	return sent, completed
}

// WithinSLOBySecond returns, for each second of the load, how many requests were first sent in it and how many of these
// requests were answered within the SLO.
func (r *Run) WithinSLOBySecond() (sent, inSLO []int) {
	seconds := r.firstAttemptSeconds()
	sent, inSLO = make([]int, r.Script.Seconds+1), make([]int, r.Script.Seconds+1)
	for _, event := range r.events {
		second, known := seconds[event.Request]
		if event.Type != record.RequestFinished || !known || second >= len(sent) {
			continue
		}
		sent[second]++
		if event.Detail == record.Completed && event.Exact {
			inSLO[second]++
		}
	}
	return sent, inSLO
}
