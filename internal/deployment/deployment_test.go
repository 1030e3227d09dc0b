package deployment

import (
	"errors"
	"strings"
	"testing"
)

func TestStandardIsValid(t *testing.T) {
	d := Standard()
	again, err := Read("again", d.Text())
	if err != nil {
		t.Fatal(err)
	}
	if config := again.SchedulerConfig(); len(config.Classes) != 5 || config.Kinds[1].Memory != 140000 {
		t.Fatalf("the configuration after encoding and reading: %+v", config)
	}
}

// TestEveryErrorIsReported checks that all errors of a text are reported together, each with its field and line.
func TestEveryErrorIsReported(t *testing.T) {
	text := strings.NewReplacer(
		`zones: "east"`, `zones: "west"`,
		"slo_ms: 1500", "slo_ms: -3",
		"revenue: 6", "revenu: 6",
		"role: WRITER", "role: SCRIBE",
		"cold_from: 0.25", "cold_from: 0.25\n  cold_from: 0.5",
	).Replace(string(standard))
	_, err := Read("x", []byte(text))
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	want := []string{"products[1].slo_ms", "products[2].revenu", "kinds[1].role", "rules.cold_from"}
	lines := strings.Split(text, "\n")
	for i, field := range invalid.Fields {
		name := field.Field[strings.LastIndex(field.Field, ".")+1:]
		if i >= len(want) || field.Field != want[i] || !strings.Contains(lines[field.Line-1], name) {
			t.Errorf("error %d: %+v", i, field)
		}
	}
	if len(invalid.Fields) != len(want) {
		t.Errorf("%d errors, want %d:\n%v", len(invalid.Fields), len(want), err)
	}
	var first FieldError
	if !errors.As(err, &first) || first != invalid.Fields[0] {
		t.Errorf("the first error is %+v", first)
	}
}

// TestErrorsNameNoKey checks that errors of all stages, from parsing to validation, name the place in the text, and
// that none of them contains a key.
func TestErrorsNameNoKey(t *testing.T) {
	const secret = "sk-not-a-digest"
	invalid := strings.Replace(string(standard), `zones: "east"`, `zones: "west"`, 1) +
		"tenants { name: \"a\" key_sha256: \"" + secret + "\" }\n"
	for _, test := range []struct {
		name, text string
		want       []string
	}{
		{"a message given twice", invalid + "fleet { }\n", []string{"fleet: given twice"}},
		{"invalid values", invalid, []string{"key_sha256", "zones[1]"}},
		{"not in text format", "name: \"a\"\nzones {", []string{"x:2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Read("x", []byte(test.text))
			if err == nil || strings.Contains(err.Error(), secret) {
				t.Fatalf("got %v", err)
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got %v, want %s", err, want)
				}
			}
		})
	}
}
