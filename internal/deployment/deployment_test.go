package deployment

import (
	"errors"
	"strings"
	"testing"
)

func TestStandardIsWithoutFault(t *testing.T) {
	d := Standard()
	again, err := Read("again", d.Text())
	if err != nil {
		t.Fatal(err)
	}
	if len(again.SchedulerConfig().Classes) != 5 || again.SchedulerConfig().Kinds[1].Memory != 140000 {
		t.Fatalf("lost on the way: %+v", again.SchedulerConfig())
	}
}

// All faults are told at once, each with its line, field and reason, and no key is repeated in them.
func TestEveryFaultIsNamed(t *testing.T) {
	text := strings.NewReplacer(
		`zones: "east"`, `zones: "west"`,
		"slo_ms: 1500", "slo_ms: -3",
		"revenue: 6", "revenu: 6",
		"role: WRITER", "role: SCRIBE",
		"cold_from: 0.25", "cold_from: 0.25\n  cold_from: 0.5",
	).Replace(string(standard))
	_, err := Read("x", []byte(text))
	var faults *InvalidError
	if !errors.As(err, &faults) {
		t.Fatalf("got %v", err)
	}
	want := []string{"products[1].slo_ms", "products[2].revenu", "kinds[1].role", "rules.cold_from"}
	for i, f := range faults.Fields {
		if i >= len(want) || f.Field != want[i] || !strings.Contains(strings.Split(text, "\n")[f.Line-1],
			f.Field[strings.LastIndex(f.Field, ".")+1:]) {
			t.Errorf("fault %d: %+v", i, f)
		}
	}
	if len(faults.Fields) != len(want) {
		t.Errorf("%d faults, want %d:\n%v", len(faults.Fields), len(want), err)
	}
	secret := "sk-not-a-digest"
	text = strings.Replace(string(standard), `zones: "east"`, `zones: "west"`, 1) +
		"tenants { name: \"a\" key_sha256: \"" + secret + "\" }\nfleet { }\n"
	_, err = Read("x", []byte(text))
	if err == nil || strings.Contains(err.Error(), secret) || !strings.Contains(err.Error(), "fleet: given twice") {
		t.Errorf("got %v", err)
	}
	text = strings.TrimSuffix(text, "fleet { }\n")
	_, err = Read("x", []byte(text))
	if err == nil || strings.Contains(err.Error(), secret) || !strings.Contains(err.Error(), "key_sha256") ||
		!strings.Contains(err.Error(), "zones[1]") {
		t.Errorf("got %v", err)
	}
	if _, err = Read("x", []byte("name: \"a\"\nzones {")); err == nil || !strings.Contains(err.Error(), "x:2") {
		t.Errorf("got %v", err)
	}
}
