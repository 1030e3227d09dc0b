package schedulerhost

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/scheduler"
)

func TestTopologyLocatesEndpoints(t *testing.T) {
	topology := NewTopology([]string{"west", "east"}, []string{"small", "large", "beyond"},
		[]scheduler.Kind{{Role: scheduler.Prefill}, {Role: scheduler.Mixed}})
	for _, test := range []struct {
		zone, kind string
		wantZone   scheduler.ZoneID
		wantKind   scheduler.KindID
		wantRole   scheduler.Role
		wantLog    string
	}{
		{"west", "small", 0, 0, scheduler.Prefill, ""},
		{"east", "large", 1, 1, scheduler.Mixed, ""},
		{"north", "small", 0, UnknownKind, scheduler.Prefill, `"zone":"north","message":"endpoint in an unknown zone"`},
		{"east", "other", 1, UnknownKind, scheduler.Decode, `"kind":"other","message":"endpoint of an unknown kind"`},
		{"east", "beyond", 1, UnknownKind, scheduler.Decode, `"message":"endpoint of an unknown kind"`},
	} {
		var out bytes.Buffer
		log := zerolog.New(&out)
		zone, kind := topology.Locate(&log, "h7", test.zone, test.kind)
		if zone != test.wantZone || kind != test.wantKind || topology.Role(test.kind) != test.wantRole {
			t.Errorf("%s %s: zone %d, kind %d, role %d", test.zone, test.kind, zone, kind, topology.Role(test.kind))
		}
		if text := out.String(); !strings.Contains(text, test.wantLog) || (text == "") != (test.wantLog == "") {
			t.Errorf("%s %s: logged %s, want %s", test.zone, test.kind, text, test.wantLog)
		}
	}
}
