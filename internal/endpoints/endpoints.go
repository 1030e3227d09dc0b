// Package endpoints maintains a copy of the list of model endpoints that a discovery source pushes. It applies complete
// lists and changes, rejects updates that are invalid or do not follow on the known version, and encodes the list for a
// cache on disk. It owns the View of the list and the subscription to the source, and uses package subscribe for the
// connection. It does not act on the list. Package endpointcache decides how far a cached list is trusted.
package endpoints

import (
	"errors"
	"fmt"

	"plumspindle/scheduler"
)

// The conditions of an entry, as the source and cached lists name them.
const (
	Ready    = "ready"    // accepts new requests
	Draining = "draining" // completes its requests but accepts no new ones
	Gone     = "gone"     // no longer exists
)

var stateByCondition = map[string]scheduler.EndpointState{
	Ready:    scheduler.Ready,
	Draining: scheduler.Draining,
	Gone:     scheduler.Removed,
}

// Entry is one endpoint of the list.
type Entry struct {
	ID        scheduler.EndpointID `json:"id"`
	Addr      string               `json:"addr"`
	Zone      string               `json:"zone"`
	Kind      string               `json:"kind"`
	Cell      uint16               `json:"cell"`
	Condition string               `json:"condition"`
	StartedAt int64                `json:"started_us,omitempty"` // wall-clock time in µs; 0 means long ago
}

// State returns the scheduler's endpoint state for the entry's condition.
func (e Entry) State() scheduler.EndpointState { return stateByCondition[e.Condition] }

// Reasons why an entry is invalid, which an *EntryError wraps.
var (
	ErrUnknownCondition = errors.New("unknown condition")
	ErrNoAddress        = errors.New("no address")
)

// EntryError reports an invalid entry of a list.
type EntryError struct {
	Index int
	ID    scheduler.EndpointID
	Err   error
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("hosts[%d] (id %d): %v", e.Index, e.ID, e.Err)
}

// Unwrap returns the reason why the entry is invalid.
func (e *EntryError) Unwrap() error { return e.Err }

// validate checks all entries of a list. It returns an *EntryError for the first invalid one.
func validate(entries []Entry) error {
	for i, e := range entries {
		_, known := stateByCondition[e.Condition]
		switch {
		case !known:
			return &EntryError{Index: i, ID: e.ID, Err: fmt.Errorf("%w %.20q", ErrUnknownCondition, e.Condition)}
		case e.Addr == "" && e.Condition != Gone:
			return &EntryError{Index: i, ID: e.ID, Err: ErrNoAddress}
		}
	}
	return nil
}

// Update is one message of the source, or a cached list.
type Update struct {
	Epoch     string  `json:"epoch"`           // identifies the run of the source; versions are comparable within it
	Version   uint64  `json:"version"`         // version of the list after this update
	Since     uint64  `json:"since,omitempty"` // version that a change starts from
	Complete  bool    `json:"whole,omitempty"` // Endpoints is the complete list, not only the changed entries
	Endpoints []Entry `json:"hosts"`
	SavedAt   int64   `json:"saved_us,omitempty"` // wall-clock time in µs at which a cached list was written
}
