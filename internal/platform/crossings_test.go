package platform

import (
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// TestRepeatAfterALongRelease: a repeat that waits for a release and then for a connection does not arrive after its window.
func TestRepeatAfterALongRelease(t *testing.T) {
	const window = 300 * eventloop.Millisecond
	text := strings.Replace(usualSettings, `"repeat": "non_idempotent"`, `"repeat": "idempotency_key", "group": "all", "window": 300000000`, 1)
	text = strings.Replace(text, `"let_go_by"`, `"local_read": true, "let_go_by"`, 1)
	r := newRigAt(t, text, 256, fleet...)
	var first eventloop.Micros
	met := 0
	all(r.writers(), func(l *line) {
		switch met++; met {
		case 1: // it may have run
			first = r.w.Now()
			l.conn.Abort()
		case 2: // where the state is gone: it is released, and the next attempt waits for that
			r.agent.tell(false, r.hosts[0].entry("DRAINING"), r.hosts[1].entry("DRAINING")) // so that a decode host reads the prompt too
			l.h.loop.After(2*r.w.Latency, func() { l.answer(410, "", "Srv-Declined", "1", "Connection", "close") })
		default:
			if late := r.w.Now() - first; late > window {
				t.Errorf("a repeat arrived %d ms after the first attempt", late/eventloop.Millisecond)
			}
			write(l)
		}
	})
	for _, h := range r.hosts {
		h.slack = eventloop.Second
	}
	c := r.ask("post")
	r.until(eventloop.Second, "a release", func() bool { return r.releases() > 0 })
	r.w.Run(120 * eventloop.Millisecond)
	for _, h := range r.hosts { // the release arrives at last, and what follows it needs a new connection, which is slow to come up
		h.slack, h.after = 0, func() { r.w.Latency = 60 * eventloop.Millisecond }
		h.loop.Do(func() {
			for _, l := range h.lines {
				l.conn.Abort()
			}
		})
	}
	r.final(c)
	if met < 2 {
		t.Errorf("%d attempts", met)
	}
	r.quiet()
}
