package soak

import (
	"fmt"
	"math/rand"
	"syscall"
	"time"
)

// trouble is one kind; do begins it and tells whether it could.
type trouble struct {
	name string
	do   func(r *run, lasts time.Duration) bool
}

func pick[T any](chance *rand.Rand, list []T) T { return list[chance.Intn(len(list))] }

// Texts of troubles that the audit knows.
const (
	cutOffText          = "cut off from the hosts"
	lateText            = "connections come up late"
	discoverySilentText = "discovery silent"
)

// holdUp is for how long a dispatcher may be held up.
const holdUp = 140 * time.Millisecond

var troubles = []trouble{
	{"a dispatcher is stopped and started again", func(r *run, _ time.Duration) bool {
		d := pick(r.chance, r.dispatchers)
		if !d.mu.TryLock() {
			return false // it is being stopped
		}
		d.mu.Unlock()
		r.stops.Go(func() { r.stop(d, true) })
		return true
	}},
	{"a dispatcher is killed and started again", func(r *run, _ time.Duration) bool {
		d := pick(r.chance, r.dispatchers)
		if !d.mu.TryLock() {
			return false
		}
		defer d.mu.Unlock()
		if r.chance.Intn(2) == 0 { // planned restarts are more common
			return false
		}
		r.kill(d)
		r.restart(d)
		return true
	}},
	{"a new configuration moves discovery", func(r *run, _ time.Duration) bool {
		d := pick(r.chance, r.dispatchers)
		if !d.mu.TryLock() {
			return false
		}
		defer d.mu.Unlock()
		if now()-d.startedAt < time.Second.Microseconds() {
			return false
		}
		for range 1 + r.chance.Intn(2) {
			r.discovery[d.number] = 1 - r.discovery[d.number]
			if err := r.writeConfig(d); err != nil {
				return false
			}
			_ = d.signal(syscall.SIGHUP)
		}
		return true
	}},
	{"a dispatcher is held up", func(r *run, _ time.Duration) bool {
		d := pick(r.chance, r.dispatchers)
		if !d.mu.TryLock() {
			return false
		}
		p := d.process.cmd.Process
		d.mu.Unlock()
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(r.chance.Int63n(int64(holdUp))))
		_ = p.Signal(syscall.SIGCONT)
		return true
	}},
	{"a dispatcher has no descriptors", func(r *run, lasts time.Duration) bool {
		d := pick(r.chance, r.dispatchers)
		if !d.mu.TryLock() {
			return false
		}
		pid := d.process.cmd.Process.Pid
		d.mu.Unlock()
		return fewDescriptors(pid, lasts) == nil
	}},
	{"idle clients crowd in", func(r *run, lasts time.Duration) bool {
		pick(r.chance, r.clients).order("crowd %s %s", pick(r.chance, r.dispatchers).listen, lasts)
		return true
	}},
	{"a dispatcher is cut off from the hosts", func(r *run, lasts time.Duration) bool {
		d := r.chance.Intn(len(r.proxies))
		r.begin(Event{Text: cutOffText, Dispatcher: fmt.Sprint(d + 1)}, lasts)
		r.proxies[d].order("silent %s", lasts)
		return true
	}},
	{"connections to hosts come up late", func(r *run, lasts time.Duration) bool {
		d := r.chance.Intn(len(r.proxies))
		r.begin(Event{Text: lateText, Dispatcher: fmt.Sprint(d + 1)}, lasts)
		r.proxies[d].order("late %s", lasts)
		return true
	}},
	{"bytes come in pieces", func(r *run, lasts time.Duration) bool {
		pick(r.chance, r.proxies).order("pieces %s", lasts)
		return true
	}},
	{"connections to hosts are reset", func(r *run, _ time.Duration) bool {
		pick(r.chance, r.proxies).order("reset")
		return true
	}},
	{"a host hangs", func(r *run, lasts time.Duration) bool {
		pick(r.chance, r.hosts).order("silent %s", lasts)
		return true
	}},
	{"a host declines all", func(r *run, lasts time.Duration) bool {
		pick(r.chance, r.hosts).order("decline %s", lasts)
		return true
	}},
	{"a host is killed and started again", func(r *run, _ time.Duration) bool {
		h := r.chance.Intn(len(r.hosts))
		if r.drained[h] {
			return false
		}
		return r.restartHost(h) == nil
	}},
	{"a host drains", func(r *run, _ time.Duration) bool {
		h := r.chance.Intn(len(r.hosts))
		kind, many := 0, r.Prefills
		if h >= r.Prefills {
			kind, many = 1, r.Decodes
		}
		if r.drained[h] || 3*(r.drains[kind]+1) > many {
			return false
		}
		r.drained[h] = true
		r.drains[kind]++
		r.tell(h, "DRAINING")
		return true
	}},
	{"discovery is silent", func(r *run, lasts time.Duration) bool {
		r.begin(Event{Text: discoverySilentText}, lasts)
		pick(r.chance, r.agents).order("silent %s", lasts)
		return true
	}},
	{"watches fall silent", func(r *run, _ time.Duration) bool {
		pick(r.chance, r.agents).order("mute")
		return true
	}},
	{"watches are reset", func(r *run, _ time.Duration) bool {
		pick(r.chance, r.agents).order("reset")
		return true
	}},
}

// String describes a report in a few lines.
func (r *Report) String() string {
	text := fmt.Sprintf("%d requests over %d processes, troubles %v", r.Requests, r.Processes, r.Faults)
	for _, f := range r.Findings {
		text += "\n  " + f.String()
	}
	for _, v := range r.Violations {
		text += "\n  guard: " + v
	}
	return text
}
