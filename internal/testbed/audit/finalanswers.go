package audit

import "plumspindle/internal/testbed/record"

// clientAttemptKey names one attempt of a client's request.
type clientAttemptKey struct {
	request string
	number  int // from 1
}

// clientAttempt is one attempt of a client's request at a dispatcher.
type clientAttempt struct {
	line         int
	sentAt       int64
	timeLimit    int64 // 0: none
	dispatcher   string
	product      string
	finalAnswers int
	outcome      string
	finalAt      int64
}

func keyOf(event record.Event) clientAttemptKey {
	return clientAttemptKey{request: event.Request, number: event.ClientAttempt}
}

// checkFinalAnswers checks rule 1: one final answer for each attempt that a running dispatcher took, in time, and
// nothing after it.
func (j *judge) checkFinalAnswers(events []record.Event) {
	for i, event := range events {
		line := i + 1
		switch event.Type {
		case record.RequestSent:
			key := keyOf(event)
			if j.clientAttempts[key] == nil {
				j.clientAttempts[key] = &clientAttempt{line: line, sentAt: event.At, timeLimit: int64(event.Value),
					dispatcher: event.Dispatcher, product: event.Product}
				j.clientOrder = append(j.clientOrder, key)
			}
		case record.FinalAnswer:
			j.checkFinalAnswer(line, event)
		case record.BytesAfterFinal:
			j.violation(ruleFinalAnswer, line, event.Request, "something came after the final answer (%s)", event.Detail)
		case record.MalformedAnswer:
			j.violation(ruleFinalAnswer, line, event.Request, "malformed: %s", event.Detail)
		}
	}
	for _, key := range j.clientOrder {
		j.checked(ruleFinalAnswer)
		if a := j.clientAttempts[key]; a.finalAnswers == 0 {
			j.violation(ruleFinalAnswer, a.line, key.request, "asked, and never answered")
		}
	}
}

func (j *judge) checkFinalAnswer(line int, event record.Event) {
	attempt := j.clientAttempts[keyOf(event)]
	if attempt == nil {
		j.violation(ruleFinalAnswer, line, event.Request, "an answer to what was never asked")
		return
	}
	if attempt.finalAnswers++; attempt.finalAnswers > 1 {
		j.violation(ruleFinalAnswer, line, event.Request, "a second final answer (%s after %s) to try %d",
			event.Detail, attempt.outcome, event.ClientAttempt)
		return
	}
	attempt.outcome, attempt.finalAt = event.Detail, event.At
	switch {
	case event.Detail == record.Completed && !event.Exact:
		j.violation(ruleFinalAnswer, line, event.Request, "streamed, but not byte for byte what the writer gave")
	case event.Detail != record.Completed && event.Count == 0 && j.isLate(attempt, event):
		j.violation(ruleFinalAnswer, line, event.Request, "answered %d ms after the client's time (%s, try %d)",
			(event.At-attempt.sentAt-attempt.timeLimit)/millisecond, event.Detail, event.ClientAttempt)
	case event.Detail == record.Completed, event.Detail == record.Rejected, event.Detail == record.Failed:
	case !j.isExcused(attempt, event):
		j.violation(ruleFinalAnswer, line, event.Request, "no final answer to try %d: %s",
			event.ClientAttempt, event.Detail)
	}
}

// isLate reports whether an answer came after the client's time limit from a dispatcher that could have answered
// before.
func (j *judge) isLate(a *clientAttempt, event record.Event) bool {
	due := a.sentAt + a.timeLimit
	return a.timeLimit > 0 && event.At-j.heldUp(record.ClientsLoop, due, event.At) > due+j.slack &&
		!j.wasFrozen(event.Dispatcher, a.sentAt) && !j.wasFrozen(event.Dispatcher, due)
}

// isExcused reports whether a dispatcher could not give a final answer.
func (j *judge) isExcused(a *clientAttempt, event record.Event) bool {
	switch event.Detail {
	case record.Broken:
		return j.wasKilled(withoutIncarnation(event.Dispatcher), a.sentAt, event.At)
	case record.GaveUp:
		// A client that was held up at its time may have had the answer, and not read it.
		due := a.sentAt + a.timeLimit
		if a.timeLimit > 0 && j.heldUp(record.ClientsLoop, due-j.slack, event.At) > 0 {
			return true
		}
		// A dispatcher that was frozen when the request came counts the client's time from when it read it.
		return j.wasKilled(withoutIncarnation(event.Dispatcher), a.sentAt, event.At) ||
			j.wasFrozen(event.Dispatcher, a.sentAt) || j.wasFrozen(event.Dispatcher, event.At)
	}
	return false
}
