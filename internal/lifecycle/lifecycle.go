// Package lifecycle defines the state machine of one request in a dispatcher as a transition table: for each state and
// event, the actions to perform and the next state.
//
// The package has the table (Transitions), the Machine that applies the table, and the Coverage that counts how often
// each cell of the table was used. It depends on no other package. It performs no action, does no I/O and makes no
// scheduling decision. The scheduler's orders reach it as events. docs/streams.md documents the table, and a test
// compares that page with the table.
package lifecycle

// State is a stage in the life cycle of a request.
type State uint8

// The states of a request.
const (
	Queued     State = iota // waits for admission by its tenant's limits; the scheduler does not know it yet
	Pending                 // known to the scheduler, without an attempt in flight
	Prefilling              // a prefill attempt is in flight
	Decoding                // a decode attempt is in flight and has sent no event yet
	Streaming               // the decode endpoint has sent the first event of the answer
	Closing                 // answered, or its client has disconnected, with an attempt still in flight
	Done                    // answered, or its client has disconnected, with no attempt in flight

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

// Event is something that happens to a request and can change its state.
type Event uint8

// The events: the scheduler's orders, the ends of attempts, and changes at clients and tenants.
const (
	PrefillOrdered       Event = iota // the scheduler sends the request to a prefill endpoint
	DecodeOrdered                     // the scheduler sends the request to the endpoint that will answer it
	RejectOrdered                     // the scheduler rejects the request
	FailOrdered                       // the scheduler fails the request
	CancelOrdered                     // the scheduler cancels the attempt
	ReleaseOrdered                    // the prefill state is released, by the scheduler or because its lease has expired
	PrefillCompleted                  // the prefill attempt completed
	DecodeCompleted                   // the decode attempt completed
	AttemptRejected                   // the attempt ended and is known not to have run
	AttemptFailed                     // the attempt ended in any other way
	EventReceived                     // the decode endpoint sent an event of the answer
	ClientDisconnected                // the client has disconnected
	DeadlineExceeded                  // the client's time limit has passed
	ClientLagging                     // the client reads its answer too slowly
	ClientCaughtUp                    // the client has caught up with its answer
	Admitted                          // the tenant's limits admit the queued request
	TenantStopped                     // the tenant was removed, and its requests have to stop
	PrefillOnlyCompleted              // the prefill attempt completed, and its response is the whole answer

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

// Action is one step that the dispatcher performs on a transition.
type Action uint8

// The actions. The Notify actions report to the scheduler; the Answer actions send the client its one final answer.
const (
	StartPrefill       Action = iota // start a prefill attempt
	StartDecode                      // start a decode attempt
	CloseAttempt                     // close the attempt's connection
	ReportCancelled                  // report the closed attempt as failed, once the scheduler's current call has returned
	ReleaseAttempt                   // release the state that the last attempt may have left at its prefill endpoint
	ReleaseState                     // release all prefill state of the request
	StateFetched                     // record that the prefill state has been fetched and need not be released
	NotifyStarted                    // report that the attempt has sent its first event
	NotifyEnded                      // report that the attempt has ended
	NotifyDisconnected               // report that the client has disconnected
	NotifyArrived                    // report that the request has arrived
	NotifyWithdrawn                  // report that the request is withdrawn
	ForwardEvent                     // forward the event to the client
	AnswerCompleted                  // answer that the request completed
	AnswerRejected                   // answer that the request was rejected
	AnswerFailed                     // answer that the request failed
	PauseAttempt                     // stop reading from the attempt
	ResumeAttempt                    // read from the attempt again
	Forget                           // remove the request from the dispatcher

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

// Coverage counts how often each cell of the table was used.
type Coverage [StateCount][EventCount]uint64

// Machine is the state machine of one request.
type Machine struct {
	State State
}

// Fire moves the machine to its next state and returns the actions to perform, in order. The state changes before the
// first action, because an action can cause the next event before the action returns. Fire ignores an event that the
// table does not define for the state.
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

// AttemptInFlight reports whether the request has an attempt in flight.
func (m *Machine) AttemptInFlight() bool {
	return m.State == Prefilling || m.State == Decoding || m.State == Streaming || m.State == Closing
}

// Answered reports whether the client has its final answer, or has disconnected.
func (m *Machine) Answered() bool { return m.State >= Closing }
