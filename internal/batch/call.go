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
	maxSends            = 6 // of one part, before the call fails
	maxEndpointFailures = 2 // of one part, before it is split to isolate the input that causes them
	firstRetryDelay     = 50 * millisecond
	maxRetryDelay       = 2 * second
)

const (
	// MaxEndpointsPerSend is the number of endpoint failures in one send after which a part comes back as EndpointFailed.
	MaxEndpointsPerSend = 2
	// MaxQueuedParts is how many parts of one tenant may wait for admission.
	MaxQueuedParts = 4
)

// PartID identifies a part of one call.
type PartID int

// Failure is the reason why a part came back without results.
type Failure uint8

const (
	// Overloaded means that the part was not run and may be retried later.
	Overloaded Failure = iota
	// EndpointFailed means that the endpoints that ran the part failed.
	EndpointFailed
	// InvalidInput means that an endpoint rejected one of the inputs.
	InvalidInput
)

// Progress is the state of a call after one of its parts has come back.
type Progress uint8

const (
	// InProgress means that parts are in flight or still have to be sent.
	InProgress Progress = iota
	// Completed means that all parts have results.
	Completed
	// Failed means that the call has failed, or that it was cancelled before the part came back.
	Failed
)

// part is a group of inputs that one request sends to an endpoint.
type part struct {
	inputs           []int // empty once the part has results or was split
	sends            int   // except sends that were rejected with a requested delay
	endpointFailures int
}

// PartLimits bound the size of a part.
type PartLimits struct {
	Tokens int // maximum; a part with a single input may exceed it
	Inputs int // maximum
}

// Call is the state of one client call with many inputs. The inputs are numbered in their order; the caller removes
// duplicates first.
type Call struct {
	FailedInput int // the input that made the call fail, or -1 if no single input did
	Splits      int // how many parts were split
	// Retries is how many sends repeated an earlier send of the same part. A send that was rejected with a requested
	// delay does not count as an earlier one.
	Retries int

	parts    []part
	ready    []PartID         // parts to send now, in this order
	delayed  timerqueue.Queue // moves parts to ready when their retry is due
	pending  int              // parts without results
	inFlight int
	ended    bool
}

// NewCall returns a call whose inputs are split into parts; tokens has the token count of each input. A part holds
// consecutive inputs, so that results can be released early although they are returned in input order.
func NewCall(tokens []int, limits PartLimits) *Call {
	c := &Call{FailedInput: -1}
	c.AddInputs(0, tokens, limits)
	return c
}

// AddInputs splits more inputs into parts, for a call whose body is still arriving. The inputs are numbered from first
// on, and tokens has the token count of each.
func (c *Call) AddInputs(first int, tokens []int, limits PartLimits) {
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

// Ready reports whether a part is to be sent now.
func (c *Call) Ready(now Micros) bool {
	c.delayed.Run(now)
	return !c.ended && len(c.ready) > 0
}

// NextRetryAt returns when the next delayed retry is due, and whether there is one.
func (c *Call) NextRetryAt() (Micros, bool) { return c.delayed.Next() }

// SendNext returns the next part to send and its inputs, and counts the part as in flight. SendNext may only be called
// after Ready has returned true.
func (c *Call) SendNext() (PartID, []int) {
	id := c.ready[0]
	c.ready = c.ready[1:]
	c.inFlight++
	p := &c.parts[id]
	if p.sends++; p.sends > 1 {
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

// PartFailed records that a part has come back without results, and schedules a retry of that part only. If one of the
// inputs seems to be the cause, because it is invalid or endpoints failed on the part maxEndpointFailures times, the
// part is split instead to isolate that input; the call fails if the part has no other inputs. The call also fails when
// a part was sent maxSends times. If the part was rejected as overloaded, retryAfter is the requested delay, or 0 for
// none.
func (c *Call) PartFailed(now Micros, id PartID, failure Failure, retryAfter Micros) Progress {
	c.inFlight--
	if c.ended {
		return Failed
	}
	p := &c.parts[id]
	if failure == EndpointFailed {
		p.endpointFailures++
	}
	inputAtFault := failure == InvalidInput || failure == EndpointFailed && p.endpointFailures >= maxEndpointFailures
	if inputAtFault && len(p.inputs) > 1 {
		c.split(p)
		return InProgress
	}
	if inputAtFault || p.sends >= maxSends {
		c.ended = true
		if len(p.inputs) == 1 && failure != Overloaded {
			c.FailedInput = p.inputs[0]
		}
		return Failed
	}
	delay := min(firstRetryDelay<<(p.sends-1), maxRetryDelay)
	if failure == Overloaded && retryAfter > 0 {
		p.sends-- // the part was not run and waits as long as requested, so this send does not count
		delay = retryAfter
	}
	c.delayed.Set(now+delay, func() { c.ready = append(c.ready, id) })
	return InProgress
}

// split replaces a part by two parts with half of its inputs each.
func (c *Call) split(p *part) {
	inputs := p.inputs
	half := len(inputs) / 2
	p.inputs = nil
	c.pending--
	c.Splits++
	c.addPart(inputs[:half])
	c.addPart(inputs[half:])
}

// Cancel ends the call; no more parts are sent.
func (c *Call) Cancel() { c.ended = true }
