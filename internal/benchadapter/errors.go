package benchadapter

import (
	"errors"
	"fmt"
)

// Errors of a frame.
var (
	ErrHeaderTruncated = errors.New("truncated header")
	ErrBodyTruncated   = errors.New("truncated body")
	ErrFrameLength     = errors.New("invalid length")
	ErrRecordsOverflow = errors.New("records exceed the frame")
)

// Errors of a record.
var (
	ErrNoInstance      = errors.New("no instance is selected")
	ErrUnknownInstance = errors.New("unknown instance")
	ErrUnknownCode     = errors.New("unknown code")
	ErrOutOfRange      = errors.New("out of range")
	ErrTailOverflow    = errors.New("tail field exceeds the frame")
)

// FrameError is the reason why a frame could not be answered.
type FrameError struct {
	Frame uint32
	Err   error
}

func (e *FrameError) Error() string { return fmt.Sprintf("frame %d: %v", e.Frame, e.Err) }

func (e *FrameError) Unwrap() error { return e.Err }

// RecordError is the reason why a record of a frame could not be handled.
type RecordError struct {
	Index int
	Code  byte
	Err   error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d (code %d): %v", e.Index, e.Code, e.Err)
}

func (e *RecordError) Unwrap() error { return e.Err }

// UnknownValueError is the error of a field whose value is not a known code.
type UnknownValueError struct {
	Field string
	Value byte
}

func (e *UnknownValueError) Error() string { return fmt.Sprintf("unknown %s %d", e.Field, e.Value) }
