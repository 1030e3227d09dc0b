package settings

import (
	"errors"
	"fmt"
)

var (
	// ErrNotObject is returned for text that is not a JSON object.
	ErrNotObject = errors.New("the start settings are not a JSON object")
	// ErrUnknownValue is the cause of an *Error for a value that is not among the known ones.
	ErrUnknownValue = errors.New("unknown")
)

// Error reports an invalid element of a list in the settings.
type Error struct {
	Key   string // name of the list
	Index int    // of the element
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("%s %d: %v", e.Key, e.Index, e.Err) }

// Unwrap returns the reason why the element is invalid.
func (e *Error) Unwrap() error { return e.Err }

// unknownValue returns the error for an element with an unknown value in a field.
func unknownValue(key string, index int, field, value string) *Error {
	return &Error{Key: key, Index: index, Err: fmt.Errorf("%w %s %q", ErrUnknownValue, field, value)}
}
