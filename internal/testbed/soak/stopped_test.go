package soak

import (
	"testing"
	"time"
)

// While the processes of most decode endpoints are stopped, their kernel acknowledges the data that is written to them
// and keeps their connections open. The state that a decode was to fetch must be released even so, although no process
// has accepted the decode.
func TestStateForStoppedEndpointsIsReleased(t *testing.T) {
	const (
		warmUp   = time.Second // in which connections to all endpoints are opened
		stopped  = 3 * time.Second
		duration = 5 * time.Second
	)
	binary, library := build(t)
	plan := Plan{Seed: 1, Dispatchers: 2, Prefills: 3, Decodes: 5, Clients: 4, Duration: duration,
		Deadline: 3 * time.Second,
		Binary:   binary, Library: library, Dir: recordDir(t, 0)}
	report, err := plan.runWith(func(r *run) {
		time.Sleep(warmUp)
		if !r.stopEndpoints(decodeKind, stopped) {
			t.Error("no endpoint was stopped")
		}
		time.Sleep(duration - warmUp)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if len(report.Findings)+len(report.Violations) > 0 {
		t.Error("rules were broken")
	}
}
