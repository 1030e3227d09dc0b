package discovery

import (
	"errors"
	"fmt"
)

var (
	// ErrMalformedList is the error for a message that is not a list. The watcher then requests the complete list.
	ErrMalformedList = errors.New("malformed list")
	// ErrNoID is the error for an entry without the endpoint's name.
	ErrNoID = errors.New("no id")
)

// VersionError reports a change that is older than the current list. The watcher then requests the complete list.
type VersionError struct{ Received, Known uint64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("a change of version %d, where version %d is known", e.Received, e.Known)
}

// CellError reports an entry whose cell is not an unsigned 16-bit number.
type CellError struct {
	Endpoint string
	Cell     int64
}

func (e *CellError) Error() string {
	return fmt.Sprintf("host %s: cell %d is out of range", e.Endpoint, e.Cell)
}
