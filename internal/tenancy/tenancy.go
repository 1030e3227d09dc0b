// Package tenancy decides what each tenant may do.
//
// Registry, in the administration, holds the tenants with their limits and keys. Directory is a dispatcher's copy of
// the registry and authenticates keys. AdmissionController, in each dispatcher, enforces that dispatcher's equal share
// of all limits and quotas: it admits, queues or rejects requests. UsageMeter, in each dispatcher, and UsageLedger, in
// the administration, count usage.
//
// All of them are state machines without I/O, a clock or goroutines: callers pass the time and make all calls on one
// event loop. The scheduler places the admitted requests, and applies quotas of its own to them. The package never
// stores a key, only its MAC.
package tenancy

import "plumspindle/scheduler/timerqueue"

// Micros is a time or a duration in whole microseconds.
type Micros = timerqueue.Micros

const second Micros = 1_000_000

// ID identifies a tenant within one epoch of the registry. A new tenant with the name of a removed one gets another ID.
type ID uint32

// Limits apply to a tenant, to one of its keys or to one of its products, over all dispatchers together. 0 means no
// limit, unless the field has another default.
type Limits struct {
	QuotaPerS       float64 `json:"share_per_s,omitempty"`    // requests a second with priority over those above the quota
	Weight          float64 `json:"weight,omitempty"`         // of a tenant among queued over-quota requests; 1 by default
	RequestsPerS    float64 `json:"per_s,omitempty"`          // maximum rate of requests
	TokensPerS      float64 `json:"tokens_per_s,omitempty"`   // maximum rate of prompt and output tokens
	BurstS          float64 `json:"burst_s,omitempty"`        // seconds of both rates that may come at once; 1 by default
	MaxConcurrent   int     `json:"concurrent,omitempty"`     // maximum number of requests at once
	MaxPromptTokens int     `json:"largest_prompt,omitempty"` // maximum number of prompt tokens
	MaxQueued       int     `json:"waiting,omitempty"`        // maximum number of queued requests; 200 by default
}
