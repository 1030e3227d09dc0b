package platform

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"
)

// TestSummaryInLogs checks that the log line of a summary has the keys that docs/on-call.md names, and that the counts
// of outcomes are keyed by name.
func TestSummaryInLogs(t *testing.T) {
	env := newTestEnv(t, 256, defaultEndpointKinds...)
	env.finalStatus(env.sendRequest("post"))
	var line bytes.Buffer
	log := zerolog.New(&line)
	log.Info().EmbedObject(env.dispatcher.Summary()).Msg("status")
	var got struct {
		Requests       *int           `json:"requests"`
		UnsentBytes    *int           `json:"unsent_bytes"`
		ReadyEndpoints int            `json:"ready_endpoints"`
		Violations     *int           `json:"violations"`
		BlockedSends   *int           `json:"blocked_sends"`
		LateReleases   *int           `json:"late_releases"`
		Completed      int            `json:"completed"`
		Outcomes       map[string]int `json:"outcomes"`
	}
	if err := json.Unmarshal(line.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]*int{
		"requests":      got.Requests,
		"unsent_bytes":  got.UnsentBytes,
		"violations":    got.Violations,
		"blocked_sends": got.BlockedSends,
		"late_releases": got.LateReleases,
	} {
		if value == nil || *value != 0 {
			t.Errorf("%s is not 0 in %s", name, line.Bytes())
		}
	}
	outcomesGood := len(got.Outcomes) == 2 && got.Outcomes["completed"] == 1 && got.Outcomes["prefill_done"] == 1
	if got.ReadyEndpoints != 4 || got.Completed != 1 || !outcomesGood {
		t.Errorf("the line is %s", line.Bytes())
	}
}
