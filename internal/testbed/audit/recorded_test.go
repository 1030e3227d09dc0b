package audit

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/record"
)

func readCompressed(t *testing.T, path string) (events []record.Event) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	text, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(text)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var event record.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			t.Fatal(err)
		}
		events = append(events, event)
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return events
}

// The testdata holds records of runs of the real code. For each rule there is one record of a run with an injected
// fault that breaks that rule alone. The same runs without the fault pass, with each rule checked at least once.
func TestRecordedRunsBreakTheirRuleAlone(t *testing.T) {
	const minFiles, wantFaults = 8, 5
	files, err := filepath.Glob("testdata/*.ndjson.gz")
	if err != nil || len(files) < minFiles {
		t.Fatal(files, err)
	}
	faults := 0
	for _, path := range files {
		broken := noRule
		name := filepath.Base(path)
		if number, isFault := strings.CutPrefix(name, "rule"); isFault {
			broken = int(number[0] - '1')
			faults++
		}
		t.Run(name, func(t *testing.T) {
			verdict := Judge(deployment.Standard(), readCompressed(t, path))
			for i, rule := range verdict.Rules {
				if (len(rule.Violations) > 0) != (i == broken) || rule.Checked == 0 {
					t.Errorf("rule %d: %d violations, %d checked", i+1, len(rule.Violations), rule.Checked)
				}
			}
		})
	}
	if faults != wantFaults {
		t.Errorf("%d records with a fault, want %d", faults, wantFaults)
	}
}
