package settings

import (
	"cmp"

	"github.com/tidwall/gjson"

	"plumspindle/scheduler"
)

// Values of enumerations by their names in the settings.
var (
	roles = map[string]scheduler.Role{
		"read":  scheduler.Prefill,
		"write": scheduler.Decode,
		"both":  scheduler.Mixed,
	}
	effects = map[string]scheduler.Effect{
		"read_like":       scheduler.Idempotent,
		"idempotency_key": scheduler.Deduplicated,
		"non_idempotent":  scheduler.NonIdempotent,
	}
	groups = map[string]scheduler.Group{
		"all":  scheduler.AllEndpoints,
		"zone": scheduler.SameZone,
		"cell": scheduler.SameCell,
	}
)

// weightsAreSizes has the meanings of the weights in endpoint lists by which these are sizes. By the others, the
// weights are all equal or depend on the load.
var weightsAreSizes = map[string]bool{"nominal": true, "rough": true}

// Keys of lists that errors refer to.
const (
	classesKey = "request_classes"
	rolesKey   = "duty_by_kind"
)

// parseScheduler decodes the scheduler's configuration except for its classes, kinds and quotas.
func parseScheduler(root gjson.Result) scheduler.Config {
	config := scheduler.Config{
		Dispatchers:     int(root.Get("group_size").Int()),
		Zone:            scheduler.ZoneID(root.Get("zone").Uint()),
		OverQuotaWeight: root.Get("over_share_worth").Float(),
		DecodePrefills:  root.Get("domain.local_read").Bool(),
		MaxAttempts:     int(root.Get("limits.send_cap").Int()),
		CancelAllowed:   root.Get("limits.may_cancel").Bool(),
		WatchOnDemand:   root.Get("discovery").String() == "on_request",
		TickInterval:    parseNanos(root, "tick"),
		IdleTimeout:     cmp.Or(parseNanos(root, "limits.conn_idle"), defaultIdleTimeout),
		ConnectTimeout:  cmp.Or(parseNanos(root, "limits.connect_timeout"), defaultConnectTimeout),
		WarmUp:          parseNanos(root, "obligations.cold"),
		SlowStartFactor: root.Get("obligations.cold_from").Float(),
		OverloadWindow:  parseNanos(root, "obligations.fall"),
		OverloadFactor:  root.Get("obligations.fall_multiple").Float(),
	}
	if root.Get("limits.retry_after").Bool() {
		config.MaxRetryAfter = parseNanos(root, "limits.max_retry_after")
	}
	return config
}

// parseClasses decodes the request classes. Two of their latency objectives come from separate lists, which may have
// fewer elements than there are classes.
func (s *Settings) parseClasses(root gjson.Result) error {
	microsPer1000Tokens := root.Get("domain.aim_us_per_1000_prompt_tokens").Array()
	nanosPerToken := root.Get("domain.token_aim").Array()
	for i, element := range root.Get(classesKey).Array() {
		class, err := parseClass(i, element)
		if err != nil {
			return err
		}
		if i < len(microsPer1000Tokens) {
			class.SLOPer1000Tokens = scheduler.Micros(microsPer1000Tokens[i].Float())
		}
		if i < len(nanosPerToken) {
			class.TokenSLO = MicrosFromNanos(nanosPerToken[i].Uint())
		}
		s.Scheduler.Classes = append(s.Scheduler.Classes, class)
		s.Classes = append(s.Classes, element.Get("name").String())
	}
	return nil
}

func parseClass(index int, element gjson.Result) (scheduler.Class, error) {
	effectName, groupName := element.Get("repeat").String(), element.Get("group").String()
	effect, known := effects[effectName]
	if !known {
		return scheduler.Class{}, unknownValue(classesKey, index, "repeat", effectName)
	}
	group, known := groups[groupName]
	if !known && effect == scheduler.Deduplicated {
		return scheduler.Class{}, unknownValue(classesKey, index, "group", groupName)
	}
	return scheduler.Class{
		SLO:              parseNanos(element, "aim"),
		DedupWindow:      parseNanos(element, "window"),
		Effect:           effect,
		Group:            group,
		Revenue:          element.Get("points").Float(),
		LateRevenueShare: element.Get("late_share").Float(),
	}, nil
}

// parseKinds decodes the role of each kind of endpoint, and its memory if the settings contain it.
func (s *Settings) parseKinds(root gjson.Result) error {
	memory := root.Get("domain.kv_tokens").Array()
	for i, element := range root.Get("domain." + rolesKey).Array() {
		role, known := roles[element.String()]
		if !known {
			return unknownValue(rolesKey, i, "duty", element.String())
		}
		kind := scheduler.Kind{Role: role}
		if i < len(memory) {
			kind.Memory = memory[i].Float()
		}
		s.Scheduler.Kinds = append(s.Scheduler.Kinds, kind)
	}
	return nil
}

func (s *Settings) parseTenants(root gjson.Result) {
	for _, element := range root.Get("projects").Array() {
		s.Scheduler.Quotas = append(s.Scheduler.Quotas, element.Get("quota_per_s").Float())
		s.Tenants = append(s.Tenants, element.Get("name").String())
	}
}

func parseNames(list gjson.Result) (names []string) {
	for _, element := range list.Array() {
		names = append(names, element.String())
	}
	return names
}

// parseNanos converts a duration in nanoseconds at a path to microseconds. A missing one is 0.
func parseNanos(parent gjson.Result, path string) scheduler.Micros {
	return MicrosFromNanos(parent.Get(path).Uint())
}
