// Package settings decodes the settings of a deployment: as the bench hands them to an instance, and as the platform
// writes them into a configuration file. Its job is the one translation from their keys into the scheduler's
// configuration, with defaults for what is left out. It is free of I/O and owns nothing. It never judges whether
// values make sense together.
package settings

import (
	"cmp"
	"math"

	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// Defaults for what the settings leave out. Without any time to connect nothing could be sent, and without any for a KV
// state each would have to be released before it is there.
const (
	defaultConnectTimeout = eventloop.Second
	defaultIdleTimeout    = 10 * eventloop.Second
	defaultStateTimeout   = 500 * eventloop.Millisecond
)

// Settings are the decoded settings.
type Settings struct {
	Scheduler        scheduler.Config
	Classes          []string         // names, in the order of Scheduler.Classes
	Kinds            []string         // names, in the order of Scheduler.Kinds
	Zones            []string         // names, by scheduler.ZoneID
	Tenants          []string         // names, in the order of Scheduler.Quotas
	ConnectTimeout   scheduler.Micros // until an endpoint counts as unreachable
	StateTimeout     scheduler.Micros // until a KV state that nothing uses has to be released
	LoadReportFields []string         // names of the values of a load report
}

// Parse decodes settings. Unknown keys are ignored. A value that can't be used is an *Error; text that is no JSON
// object is ErrNotObject.
func Parse(raw []byte) (*Settings, error) {
	root := gjson.ParseBytes(raw)
	if !gjson.ValidBytes(raw) || !root.IsObject() {
		return nil, ErrNotObject
	}
	s := &Settings{
		Scheduler:        parseScheduler(root),
		Kinds:            parseNames(root.Get("host_types")),
		Zones:            parseNames(root.Get("localities")),
		StateTimeout:     cmp.Or(parseSpan(root, "domain.let_go_by"), defaultStateTimeout),
		LoadReportFields: parseNames(root.Get("telemetry.fields")),
	}
	s.ConnectTimeout = s.Scheduler.ConnectTimeout
	if err := s.parseClasses(root); err != nil {
		return nil, err
	}
	if err := s.parseKinds(root); err != nil {
		return nil, err
	}
	s.parseTenants(root)
	return s, nil
}

// MicrosFromNanos rounds down: a time limit must not look longer than it is.
func MicrosFromNanos(nanos uint64) scheduler.Micros {
	const nanosPerMicro = 1000
	return scheduler.Micros(min(nanos, math.MaxInt64) / nanosPerMicro)
}
