// Package batch decides how one call with many inputs is carried: how it is parted into generations, which part goes next,
// what a part's failure does to the call (Call), and how many parts may be out at once (Limiter). It is free of I/O. Where
// each part is read, and when it is held, is the decision module's.
package batch

import (
	"plumspindle/scheduler/timerqueue"
)

// Micros is a time or a span in whole microseconds.
type Micros = timerqueue.Micros

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond

	triesMost  = 6                // of one part, before the call is given up
	againFirst = 50 * millisecond // before a part that failed is tried again, where nothing else is said; doubled each time
	againMost  = 2 * second
	blamedMost = 2 // failures that the hosts are blamed for, before a part is halved to find the input that does it
)

const (
	MaxEndpoints   = 2 // hosts that fail on one part before it is taken back, to be halved or given up
	MaxQueuedParts = 4 // parts of one tenant that may wait for its turn at the gate
)

// PartID names a part of one call.
type PartID int

// Failure is why a part did not come back with its vectors.
type Failure uint8

const (
	Overloaded     Failure = iota // nothing ran; it may come again after a while
	EndpointFailed                // hosts failed on it
	InvalidInput                  // a host says that an input is no good
)

// Progress is what a call waits for.
type Progress uint8

const (
	InProgress Progress = iota // other parts are out or to be sent
	Completed                  // all parts are back
	Abandoned                  // the call has failed
)

type part struct {
	inputs []int
	tries  int
	broken int
}

// PartLimits of parts.
type PartLimits struct {
	Tokens int // of a part, where it has more than one input
	Inputs int // of a part
}

// Call is one call of a client. Its inputs are numbered as they came, without repeats.
type Call struct {
	parts        []part
	queue        []PartID // that may go, in order; those that wait for a time are not among them
	asleep       timerqueue.Queue
	open         int // parts that are not back
	out          int
	over         bool
	InvalidInput int // the input that the call failed for; -1 where it is none alone
	Splits       int // parts that were halved
	Retries      int // parts that were sent again
}

// NewCall parts inputs of so many tokens each, in their order: neighbours stay together, so that what is answered in order
// can be let go of early.
func NewCall(tokens []int, b PartLimits) *Call {
	c := &Call{InvalidInput: -1}
	c.Add(0, tokens, b)
	return c
}

// Add takes further inputs, numbered from one on, as a body that is still coming brings them.
func (c *Call) Add(from int, tokens []int, b PartLimits) {
	for i := 0; i < len(tokens); {
		var inputs []int
		sum := 0
		for ; i < len(tokens) && len(inputs) < max(b.Inputs, 1) && (len(inputs) == 0 || sum+tokens[i] <= b.Tokens); i++ {
			inputs, sum = append(inputs, from+i), sum+tokens[i]
		}
		c.add(inputs, 0)
	}
}

func (c *Call) add(inputs []int, tries int) {
	c.parts = append(c.parts, part{inputs: inputs, tries: tries})
	c.queue = append(c.queue, PartID(len(c.parts)-1))
	c.open++
}

// Pending is how many parts are not back; Out how many of them are out.
func (c *Call) Pending() int  { return c.open }
func (c *Call) InFlight() int { return c.out }

// HasReady tells whether a part may be sent now.
func (c *Call) HasReady(now Micros) bool {
	c.asleep.Run(now)
	return !c.over && len(c.queue) > 0
}

// NextRetryAt is when the next part that waits may go.
func (c *Call) NextRetryAt() (Micros, bool) { return c.asleep.Next() }

// SendNext takes the next part; there must be one.
func (c *Call) SendNext() (PartID, []int) {
	no := c.queue[0]
	c.queue = c.queue[1:]
	c.out++
	if c.parts[no].tries++; c.parts[no].tries > 1 {
		c.Retries++
	}
	return no, c.parts[no].inputs
}

// PartCompleted takes a part that is back.
func (c *Call) PartCompleted(no PartID) Progress {
	c.out--
	c.open--
	c.parts[no].inputs = nil
	if c.open == 0 {
		c.over = true
		return Completed
	}
	return InProgress
}

// PartFailed takes a part that did not come back. Single parts are tried again, and only those; one that hosts keep failing on
// is halved, so that one bad input is found and named and the call does not blame all. After is what the refusal asked for.
func (c *Call) PartFailed(now Micros, no PartID, why Failure, after Micros) Progress {
	c.out--
	p := &c.parts[no]
	switch {
	case c.over:
		return Abandoned
	case why == EndpointFailed:
		p.broken++
	}
	if (why == EndpointFailed && p.broken >= blamedMost || why == InvalidInput) && len(p.inputs) > 1 {
		half := len(p.inputs) / 2
		inputs := p.inputs
		p.inputs = nil
		c.open--
		c.Splits++
		c.add(inputs[:half], 0)
		c.add(inputs[half:], 0)
		return InProgress
	}
	if why == InvalidInput || p.tries >= triesMost || why == EndpointFailed && p.broken >= blamedMost {
		c.over = true
		if len(p.inputs) == 1 && why != Overloaded {
			c.InvalidInput = p.inputs[0]
		}
		return Abandoned
	}
	wait := min(againFirst<<(p.tries-1), againMost)
	if why == Overloaded && after > 0 {
		p.tries-- // it was not its fault, and it waits as long as it was told
		wait = after
	}
	c.asleep.Set(now+wait, func() { c.queue = append(c.queue, no) })
	return InProgress
}

// Cancel sees that nothing more is sent.
func (c *Call) Cancel() { c.over = true }
