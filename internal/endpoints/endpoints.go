// Package endpoints follows the list of model endpoints that a discovery source pushes. Its job is to know the list at
// one version: it applies complete lists and changes, rejects what is faulty or leaves a gap, and encodes the list for
// a cache on disk. It owns the view and the subscription to the source. It relies on package subscribe for the
// connection. It never decides what follows from a list, nor how far a cached one is trusted: that is package
// endpointcache.
package endpoints

import (
	"errors"
	"fmt"

	"plumspindle/scheduler"
)

// The conditions of an entry, as the source and cached lists name them.
const (
	Ready    = "ready"    // accepts new requests
	Draining = "draining" // completes what it has
	Gone     = "gone"     // no longer exists
)

var states = map[string]scheduler.EndpointState{
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
	StartedAt int64                `json:"started_us,omitempty"` // wall clock, in µs; 0: long ago
}

// State is the entry's condition in the scheduler's terms.
func (e Entry) State() scheduler.EndpointState { return states[e.Condition] }

// Faults of an entry, which an *EntryError wraps.
var (
	ErrUnknownCondition = errors.New("unknown condition")
	ErrNoAddress        = errors.New("no address")
)

// EntryError names the entry of a list that can't be used.
type EntryError struct {
	Index int
	ID    scheduler.EndpointID
	Fault error
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("hosts[%d] (id %d): %v", e.Index, e.ID, e.Fault)
}

// Unwrap returns the fault.
func (e *EntryError) Unwrap() error { return e.Fault }

// validate checks all entries of a list; every error is an *EntryError.
func validate(entries []Entry) error {
	for i, e := range entries {
		_, known := states[e.Condition]
		switch {
		case !known:
			return &EntryError{Index: i, ID: e.ID, Fault: fmt.Errorf("%w %.20q", ErrUnknownCondition, e.Condition)}
		case e.Addr == "" && e.Condition != Gone:
			return &EntryError{Index: i, ID: e.ID, Fault: ErrNoAddress}
		}
	}
	return nil
}

// Update is one message of the source, or a cached list.
type Update struct {
	Epoch     string  `json:"epoch"`           // the source's incarnation; versions count within it
	Version   uint64  `json:"version"`         // that the list has with this update
	Since     uint64  `json:"since,omitempty"` // the version that a change starts from
	Complete  bool    `json:"whole,omitempty"` // the whole list; otherwise what has changed
	Endpoints []Entry `json:"hosts"`
	SavedAt   int64   `json:"saved_us,omitempty"` // when a cached list was written, in µs of the wall clock
}
