package starttimes

import (
	"testing"

	"plumspindle/internal/eventloop"
)

func TestNext(t *testing.T) {
	const hour = 3600 * eventloop.Second
	const now = 10 * hour
	known := Start{Timestamp: now - hour, At: now - 2*hour}
	for name, test := range map[string]struct {
		before       Start
		stamp, ahead eventloop.Micros
		inService    bool
		want         Start
	}{
		"long ago":                        {known, 0, 0, true, Start{}},
		"listed again":                    {known, known.Timestamp, 0, true, known},
		"listed again in the first list":  {known, known.Timestamp, 0, false, known},
		"told in service":                 {known, now - 5, 0, true, Start{now - 5, now}},
		"told by a clock an hour behind":  {known, now - hour - 5, 0, true, Start{now - hour - 5, now}},
		"told by a clock an hour ahead":   {known, now + hour, hour, true, Start{now + hour, now}},
		"in the first list":               {Start{}, now - 5, 0, false, Start{now - 5, now - 5}},
		"in the first list, by one ahead": {Start{}, now + hour - 5, hour, false, Start{now + hour - 5, now - 5}},
	} {
		if got := Next(test.before, test.stamp, now, test.ahead, test.inService); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
	if got := ClockSkew(now, now-5, now+hour, now+5); got != hour {
		t.Errorf("ahead by %d", got)
	}
}
