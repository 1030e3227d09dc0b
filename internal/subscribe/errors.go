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

// GapError is a change that does not follow on the version that is known; only a subscription to everything helps.
type GapError struct {
	Have  uint64 // the version known
	Since uint64 // the version that the change starts from
}

func (e *GapError) Error() string {
	return fmt.Sprintf("a change since version %d, where version %d is known", e.Since, e.Have)
}

// StatusError is a response whose status is not 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("response with status %d", e.Status) }
