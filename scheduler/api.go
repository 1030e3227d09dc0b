package scheduler

import "plumspindle/scheduler/timerqueue"

// Micros is a time or a span in whole microseconds, on the clock that the caller hands in.
type Micros = timerqueue.Micros

// Each kind of id has its own type, so that the compiler rejects a mix-up. TenantID, ClassID and KindID are indexes into
// Config. The values of the other ids have no meaning: the scheduler compares, sorts and hashes them.
type (
	// RequestID names a client's request.
	RequestID uint64
	// EndpointID names a model server.
	EndpointID uint32
	// SessionID names the requests of one conversation.
	SessionID uint64
	// PrefixID names a prefix that prompts share.
	PrefixID uint64
	// TenantID is a tenant's place in Config.Quotas.
	TenantID uint16
	// ClassID is a request class's place in Config.Classes.
	ClassID uint8
	// ZoneID names a zone.
	ZoneID uint8
	// KindID is an endpoint kind's place in Config.Kinds.
	KindID uint8
	// CellID names a cell: endpoints with fast links between them.
	CellID uint16
	// AttemptNo counts the attempts of one request from zero.
	AttemptNo uint16
)

// Executor carries out what a scheduler orders, in the order of the calls.
type Executor interface {
	// Send makes the request's next attempt at an endpoint; timeout counts from now.
	Send(request RequestID, endpoint EndpointID, timeout Micros)
	// Reject gives the final answer of a request that its client may send again after a while.
	Reject(request RequestID, retryAfter Micros)
	// Fail gives the final answer of a request that failed.
	Fail(request RequestID)
	// Cancel stops an attempt. Its end is still reported by AttemptEnded.
	Cancel(request RequestID, attempt AttemptNo)
	// Release has the prefill endpoints drop the request's state.
	Release(request RequestID)
	// WatchEndpoints asks for the endpoint list.
	WatchEndpoints()
	// SetTimer calls TimerFired once after a while; it does not replace timers that are set.
	SetTimer(after Micros, timer TimerID)
	// Log writes an event to the log.
	Log(event Event)
}

// TimerID names one of the two timers of an instance.
type TimerID uint64

// The timers.
const (
	PeriodicTimer TimerID = 1 // fires every periodicInterval, which is independent of Config.TickInterval
	DeadlineTimer TimerID = 2 // fires at the earliest due time
)

// Role is what a kind of endpoint can do.
type Role uint8

// The roles.
const (
	Prefill  Role = iota // prefills prompts and stores their state until it is fetched
	Decode               // fetches a state and generates the answer
	Mixed                // does both
	Embedder             // serves prefill-only requests, and nothing else

	roleCount = iota
)

// Effect says what sending a request of a class twice would do.
type Effect uint8

// The effects.
const (
	Idempotent    Effect = iota // nothing
	Deduplicated                // nothing at the endpoints of its group within a window
	NonIdempotent               // its effect would happen twice
)

// Group names the endpoints that recognise each other's repeats of a deduplicated request.
type Group uint8

// The groups.
const (
	AllEndpoints Group = iota
	SameZone           // as the first attempt
	SameCell
)

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState uint8

// The states.
const (
	Ready    EndpointState = iota
	Draining               // it finishes its requests and accepts no new ones
	Removed
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Completed   Outcome = iota
	PrefillDone         // the prompt is prefilled and its state waits at the prefill endpoint
	Errored
	NoCapacity
	TimedOut
	Unreachable    // no connection in time
	ConnectionLost // the connection broke with the attempt on it
	Cancelled
	NotSent
)

// KnownNotRun reports whether an outcome proves that the attempt had no effect.
func (o Outcome) KnownNotRun() bool {
	return o == NoCapacity || o == Unreachable || o == NotSent || o == PrefillDone
}

// NoLoadReport stands for the memory usage of a result that came without a load report.
const NoLoadReport = -1.0

// Class is what the deployment promises for one class of requests.
type Class struct {
	SLO              Micros // to the first token
	SLOPer1000       Micros // added for each 1,000 tokens of the prompt
	TokenSLO         Micros // for each further token
	Window           Micros // in which the repeats of a deduplicated request are recognised
	Revenue          float64
	LateRevenueShare float64 // share of the revenue that a late answer still earns
	Effect           Effect
	Group            Group
	PrefillOnly      bool // a request is complete with its prefill; it must be idempotent
}

// Kind is one kind of endpoint.
type Kind struct {
	Role   Role
	Memory float64 // tokens
}

// Config describes the deployment that an instance serves in.
type Config struct {
	Dispatchers     int
	Zone            ZoneID // of this dispatcher
	Classes         []Class
	Kinds           []Kind
	Quotas          []float64 // requests a second inside each tenant's quota, over all dispatchers
	OverQuotaWeight float64   // of the value of a request beyond its tenant's quota
	DecodePrefills  bool      // decode endpoints can prefill what they decode
	MaxAttempts     int       // of one request
	CancelAllowed   bool
	MaxRetryAfter   Micros
	WatchOnDemand   bool    // the endpoint list is sent only after WatchEndpoints
	TickInterval    Micros  // of the caller, which reports events at its ticks only
	IdleTimeout     Micros  // after which an unused connection is closed
	ConnectTimeout  Micros  // after which an attempt that got no connection is never sent
	WarmUp          Micros  // of an endpoint whose process has just started
	SlowStartFactor float64 // share of its warm throughput that an endpoint has at its start

	// The overload rule: an endpoint is overloaded by more than the factor times the work that it can do in the window.
	OverloadWindow Micros
	OverloadFactor float64
}

// Arrival is a client's request as it is reported to the scheduler. The counts are tokens.
type Arrival struct {
	ID              RequestID
	Session         SessionID
	Prefix          PrefixID // of the prompt, shared with other requests; 0 if none is named
	Class           ClassID
	Tenant          TenantID
	PromptTokens    float64
	PrefixTokens    float64 // tokens of the prompt in its shared prefix
	MaxOutputTokens float64
	DecodeTime      Micros // expected for decoding; 0 if it is not known
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
	CachedTokens  int     // tokens of the prompt that the prefill endpoint had cached; with PrefillDone only
	StateMissing  bool    // the decode endpoint found no state to fetch; with NoCapacity only
	StateReleased bool    // the state's lease ran out during the decode attempt, and the state was released
	RequestClosed bool    // the client has its final answer, or has disconnected
	MemoryUsage   float64 // share of the endpoint's memory that is taken, or NoLoadReport
}

// InFlight is what a scheduler has in flight.
type InFlight struct {
	Requests      int
	Attempts      int
	Queued        int     // requests that wait for capacity
	PrefillTokens float64 // prompt and expected answer tokens of the requests that are prefilled before a decode
}
