package starttimes

import (
	"testing"

	"plumspindle/internal/eventloop"
)

const (
	hour = 3600 * eventloop.Second
	now  = 10 * hour
)

func TestNext(t *testing.T) {
	known := Start{Timestamp: now - hour, At: now - 2*hour}
	for name, test := range map[string]struct {
		previous  Start
		timestamp eventloop.Micros
		skew      eventloop.Micros
		inService bool
		want      Start
	}{
		"long ago":                       {known, 0, 0, true, Start{}},
		"listed again":                   {known, known.Timestamp, 0, true, known},
		"listed again in the first list": {known, known.Timestamp, 0, false, known},
		"changed in service":             {known, now - 5, 0, true, Start{now - 5, now}},
		"changed, clock an hour slow":    {known, now - hour - 5, 0, true, Start{now - hour - 5, now}},
		"changed, clock an hour fast":    {known, now + hour, hour, true, Start{now + hour, now}},
		"in the first list":              {Start{}, now - 5, 0, false, Start{now - 5, now - 5}},
		"in the first list, clock fast":  {Start{}, now + hour - 5, hour, false, Start{now + hour - 5, now - 5}},
	} {
		listing := Listing{Now: now, Skew: test.skew, InService: test.inService}
		if got := Next(test.previous, test.timestamp, listing); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}

func TestClockSkewIsThatOfTheLatestTimestamp(t *testing.T) {
	if got := ClockSkew(now, now-5, now+hour, now+5); got != hour {
		t.Errorf("skew %d, want %d", got, hour)
	}
}
