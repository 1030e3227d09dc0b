package audit

import "plumspindle/internal/testbed/record"

// clientAttemptKey identifies one attempt of a client's request.
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

// checkFinalAnswers checks rule 1: each attempt that a running dispatcher accepted gets exactly one final answer, in
// time, and nothing after it.
func (c *checker) checkFinalAnswers(events []record.Event) {
	for i, event := range events {
		line := i + 1
		switch event.Type {
		case record.RequestSent:
			key := keyOf(event)
			if c.clientAttempts[key] == nil {
				c.clientAttempts[key] = &clientAttempt{line: line, sentAt: event.At, timeLimit: int64(event.Value),
					dispatcher: event.Dispatcher, product: event.Product}
				c.clientAttemptKeys = append(c.clientAttemptKeys, key)
			}
		case record.FinalAnswer:
			c.checkFinalAnswer(line, event)
		case record.BytesAfterFinal:
			c.addViolation(ruleFinalAnswer, line, event.Request, "data after the final answer (%s)", event.Detail)
		case record.MalformedAnswer:
			c.addViolation(ruleFinalAnswer, line, event.Request, "malformed answer: %s", event.Detail)
		}
	}
	for _, key := range c.clientAttemptKeys {
		c.countChecked(ruleFinalAnswer)
		if a := c.clientAttempts[key]; a.finalAnswers == 0 {
			c.addViolation(ruleFinalAnswer, a.line, key.request, "sent, but never answered")
		}
	}
}

func (c *checker) checkFinalAnswer(line int, event record.Event) {
	attempt := c.clientAttempts[keyOf(event)]
	if attempt == nil {
		c.addViolation(ruleFinalAnswer, line, event.Request, "an answer to an attempt that was never sent")
		return
	}
	if attempt.finalAnswers++; attempt.finalAnswers > 1 {
		c.addViolation(ruleFinalAnswer, line, event.Request, "a second final answer (%s after %s) to client attempt %d",
			event.Detail, attempt.outcome, event.ClientAttempt)
		return
	}
	attempt.outcome, attempt.finalAt = event.Detail, event.At
	switch {
	case event.Detail == record.Completed && !event.Exact:
		c.addViolation(ruleFinalAnswer, line, event.Request, "completed, but not byte for byte what the decode endpoint sent")
	case event.Detail != record.Completed && event.Count == 0 && c.isLate(attempt, event):
		c.addViolation(ruleFinalAnswer, line, event.Request,
			"answered %d ms after the client's time limit (%s, client attempt %d)",
			(event.At-attempt.sentAt-attempt.timeLimit)/millisecond, event.Detail, event.ClientAttempt)
	case event.Detail == record.Completed, event.Detail == record.Rejected, event.Detail == record.Failed:
	case !c.isExcused(attempt, event):
		c.addViolation(ruleFinalAnswer, line, event.Request, "no final answer to client attempt %d: %s",
			event.ClientAttempt, event.Detail)
	}
}

// isLate reports whether an answer came after the client's time limit although the dispatcher could have sent it in
// time.
func (c *checker) isLate(a *clientAttempt, event record.Event) bool {
	due := a.sentAt + a.timeLimit
	return a.timeLimit > 0 && event.At-c.delayWithin(record.ClientsLoop, due, event.At) > due+c.slack &&
		!c.wasFrozen(event.Dispatcher, a.sentAt) && !c.wasFrozen(event.Dispatcher, due)
}

// isExcused reports whether the dispatcher was unable to give a final answer, or the client to read it.
func (c *checker) isExcused(a *clientAttempt, event record.Event) bool {
	switch event.Detail {
	case record.Broken:
		return c.wasKilled(withoutIncarnation(event.Dispatcher), a.sentAt, event.At)
	case record.TimedOut:
		// A client whose event loop was delayed around its time limit may have received the answer without reading it.
		due := a.sentAt + a.timeLimit
		if a.timeLimit > 0 && c.delayWithin(record.ClientsLoop, due-c.slack, event.At) > 0 {
			return true
		}
		// A dispatcher that was frozen when the request arrived counts the client's time limit from the time at which it
		// read the request.
		return c.wasKilled(withoutIncarnation(event.Dispatcher), a.sentAt, event.At) ||
			c.wasFrozen(event.Dispatcher, a.sentAt) || c.wasFrozen(event.Dispatcher, event.At)
	}
	return false
}
