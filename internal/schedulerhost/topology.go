// Package schedulerhost is shared by the programs that run a scheduler. It translates the names of zones and endpoint
// kinds to the scheduler's ids and roles, and writes the scheduler's events to the log. It makes no scheduling
// decisions.
package schedulerhost

import (
	"slices"

	"github.com/rs/zerolog"

	"plumspindle/scheduler"
)

// UnknownKind stands for a kind that the configuration does not name. The scheduler sends nothing to endpoints of an
// unknown kind.
const UnknownKind scheduler.KindID = 255

// Topology holds the zones and the endpoint kinds that the configuration names.
type Topology struct {
	zones []string
	kinds []string
	roles []scheduler.Role // by index in kinds
}

// NewTopology returns a topology. The index of a name in zones or kindNames is the id of that zone or kind in the
// scheduler. If kindNames is longer than kinds, the excess names count as unknown.
func NewTopology(zones, kindNames []string, kinds []scheduler.Kind) Topology {
	t := Topology{zones: zones, kinds: kindNames[:min(len(kindNames), len(kinds))]}
	for i := range t.kinds {
		t.roles = append(t.roles, kinds[i].Role)
	}
	return t
}

// Locate returns the ids of an endpoint's zone and kind. If the configuration does not name the zone or the kind,
// Locate returns UnknownKind and logs a warning.
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

// Role returns the role of a kind, or scheduler.Decode if the configuration does not name the kind.
func (t Topology) Role(kind string) scheduler.Role {
	if i := slices.Index(t.kinds, kind); i >= 0 {
		return t.roles[i]
	}
	return scheduler.Decode
}
