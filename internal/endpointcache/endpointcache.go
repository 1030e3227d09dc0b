// Package endpointcache implements the policy for endpoint lists that may be wrong: a cached list that a process starts
// with, and a list from discovery in which most endpoints are suddenly missing. It classifies cached lists by their
// age, divides an old list into batches that are put into use one after another, and determines how long removals are
// delayed. It does no I/O and has no state.
package endpointcache

import (
	"slices"

	"plumspindle/scheduler/timerqueue"
)

// Micros is a time or a duration in whole microseconds.
type Micros = timerqueue.Micros

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
	hour               = 3600 * second

	maxFreshAge = 30 * second // maximum age of a fresh list
	maxStaleAge = 6 * hour    // maximum age of a stale list; an older list is old

	batchInterval = 700 * millisecond // between two batches of an old list
	batchCount    = 4

	// suspiciousMissingShare is a share of the ready endpoints. If a larger share is missing from a complete list, the
	// list may be wrong, and the removal of the missing endpoints is delayed.
	suspiciousMissingShare = 0.5
	// removalDelayShare is the delay of a suspicious removal as a share of the drain grace.
	removalDelayShare = 0.6
)

// Freshness classifies a cached list by how far it is trusted.
type Freshness uint8

const (
	// Fresh lists are used without changes.
	Fresh Freshness = iota
	// Stale lists may name endpoints that have restarted or no longer exist, so all endpoints are treated as just
	// started.
	Stale
	// Old lists are treated like stale ones, and their endpoints are also put into use in batches.
	Old
)

var freshnessNames = [...]string{Fresh: "fresh", Stale: "stale", Old: "old"}

func (f Freshness) String() string { return freshnessNames[f] }

// FreshnessOf returns the freshness of a list that was saved at the time savedAt. A list without a time, or with one in
// the future, has an unknown age and is stale.
func FreshnessOf(now, savedAt Micros) Freshness {
	age := now - savedAt
	switch {
	case savedAt <= 0 || age < 0:
		return Stale
	case age <= maxFreshAge:
		return Fresh
	case age <= maxStaleAge:
		return Stale
	}
	return Old
}

// Endpoint is an endpoint of a cached list.
type Endpoint struct {
	ID        uint32
	Group     string // endpoints of the same group, such as the same zone and kind, are interchangeable
	StartedAt Micros
}

// Batch is a set of endpoints that are put into use at the same time.
type Batch struct {
	Delay     Micros // from the start of the process
	Endpoints []Endpoint
}

// Plan divides a cached list into batches: one for a fresh or stale list, several for an old one. Each batch of an old
// list contains a share of every group, so that prefill and decode endpoints are available from the first batch on.
// Endpoints that no longer exist cause failed connections, which the batches spread over time.
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
	return splitIntoBatches(justStarted)
}

// splitIntoBatches assigns the endpoints of each group to the batches in turn (round robin). It omits empty batches.
func splitIntoBatches(endpoints []Endpoint) []Batch {
	batches := make([]Batch, batchCount)
	for i := range batches {
		batches[i].Delay = Micros(i) * batchInterval
	}
	assigned := map[string]int{} // number of endpoints, by group
	for _, endpoint := range endpoints {
		batch := &batches[assigned[endpoint.Group]%batchCount]
		batch.Endpoints = append(batch.Endpoints, endpoint)
		assigned[endpoint.Group]++
	}
	return slices.DeleteFunc(batches, func(batch Batch) bool { return len(batch.Endpoints) == 0 })
}

// RemovalDelay returns how long endpoints that are missing from a complete list are still used. Many may be missing
// because discovery has just restarted and does not know them yet. Entries of endpoints that the list does contain take
// effect immediately. The delay is shorter than the drain grace, so that an endpoint receives no new requests once the
// drain grace has passed since it went missing.
func RemovalDelay(ready, missing int, drainGrace Micros) Micros {
	if ready < 2 || float64(missing) <= suspiciousMissingShare*float64(ready) {
		return 0
	}
	return Micros(removalDelayShare * float64(drainGrace))
}
