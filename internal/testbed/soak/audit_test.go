package soak

import (
	"strings"
	"testing"
)

const ms = 1000 // microseconds

// good is a request's course that keeps all rules; change makes it another.
func good(class string, change func(events []Event) []Event) []Event {
	events := []Event{
		{At: 1000 * ms, Kind: Sent, ID: "r", Class: class, Dispatcher: "d", Value: 1000 * ms},
		{At: 1001 * ms, Kind: Arrived, ID: "r", Endpoint: "p", Dispatcher: "1", Value: 2900 * ms, Text: "prefill"},
		{At: 1020 * ms, Kind: Reserved, ID: "r", Endpoint: "p", Dispatcher: "1"},
		{At: 1030 * ms, Kind: Arrived, ID: "r", Endpoint: "h", Dispatcher: "1", Value: 2900 * ms, Text: "decode"},
		{At: 1040 * ms, Kind: Ran, ID: "r", Endpoint: "h", Value: 1030 * ms},
		{At: 1100 * ms, Kind: Answered, ID: "r", Class: class, Dispatcher: "d", Status: 200},
	}
	if change != nil {
		events = change(events)
	}
	return events
}

// TestAudit plants each breach and expects it to be found for its rule alone; the course beside it passes.
func TestAudit(t *testing.T) {
	add := func(more ...Event) func([]Event) []Event {
		return func(events []Event) []Event { return append(events, more...) }
	}
	without := func(kind Kind, more ...Event) func([]Event) []Event {
		return func(events []Event) (left []Event) {
			for _, e := range events {
				if e.Kind != kind {
					left = append(left, e)
				}
			}
			return append(left, more...)
		}
	}
	rerun := Event{At: 2500 * ms, Kind: Ran, ID: "r", Endpoint: "g", Value: 2020 * ms}
	late := Event{At: 2100 * ms, Kind: Ran, ID: "r", Endpoint: "g", Value: 2040 * ms}
	lost := Event{At: 1200 * ms, Kind: Lost, ID: "r", Dispatcher: "d", Text: "closed"}
	for name, test := range map[string]struct {
		class  string
		change func([]Event) []Event
		want   string // the rule; none: it passes
	}{
		"all is kept":                    {"post", nil, ""},
		"no end":                         {"post", without(Answered), "one answer"},
		"lost":                           {"post", without(Answered, lost), "one answer"},
		"lost as its dispatcher died":    {"post", without(Answered, lost, Event{At: 1150 * ms, Kind: Killed, Dispatcher: "d"}), ""},
		"lost as another one died":       {"post", without(Answered, lost, Event{At: 1150 * ms, Kind: Killed, Dispatcher: "e"}), "one answer"},
		"answered late":                  {"chat", without(Answered, Event{At: 5000 * ms, Kind: Answered, ID: "r", Status: 500}), "one answer"},
		"ended twice":                    {"post", add(Event{At: 1300 * ms, Kind: Answered, ID: "r", Status: 200}), "one answer"},
		"run twice":                      {"post", add(rerun), "repeated effect"},
		"run twice, idempotent":          {"chat", add(rerun), ""},
		"run twice in its window":        {"note", add(rerun), ""},
		"run twice, past its window":     {"note", add(late), "repeated effect"},
		"rejected after it ran":          {"post", without(Answered, Event{At: 1100 * ms, Kind: Answered, ID: "r", Status: 503}), "repeated effect"},
		"an attempt after its client":    {"post", without(Answered, Event{At: 1025 * ms, Kind: Left, ID: "r"}, Event{At: 1500 * ms, Kind: Arrived, ID: "r", Endpoint: "g", Text: "decode"}), "client gone"},
		"an attempt as its client went":  {"post", without(Answered, Event{At: 1025 * ms, Kind: Left, ID: "r"}), ""},
		"too much time is told":          {"post", add(Event{At: 2000 * ms, Kind: Arrived, ID: "r", Endpoint: "h", Value: 2900 * ms, Text: "decode"}), "time told"},
		"what is held stays":             {"post", add(Event{At: 1050 * ms, Kind: Reserved, ID: "r", Endpoint: "q", Dispatcher: "1"}), "held state"},
		"what is held is released":       {"post", add(Event{At: 1050 * ms, Kind: Reserved, ID: "r", Endpoint: "q", Dispatcher: "1"}, Event{At: 1300 * ms, Kind: Released, ID: "r"}), ""},
		"what is held is released late":  {"post", add(Event{At: 1050 * ms, Kind: Reserved, ID: "r", Endpoint: "q", Dispatcher: "1"}, Event{At: 2500 * ms, Kind: Released, ID: "r"}), "held state"},
		"it was cut off":                 {"post", add(Event{At: 1050 * ms, Kind: Reserved, ID: "r", Endpoint: "q", Dispatcher: "1"}, Event{At: 900 * ms, Kind: FaultBegan, Text: cutOffText, Dispatcher: "1", Value: 500 * ms}), ""},
		"sent to a host that drains":     {"post", add(Event{At: 100 * ms, Kind: Drained, Endpoint: "h"}, Event{At: 110 * ms, Kind: Notified, Endpoint: "h", Dispatcher: "1"}), "unwanted send"},
		"another dispatcher was told":    {"post", add(Event{At: 100 * ms, Kind: Drained, Endpoint: "h"}, Event{At: 110 * ms, Kind: Notified, Endpoint: "h", Dispatcher: "2"}), ""},
		"told whether it arrived or not": {"post", add(Event{At: -6000 * ms, Kind: Drained, Endpoint: "h"}), "unwanted send"},
	} {
		findings := NewAudit(good(test.class, test.change)).Judge()
		if test.want == "" && len(findings) > 0 || test.want != "" && (len(findings) == 0 || findings[0].Rule != test.want) {
			t.Errorf("%s: %v, want %q", name, findings, test.want)
		}
		for _, f := range findings {
			if f.Rule != test.want || strings.TrimSpace(f.Text) == "" {
				t.Errorf("%s: beside it %v", name, f)
			}
		}
	}
}
