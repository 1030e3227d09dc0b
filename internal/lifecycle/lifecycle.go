// Package lifecycle is the life of one generation in a dispatcher, from the moment it is taken until nothing of it is
// left, as a table: what each event does in each state. It is free of I/O and decides nothing that the module
// decides: orders are among its events. docs/streams.md prints the table.
package lifecycle

// State is where a generation stands.
type State uint8

const (
	Queued     State = iota // it waits for its tenant's turn; the module does not know of it
	Pending                 // taken, no leg out, not answered
	Prefilling              // a read is out
	Decoding                // a write is out and has brought nothing yet
	Streaming               // its answer has begun
	Closing                 // answered, or its client left, with a leg still out
	Done                    // answered, or its client left, and nothing out
	States     = int(Done) + 1
)

var stateNames = [States]string{"queued", "held", "reading", "writing", "streaming", "leaving", "over"}

func (s State) String() string { return stateNames[s] }

// Event is what can happen to it.
type Event uint8

const (
	PrefillOrdered       Event = iota // the module sends it to a reader
	DecodeOrdered                     // the module sends it to where it is answered
	RejectOrdered                     // the module throttles it
	FailOrdered                       // the module terminates it
	CancelOrdered                     // the module takes its leg back
	ReleaseOrdered                    // the module lets go of its state
	PrefillCompleted                  // its read ended well
	DecodeCompleted                   // its write ended well
	AttemptRejected                   // its leg is known not to have run
	AttemptFailed                     // its leg ended in any other way
	EventReceived                     // its writer sent an event
	ClientDisconnected                // nobody waits any more
	DeadlineExceeded                  // its client's time for a whole answer is up
	ClientLagging                     // its client does not read what it is sent
	ClientCaughtUp                    // it does again
	Admitted                          // its tenant's turn has come
	TenantStopped                     // its tenant is removed, and what runs is not to go on
	PrefillOnlyCompleted              // its read ended well, and that is its answer
	Events               = int(PrefillOnlyCompleted) + 1
)

var eventNames = [Events]string{"order read", "order write", "order throttle", "order terminate", "order cancel", "order let go", "leg read",
	"leg streamed", "leg refused", "leg failed", "token", "client left", "time up", "lags", "caught up", "admit", "stop", "leg whole"}

func (e Event) String() string { return eventNames[e] }

// Action is one thing to be done.
type Action uint8

const (
	StartPrefill       Action = iota // make the leg
	StartDecode                      //
	CloseAttempt                     // close its connection
	ReportCancelled                  // afterwards, tell that the closed leg failed
	ReleaseAttempt                   // let go of what the leg may have left at its reader
	ReleaseState                     // let go of all that is held
	StateFetched                     // what was held has been taken
	NotifyStarted                    // tell the module
	NotifyEnded                      //
	NotifyDisconnected               //
	NotifyArrived                    //
	NotifyWithdrawn                  // tell it to give the generation up
	ForwardEvent                     // hand the event on to the client
	AnswerCompleted                  // the one final answer
	AnswerRejected                   //
	AnswerFailed                     //
	PauseAttempt                     // read no more of it
	ResumeAttempt                    //
	Forget                           // nothing is left
	Actions            = int(Forget) + 1
)

var actionNames = [Actions]string{"carry read", "carry write", "close leg", "report cancelled", "release leg", "release", "fetched", "tell started",
	"tell ended", "tell left", "tell arrived", "tell quit", "relay", "answer streamed", "answer throttled", "answer terminated", "slow leg", "resume leg", "forget"}

func (a Action) String() string { return actionNames[a] }

// Transition is one cell of the table. A cell that is not given can't come, or comes too late to matter: nothing is done.
type Transition struct {
	Next    State
	Actions []Action
	Defined bool // the cell is given
}

func to(next State, do ...Action) Transition { return Transition{next, do, true} }

