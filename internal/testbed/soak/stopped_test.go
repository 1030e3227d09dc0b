package soak

import (
	"testing"
	"time"
)

// TestStateForStoppedEndpointsIsReleased: while most decode endpoints are stopped, their machine confirms what is
// written to them and keeps their connections open. A decode that none of their processes has taken must not keep the
// state that it was to fetch.
func TestStateForStoppedEndpointsIsReleased(t *testing.T) {
	const (
		warmUp   = time.Second // in which connections to all endpoints are made
		stopped  = 3 * time.Second
		duration = 5 * time.Second
	)
	binary, library := build(t)
	plan := Plan{Seed: 1, Dispatchers: 2, Prefills: 3, Decodes: 5, Clients: 4, Duration: duration,
		Deadline: 3 * time.Second,
		Binary:   binary, Library: library, Dir: recordDir(t, 0)}
	report, err := plan.play(func(r *run) {
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
