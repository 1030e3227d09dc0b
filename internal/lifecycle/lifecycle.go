// Package lifecycle defines the life of one request in a dispatcher as a table: for each state and event, the actions
// to perform and the next state.
//
// It owns the table (Transitions), the Machine that follows it and the Coverage of its cells. It depends on no other
// package. It never performs an action, does no I/O and makes no scheduling decision: the scheduler's orders are
// among its events. docs/streams.md prints the table, and a test compares the two.
package lifecycle

// State is the stage of a request.
type State uint8

// The states of a request.
const (
	Queued     State = iota // waits for its tenant's admission; the scheduler does not know it yet
	Pending                 // known to the scheduler, without an attempt in flight
	Prefilling              // a prefill attempt is in flight
	Decoding                // a decode attempt is in flight and has sent no event yet
	Streaming               // the answer has begun
	Closing                 // answered, or abandoned by its client, with an attempt still in flight
	Done                    // answered, or abandoned by its client, with no attempt in flight

	StateCount = int(Done) + 1
)

var stateNames = [StateCount]string{
	Queued:     "queued",
	Pending:    "pending",
	Prefilling: "prefilling",
	Decoding:   "decoding",
	Streaming:  "streaming",
	Closing:    "closing",
	Done:       "done",
}

func (s State) String() string { return stateNames[s] }

// Event is what can happen to a request.
type Event uint8

// The events: the scheduler's orders, the ends of attempts, and what clients and tenants do.
const (
	PrefillOrdered       Event = iota // the scheduler sends it to a prefill endpoint
	DecodeOrdered                     // the scheduler sends it to the endpoint that will answer it
	RejectOrdered                     // the scheduler rejects it
	FailOrdered                       // the scheduler fails it
	CancelOrdered                     // the scheduler cancels its attempt
	ReleaseOrdered                    // its prefill state is released, by the scheduler or as its lease is over
	PrefillCompleted                  // its prefill attempt completed
	DecodeCompleted                   // its decode attempt completed
	AttemptRejected                   // its attempt is known not to have run
	AttemptFailed                     // its attempt ended in any other way
	EventReceived                     // its decode endpoint sent an event
	ClientDisconnected                // its client has disconnected
	DeadlineExceeded                  // its client's time limit has passed
	ClientLagging                     // its client does not read what it is sent
	ClientCaughtUp                    // its client reads again
	Admitted                          // its tenant's turn has come
	TenantStopped                     // its tenant was removed, and its running requests are to stop
	PrefillOnlyCompleted              // its prefill attempt completed and is the whole answer

	EventCount = int(PrefillOnlyCompleted) + 1
)

var eventNames = [EventCount]string{
	PrefillOrdered:       "prefill ordered",
	DecodeOrdered:        "decode ordered",
	RejectOrdered:        "reject ordered",
	FailOrdered:          "fail ordered",
	CancelOrdered:        "cancel ordered",
	ReleaseOrdered:       "release ordered",
	PrefillCompleted:     "prefill completed",
	DecodeCompleted:      "decode completed",
	AttemptRejected:      "attempt rejected",
	AttemptFailed:        "attempt failed",
	EventReceived:        "event received",
	ClientDisconnected:   "client disconnected",
	DeadlineExceeded:     "deadline exceeded",
	ClientLagging:        "client lagging",
	ClientCaughtUp:       "client caught up",
	Admitted:             "admitted",
	TenantStopped:        "tenant stopped",
	PrefillOnlyCompleted: "prefill-only completed",
}

func (e Event) String() string { return eventNames[e] }

// Action is one thing that the dispatcher has to do.
type Action uint8

// The actions. The Notify actions report to the scheduler, the Answer actions give the client its one final answer.
const (
	StartPrefill       Action = iota // start a prefill attempt
	StartDecode                      // start a decode attempt
	CloseAttempt                     // close the attempt's connection
	ReportCancelled                  // after the scheduler's call, report the closed attempt as failed
	ReleaseAttempt                   // release the state that the attempt may have left at its prefill endpoint
	ReleaseState                     // release all prefill state of the request
	StateFetched                     // the prefill state has been fetched; nothing is left to release
	NotifyStarted                    // the attempt has sent its first event
	NotifyEnded                      // the attempt has ended
	NotifyDisconnected               // the client has disconnected
	NotifyArrived                    // the request has arrived
	NotifyWithdrawn                  // the request is withdrawn
	ForwardEvent                     // forward the event to the client
	AnswerCompleted                  // the answer is complete
	AnswerRejected                   // the request was rejected
	AnswerFailed                     // the request failed
	PauseAttempt                     // stop reading from the attempt
	ResumeAttempt                    // read from the attempt again
	Forget                           // drop the request's data

	ActionCount = int(Forget) + 1
)

var actionNames = [ActionCount]string{
	StartPrefill:       "start prefill",
	StartDecode:        "start decode",
	CloseAttempt:       "close attempt",
	ReportCancelled:    "report cancelled",
	ReleaseAttempt:     "release attempt",
	ReleaseState:       "release state",
	StateFetched:       "state fetched",
	NotifyStarted:      "notify started",
	NotifyEnded:        "notify ended",
	NotifyDisconnected: "notify disconnected",
	NotifyArrived:      "notify arrived",
	NotifyWithdrawn:    "notify withdrawn",
	ForwardEvent:       "forward event",
	AnswerCompleted:    "answer completed",
	AnswerRejected:     "answer rejected",
	AnswerFailed:       "answer failed",
	PauseAttempt:       "pause attempt",
	ResumeAttempt:      "resume attempt",
	Forget:             "forget",
}

func (a Action) String() string { return actionNames[a] }

// Coverage counts how often each cell of the table was reached.
type Coverage [StateCount][EventCount]uint64

// Machine is the current state of one request.
type Machine struct {
	State State
}

// Fire moves the machine to its next state and returns the actions to perform, in order. The state changes before the
// first action, since an action can bring the next event within its call. An event that the table does not define for
// the state does nothing.
func (m *Machine) Fire(e Event, coverage *Coverage) []Action {
	transition := Transitions[m.State][e]
	if !transition.Defined {
		return nil
	}
	if coverage != nil {
		coverage[m.State][e]++
	}
	m.State = transition.Next
	return transition.Actions
}

// AttemptInFlight reports whether an attempt is in flight.
func (m *Machine) AttemptInFlight() bool {
	return m.State == Prefilling || m.State == Decoding || m.State == Streaming || m.State == Closing
}

// Answered reports whether the client has its final answer, or has disconnected.
func (m *Machine) Answered() bool { return m.State >= Closing }
