package soak

import (
	"fmt"
	"os"
)

// maxDescriptors is the limit on file descriptors of each dispatcher.
const maxDescriptors = 512

// settingsFormat is the format of a dispatcher's settings, a part of its configuration.
const settingsFormat = `{"group_size": %[1]d, "tick": 4000000, "zone": 0,
"localities": ["west"], "host_types": ["prefill", "decode"],
"domain": {"duty_by_kind": ["read", "write"], "kv_tokens": [900000, 900000],
 "token_aim": [50000000, 50000000, 50000000], "let_go_by": %[2]d, "local_read": true},
"limits": {"send_cap": %[3]d, "may_cancel": %[4]v, "retry_after": true, "max_retry_after": 1000000000,
 "connect_timeout": 250000000, "conn_idle": 4000000000},
"obligations": {"cold": 8000000000, "cold_from": 0.25, "fall": 2000000000, "fall_multiple": 2.5},
"request_classes": [
 {"name": "chat", "aim": 500000000, "deadline": %[5]d, "repeat": "read_like", "points": 1.0, "late_share": 0.5},
 {"name": "note", "aim": 500000000, "deadline": %[5]d, "repeat": "idempotency_key", "group": "all", "window": %[6]d,
  "points": 2.0, "late_share": 0.5},
 {"name": "post", "aim": 500000000, "deadline": %[5]d, "repeat": "non_idempotent", "points": 3.0,
  "late_share": 0.5}]}`

// configFormat is the format of a dispatcher's configuration on the platform.
const configFormat = `{"name":"n%d","listen":%q,"discovery":%q,"seed":"%x",` +
	`"limits":{"cores":1.0,"memory_mb":112,"sockets":%d},"settings":%s}`

// writeConfig writes a dispatcher's configuration, with the address of the discovery agent that it is to follow.
func (r *run) writeConfig(d *dispatcher) error {
	settings := fmt.Sprintf(settingsFormat, r.Dispatchers, stateLease.Nanoseconds(), 3+r.Seed%4, r.Seed%3 != 0,
		r.Deadline.Nanoseconds(), repeatWindow.Nanoseconds())
	agent := r.address(agentAddress, d.number, agentPort+r.agentOf[d.number])
	text := fmt.Sprintf(configFormat, d.number, d.address, agent, r.Seed+int64(d.number), maxDescriptors, settings)
	part := d.configPath + ".part"
	if err := os.WriteFile(part, []byte(text), 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return os.Rename(part, d.configPath)
}
