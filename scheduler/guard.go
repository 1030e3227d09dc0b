package scheduler

import "fmt"

// Violations is how many attempts were refused in the last moment because they would have broken a rule. It
// stays 0 unless a decision is wrong.
func (d *Scheduler) Violations() int { return d.violations }

// refuse looks at an attempt once more where it is sent, whatever chose it: the rules on repeats, on hosts
// that want nothing new and on cold hosts bind on every path.
func (d *Scheduler) refuse(g *request, h *host) bool {
	why := ""
	switch {
	case g.out != nil:
		why = "an attempt is out"
	case g.answered:
		why = "it is answered"
	case !h.ready:
		why = "the host wants nothing new"
	case !d.mayRepeat(g, h):
		why = "a repeat there could do harm"
	case !d.bears(h):
		why = "the host is cold and bears no more"
	default:
		return false
	}
	d.violations++
	d.orders.Log(fmt.Sprintf("rule kept in the last moment: request %d to host %d: %s", g.id, h.id, why))
	return true
}
