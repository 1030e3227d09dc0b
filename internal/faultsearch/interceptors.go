package faultsearch

import (
	"plumspindle/internal/dispatch"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/scenarios"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

// interceptingExecutor stands between the scheduler and its dispatcher. Each call goes to its function, which is the
// real executor's until a mutant replaces it.
type interceptingExecutor struct {
	scheduler.Executor
	send     func(request scheduler.RequestID, endpoint scheduler.EndpointID, allowance scheduler.Micros)
	reject   func(request scheduler.RequestID, retryAfter scheduler.Micros)
	fail     func(request scheduler.RequestID)
	cancel   func(request scheduler.RequestID, attempt scheduler.AttemptNo)
	release  func(request scheduler.RequestID)
	setTimer func(after scheduler.Micros, timer scheduler.TimerID)
}

func newInterceptingExecutor(real scheduler.Executor) *interceptingExecutor {
	return &interceptingExecutor{Executor: real, send: real.Send, reject: real.Reject, fail: real.Fail,
		cancel: real.Cancel, release: real.Release, setTimer: real.SetTimer}
}

// Send sends an attempt.
func (e *interceptingExecutor) Send(request scheduler.RequestID, endpoint scheduler.EndpointID,
	allowance scheduler.Micros) {
	e.send(request, endpoint, allowance)
}

// Reject rejects a request.
func (e *interceptingExecutor) Reject(request scheduler.RequestID, retryAfter scheduler.Micros) {
	e.reject(request, retryAfter)
}

// Fail fails a request.
func (e *interceptingExecutor) Fail(request scheduler.RequestID) { e.fail(request) }

// Cancel cancels an attempt.
func (e *interceptingExecutor) Cancel(request scheduler.RequestID, attempt scheduler.AttemptNo) {
	e.cancel(request, attempt)
}

// Release releases the state of a request.
func (e *interceptingExecutor) Release(request scheduler.RequestID) { e.release(request) }

// SetTimer sets a timer.
func (e *interceptingExecutor) SetTimer(after scheduler.Micros, timer scheduler.TimerID) {
	e.setTimer(after, timer)
}

// interceptingLoop stands between a dispatcher and the world.
type interceptingLoop struct {
	*virtual.Loop
	loseTimer func() bool // nil: none is lost
	write     func(conn eventloop.Conn, data []byte)
}

// AfterFunc sets a timer, or one that does nothing.
func (l *interceptingLoop) AfterFunc(after eventloop.Micros, f func()) eventloop.Timer {
	if l.loseTimer != nil && l.loseTimer() {
		f = func() {}
	}
	return l.Loop.AfterFunc(after, f)
}

// Listen listens for connections whose writes are intercepted.
func (l *interceptingLoop) Listen(address string, accept func(eventloop.Conn) eventloop.Handler) (
	eventloop.Listener, error) {
	return l.Loop.Listen(address, func(conn eventloop.Conn) eventloop.Handler {
		if l.write == nil {
			return accept(conn)
		}
		return accept(&interceptingConn{conn, l.write})
	})
}

type interceptingConn struct {
	eventloop.Conn
	write func(conn eventloop.Conn, data []byte)
}

// Write passes data to the function that intercepts it.
func (c *interceptingConn) Write(data []byte) { c.write(c.Conn, data) }

// executorMutant changes what the scheduler's calls do.
func executorMutant(name string, change func(*interceptingExecutor)) *scenarios.Mutant {
	return dispatcherMutant(name, dispatch.Mutation{Executor: func(real scheduler.Executor) scheduler.Executor {
		executor := newInterceptingExecutor(real)
		change(executor)
		return executor
	}})
}

// configMutant changes the scheduler's configuration.
func configMutant(name string, change func(*scheduler.Config)) *scenarios.Mutant {
	return dispatcherMutant(name, dispatch.Mutation{Config: change})
}

// updateMutant changes what a dispatcher takes from endpoint updates.
func updateMutant(name string, change func([]endpoints.Entry) []endpoints.Entry) *scenarios.Mutant {
	return dispatcherMutant(name, dispatch.Mutation{EndpointUpdate: change})
}

func dispatcherMutant(name string, mutation dispatch.Mutation) *scenarios.Mutant {
	return &scenarios.Mutant{Name: name, Dispatcher: func() *dispatch.Mutation { return &mutation }}
}

// loopMutant changes what a dispatcher's event loop does.
func loopMutant(name string, change func(*interceptingLoop)) *scenarios.Mutant {
	return &scenarios.Mutant{Name: name, Loop: func(real *virtual.Loop) eventloop.Loop {
		loop := &interceptingLoop{Loop: real}
		change(loop)
		return loop
	}}
}