// Transitions is the whole of it.
var Transitions = [States][Events]Transition{
	Queued: {
		Admitted:           to(Pending, NotifyArrived),
		DeadlineExceeded:   to(Done, AnswerRejected, Forget),
		ClientDisconnected: to(Done, Forget),
		TenantStopped:      to(Done, AnswerRejected, Forget),
	},
	Pending: {
		TenantStopped:      to(Pending, NotifyWithdrawn),
		PrefillOrdered:     to(Prefilling, StartPrefill),
		DecodeOrdered:      to(Decoding, StartDecode),
		RejectOrdered:      to(Done, AnswerRejected, Forget),
		FailOrdered:        to(Done, AnswerFailed, Forget),
		ReleaseOrdered:     to(Pending, ReleaseState),
		ClientDisconnected: to(Done, NotifyDisconnected, Forget),
	},
	Prefilling: {
		TenantStopped:        to(Prefilling, NotifyWithdrawn),
		RejectOrdered:        to(Closing, AnswerRejected),
		FailOrdered:          to(Closing, AnswerFailed),
		CancelOrdered:        to(Prefilling, CloseAttempt, ReportCancelled),
		PrefillCompleted:     to(Pending, NotifyEnded),
		PrefillOnlyCompleted: to(Done, AnswerCompleted, NotifyEnded, Forget),
		AttemptRejected:      to(Pending, NotifyEnded),
		AttemptFailed:        to(Pending, ReleaseAttempt, NotifyEnded),
		ClientDisconnected:   to(Closing, NotifyDisconnected),
	},
	Decoding: {
		TenantStopped:      to(Decoding, NotifyWithdrawn),
		RejectOrdered:      to(Closing, AnswerRejected),
		FailOrdered:        to(Closing, AnswerFailed),
		CancelOrdered:      to(Decoding, CloseAttempt, ReportCancelled),
		AttemptRejected:    to(Pending, NotifyEnded),
		AttemptFailed:      to(Pending, NotifyEnded),
		EventReceived:      to(Streaming, StateFetched, NotifyStarted, ForwardEvent),
		ClientDisconnected: to(Closing, NotifyDisconnected),
	},
	Streaming: {
		DecodeCompleted:    to(Done, AnswerCompleted, NotifyEnded, Forget),
		AttemptFailed:      to(Done, AnswerFailed, NotifyEnded, Forget),
		EventReceived:      to(Streaming, ForwardEvent),
		ClientDisconnected: to(Done, CloseAttempt, NotifyEnded, Forget),
		DeadlineExceeded:   to(Done, AnswerFailed, CloseAttempt, NotifyEnded, Forget),
		TenantStopped:      to(Done, AnswerFailed, CloseAttempt, NotifyEnded, Forget),
		ClientLagging:      to(Streaming, PauseAttempt),
		ClientCaughtUp:     to(Streaming, ResumeAttempt),
	},
	Closing: {
		CancelOrdered:        to(Closing, CloseAttempt, ReportCancelled),
		PrefillCompleted:     to(Done, NotifyEnded, Forget),
		PrefillOnlyCompleted: to(Done, NotifyEnded, Forget),
		AttemptRejected:      to(Done, NotifyEnded, Forget),
		AttemptFailed:        to(Done, ReleaseAttempt, NotifyEnded, Forget),
		EventReceived:        to(Done, CloseAttempt, NotifyEnded, Forget), // it began although nobody waits: it could not be taken back
	},
	Done: {
		ReleaseOrdered: to(Done, ReleaseState),
	},
}

// Coverage counts how often each cell was taken.
type Coverage [States][Events]uint64

// Machine is one generation's place in the table.
type Machine struct {
	State State
}

// Fire moves on. It gives what is to be done, in order; the state is the next one already, as what is done can bring
// the next event within it.
func (p *Machine) Fire(e Event, count *Coverage) []Action {
	s := Transitions[p.State][e]
	if !s.Defined {
		return nil
	}
	if count != nil {
		count[p.State][e]++
	}
	p.State = s.Next
	return s.Actions
}

// AttemptInFlight tells whether a leg is out.
func (p *Machine) AttemptInFlight() bool {
	return p.State == Prefilling || p.State == Decoding || p.State == Streaming || p.State == Closing
}

// Answered tells whether the client has its final answer, or has left.
func (p *Machine) Answered() bool { return p.State >= Closing }
