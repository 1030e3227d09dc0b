package scheduler

// Violations is how many attempts the guard stopped because they would have broken a rule. It stays 0 unless a
// decision is wrong.
func (s *Scheduler) Violations() int { return s.violations }

// blocked checks the rules once more where an attempt is sent, so that they hold on every path through the decisions.
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
