package discovery

import (
	"errors"
	"fmt"
)

var (
	// ErrMalformedList is a message that is no list; the complete list is asked for after it.
	ErrMalformedList = errors.New("malformed list")
	// ErrNoID is an entry without the endpoint's name.
	ErrNoID = errors.New("no id")
)

// VersionError is a change that is older than the list known; the complete list is asked for after it.
type VersionError struct{ Received, Known uint64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("a change of version %d, where version %d is known", e.Received, e.Known)
}

// CellError is an entry whose cell is no 16-bit number.
type CellError struct {
	Endpoint string
	Cell     int64
}

func (e *CellError) Error() string {
	return fmt.Sprintf("host %s: cell %d is out of range", e.Endpoint, e.Cell)
}
