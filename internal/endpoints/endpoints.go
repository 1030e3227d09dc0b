// Package endpoints follows the list of model hosts that discovery pushes: whole lists, changes to them, breaks.
// Follower is the state machine, free of I/O; Client keeps a connection to the source for it.
package endpoints

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"plumspindle/internal/subscribe"
	"plumspindle/scheduler"
)

// Entry is one line of the list.
type Entry struct {
	ID        scheduler.EndpointID `json:"id"`
	Addr      string               `json:"addr"`
	Zone      string               `json:"zone"`
	Kind      string               `json:"kind"`
	Cell      uint16               `json:"cell"`
	Condition string               `json:"condition"` // ready, draining or gone
	StartedAt int64                `json:"started_us,omitempty"`
}

// Update is one message: the whole list, or what has changed since a version.
type Update struct {
	Epoch     string  `json:"epoch"` // of the source's own life; versions count within it
	Version   uint64  `json:"version"`
	Since     uint64  `json:"since,omitempty"`
	Complete  bool    `json:"whole,omitempty"`
	Endpoints []Entry `json:"hosts"`
	SavedAt   int64   `json:"saved_us,omitempty"` // when it was kept; only in a kept list
}

var conditions = map[string]scheduler.EndpointState{"ready": scheduler.Ready, "draining": scheduler.Draining, "gone": scheduler.Removed}

// State is what an entry says of its host, in the module's terms.
func (e Entry) State() scheduler.EndpointState { return conditions[e.Condition] }

// View knows the list as it was last told.
type View struct {
	Epoch     string
	Version   uint64
	Endpoints map[scheduler.EndpointID]Entry
}

// Apply reads one message. It gives the entries to be passed on, and whether they are the whole list; none for a
// message that tells nothing new. A faulty message changes nothing.
func (f *View) Apply(data []byte) (news []Entry, whole bool, err error) {
	var l Update
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, false, fmt.Errorf("not a list: %w", err)
	}
	for i, e := range l.Endpoints {
		if _, known := conditions[e.Condition]; !known {
			return nil, false, fmt.Errorf("hosts[%d] (id %d): unknown condition %.20q", i, e.ID, e.Condition)
		}
		if e.Addr == "" && e.Condition != "gone" {
			return nil, false, fmt.Errorf("hosts[%d] (id %d): no address", i, e.ID)
		}
	}
	same := l.Epoch == f.Epoch
	switch {
	case same && l.Version < f.Version, same && !l.Complete && l.Version == f.Version:
		return nil, false, nil // told late, what is known is newer
	case !l.Complete && (!same || l.Since != f.Version):
		return nil, false, &subscribe.GapError{Have: f.Version, Since: l.Since}
	}
	if l.Complete || f.Endpoints == nil {
		f.Endpoints = make(map[scheduler.EndpointID]Entry, len(l.Endpoints))
	}
	for _, e := range l.Endpoints {
		if e.Condition == "gone" {
			delete(f.Endpoints, e.ID)
		} else {
			f.Endpoints[e.ID] = e
		}
	}
	f.Epoch, f.Version = l.Epoch, l.Version
	return l.Endpoints, l.Complete, nil
}

// Snapshot is the list as it is known, for keeping.
func (f *View) Snapshot(now int64) []byte {
	l := Update{SavedAt: now, Epoch: f.Epoch, Version: f.Version, Complete: true, Endpoints: make([]Entry, 0, len(f.Endpoints))}
	for _, id := range slices.Sorted(maps.Keys(f.Endpoints)) {
		l.Endpoints = append(l.Endpoints, f.Endpoints[id])
	}
	b, _ := json.Marshal(l)
	return b
}

// Restore takes a kept list before the source was heard, and tells when it was kept. Its versions are not believed: the
// source's first word is the whole list whatever was kept.
func (f *View) Restore(kept []byte) (entries []Entry, saved int64, err error) {
	entries, _, err = f.Apply(kept)
	var l Update
	if err == nil {
		err = json.Unmarshal(kept, &l)
	}
	f.Epoch, f.Version = "", 0
	return entries, l.SavedAt, err
}
