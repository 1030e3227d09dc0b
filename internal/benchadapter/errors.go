package benchadapter

import (
	"errors"
	"fmt"
)

// What can be wrong with a frame.
var (
	ErrHeaderTruncated = errors.New("cut short in its header")
	ErrBodyTruncated   = errors.New("cut short after its header")
	ErrFrameLength     = errors.New("impossible length")
	ErrRecordsOverflow = errors.New("do not fit into it")
)

// What can be wrong with a record.
var (
	ErrNoInstance      = errors.New("comes before any instance is named")
	ErrUnknownInstance = errors.New("was never started")
	ErrUnknownCode     = errors.New("unknown code")
	ErrOutOfRange      = errors.New("out of range")
	ErrTailOverflow    = errors.New("its tail field points past the frame")
)

// FrameError is why a frame could not be answered.
type FrameError struct {
	Frame uint32
	Err   error
}

func (e *FrameError) Error() string { return fmt.Sprintf("frame %d: %v", e.Frame, e.Err) }

func (e *FrameError) Unwrap() error { return e.Err }

// RecordError is why a record of a frame could not be handled.
type RecordError struct {
	Index int
	Code  byte
	Err   error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d (code %d): %v", e.Index, e.Code, e.Err)
}

func (e *RecordError) Unwrap() error { return e.Err }

// UnknownValueError is a code that names no value of its field.
type UnknownValueError struct {
	Field string
	Value byte
}

func (e *UnknownValueError) Error() string { return fmt.Sprintf("unknown %s %d", e.Field, e.Value) }
