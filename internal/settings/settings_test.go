package settings

import (
	"errors"
	"math"
	"reflect"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

const complete = `{"group_size": 3, "tick": 4000000, "zone": 1, "over_share_worth": 0.5, "discovery": "on_request",
"localities": ["west", "east"], "host_types": ["prefill", "decode", "mixed"],
"telemetry": {"fields": ["x1", "x0"]}, "weights": "rough",
"domain": {"duty_by_kind": ["read", "write", "both"], "kv_tokens": [200000, 140000], "let_go_by": 300000000,
	"local_read": true, "aim_us_per_1000_prompt_tokens": [1500], "token_aim": [40000000, 50000999]},
"limits": {"send_cap": 6, "may_cancel": true, "connect_timeout": 250000000, "conn_idle": 30000000000,
	"retry_after": true, "max_retry_after": 2000000000},
"obligations": {"cold": 14000000000, "cold_from": 0.25, "fall": 2000000000, "fall_multiple": 2.5},
"request_classes": [
	{"name": "explain", "aim": 1000000000, "repeat": "read_like", "points": 2.0, "late_share": 0.3},
	{"name": "act", "aim": 2000000000, "window": 5000000000, "repeat": "idempotency_key", "group": "cell"},
	{"name": "pay", "repeat": "non_idempotent"}],
"projects": [{"name": "a", "quota_per_s": 12.5}, {"name": "b", "quota_per_s": 3}]}`

func TestParseReadsAllSections(t *testing.T) {
	got, err := Parse([]byte(complete))
	if err != nil {
		t.Fatal(err)
	}
	want := &Settings{
		Scheduler: scheduler.Config{
			Dispatchers:     3,
			Zone:            1,
			OverQuotaWeight: 0.5,
			DecodePrefills:  true,
			MaxAttempts:     6,
			CancelAllowed:   true,
			MaxRetryAfter:   2 * eventloop.Second,
			WatchOnDemand:   true,
			TickInterval:    4 * eventloop.Millisecond,
			IdleTimeout:     30 * eventloop.Second,
			ConnectTimeout:  250 * eventloop.Millisecond,
			WarmUp:          14 * eventloop.Second,
			SlowStartFactor: 0.25,
			OverloadWindow:  2 * eventloop.Second,
			OverloadFactor:  2.5,
			Classes: []scheduler.Class{
				{
					SLO: eventloop.Second, SLOPer1000Tokens: 1500, TokenSLO: 40 * eventloop.Millisecond,
					Effect: scheduler.Idempotent, Revenue: 2, LateRevenueShare: 0.3,
				},
				{
					SLO: 2 * eventloop.Second, TokenSLO: 50 * eventloop.Millisecond, DedupWindow: 5 * eventloop.Second,
					Effect: scheduler.Deduplicated, Group: scheduler.SameCell,
				},
				{Effect: scheduler.NonIdempotent},
			},
			Kinds: []scheduler.Kind{
				{Role: scheduler.Prefill, Memory: 200000},
				{Role: scheduler.Decode, Memory: 140000},
				{Role: scheduler.Mixed},
			},
			Quotas: []float64{12.5, 3},
		},
		Classes:          []string{"explain", "act", "pay"},
		Kinds:            []string{"prefill", "decode", "mixed"},
		Zones:            []string{"west", "east"},
		Tenants:          []string{"a", "b"},
		ConnectTimeout:   250 * eventloop.Millisecond,
		StateTimeout:     300 * eventloop.Millisecond,
		LoadReportFields: []string{"x1", "x0"},
		SizesListed:      true,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%+v\nwant\n%+v", got, want)
	}
}

func TestParseDefaults(t *testing.T) {
	got, err := Parse([]byte(`{"limits": {"max_retry_after": 2000000000}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := &Settings{
		Scheduler: scheduler.Config{
			IdleTimeout:    defaultIdleTimeout,
			ConnectTimeout: defaultConnectTimeout,
		},
		ConnectTimeout: defaultConnectTimeout,
		StateTimeout:   defaultStateTimeout,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%+v\nwant\n%+v", got, want)
	}
}

// The weights of lists that depend on the load must not pass for sizes.
func TestWeightsAreSizesOnlyWhereTheSettingsSaySo(t *testing.T) {
	meanings := map[string]bool{"nominal": true, "rough": true, "live": false, "silent": false, "other": false}
	for meaning, want := range meanings {
		got, err := Parse([]byte(`{"weights": "` + meaning + `"}`))
		if err != nil || got.SizesListed != want {
			t.Errorf("%s: %+v, %v, want %v", meaning, got, err, want)
		}
	}
}

func TestParseErrorNamesListIndexAndValue(t *testing.T) {
	for name, test := range map[string]struct {
		raw   string
		key   string
		index int
		text  string
	}{
		"unknown repeat": {
			`{"request_classes": [{"repeat": "read_like"}, {"repeat": "often"}]}`,
			"request_classes", 1, `request_classes 1: unknown repeat "often"`,
		},
		"unknown group of a class that uses it": {
			`{"request_classes": [{"repeat": "read_like", "group": "x"}, {"repeat": "idempotency_key", "group": "x"}]}`,
			"request_classes", 1, `request_classes 1: unknown group "x"`,
		},
		"unknown duty": {
			`{"domain": {"duty_by_kind": ["read", "wrote"]}}`,
			"duty_by_kind", 1, `duty_by_kind 1: unknown duty "wrote"`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(test.raw))
			var invalid *Error
			if !errors.As(err, &invalid) || !errors.Is(err, ErrUnknownValue) {
				t.Fatalf("error %v, want an *Error that wraps ErrUnknownValue", err)
			}
			if invalid.Key != test.key || invalid.Index != test.index || err.Error() != test.text {
				t.Errorf("%s[%d]: %v, want %s", invalid.Key, invalid.Index, err, test.text)
			}
		})
	}
}

func TestParseRejectsTextThatIsNoObject(t *testing.T) {
	for _, raw := range []string{"", "[]", `"x"`, `{"tick": 1`, "{} {}"} {
		if _, err := Parse([]byte(raw)); !errors.Is(err, ErrNotObject) {
			t.Errorf("%q: error %v, want ErrNotObject", raw, err)
		}
	}
}

func TestMicrosFromNanosRoundsDown(t *testing.T) {
	for nanos, want := range map[uint64]scheduler.Micros{
		0:              0,
		999:            0,
		1999:           1,
		math.MaxInt64:  math.MaxInt64 / 1000,
		math.MaxUint64: math.MaxInt64 / 1000,
	} {
		if got := MicrosFromNanos(nanos); got != want {
			t.Errorf("%d ns: %d µs, want %d", nanos, got, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(complete)
	f.Add(`{"request_classes": [{}], "domain": {"duty_by_kind": {"0": []}}}`)
	f.Fuzz(func(t *testing.T, raw string) {
		s, err := Parse([]byte(raw))
		if (s == nil) == (err == nil) {
			t.Fatalf("%+v, %v", s, err)
		}
		if s == nil {
			return
		}
		if s.ConnectTimeout <= 0 || s.StateTimeout <= 0 || len(s.Classes) != len(s.Scheduler.Classes) {
			t.Errorf("%+v", s)
		}
	})
}
