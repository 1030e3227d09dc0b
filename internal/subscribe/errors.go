package subscribe

import (
	"errors"
	"fmt"
)

var (
	errEnded     = errors.New("the source ended the response")
	errSilent    = errors.New("no data within the silence timeout")
	errNotObject = errors.New("not a JSON object")
)

// GapError reports a change that does not start from the known version, so that changes are missing. The client has to
// request the complete state.
type GapError struct {
	Have  uint64 // known version
	Since uint64 // version that the change starts from
}

func (e *GapError) Error() string {
	return fmt.Sprintf("received a change from version %d, but version %d is known", e.Since, e.Have)
}

// StatusError reports a response whose status is not 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("response with status %d", e.Status) }
