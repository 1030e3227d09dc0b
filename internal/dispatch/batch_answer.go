package dispatch

import (
	"fmt"
	"maps"
	"slices"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/tenancy"
)

// finishIfDone answers the call if all inputs have arrived and all parts are complete.
func (c *batchCall) finishIfDone() {
	if c.closed || !c.allInputsArrived || c.parts.Pending() > 0 {
		return
	}
	d := c.dispatcher
	c.answer.Request, c.answer.ID = c.request, d.responseID(d.lastRequestID)
	d.Completed++
	c.closeAs(lifecycle.AnswerCompleted)
	c.response.Stream("application/json", c.answer.Next, "x-request-id", c.answer.ID)
}

// closeAs adds the call's outcome to its tenant's usage, and closes the call.
func (c *batchCall) closeAs(final lifecycle.Action) {
	usage := tenancy.Usage{
		Tenant:   c.identity.Tenant,
		Product:  c.request.Model,
		Day:      tenancy.Day(c.dispatcher.loop.Now()),
		Accepted: 1,
	}
	countOutcome(&usage, final)
	c.dispatcher.usage.Add(usage)
	c.close()
}

// close ends the call: it sends no further parts, withdraws the parts in flight and removes the call.
func (c *batchCall) close() {
	d := c.dispatcher
	c.closed = true
	c.request.Close()
	if c.tenantCalls == nil {
		return
	}
	c.parts.Cancel()
	for _, timer := range []eventloop.Timer{c.deadlineTimer, c.retryTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	d.batches.remove(c)
	for _, id := range slices.Sorted(maps.Keys(c.inFlight)) {
		if r := c.inFlight[id]; r != nil {
			d.fire(r, lifecycle.ClientDisconnected)
		}
	}
	d.loop.Defer(d.finishShutdown)
}

func (c *batchCall) clientDisconnected() {
	if c.closed {
		return
	}
	c.dispatcher.Disconnected++
	if c.tenantCalls == nil {
		c.close()
		return
	}
	c.closeAs(lifecycle.Forget)
}

// failWith answers the call with a problem that was found after Begin, when parts may have been sent.
func (c *batchCall) failWith(problem *frontend.Problem) {
	if c.closed {
		return
	}
	c.dispatcher.Failed++
	c.closeAs(lifecycle.AnswerFailed)
	c.response.SendProblem(problem)
}

// BodyRejected answers the call with a problem in its body that was found after the body had arrived.
func (c *batchCall) BodyRejected(problem *frontend.Problem) {
	if c.tenantCalls != nil {
		c.failWith(problem)
		return
	}
	c.close()
	c.response.SendProblem(problem)
}

// failRetryable answers the call with a failure after which the client may repeat the call.
func (c *batchCall) failRetryable(reason string) {
	c.dispatcher.Failed++
	c.closeAs(lifecycle.AnswerFailed)
	if !c.response.Done() {
		c.response.Fail(true, reason)
	}
}

// rejectForMemory rejects the call because the answers of all calls would exceed their memory limit.
func (c *batchCall) rejectForMemory() {
	c.dispatcher.Rejected++
	c.closeAs(lifecycle.AnswerRejected)
	c.response.SendProblem(frontend.OverloadedAfterPartialRun())
}

// rejectOverQuota answers a call that its tenant's limits reject. The call is rejected before any part was sent,
// or later if no retry of the rejected part can succeed.
func (c *batchCall) rejectOverQuota(decision tenancy.Decision) {
	if c.closed {
		return
	}
	if decision.Reason == tenancy.PromptTooLarge {
		c.failWith(frontend.PromptTooLarge("input", "An input has more tokens than this account may ask for."))
		return
	}
	c.dispatcher.Rejected++
	c.closeAs(lifecycle.AnswerRejected)
	c.response.RejectOverQuota(decision.Reason.String(), decision.RetryAfter)
}

func (c *batchCall) deadlineExceeded() {
	if c.closed {
		return
	}
	c.failRetryable(fmt.Sprintf("The call was not complete within the client's time: %d parts are missing.",
		c.parts.Pending()))
}

// abandon answers the call after one of its parts has failed for good.
func (c *batchCall) abandon() {
	if c.closed {
		return
	}
	if c.parts.FailedInput < 0 {
		c.failRetryable("Some of the call's inputs could not be read.")
		return
	}
	position := slices.Index(c.request.Order, int32(c.parts.FailedInput))
	c.failWith(frontend.InputNotServed(fmt.Sprintf("%s[%d]", c.request.Kind.InputsMember(), position)))
}
