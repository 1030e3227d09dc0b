package faultsearch

import (
	"plumspindle/internal/dispatch"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/scenarios"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

// interceptingExecutor passes the scheduler's orders to the dispatcher's executor. Each method calls the function in
// the field of the same name: the method of the dispatcher's executor, unless a mutant has replaced it.
type interceptingExecutor struct {
	scheduler.Executor
	send     func(request scheduler.RequestID, endpoint scheduler.EndpointID, timeout scheduler.Micros)
	reject   func(request scheduler.RequestID, retryAfter scheduler.Micros)
	fail     func(request scheduler.RequestID)
	cancel   func(request scheduler.RequestID, attempt scheduler.AttemptNumber)
	release  func(request scheduler.RequestID)
	setTimer func(after scheduler.Micros, timer scheduler.TimerID)
}

func newInterceptingExecutor(original scheduler.Executor) *interceptingExecutor {
	return &interceptingExecutor{Executor: original, send: original.Send, reject: original.Reject, fail: original.Fail,
		cancel: original.Cancel, release: original.Release, setTimer: original.SetTimer}
}

// Send implements scheduler.Executor.
func (e *interceptingExecutor) Send(request scheduler.RequestID, endpoint scheduler.EndpointID,
	timeout scheduler.Micros) {
	e.send(request, endpoint, timeout)
}

// Reject implements scheduler.Executor.
func (e *interceptingExecutor) Reject(request scheduler.RequestID, retryAfter scheduler.Micros) {
	e.reject(request, retryAfter)
}

// Fail implements scheduler.Executor.
func (e *interceptingExecutor) Fail(request scheduler.RequestID) { e.fail(request) }

// Cancel implements scheduler.Executor.
func (e *interceptingExecutor) Cancel(request scheduler.RequestID, attempt scheduler.AttemptNumber) {
	e.cancel(request, attempt)
}

// Release implements scheduler.Executor.
func (e *interceptingExecutor) Release(request scheduler.RequestID) { e.release(request) }

// SetTimer implements scheduler.Executor.
func (e *interceptingExecutor) SetTimer(after scheduler.Micros, timer scheduler.TimerID) {
	e.setTimer(after, timer)
}

// interceptingLoop is the event loop of a dispatcher, with timers and writes that a mutant can change.
type interceptingLoop struct {
	*virtual.Loop
	loseTimer func() bool                            // reports whether to lose the timer being set; nil: none is lost
	write     func(conn eventloop.Conn, data []byte) // replaces writes to accepted connections; nil: they are unchanged
}

// AfterFunc implements eventloop.Loop. A timer that is lost fires without calling f.
func (l *interceptingLoop) AfterFunc(after eventloop.Micros, f func()) eventloop.Timer {
	if l.loseTimer != nil && l.loseTimer() {
		f = func() {}
	}
	return l.Loop.AfterFunc(after, f)
}

// Listen implements eventloop.Loop. It has a mutant's write function carry out the writes to accepted connections.
func (l *interceptingLoop) Listen(address string, accept func(eventloop.Conn) eventloop.Handler) (
	eventloop.Listener, error) {
	return l.Loop.Listen(address, func(conn eventloop.Conn) eventloop.Handler {
		if l.write == nil {
			return accept(conn)
		}
		return accept(&interceptingConn{conn, l.write})
	})
}

// interceptingConn is a connection whose writes a function carries out.
type interceptingConn struct {
	eventloop.Conn
	write func(conn eventloop.Conn, data []byte)
}

// Write implements eventloop.Conn.
func (c *interceptingConn) Write(data []byte) { c.write(c.Conn, data) }

// executorMutant returns a mutant that changes how a dispatcher carries out the scheduler's orders.
func executorMutant(name string, change func(*interceptingExecutor)) *scenarios.Mutant {
	return dispatcherMutant(name, dispatch.Mutation{Executor: func(original scheduler.Executor) scheduler.Executor {
		executor := newInterceptingExecutor(original)
		change(executor)
		return executor
	}})
}

// configMutant returns a mutant that changes the scheduler's configuration.
func configMutant(name string, change func(*scheduler.Config)) *scenarios.Mutant {
	return dispatcherMutant(name, dispatch.Mutation{Config: change})
}

// updateMutant returns a mutant that changes the endpoint updates that a dispatcher receives.
func updateMutant(name string, change func([]endpoints.Entry) []endpoints.Entry) *scenarios.Mutant {
	return dispatcherMutant(name, dispatch.Mutation{EndpointUpdate: change})
}

func dispatcherMutant(name string, mutation dispatch.Mutation) *scenarios.Mutant {
	return &scenarios.Mutant{Name: name, Dispatcher: func() *dispatch.Mutation { return &mutation }}
}

// loopMutant returns a mutant that changes a dispatcher's event loop.
func loopMutant(name string, change func(*interceptingLoop)) *scenarios.Mutant {
	return &scenarios.Mutant{Name: name, Loop: func(original *virtual.Loop) eventloop.Loop {
		loop := &interceptingLoop{Loop: original}
		change(loop)
		return loop
	}}
}
