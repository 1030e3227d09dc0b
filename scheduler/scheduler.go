// Package scheduler decides where the requests of one dispatcher go: which prefill endpoint reads a prompt, which
// decode endpoint answers it, which requests are queued or retried, and which final answer each gets.
//
// Its caller reports each event by one method call with the time now (RequestArrived, AttemptStarted, AttemptEnded,
// ClientDisconnected, RequestWithdrawn, QuotaChanged, EndpointUpdated and EndpointUpdateEnded, EndpointWatchFailed,
// TimerFired) and carries out what the scheduler orders through Executor before that call returns. The package owns
// the state of one instance. It reads no clock, does no input or output, starts no goroutine and is not safe for
// concurrent use: the same events and seed give the same orders.
//
// A request is placed when it arrives (or queued until a decode endpoint fits), prefilled at an affinity endpoint of
// its prefix, decoded at the least filled decode endpoint that fits, and ends when its answer is complete.
package scheduler

import (
	"math/rand"
)

// Scheduler is one instance. It shares nothing with any other.
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

	prefixes        prefixStats
	links           linkHealth
	connectFailures decayingMean // share of the attempts without an open connection that could not open one
	estimates       estimates
	warmThroughput  [roleCount]float64 // tokens a second that a warm endpoint of each role was last seen to complete
	prefilling      float64            // tokens that the requests being prefilled will reserve at decode endpoints

	scratch    scratch
	violations int    // attempts that the guard stopped
	examined   uint64 // endpoints that decisions looked at; tests compare it with the size of the fleet
}

// New returns an instance without endpoints. It asks for the endpoint list if WatchOnDemand is set.
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
	}
	if s.WatchOnDemand {
		executor.WatchEndpoints()
	}
	executor.SetTimer(periodicInterval, PeriodicTimer)
	return s
}

// InFlight returns what is in flight now.
func (s *Scheduler) InFlight() InFlight {
	attempts := 0
	for _, req := range s.requests {
		if req.attempt != nil {
			attempts++
		}
	}
	return InFlight{Requests: len(s.requests), Attempts: attempts, Queued: s.queue.length(), PrefillTokens: s.prefilling}
}

// otherDispatchers is how many dispatchers send to the same endpoints.
func (s *Scheduler) otherDispatchers() int { return max(s.Dispatchers-1, 0) }
