// Package schedulerhost is what the programs that run a scheduler have in common: the names of zones and kinds in the
// scheduler's terms, and its events in the log. It relies on the scheduler's types and on zerolog, stores only names,
// and decides nothing.
package schedulerhost

import (
	"slices"

	"github.com/rs/zerolog"

	"plumspindle/scheduler"
)

// UnknownKind is a kind that the configuration does not name; the scheduler sends nothing to its endpoints.
const UnknownKind scheduler.KindID = 255

// Topology is the zones and the kinds of endpoints that the configuration names.
type Topology struct {
	zones []string
	kinds []string
	roles []scheduler.Role // by kind
}

// NewTopology takes the names of zones and kinds in the order of the scheduler's numbers. Names beyond the
// scheduler's kinds are unknown kinds.
func NewTopology(zones, kindNames []string, kinds []scheduler.Kind) Topology {
	t := Topology{zones: zones, kinds: kindNames[:min(len(kindNames), len(kinds))]}
	for i := range t.kinds {
		t.roles = append(t.roles, kinds[i].Role)
	}
	return t
}

// Locate returns the numbers of an endpoint's zone and kind. Where the configuration does not name one of them the kind
// is UnknownKind, and a warning is logged.
func (t Topology) Locate(log *zerolog.Logger, endpoint, zone, kind string) (scheduler.ZoneID, scheduler.KindID) {
	zoneIndex := slices.Index(t.zones, zone)
	if zoneIndex < 0 {
		log.Warn().Str("endpoint", endpoint).Str("zone", zone).Msg("endpoint in an unknown zone")
		return 0, UnknownKind
	}
	kindIndex := slices.Index(t.kinds, kind)
	if kindIndex < 0 {
		log.Warn().Str("endpoint", endpoint).Str("kind", kind).Msg("endpoint of an unknown kind")
		return scheduler.ZoneID(zoneIndex), UnknownKind
	}
	return scheduler.ZoneID(zoneIndex), scheduler.KindID(kindIndex)
}

// Role returns the role of a kind; one that the configuration does not name counts as scheduler.Decode.
func (t Topology) Role(kind string) scheduler.Role {
	if i := slices.Index(t.kinds, kind); i >= 0 {
		return t.roles[i]
	}
	return scheduler.Decode
}
