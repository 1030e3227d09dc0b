package faultsearch

import (
	"bytes"
	"slices"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/scenarios"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

// Mutants returns the defects that can be injected into the program itself. The audit's rules, the dispatchers'
// invariants or the other checks of Run have to detect each of them. Mutants count the calls that they intercept, so
// each run needs a set of its own.
//
// The command line selects a mutant by its name or its position, so names and order must not change. Some names use
// older terms: a "state" is a prompt state that Release frees, a "leg" is an attempt, "throttled" means rejected,
// "terminated" means failed, the "beat" is the scheduler's timers, "cold" and "warm" endpoints are those during and
// after slow start, "credit" is the load that a cold endpoint may get, "repeats" are attempts that an endpoint
// recognises as already run, and "hosts" are endpoints.
func Mutants() []*scenarios.Mutant {
	return slices.Concat(executorMutants(), updateMutants(), configMutants(), loopMutants(), storeMutants())
}

// everyNth returns a function that returns true on every nth call and false on all others.
func everyNth(n int) func() bool {
	calls := 0
	return func() bool {
		calls++
		return calls%n == 0
	}
}

// executorMutants returns mutants that drop or replace orders of the scheduler.
func executorMutants() []*scenarios.Mutant {
	return []*scenarios.Mutant{
		executorMutant("a state is never let go", func(e *interceptingExecutor) {
			e.release = func(scheduler.RequestID) {}
		}),
		executorMutant("every third state is not let go", func(e *interceptingExecutor) {
			third := everyNth(3)
			e.release = func(request scheduler.RequestID) {
				if !third() {
					e.Executor.Release(request)
				}
			}
		}),
		executorMutant("a throttling is forgotten", func(e *interceptingExecutor) {
			e.reject = func(scheduler.RequestID, scheduler.Micros) {}
		}),
		executorMutant("a termination is forgotten", func(e *interceptingExecutor) {
			e.fail = func(scheduler.RequestID) {}
		}),
		executorMutant("throttled in place of terminated", func(e *interceptingExecutor) {
			e.fail = func(request scheduler.RequestID) { e.Executor.Reject(request, 200*eventloop.Millisecond) }
		}),
		executorMutant("a cancel is forgotten", func(e *interceptingExecutor) {
			e.cancel = func(scheduler.RequestID, scheduler.AttemptNumber) {}
		}),
		executorMutant("the beat stops", func(e *interceptingExecutor) {
			const workingTimers = 39
			timers := 0
			e.setTimer = func(after scheduler.Micros, timer scheduler.TimerID) {
				if timers++; timers <= workingTimers {
					e.Executor.SetTimer(after, timer)
				}
			}
		}),
		executorMutant("a leg in thirty is not sent", func(e *interceptingExecutor) {
			thirtieth := everyNth(30)
			e.send = func(request scheduler.RequestID, endpoint scheduler.EndpointID, timeout scheduler.Micros) {
				if !thirtieth() {
					e.Executor.Send(request, endpoint, timeout)
				}
			}
		}),
	}
}

// updateMutants returns mutants that hide drains, ends and restarts of endpoints from a dispatcher.
func updateMutants() []*scenarios.Mutant {
	return []*scenarios.Mutant{
		updateMutant("drains are not heard", func(entries []endpoints.Entry) []endpoints.Entry {
			for i := range entries {
				if entries[i].Condition == endpoints.Draining {
					entries[i].Condition = endpoints.Ready
				}
			}
			return entries
		}),
		updateMutant("ends are not heard", func(entries []endpoints.Entry) []endpoints.Entry {
			return slices.DeleteFunc(slices.Clone(entries),
				func(entry endpoints.Entry) bool { return entry.Condition == endpoints.Gone })
		}),
		updateMutant("starts are not heard", func(entries []endpoints.Entry) []endpoints.Entry {
			for i := range entries {
				entries[i].StartedAt = 0
			}
			return entries
		}),
	}
}

// configMutants returns mutants that weaken slow start or allow retries that can run a request twice.
func configMutants() []*scenarios.Mutant {
	return []*scenarios.Mutant{
		configMutant("cold hosts are taken for warm", func(config *scheduler.Config) { config.WarmUp = 0 }),
		configMutant("cold credit is ten times as much", func(config *scheduler.Config) { config.OverloadFactor *= 10 }),
		configMutant("side effects are taken for none", func(config *scheduler.Config) {
			for i := range config.Classes {
				if config.Classes[i].Effect == scheduler.NonIdempotent {
					config.Classes[i].Effect = scheduler.Idempotent
				}
			}
		}),
		configMutant("repeats are dropped everywhere, it is thought", func(config *scheduler.Config) {
			for i := range config.Classes {
				config.Classes[i].Group = scheduler.AllEndpoints
			}
		}),
		configMutant("repeats are dropped for ever, it is thought", func(config *scheduler.Config) {
			for i := range config.Classes {
				config.Classes[i].DedupWindow *= 100
			}
		}),
	}
}

// loopMutants returns mutants that lose timers, and that lose or repeat writes to clients.
func loopMutants() []*scenarios.Mutant {
	lastEvent := []byte("data: [DONE]")
	return []*scenarios.Mutant{
		loopMutant("one timer in two hundred is lost", func(loop *interceptingLoop) { loop.loseTimer = everyNth(200) }),
		loopMutant("the end of a stream is sent twice", func(loop *interceptingLoop) {
			loop.write = func(conn eventloop.Conn, data []byte) {
				conn.Write(data)
				if bytes.Contains(data, lastEvent) {
					conn.Write(data)
				}
			}
		}),
		loopMutant("a stream loses what is in one write of fifty", func(loop *interceptingLoop) {
			fiftieth := everyNth(50)
			loop.write = func(conn eventloop.Conn, data []byte) {
				if !fiftieth() {
					conn.Write(data)
				}
			}
		}),
		loopMutant("what is sent is sent again now and then", func(loop *interceptingLoop) {
			fortieth := everyNth(40)
			loop.write = func(conn eventloop.Conn, data []byte) {
				conn.Write(data)
				if fortieth() {
					conn.Write(data)
				}
			}
		}),
	}
}

// storeMutants returns mutants that break the durable record of requests that may have run.
func storeMutants() []*scenarios.Mutant {
	return []*scenarios.Mutant{
		{Name: "intents are not kept", Run: func(run *scenarios.Run) { run.StoreIntents = false }},
		{Name: "the disk answers before it has written", Disk: func(disk *virtual.Disk) { disk.AcknowledgesEarly = true }},
	}
}
