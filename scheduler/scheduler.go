// Package scheduler decides where the requests of one dispatcher go: which endpoint prefills a prompt, which endpoint
// decodes the answer, which requests are queued or retried, and which requests are rejected or failed.
//
// The caller reports each event by one method call with the current time (RequestArrived, AttemptStarted, AttemptEnded,
// ClientDisconnected, RequestWithdrawn, QuotaChanged, EndpointUpdated and EndpointUpdateEnded, EndpointWatchFailed,
// TimerFired). During that call the scheduler calls Executor for each action that the caller is to carry out. A
// Scheduler reads no clock, does no input or output, starts no goroutine and is not safe for concurrent use. The same
// events and seed always give the same actions.
//
// A request usually takes this path. When it arrives, it is sent to an affinity endpoint of its prefix for the prefill,
// or queued until a decode endpoint has capacity. After the prefill it is sent to a decode endpoint with low memory
// usage, and it ends when its answer is complete.
package scheduler

import (
	"math/rand"
)

// Scheduler schedules the requests of one dispatcher. Instances share no state.
type Scheduler struct {
	Config
	now      Micros
	executor Executor
	rand     *rand.Rand
	timers   timers

	requests  map[RequestID]*request
	queue     requestQueue
	quotas    quotas
	endpoints endpointList

	prefixes         prefixStats
	links            linkHealth
	connectFailures  decayingMean // share of the attempts that needed a new connection and could not open one
	estimates        estimates
	warmThroughput   []warmThroughput // by kind
	prefillingTokens float64          // tokens that the requests being prefilled will reserve at decode endpoints

	scratch    scratch
	violations int    // number of attempts that the guard blocked
	examined   uint64 // number of endpoints that decisions examined; tests check how it grows with the fleet
}

// New returns a scheduler without endpoints. It asks for the endpoint list if Config.WatchOnDemand is set.
func New(now Micros, seed int64, config Config, executor Executor) *Scheduler {
	s := &Scheduler{
		Config:    config,
		now:       now,
		executor:  executor,
		rand:      rand.New(rand.NewSource(seed)),
		requests:  map[RequestID]*request{},
		endpoints: endpointList{byID: map[EndpointID]*endpoint{}},
		quotas:    newQuotas(now, config.Quotas, config.Dispatchers),
		prefixes:  newPrefixStats(),
		links:     linkHealth{lastLateAt: map[CellID]Micros{}, handoverDelay: map[CellID]decayingMean{}},
		estimates: newEstimates(len(config.Classes)),

		warmThroughput: make([]warmThroughput, len(config.Kinds)),
	}
	if s.WatchOnDemand {
		executor.WatchEndpoints()
	}
	executor.SetTimer(periodicInterval, PeriodicTimer)
	return s
}

// InFlight returns the counts of what is in flight now.
func (s *Scheduler) InFlight() InFlight {
	attempts := 0
	for _, req := range s.requests {
		if req.attempt != nil {
			attempts++
		}
	}
	return InFlight{
		Requests:      len(s.requests),
		Attempts:      attempts,
		Queued:        s.queue.length(),
		PrefillTokens: s.prefillingTokens,
	}
}

// otherDispatchers is the number of other dispatchers that send to the same endpoints.
func (s *Scheduler) otherDispatchers() int { return max(s.Dispatchers-1, 0) }
