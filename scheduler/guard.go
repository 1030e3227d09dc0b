package scheduler

// Violations returns the number of attempts that the guard blocked because they would have broken a rule. Any value
// above 0 shows a bug in the scheduler.
func (s *Scheduler) Violations() int { return s.violations }

// blocked reports whether an attempt would break a rule. The check is repeated immediately before each send, because
// the rules must hold whichever code path chose the endpoint.
func (s *Scheduler) blocked(req *request, ep *endpoint) bool {
	var rule Rule
	switch {
	case req.attempt != nil:
		rule = SingleAttempt
	case req.answered:
		rule = NotAnswered
	case !ep.ready:
		rule = EndpointReady
	case !s.mayRetry(req, ep):
		rule = SafeRetry
	case !s.slowStartAllows(ep):
		rule = WarmUpProtected
	default:
		return false
	}
	s.violations++
	s.executor.Log(SendBlocked{Request: req.id, Endpoint: ep.id, Rule: rule})
	return true
}
