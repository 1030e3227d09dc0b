package scheduler

import "plumspindle/scheduler/timerqueue"

// Micros is a time or a duration in whole microseconds. Times are on the caller's clock.
type Micros = timerqueue.Micros

// Each kind of id has its own type, to let the compiler reject a mix-up. TenantID, ClassID and KindID are indexes into
// Config. The values of the other ids have no meaning to the scheduler, which only compares, sorts and hashes them.
type (
	// RequestID names a client's request.
	RequestID uint64
	// EndpointID names a model server.
	EndpointID uint32
	// SessionID names a conversation, which may have several requests.
	SessionID uint64
	// PrefixID names a prefix that prompts share.
	PrefixID uint64
	// TenantID is a tenant's index in Config.Quotas.
	TenantID uint16
	// ClassID is a request class's index in Config.Classes.
	ClassID uint8
	// ZoneID names a zone.
	ZoneID uint8
	// KindID is an endpoint kind's index in Config.Kinds.
	KindID uint8
	// CellID names a cell: a group of endpoints with fast links between them.
	CellID uint16
	// AttemptNumber numbers the attempts of one request from zero.
	AttemptNumber uint16
)

// Executor carries out a scheduler's actions, in the order of the calls.
type Executor interface {
	// Send sends the request's next attempt to an endpoint. The timeout starts at this call.
	Send(request RequestID, endpoint EndpointID, timeout Micros)
	// Reject gives the client a final answer that lets it send the request again after retryAfter.
	Reject(request RequestID, retryAfter Micros)
	// Fail gives the client a final answer that says that the request failed.
	Fail(request RequestID)
	// Cancel stops an attempt. The caller still reports the attempt's end by AttemptEnded.
	Cancel(request RequestID, attempt AttemptNumber)
	// Release tells the prefill endpoints to drop the request's state.
	Release(request RequestID)
	// WatchEndpoints asks for the endpoint list.
	WatchEndpoints()
	// SetTimer asks for one call of TimerFired after the given duration. Timers that are already set stay set.
	SetTimer(after Micros, timer TimerID)
	// Log writes an event to the log.
	Log(event Event)
}

// TimerID names one of the two timers of an instance.
type TimerID uint64

// The timers.
const (
	PeriodicTimer TimerID = 1 // fires every periodicInterval, which is independent of Config.TickInterval
	DeadlineTimer TimerID = 2 // fires when the first deadline or delayed call of the instance is due
)

// Role is what a kind of endpoint can do.
type Role uint8

// The roles.
const (
	Prefill  Role = iota // prefills prompts and stores their state until it is fetched
	Decode               // fetches a state and generates the answer
	Mixed                // prefills prompts and decodes their answers
	Embedder             // serves only prefill-only requests

	roleCount = iota
)

// Effect says whether it is safe to run a request of a class twice.
type Effect uint8

// The effects.
const (
	Idempotent    Effect = iota // a repeat is always harmless
	Deduplicated                // a repeat within Class.DedupWindow is harmless at the endpoints of Class.Group
	NonIdempotent               // a repeat would repeat the request's effect
)

// Group is the set of endpoints that recognise a repeat of a deduplicated request. The set depends on the endpoint of
// the request's first attempt that may have run.
type Group uint8

// The groups.
const (
	AllEndpoints Group = iota
	SameZone           // endpoints in the zone of that first attempt's endpoint
	SameCell           // endpoints in the cell of that first attempt's endpoint
)

// EndpointState is the state of an endpoint as given by the endpoint list.
type EndpointState uint8

// The states.
const (
	Ready    EndpointState = iota
	Draining               // the endpoint finishes its requests and accepts no new ones
	Removed
)

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Completed   Outcome = iota
	PrefillDone         // the prompt is prefilled and its state waits at the prefill endpoint
	Errored
	NoCapacity
	TimedOut
	Unreachable    // no connection was established in time
	ConnectionLost // the connection broke during the attempt
	Cancelled
	NotSent
)

