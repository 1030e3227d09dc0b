package benchadapter

import (
	"fmt"

	"plumspindle/internal/settings"
	"plumspindle/scheduler"
)

// storeList stores an endpoint list under its number, for later updates that refer to it.
func (a *adapter) storeList(event record, tail []byte) error {
	entries, err := event.tail(listEntries, tail, entrySize)
	if err != nil {
		return err
	}
	number := event.byte(listNumber)
	if int(number) >= len(a.lists) {
		return fmt.Errorf("list number %d is %w", number, ErrOutOfRange)
	}
	for i := 0; i < len(entries); i += entrySize {
		state := record(entries[i:]).byte(entryState)
		if _, known := endpointStates[state]; !known {
			return fmt.Errorf("entry %d: %w", i/entrySize, &UnknownValueError{Field: "condition", Value: state})
		}
	}
	a.lists[number] = entries
	return nil
}

// updateEndpoints passes the endpoints of a stored list to an instance, or reports that the list could not be fetched.
func (a *adapter) updateEndpoints(in *instance, event record) error {
	scope, number := event.byte(updateScope), event.byte(updateList)
	if scope == scopeFailed {
		in.EndpointWatchFailed(a.now)
		return nil
	}
	if scope > scopeFailed || int(number) >= len(a.lists) {
		return fmt.Errorf("scope %d, list %d: %w", scope, number, ErrOutOfRange)
	}
	for entries := a.lists[number]; len(entries) > 0; entries = entries[entrySize:] {
		entry := record(entries)
		status := scheduler.EndpointStatus{
			ID:        scheduler.EndpointID(entry.uint32(entryEndpoint)),
			Zone:      scheduler.ZoneID(entry.byte(entryZone)),
			Kind:      scheduler.KindID(entry.byte(entryKind)),
			Cell:      scheduler.CellID(entry.uint16(entryCell)),
			State:     endpointStates[entry.byte(entryState)],
			StartedAt: settings.MicrosFromNanos(entry.uint64(entryStartedAt)),
		}
		if in.sizesListed {
			status.Size = entry.float(entryWeight)
		}
		in.EndpointUpdated(a.now, status)
	}
	in.EndpointUpdateEnded(a.now, scope != scopePartial)
	return nil
}
