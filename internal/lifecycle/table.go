package lifecycle

// Transition is one cell of the table. If Defined is false, the event can't occur in that state or comes too late to
// matter, and Fire ignores it.
type Transition struct {
	Next    State
	Actions []Action
	Defined bool
}

func to(next State, actions ...Action) Transition {
	return Transition{Next: next, Actions: actions, Defined: true}
}

// Transitions is the complete table, indexed by state and event.
var Transitions = [StateCount][EventCount]Transition{
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
		ReleaseOrdered:     to(Decoding, ReleaseState),
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
		ReleaseOrdered:       to(Closing, ReleaseState),
		// The answer began after the client got its final answer or disconnected, because the decode attempt was not
		// cancelled in time.
		EventReceived: to(Done, CloseAttempt, NotifyEnded, Forget),
	},
	Done: {
		ReleaseOrdered: to(Done, ReleaseState),
	},
}
