package settings

import (
	"errors"
	"fmt"
)

var (
	// ErrNotObject is text that is no JSON object.
	ErrNotObject = errors.New("the start settings are not a JSON object")
	// ErrUnknownValue is a value that its key does not allow. An *Error wraps it.
	ErrUnknownValue = errors.New("unknown")
)

// Error is an element of a list in the settings that can't be used.
type Error struct {
	Key   string // of the list
	Index int
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("%s %d: %v", e.Key, e.Index, e.Err) }

// Unwrap returns what is wrong with the element.
func (e *Error) Unwrap() error { return e.Err }

// unknownValue is the error of an element with a value that its field does not allow.
func unknownValue(key string, index int, field, value string) *Error {
	return &Error{Key: key, Index: index, Err: fmt.Errorf("%w %s %q", ErrUnknownValue, field, value)}
}
