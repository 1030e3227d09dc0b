// Package endpointcache decides how far a list of hosts is believed that did not come from discovery just now: one that was kept on
// disk, and one from discovery that suddenly leaves most of the fleet out. It is free of I/O.
package endpointcache

import (
	"slices"

	"plumspindle/scheduler/timerqueue"
)

// Micros is a time or a span in whole microseconds.
type Micros = timerqueue.Micros

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond

	freshFor  = 30 * second       // a list this young is used as it is
	staleFor  = 6 * 3600 * second // one this old is used with all care; an older one on trial
	waveEvery = 700 * millisecond // a part of an old list is tried each
	waves     = 4                 // so many parts
	lossShare = 0.5               // of the hosts known ready; a list that leaves more out is doubted
	doubtPart = 0.6               // of the drain grace, for which that is
)

// Freshness is how far a kept list is believed.
type Freshness uint8

const (
	Fresh Freshness = iota // as it is
	Stale                  // each host may have restarted since, or be gone: as if it had just started
	Old                    // the same, and only a part of the hosts at a time
)

var names = [...]string{"fresh", "stale", "old"}

func (t Freshness) String() string { return names[t] }

// FreshnessOf tells how far a list that was kept at a time is believed now. A time that lies ahead, or none, says nothing about
// its age; such a list is taken to be stale.
func FreshnessOf(now, kept Micros) Freshness {
	switch age := now - kept; {
	case kept <= 0 || age < 0:
		return Stale
	case age <= freshFor:
		return Fresh
	case age <= staleFor:
		return Stale
	}
	return Old
}

// Endpoint is what of a host matters here.
type Endpoint struct {
	ID        uint32
	Group     string // hosts of one group can stand in for each other: one zone and kind
	StartedAt Micros
}

// Batch is a part of a list and how long after the start it is used.
type Batch struct {
	Delay     Micros
	Endpoints []Endpoint
}

// Plan parts a kept list into waves. Each of an old one has its part of every group, so that there are readers and writers
// from the first on; hosts that are dead cost failed connections, and a whole fleet of them would cost all of them at once.
func Plan(now Micros, trust Freshness, hosts []Endpoint) []Batch {
	if trust == Fresh {
		return []Batch{{0, hosts}}
	}
	careful := slices.Clone(hosts)
	for i := range careful {
		careful[i].StartedAt = now
	}
	if trust == Stale {
		return []Batch{{0, careful}}
	}
	parts := make([]Batch, waves)
	seen := map[string]int{}
	for i := range parts {
		parts[i].Delay = Micros(i) * waveEvery
	}
	for _, h := range careful {
		n := seen[h.Group] % waves
		seen[h.Group]++
		parts[n].Endpoints = append(parts[n].Endpoints, h)
	}
	return slices.DeleteFunc(parts, func(w Batch) bool { return len(w.Endpoints) == 0 })
}

// RemovalDelay tells for how long it is not believed that hosts are gone because a whole list leaves them out: discovery that has
// just restarted knows none yet. What a list says of a host by name is believed at once, and the doubt ends within the
// drain grace, so that nothing new goes to a host later than that after it was left out.
func RemovalDelay(ready, missing int, grace Micros) Micros {
	if ready < 2 || float64(missing) <= lossShare*float64(ready) {
		return 0
	}
	return Micros(doubtPart * float64(grace))
}
