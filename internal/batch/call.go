// Package batch decides how one call with many inputs, of embeddings or reranking, is served: how the call is split
// into parts, which part is sent next and what the failure of a part does to the call (Call), and how many parts may
// be in flight at once (Limiter).
//
// A Call owns the state of its parts, a Limiter the number of parts in flight. Both do no I/O, read no clock and set
// no timer: the caller passes the time, sends the parts, and wakes a Call when a retry is due. Which endpoint serves a
// part, and when, is the decision of package scheduler.
package batch

import (
	"plumspindle/scheduler/timerqueue"
)

// Micros is a point in time or a duration in whole microseconds.
type Micros = timerqueue.Micros

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
)

const (
	maxAttempts         = 6 // of one part, before the call is given up
	maxEndpointFailures = 2 // of one part, before it is split to find the input that causes them
	firstRetryDelay     = 50 * millisecond
	maxRetryDelay       = 2 * second
)

const (
	// MaxEndpoints is how many endpoints may fail on one attempt of a part.
	MaxEndpoints = 2
	// MaxQueuedParts is how many parts of one tenant may wait to be admitted.
	MaxQueuedParts = 4
)

// PartID identifies a part of one call.
type PartID int

// Failure is the reason why a part came back without results.
type Failure uint8

const (
	// Overloaded means that the part was not run; it may be retried later.
	Overloaded Failure = iota
	// EndpointFailed means that endpoints failed on the part.
	EndpointFailed
	// InvalidInput means that an endpoint rejected one of the inputs.
	InvalidInput
)

// Progress is the state of a call after one of its parts has come back.
type Progress uint8

const (
	// InProgress means that other parts are in flight or to be sent.
	InProgress Progress = iota
	// Completed means that all parts have results.
	Completed
	// Abandoned means that the call has failed.
	Abandoned
)

type part struct {
	inputs           []int
	attempts         int
	endpointFailures int
}

// PartLimits bound the size of a part.
type PartLimits struct {
	Tokens int // of a part with more than one input
	Inputs int
}

// Call is one call of a client. Its inputs are numbered in their order, without duplicates.
type Call struct {
	FailedInput int // the input that the call failed for, or -1 if it is not a single one
	Splits      int // parts that were split
	Retries     int // attempts beside the first ones

	parts    []part
	ready    []PartID         // to be sent, in order
	delayed  timerqueue.Queue // puts parts into ready when their retry is due
	pending  int              // parts without results
	inFlight int
	ended    bool
}

// NewCall splits inputs, given by their numbers of tokens, into parts. Inputs that follow each other stay together, so
// that results that are returned in order can be released early.
func NewCall(tokens []int, limits PartLimits) *Call {
	c := &Call{FailedInput: -1}
	c.Add(0, tokens, limits)
	return c
}

// Add adds inputs, numbered from first on, for a call whose body is still arriving.
func (c *Call) Add(first int, tokens []int, limits PartLimits) {
	maxInputs := max(limits.Inputs, 1)
	var inputs []int
	sum := 0
	for i, n := range tokens {
		if len(inputs) > 0 && (len(inputs) == maxInputs || sum+n > limits.Tokens) {
			c.addPart(inputs)
			inputs, sum = nil, 0
		}
		inputs = append(inputs, first+i)
		sum += n
	}
	if len(inputs) > 0 {
		c.addPart(inputs)
	}
}

func (c *Call) addPart(inputs []int) {
	c.parts = append(c.parts, part{inputs: inputs})
	c.ready = append(c.ready, PartID(len(c.parts)-1))
	c.pending++
}

// Pending returns how many parts have no results.
func (c *Call) Pending() int { return c.pending }

// InFlight returns how many parts were sent and have not come back.
func (c *Call) InFlight() int { return c.inFlight }

// Ready reports whether a part may be sent now.
func (c *Call) Ready(now Micros) bool {
	c.delayed.Run(now)
	return !c.ended && len(c.ready) > 0
}

// NextRetryAt returns when the next retry is due, if any is waiting.
func (c *Call) NextRetryAt() (Micros, bool) { return c.delayed.Next() }

// SendNext returns the next part to be sent, with its inputs; Ready must have reported one.
func (c *Call) SendNext() (PartID, []int) {
	id := c.ready[0]
	c.ready = c.ready[1:]
	c.inFlight++
	p := &c.parts[id]
	if p.attempts++; p.attempts > 1 {
		c.Retries++
	}
	return id, p.inputs
}

// PartCompleted records that a part has come back with results.
func (c *Call) PartCompleted(id PartID) Progress {
	c.inFlight--
	c.pending--
	c.parts[id].inputs = nil
	if c.pending == 0 {
		c.ended = true
		return Completed
	}
	return InProgress
}

// PartFailed records that a part has come back without results. Only that part is retried. One that endpoints keep
// failing on is split, so that a single bad input is found and the call does not fail for all. If the part was turned
// away as overloaded, retryAfter is the delay that was asked for, or 0.
func (c *Call) PartFailed(now Micros, id PartID, failure Failure, retryAfter Micros) Progress {
	c.inFlight--
	if c.ended {
		return Abandoned
	}
	thisPart := &c.parts[id]
	if failure == EndpointFailed {
		thisPart.endpointFailures++
	}
	atFault := failure == InvalidInput || failure == EndpointFailed && thisPart.endpointFailures >= maxEndpointFailures
	if atFault && len(thisPart.inputs) > 1 {
		c.split(thisPart)
		return InProgress
	}
	if atFault || thisPart.attempts >= maxAttempts {
		c.ended = true
		if len(thisPart.inputs) == 1 && failure != Overloaded {
			c.FailedInput = thisPart.inputs[0]
		}
		return Abandoned
	}
	delay := min(firstRetryDelay<<(thisPart.attempts-1), maxRetryDelay)
	if failure == Overloaded && retryAfter > 0 {
		thisPart.attempts-- // doesn't count: it was not run, and waits for as long as asked
		delay = retryAfter
	}
	c.delayed.Set(now+delay, func() { c.ready = append(c.ready, id) })
	return InProgress
}

// split replaces a part by two.
func (c *Call) split(p *part) {
	inputs := p.inputs
	half := len(inputs) / 2
	p.inputs = nil
	c.pending--
	c.Splits++
	c.addPart(inputs[:half])
	c.addPart(inputs[half:])
}

// Cancel ends the call: no more parts are sent.
func (c *Call) Cancel() { c.ended = true }
