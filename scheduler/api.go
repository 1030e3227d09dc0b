package scheduler

import "plumspindle/scheduler/timerqueue"

// Micros is a time or a span in whole microseconds, on the clock that the caller hands in.
type Micros = timerqueue.Micros

// The ids carry no meaning beyond equality; each kind is a type of its own so that none passes for another.
type (
	RequestID  uint64
	EndpointID uint32
	SessionID  uint64
	PrefixID   uint64
	TenantID   uint16
	ClassID    uint8
	ZoneID     uint8
	KindID     uint8
	CellID     uint16
	AttemptNo  uint16
)

// Executor is what a dispatcher may ask of the world around it. Calls are carried out in their order.
type Executor interface {
	Send(request RequestID, host EndpointID, allow Micros)
	Reject(request RequestID, retryAfter Micros)
	Fail(request RequestID)
	Cancel(request RequestID, attempt AttemptNo)
	Release(request RequestID)
	WatchEndpoints()
	SetTimer(after Micros, bell TimerID)
	Log(event Event)
}

// TimerID tells the two timers of an instance apart.
type TimerID uint64

const (
	PeriodicTimer TimerID = 1 // the one periodic timer
	DeadlineTimer TimerID = 2 // the earliest of the ordered due times
)

// Role is what a kind of model host can do.
type Role uint8

const (
	Prefill Role = iota
	Decode
	Mixed
	Embedder // reads what is complete with its read, and nothing else
)

// Effect says what a repeat of a product's request would do.
type Effect uint8

const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// Group names the model hosts that drop each other's repeats of a deduplicated request.
type Group uint8

const (
	AllEndpoints Group = iota
	SameZone
	SameCell
)

// EndpointState is what the list of model hosts says of one.
type EndpointState uint8

const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Outcome is how an attempt came out.
type Outcome uint8

const (
	Completed   Outcome = iota
	PrefillDone         // the prompt is read and its state waits at the reader
	Errored
	NoCapacity
	TimedOut
	Unreachable    // no connection in time
	ConnectionLost // the connection broke with the attempt on it
	Cancelled
	NotSent
)

// KnownNotRun tells whether an ending proves that the attempt had no effect.
func (e Outcome) KnownNotRun() bool {
	return e == NoCapacity || e == Unreachable || e == NotSent || e == PrefillDone
}

// NoLoadReport stands for the reported memory share of an outcome that came without one.
const NoLoadReport = -1.0

// Class is what the deployment promises for one class of requests.
type Class struct {
	SLO, SLOPer1000, TokenSLO, Window Micros
	Revenue, LateRevenueShare         float64
	Effect                            Effect
	Group                             Group
	PrefillOnly                       bool // a request is complete with its read; it must be idempotent
}

// Kind is one sort of machine.
type Kind struct {
	Role   Role
	Memory float64 // tokens
}

// Config is what an instance is told at its start about the place it serves in.
type Config struct {
	Dispatchers     int
	Zone            ZoneID // that this dispatcher stands in
	Classes         []Class
	Kinds           []Kind
	Quotas          []float64 // requests a second inside each tenant's share, over all dispatchers
	OverQuotaWeight float64
	DecodePrefills  bool
	MaxAttempts     int
	CancelAllowed   bool
	MaxRetryAfter   Micros
	WatchOnDemand   bool // the list of hosts comes only to those that ask
	TickInterval    Micros
	IdleTimeout     Micros // an unused connection is closed after it
	ConnectTimeout  Micros // an attempt that has not left by then, for want of a connection, never does
	WarmUp          Micros
	SlowStartFactor float64
	OverloadWindow  Micros
	OverloadFactor  float64
}

// Arrival is a client's request as the scheduler gets to know it. The counts are tokens.
type Arrival struct {
	ID              RequestID
	Session         SessionID
	Prefix          PrefixID // of the prompt, shared with other requests; 0 if none is named
	Class           ClassID
	Tenant          TenantID
	PromptTokens    float64
	PrefixTokens    float64 // of the prompt, those of its shared prefix
	MaxOutputTokens float64
	DecodeTime      Micros // that decoding is expected to take; 0 if it is not known
	Deadline        Micros // by which the client needs its final answer
}

// EndpointStatus is one entry of the endpoint list.
type EndpointStatus struct {
	ID        EndpointID
	Zone      ZoneID
	Kind      KindID
	Cell      CellID
	State     EndpointState
	StartedAt Micros // of its process, on the caller's clock; 0 if it is not known
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome       Outcome
	CachedTokens  int     // of the prompt, those the prefill server had cached; with PrefillDone only
	StateMissing  bool    // the decode server found no state to fetch; with NoCapacity and ConnectionLost only
	RequestClosed bool    // the client has its final answer, or has left
	MemoryUsage   float64 // share of the endpoint's memory that is taken, or NoLoadReport
}

// InFlight is what a scheduler has under way.
type InFlight struct {
	Requests      int
	Attempts      int
	Queued        int     // requests that wait for capacity
	PrefillTokens float64 // of the requests that are being prefilled
}
