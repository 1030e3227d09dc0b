package settings

import (
	"errors"
	"fmt"
)

var (
	// ErrNotObject is text that is no JSON object.
	ErrNotObject = errors.New("the start settings are not a JSON object")
	// ErrUnknownValue is a value that is none of those that its key may have. An *Error wraps it.
	ErrUnknownValue = errors.New("unknown")
)

// Error is an element of a list in the settings that can't be used.
type Error struct {
	Key   string // of the list
	Index int
	Fault error
}

func (e *Error) Error() string { return fmt.Sprintf("%s %d: %v", e.Key, e.Index, e.Fault) }

// Unwrap returns the fault.
func (e *Error) Unwrap() error { return e.Fault }

// unknownValue names a value of a list's element that is not known.
func unknownValue(key string, index int, field, value string) *Error {
	return &Error{Key: key, Index: index, Fault: fmt.Errorf("%w %s %q", ErrUnknownValue, field, value)}
}
