package scheduler

import "fmt"

// Violations is how many attempts were refused in the last moment because they would have broken a rule. It
// stays 0 unless a decision is wrong.
func (s *Scheduler) Violations() int { return s.violations }

// refuse looks at an attempt once more where it is sent, whatever chose it: the rules on repeats, on hosts
// that want nothing new and on cold hosts bind on every path.
func (s *Scheduler) refuse(req *request, ep *endpoint) bool {
	why := ""
	switch {
	case req.out != nil:
		why = "an attempt is out"
	case req.answered:
		why = "it is answered"
	case !ep.ready:
		why = "the host wants nothing new"
	case !s.mayRepeat(req, ep):
		why = "a repeat there could do harm"
	case !s.bears(ep):
		why = "the host is cold and bears no more"
	default:
		return false
	}
	s.violations++
	s.executor.Log(fmt.Sprintf("rule kept in the last moment: request %d to host %d: %s", req.id, ep.id, why))
	return true
}
