// Package lifecycle is the life of one generation in a dispatcher, from the moment it is taken until nothing of it is
// left, as a table: what each event does in each state. It is free of I/O and decides nothing that the module
// decides: orders are among its events. docs/streams.md prints the table.
package lifecycle

// State is where a generation stands.
type State uint8

const (
	Queued    State = iota // it waits for its tenant's turn; the module does not know of it
	Held                   // taken, no leg out, not answered
	Reading                // a read is out
	Writing                // a write is out and has brought nothing yet
	Streaming              // its answer has begun
	Leaving                // answered, or its client left, with a leg still out
	Over                   // answered, or its client left, and nothing out
	States    = int(Over) + 1
)

var stateNames = [States]string{"queued", "held", "reading", "writing", "streaming", "leaving", "over"}

func (s State) String() string { return stateNames[s] }

// Event is what can happen to it.
type Event uint8

const (
	OrderRead      Event = iota // the module sends it to a reader
	OrderWrite                  // the module sends it to where it is answered
	OrderThrottle               // the module throttles it
	OrderTerminate              // the module terminates it
	OrderCancel                 // the module takes its leg back
	OrderLetGo                  // the module lets go of its state
	LegRead                     // its read ended well
	LegStreamed                 // its write ended well
	LegRefused                  // its leg is known not to have run
	LegFailed                   // its leg ended in any other way
	Token                       // its writer sent an event
	ClientLeft                  // nobody waits any more
	TimeUp                      // its client's time for a whole answer is up
	Lags                        // its client does not read what it is sent
	CaughtUp                    // it does again
	Admit                       // its tenant's turn has come
	Stop                        // its tenant is removed, and what runs is not to go on
	LegWhole                    // its read ended well, and that is its answer
	Events         = int(LegWhole) + 1
)

var eventNames = [Events]string{"order read", "order write", "order throttle", "order terminate", "order cancel", "order let go", "leg read",
	"leg streamed", "leg refused", "leg failed", "token", "client left", "time up", "lags", "caught up", "admit", "stop", "leg whole"}

func (e Event) String() string { return eventNames[e] }

// Action is one thing to be done.
type Action uint8

const (
	CarryRead        Action = iota // make the leg
	CarryWrite                     //
	CloseLeg                       // close its connection
	ReportCancelled                // afterwards, tell that the closed leg failed
	ReleaseLeg                     // let go of what the leg may have left at its reader
	Release                        // let go of all that is held
	Fetched                        // what was held has been taken
	TellStarted                    // tell the module
	TellEnded                      //
	TellLeft                       //
	TellArrived                    //
	TellQuit                       // tell it to give the generation up
	Relay                          // hand the event on to the client
	AnswerStreamed                 // the one final answer
	AnswerThrottled                //
	AnswerTerminated               //
	SlowLeg                        // read no more of it
	ResumeLeg                      //
	Forget                         // nothing is left
	Actions          = int(Forget) + 1
)

var actionNames = [Actions]string{"carry read", "carry write", "close leg", "report cancelled", "release leg", "release", "fetched", "tell started",
	"tell ended", "tell left", "tell arrived", "tell quit", "relay", "answer streamed", "answer throttled", "answer terminated", "slow leg", "resume leg", "forget"}

func (a Action) String() string { return actionNames[a] }

// Step is one cell of the table. A cell that is not given can't come, or comes too late to matter: nothing is done.
type Step struct {
	Next State
	Do   []Action
	Some bool // the cell is given
}

func to(next State, do ...Action) Step { return Step{next, do, true} }

// Table is the whole of it.
var Table = [States][Events]Step{
	Queued: {
		Admit:      to(Held, TellArrived),
		TimeUp:     to(Over, AnswerThrottled, Forget),
		ClientLeft: to(Over, Forget),
		Stop:       to(Over, AnswerThrottled, Forget),
	},
	Held: {
		Stop:           to(Held, TellQuit),
		OrderRead:      to(Reading, CarryRead),
		OrderWrite:     to(Writing, CarryWrite),
		OrderThrottle:  to(Over, AnswerThrottled, Forget),
		OrderTerminate: to(Over, AnswerTerminated, Forget),
		OrderLetGo:     to(Held, Release),
		ClientLeft:     to(Over, TellLeft, Forget),
	},
	Reading: {
		Stop:           to(Reading, TellQuit),
		OrderThrottle:  to(Leaving, AnswerThrottled),
		OrderTerminate: to(Leaving, AnswerTerminated),
		OrderCancel:    to(Reading, CloseLeg, ReportCancelled),
		LegRead:        to(Held, TellEnded),
		LegWhole:       to(Over, AnswerStreamed, TellEnded, Forget),
		LegRefused:     to(Held, TellEnded),
		LegFailed:      to(Held, ReleaseLeg, TellEnded),
		ClientLeft:     to(Leaving, TellLeft),
	},
	Writing: {
		Stop:           to(Writing, TellQuit),
		OrderThrottle:  to(Leaving, AnswerThrottled),
		OrderTerminate: to(Leaving, AnswerTerminated),
		OrderCancel:    to(Writing, CloseLeg, ReportCancelled),
		LegRefused:     to(Held, TellEnded),
		LegFailed:      to(Held, TellEnded),
		Token:          to(Streaming, Fetched, TellStarted, Relay),
		ClientLeft:     to(Leaving, TellLeft),
	},
	Streaming: {
		LegStreamed: to(Over, AnswerStreamed, TellEnded, Forget),
		LegFailed:   to(Over, AnswerTerminated, TellEnded, Forget),
		Token:       to(Streaming, Relay),
		ClientLeft:  to(Over, CloseLeg, TellEnded, Forget),
		TimeUp:      to(Over, AnswerTerminated, CloseLeg, TellEnded, Forget),
		Stop:        to(Over, AnswerTerminated, CloseLeg, TellEnded, Forget),
		Lags:        to(Streaming, SlowLeg),
		CaughtUp:    to(Streaming, ResumeLeg),
	},
	Leaving: {
		OrderCancel: to(Leaving, CloseLeg, ReportCancelled),
		LegRead:     to(Over, TellEnded, Forget),
		LegWhole:    to(Over, TellEnded, Forget),
		LegRefused:  to(Over, TellEnded, Forget),
		LegFailed:   to(Over, ReleaseLeg, TellEnded, Forget),
		Token:       to(Over, CloseLeg, TellEnded, Forget), // it began although nobody waits: it could not be taken back
	},
	Over: {
		OrderLetGo: to(Over, Release),
	},
}

// Reached counts how often each cell was taken.
type Reached [States][Events]uint64

// Path is one generation's place in the table.
type Path struct {
	State State
}

// Take moves on. It gives what is to be done, in order; the state is the next one already, as what is done can bring
// the next event within it.
func (p *Path) Take(e Event, count *Reached) []Action {
	s := Table[p.State][e]
	if !s.Some {
		return nil
	}
	if count != nil {
		count[p.State][e]++
	}
	p.State = s.Next
	return s.Do
}

// LegOut tells whether a leg is out.
func (p *Path) LegOut() bool {
	return p.State == Reading || p.State == Writing || p.State == Streaming || p.State == Leaving
}

// Answered tells whether the client has its final answer, or has left.
func (p *Path) Answered() bool { return p.State >= Leaving }
