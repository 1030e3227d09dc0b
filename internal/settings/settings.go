// Package settings decodes the JSON settings that the bench sends to an instance and the platform writes into a
// configuration file. It translates them into the scheduler's configuration, with defaults for missing keys. It does no
// I/O, has no state, and does not check whether the values are consistent.
package settings

import (
	"cmp"
	"math"

	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/jsonsyntax"
	"plumspindle/scheduler"
)

// Defaults for missing timeouts. With a connect timeout of 0 no attempt could ever be sent, and with a state timeout of
// 0 each KV state would be released before it exists.
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
	ConnectTimeout   scheduler.Micros // after which an endpoint is considered unreachable
	StateTimeout     scheduler.Micros // after which an unused KV state must be released
	LoadReportFields []string         // names of the values of a load report
	SizesListed      bool             // the weights in endpoint lists are the endpoints' sizes
}

// Parse decodes settings. It ignores unknown keys. It returns an *Error for an unknown value, and ErrNotObject for text
// that is not a JSON object.
func Parse(raw []byte) (*Settings, error) {
	root := gjson.ParseBytes(raw)
	if !jsonsyntax.Valid(raw) || !root.IsObject() {
		return nil, ErrNotObject
	}
	s := &Settings{
		Scheduler:        parseScheduler(root),
		Kinds:            parseNames(root.Get("host_types")),
		Zones:            parseNames(root.Get("localities")),
		StateTimeout:     cmp.Or(parseNanos(root, "domain.let_go_by"), defaultStateTimeout),
		LoadReportFields: parseNames(root.Get("telemetry.fields")),
		SizesListed:      weightsAreSizes[root.Get("weights").String()],
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

// MicrosFromNanos converts nanoseconds to microseconds. It rounds down: a time limit must not become longer.
func MicrosFromNanos(nanos uint64) scheduler.Micros {
	const nanosPerMicro = 1000
	return scheduler.Micros(min(nanos, math.MaxInt64) / nanosPerMicro)
}
