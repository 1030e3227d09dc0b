// Package tenancy decides what each tenant may do.
//
// It owns three things. Registry, at the administration, has the tenants with their limits and keys;
// Directory is a dispatcher's copy of it, which authenticates keys. AdmissionController, in each dispatcher,
// enforces its even part of all limits and quotas: it admits, queues or rejects requests. UsageMeter and
// UsageLedger count what was used.
//
// All of them are state machines without I/O, a clock or goroutines: callers pass the time and make all calls
// on one event loop. What becomes of an admitted request is decided by the scheduler, which applies quotas of its
// own. The package never stores a key, only its MAC.
package tenancy

import "plumspindle/scheduler/timerqueue"

// Micros is a time or a span in whole microseconds.
type Micros = timerqueue.Micros

const second Micros = 1_000_000

// ID identifies a tenant within one epoch of the registry. A name that is used again gets another ID.
type ID uint32

// Limits are what a tenant, one of its keys or one of its products may do, over all dispatchers together. 0 is no
// limit.
type Limits struct {
	QuotaPerS     float64 `json:"share_per_s,omitempty"`    // requests a second that come before all others' surplus
	Weight        float64 `json:"weight,omitempty"`         // of its turns beyond its quota; 1 if not given
	PerS          float64 `json:"per_s,omitempty"`          // requests a second, at most
	TokensPerS    float64 `json:"tokens_per_s,omitempty"`   // of prompts and answers, at most
	BurstS        float64 `json:"burst_s,omitempty"`        // seconds of both rates that may come at once; 1 if not given
	Concurrent    int     `json:"concurrent,omitempty"`     // requests at once
	LargestPrompt int     `json:"largest_prompt,omitempty"` // tokens
	Waiting       int     `json:"waiting,omitempty"`        // requests that may be queued; 200 if not given
}
