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

// Mutants returns the faults that can be injected into the program itself: each is one that the rules, the checks of
// the dispatchers' own state or the record have to find. Mutants count the calls that they intercept, so each run needs
// its own. Their order and names are what the command line knows them by.
func Mutants() []*scenarios.Mutant {
	return slices.Concat(executorMutants(), updateMutants(), configMutants(), loopMutants(), storeMutants())
}

// everyNth returns a function that returns true at each nth call.
func everyNth(n int) func() bool {
	calls := 0
	return func() bool {
		calls++
		return calls%n == 0
	}
}

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
			e.cancel = func(scheduler.RequestID, scheduler.AttemptNo) {}
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
			e.send = func(request scheduler.RequestID, endpoint scheduler.EndpointID, allowance scheduler.Micros) {
				if !thirtieth() {
					e.Executor.Send(request, endpoint, allowance)
				}
			}
		}),
	}
}

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
				config.Classes[i].Window *= 100
			}
		}),
	}
}

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

func storeMutants() []*scenarios.Mutant {
	return []*scenarios.Mutant{
		{Name: "intents are not kept", Run: func(run *scenarios.Run) { run.Intents = false }},
		{Name: "the disk answers before it has written", Disk: func(disk *virtual.Disk) { disk.AcknowledgesEarly = true }},
	}
}
