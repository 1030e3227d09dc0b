package endpoints

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"plumspindle/internal/subscribe"
	"plumspindle/scheduler"
)

// View is the list of endpoints at the known version. The zero value is an empty list without a version.
type View struct {
	Epoch     string
	Version   uint64
	Endpoints map[scheduler.EndpointID]Entry
}

// Apply applies a message of the source. It returns the entries of the message, and whether they are the complete list.
// It returns no entries if the message is outdated. If Apply returns an error, the message has changed nothing: the
// error is a *subscribe.GapError if the message does not follow on the known version, and an *EntryError if an entry is
// invalid.
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
	if v.isOutdated(update) {
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

// isOutdated reports whether an update was already applied or is older than the known version. A complete list of the
// known version is not outdated and is applied again.
func (v *View) isOutdated(update *Update) bool {
	if update.Epoch != v.Epoch {
		return false
	}
	return update.Version < v.Version || update.Version == v.Version && !update.Complete
}

// Snapshot encodes the list for a cache. now is the wall-clock time in µs.
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
	data, _ := json.Marshal(update) // can't fail, as all fields are strings, numbers and booleans
	return data
}

// Restore applies a cached list. It must be called before any update from the source is applied. It returns the entries
// and the time at which they were saved. It forgets the cached version, so that the first update from the source must
// be a complete list.
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

// Reset forgets the version, so that the next update must be a complete list.
func (v *View) Reset() { v.Epoch, v.Version = "", 0 }
