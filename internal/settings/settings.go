// Package settings reads what a dispatcher is told about the place it serves in: the settings as the bench hands them to an
// instance and as the platform writes them into a configuration. They are decoded here and nowhere else.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"math"

	"github.com/tidwall/gjson"

	"plumspindle/scheduler"
)

var (
	roles   = map[string]scheduler.Role{"read": scheduler.Prefill, "write": scheduler.Decode, "both": scheduler.Mixed}
	effects = map[string]scheduler.Effect{"read_like": scheduler.Idempotent,
		"idempotency_key": scheduler.Deduplicated, "non_idempotent": scheduler.NonIdempotent}
	groups = map[string]scheduler.Group{"all": scheduler.AllEndpoints, "zone": scheduler.SameZone, "cell": scheduler.SameCell}
)

// What holds where the settings do not say: without any time for connections nothing could be sent, and without any for a KV state each
// would have to be released before it is there.
const (
	defaultConnect scheduler.Micros = 1e6
	defaultIdle    scheduler.Micros = 10e6
	defaultLetGo   scheduler.Micros = 500e3
)

// Settings are what the settings say.
type Settings struct {
	Scheduler        scheduler.Config
	Classes          []string // names, in the order of Place.Products
	Kinds            []string // of model hosts, in the order of Place.Kinds
	Zones            []string
	Tenants          []string
	ConnectTimeout   scheduler.Micros // a connection that is not made by then counts as not to be had
	StateTimeout     scheduler.Micros // within which a state is taken or let go of
	LoadReportFields []string         // names of the values of a load report
}

// Parse decodes them. What it does not know it passes over; what it knows and can't read it names.
func Parse(raw []byte) (*Settings, error) {
	if !gjson.ValidBytes(raw) || !gjson.ParseBytes(raw).IsObject() {
		return nil, errors.New("the start settings are not a JSON object")
	}
	get := gjson.ParseBytes(raw).Get
	span := func(path string) scheduler.Micros { return MicrosFromNanos(get(path).Uint()) }
	t := &Settings{ConnectTimeout: span("limits.connect_timeout"), StateTimeout: span("domain.let_go_by"),
		Zones: names(get("localities")), Kinds: names(get("host_types")), LoadReportFields: names(get("telemetry.fields")),
		Scheduler: scheduler.Config{
			Dispatchers:     int(get("group_size").Int()),
			Zone:            scheduler.ZoneID(get("zone").Uint()),
			OverQuotaWeight: get("over_share_worth").Float(),
			DecodePrefills:  get("domain.local_read").Bool(),
			MaxAttempts:     int(get("limits.send_cap").Int()),
			CancelAllowed:   get("limits.may_cancel").Bool(),
			WatchOnDemand:   get("discovery").String() == "on_request",
			TickInterval:    span("tick"), IdleTimeout: span("limits.conn_idle"), ConnectTimeout: span("limits.connect_timeout"), WarmUp: span("obligations.cold"),
			SlowStartFactor: get("obligations.cold_from").Float(), OverloadWindow: span("obligations.fall"),
			OverloadFactor: get("obligations.fall_multiple").Float(),
		}}
	t.ConnectTimeout = cmp.Or(t.ConnectTimeout, defaultConnect)
	t.Scheduler.ConnectTimeout = t.ConnectTimeout
	t.Scheduler.IdleTimeout = cmp.Or(t.Scheduler.IdleTimeout, defaultIdle)
	t.StateTimeout = cmp.Or(t.StateTimeout, defaultLetGo)
	if get("limits.retry_after").Bool() {
		t.Scheduler.MaxRetryAfter = span("limits.max_retry_after")
	}
	perK, pace := get("domain.aim_us_per_1000_prompt_tokens").Array(), get("domain.token_aim").Array()
	for i, c := range get("request_classes").Array() {
		effect, known := effects[c.Get("repeat").String()]
		if !known {
			return nil, fmt.Errorf("request_classes %d: unknown repeat %q", i, c.Get("repeat").String())
		}
		group, known := groups[c.Get("group").String()]
		if !known && effect == scheduler.Deduplicated {
			return nil, fmt.Errorf("request_classes %d: unknown group %q", i, c.Get("group").String())
		}
		p := scheduler.Class{SLO: MicrosFromNanos(c.Get("aim").Uint()), Window: MicrosFromNanos(c.Get("window").Uint()),
			Effect: effect, Group: group, Revenue: c.Get("points").Float(), LateRevenueShare: c.Get("late_share").Float()}
		if i < len(perK) {
			p.SLOPer1000 = scheduler.Micros(perK[i].Float())
		}
		if i < len(pace) {
			p.TokenSLO = MicrosFromNanos(pace[i].Uint())
		}
		t.Scheduler.Classes = append(t.Scheduler.Classes, p)
		t.Classes = append(t.Classes, c.Get("name").String())
	}
	memory := get("domain.kv_tokens").Array()
	for i, k := range get("domain.duty_by_kind").Array() {
		role, known := roles[k.String()]
		if !known {
			return nil, fmt.Errorf("duty_by_kind %d: unknown duty %q", i, k.String())
		}
		kind := scheduler.Kind{Role: role}
		if i < len(memory) {
			kind.Memory = memory[i].Float()
		}
		t.Scheduler.Kinds = append(t.Scheduler.Kinds, kind)
	}
	for _, p := range get("projects").Array() {
		t.Scheduler.Quotas = append(t.Scheduler.Quotas, p.Get("quota_per_s").Float())
		t.Tenants = append(t.Tenants, p.Get("name").String())
	}
	return t, nil
}

func names(list gjson.Result) (all []string) {
	for _, n := range list.Array() {
		all = append(all, n.String())
	}
	return all
}

// MicrosFromNanos rounds nanoseconds down: a time limit must not look longer than it is.
func MicrosFromNanos(ns uint64) scheduler.Micros {
	return scheduler.Micros(min(ns, math.MaxInt64) / 1000)
}