// KnownNotRun reports whether an outcome proves that the attempt had no effect.
func (o Outcome) KnownNotRun() bool {
	return o == NoCapacity || o == Unreachable || o == NotSent || o == PrefillDone
}

// NoLoadReport is the MemoryUsage of a result that came without a load report.
const NoLoadReport = -1.0

// Class describes one class of requests: its latency targets, its revenue, and whether its requests may be repeated.
type Class struct {
	SLO              Micros  // target for the time from arrival to the first token
	SLOPer1000Tokens Micros  // added to SLO for each 1,000 tokens of the prompt
	TokenSLO         Micros  // target for the time between tokens after the first
	DedupWindow      Micros  // time in which endpoints recognise the repeats of a deduplicated request
	Revenue          float64 // earned by an answer that meets its SLO
	LateRevenueShare float64 // share of the revenue that a late answer still earns
	Effect           Effect
	Group            Group
	PrefillOnly      bool // the prefill completes a request; Effect must be Idempotent
}

// Kind is one kind of endpoint.
type Kind struct {
	Role   Role
	Memory float64 // size of the KV cache in tokens
}

// Config describes the deployment that an instance serves in.
type Config struct {
	Dispatchers     int
	Zone            ZoneID // zone of this dispatcher
	Classes         []Class
	Kinds           []Kind
	Quotas          []float64 // each tenant's quota in requests per second, over all dispatchers
	OverQuotaWeight float64   // factor for the value of a request that exceeds its tenant's quota
	DecodePrefills  bool      // decode endpoints can prefill the requests that they decode
	MaxAttempts     int       // per request
	CancelAllowed   bool
	MaxRetryAfter   Micros
	WatchOnDemand   bool    // the endpoint list is sent only after WatchEndpoints
	TickInterval    Micros  // period of the caller's ticks; the caller reports events only at its ticks
	IdleTimeout     Micros  // time after which an unused connection is closed
	ConnectTimeout  Micros  // an attempt that has no connection after this time is not sent
	WarmUp          Micros  // time from the start of an endpoint's process until its full throughput is reached
	SlowStartFactor float64 // throughput of an endpoint when its process starts, as a share of its warm throughput

	// The overload rule: an endpoint is overloaded if, within OverloadWindow, it gets more than OverloadFactor times the
	// work that it can do in that time.
	OverloadWindow Micros
	OverloadFactor float64
}

// Arrival is a client's request as the caller reports it to the scheduler.
type Arrival struct {
	ID              RequestID
	Session         SessionID
	Prefix          PrefixID // prefix that the prompt shares with other requests; 0 if the request names none
	Class           ClassID
	Tenant          TenantID
	PromptTokens    float64
	PrefixTokens    float64 // tokens of the prompt that belong to its shared prefix
	MaxOutputTokens float64
	DecodeTime      Micros // expected time for decoding; 0 if no estimate is known
	Deadline        Micros // time by which the client needs its final answer
}

// EndpointStatus is one entry of the endpoint list.
type EndpointStatus struct {
	ID        EndpointID
	Zone      ZoneID
	Kind      KindID
	Cell      CellID
	State     EndpointState
	StartedAt Micros  // when the endpoint's process started, on the caller's clock; 0 if that time is not known
	Size      float64 // what the endpoint can do, in proportion to others of its kind; 0 if it is not known
}

// AttemptResult is the result of an attempt that has ended.
type AttemptResult struct {
	Outcome       Outcome
	CachedTokens  int     // tokens of the prompt that the prefill endpoint had cached; set with PrefillDone only
	StateMissing  bool    // there was no state for the decode endpoint to fetch; set with NoCapacity only
	StateReleased bool    // the state's lease expired during the decode attempt, and the state was released
	RequestClosed bool    // the client has its final answer, or has disconnected
	MemoryUsage   float64 // share of the endpoint's memory that is in use, or NoLoadReport
}

// InFlight counts the requests and the work that a scheduler has in flight.
type InFlight struct {
	Requests      int
	Attempts      int
	Queued        int     // requests that wait for capacity
	PrefillTokens float64 // prompt and expected answer tokens of the requests in prefill, except prefill-only ones
}
