package endpoints

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"plumspindle/internal/subscribe"
	"plumspindle/scheduler"
)

// View is the list at the version known. The zero value knows none.
type View struct {
	Epoch     string
	Version   uint64
	Endpoints map[scheduler.EndpointID]Entry
}

// Apply applies one message. It returns the entries to be passed on, and whether they are the complete list; no entries
// for a message that is older than what is known. A message with an error changes nothing: one that does not follow on
// what is known is a *subscribe.GapError, a faulty entry an *EntryError.
func (v *View) Apply(data []byte) (entries []Entry, complete bool, err error) {
	var update Update
	if err := json.Unmarshal(data, &update); err != nil {
		return nil, false, fmt.Errorf("not a list: %w", err)
	}
	return v.apply(&update)
}

func (v *View) apply(update *Update) (entries []Entry, complete bool, err error) {
	if err := validate(update.Endpoints); err != nil {
		return nil, false, err
	}
	if v.isKnown(update) {
		return nil, false, nil
	}
	if !update.Complete && (update.Epoch != v.Epoch || update.Since != v.Version) {
		return nil, false, &subscribe.GapError{Have: v.Version, Since: update.Since}
	}
	if update.Complete || v.Endpoints == nil {
		v.Endpoints = make(map[scheduler.EndpointID]Entry, len(update.Endpoints))
	}
	for _, entry := range update.Endpoints {
		if entry.Condition == Gone {
			delete(v.Endpoints, entry.ID)
		} else {
			v.Endpoints[entry.ID] = entry
		}
	}
	v.Epoch, v.Version = update.Epoch, update.Version
	return update.Endpoints, update.Complete, nil
}

// isKnown reports whether an update was overtaken by a newer one. A complete list of the version known is applied all
// the same.
func (v *View) isKnown(update *Update) bool {
	if update.Epoch != v.Epoch {
		return false
	}
	return update.Version < v.Version || update.Version == v.Version && !update.Complete
}

// Snapshot encodes the list for a cache, as written at a time.
func (v *View) Snapshot(now int64) []byte {
	update := Update{
		Epoch:     v.Epoch,
		Version:   v.Version,
		Complete:  true,
		Endpoints: make([]Entry, 0, len(v.Endpoints)),
		SavedAt:   now,
	}
	for _, id := range slices.Sorted(maps.Keys(v.Endpoints)) {
		update.Endpoints = append(update.Endpoints, v.Endpoints[id])
	}
	data, _ := json.Marshal(update) // can't fail: all fields are plain
	return data
}

// Restore applies a cached list, before anything was received from the source. It returns the entries and when they
// were written. The cached version is forgotten, so that the first update from the source has to be a complete list.
func (v *View) Restore(cached []byte) (entries []Entry, savedAt int64, err error) {
	defer v.Reset()
	var update Update
	if err := json.Unmarshal(cached, &update); err != nil {
		return nil, 0, fmt.Errorf("not a list: %w", err)
	}
	entries, _, err = v.apply(&update)
	if err != nil {
		return nil, 0, err
	}
	return entries, update.SavedAt, nil
}

// Reset forgets the version, so that only a complete list follows on it.
func (v *View) Reset() { v.Epoch, v.Version = "", 0 }
