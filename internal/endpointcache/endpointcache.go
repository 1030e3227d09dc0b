// Package endpointcache decides how far a list of endpoints is trusted that may be out of date: a cached one that a
// process starts with, and one from discovery that suddenly leaves most endpoints out. Its job is the policy: freshness
// levels, the staged roll-in of an old list, and the delay of removals. It is free of I/O and owns no state; it never
// sees the network or the disk.
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
	hour               = 3600 * second

	freshAge = 30 * second // up to this age a list is used as it is
	staleAge = 6 * hour    // up to this age its endpoints are treated with care; beyond it they are rolled in by stages

	batchInterval = 700 * millisecond // between two stages of a roll-in
	batchCount    = 4

	// A complete list that leaves out more than this part of the ready endpoints is doubted.
	suspiciousLoss = 0.5
	// The part of the drain grace for which that is doubted.
	doubtShare = 0.6
)

// Freshness is how far a cached list is trusted.
type Freshness uint8

const (
	// Fresh lists are used as they are.
	Fresh Freshness = iota
	// Stale lists may name endpoints that have restarted or are gone: all are treated as just started.
	Stale
	// Old lists are treated like stale ones, and only a part of their endpoints is used at a time.
	Old
)

var freshnessNames = [...]string{Fresh: "fresh", Stale: "stale", Old: "old"}

func (f Freshness) String() string { return freshnessNames[f] }

// FreshnessOf returns how far a list that was saved at a time is trusted now. A time in the future, or none, says
// nothing of the list's age; such a list counts as stale.
func FreshnessOf(now, savedAt Micros) Freshness {
	age := now - savedAt
	switch {
	case savedAt <= 0 || age < 0:
		return Stale
	case age <= freshAge:
		return Fresh
	case age <= staleAge:
		return Stale
	}
	return Old
}

// Endpoint is what matters here of an entry.
type Endpoint struct {
	ID        uint32
	Group     string // endpoints of one group, as of one zone and kind, can replace each other
	StartedAt Micros
}

// Batch is one stage of a roll-in.
type Batch struct {
	Delay     Micros // after the start of the process
	Endpoints []Endpoint
}

// Plan divides a cached list into batches. Each batch of an old list has its part of every group, so that prefill and
// decode endpoints are there from the first one on. Endpoints that no longer exist cost failed connections, and the
// batches spread these.
func Plan(now Micros, freshness Freshness, endpoints []Endpoint) []Batch {
	if freshness == Fresh {
		return []Batch{{Endpoints: endpoints}}
	}
	justStarted := slices.Clone(endpoints)
	for i := range justStarted {
		justStarted[i].StartedAt = now
	}
	if freshness == Stale {
		return []Batch{{Endpoints: justStarted}}
	}
	return divide(justStarted)
}

// divide deals the endpoints of each group to the batches in turn; empty batches are left out.
func divide(endpoints []Endpoint) []Batch {
	batches := make([]Batch, batchCount)
	for i := range batches {
		batches[i].Delay = Micros(i) * batchInterval
	}
	dealt := map[string]int{} // by group
	for _, endpoint := range endpoints {
		batch := &batches[dealt[endpoint.Group]%batchCount]
		batch.Endpoints = append(batch.Endpoints, endpoint)
		dealt[endpoint.Group]++
	}
	return slices.DeleteFunc(batches, func(batch Batch) bool { return len(batch.Endpoints) == 0 })
}

// RemovalDelay returns for how long endpoints that a complete list leaves out are still used: discovery that has just
// restarted may not know them yet. What a list says of an endpoint by name takes effect at once. The delay ends within
// the drain grace, so that nothing new goes to an endpoint later than that after it was left out.
func RemovalDelay(ready, missing int, drainGrace Micros) Micros {
	if ready < 2 || float64(missing) <= suspiciousLoss*float64(ready) {
		return 0
	}
	return Micros(doubtShare * float64(drainGrace))
}
