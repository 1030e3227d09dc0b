package guard

import (
	"testing"

	"plumspindle/internal/eventloop"
)

const ms = eventloop.Millisecond

var (
	prefill = Host{Name: "p", Wanted: true}
	first   = Host{Name: "a", Group: "west", Wanted: true, Effects: true}
	second  = Host{Name: "b", Group: "west", Wanted: true, Effects: true}
	far     = Host{Name: "c", Group: "east", Wanted: true, Effects: true}
	drains  = Host{Name: "d", Group: "west", Effects: true}
)

// TestRules plays each rule's breach and the course beside it that breaks none.
func TestRules(t *testing.T) {
	end := func(r *Request, ran bool, host Host) { r.Send(10*ms, host); r.Ended(ran) }
	for name, test := range map[string]struct {
		repeats Repeats
		play    func(r *Request)
		want    Rule
		breaks  bool
	}{
		"a repeat that is known not to have run": {Never, func(r *Request) { end(r, false, first); r.Send(20*ms, second) }, RepeatedEffect, false},
		"a repeat that may have run":             {Never, func(r *Request) { end(r, true, first); r.Send(20*ms, second) }, RepeatedEffect, true},
		"a prompt is read again":                 {Never, func(r *Request) { end(r, true, prefill); r.Send(20*ms, first) }, RepeatedEffect, false},
		"within the window":                      {WithinWindow, func(r *Request) { end(r, true, first); r.Send(110*ms, second) }, RepeatedEffect, false},
		"after the window":                       {WithinWindow, func(r *Request) { end(r, true, first); r.Send(111*ms, second) }, RepeatedEffect, true},
		"in another group":                       {WithinWindow, func(r *Request) { end(r, true, first); r.Send(20*ms, far) }, RepeatedEffect, true},
		"an idempotent repeat":                   {Always, func(r *Request) { end(r, true, first); r.Send(900*ms, far) }, RepeatedEffect, false},
		"it leaves after the window":             {WithinWindow, func(r *Request) { end(r, true, first); r.Send(100*ms, second); r.Leaves(150*ms, second, 0) }, RepeatedEffect, true},
		"rejected while one may have run":        {Never, func(r *Request) { end(r, true, first); r.Answered(20*ms, Rejected) }, RepeatedEffect, true},
		"rejected while one is out":              {Never, func(r *Request) { r.Send(10*ms, prefill); r.Answered(20*ms, Rejected) }, RepeatedEffect, true},
		"failed while one may have run":          {Never, func(r *Request) { end(r, true, first); r.Answered(20*ms, Failed) }, RepeatedEffect, false},
		"two attempts":                           {Always, func(r *Request) { r.Send(10*ms, first); r.Send(20*ms, second) }, TwoAttempts, true},
		"to a host that drains":                  {Always, func(r *Request) { r.Send(10*ms, drains) }, UnwantedSend, true},
		"it drains before the attempt leaves":    {Always, func(r *Request) { r.Send(10*ms, first); r.Leaves(20*ms, drains, 0) }, UnwantedSend, true},
		"just after the client's close":          {Always, func(r *Request) { r.ClientClosed(10 * ms); r.Send(110*ms, first) }, ClientGone, false},
		"after the client's close":               {Always, func(r *Request) { r.ClientClosed(10 * ms); r.Send(111*ms, first) }, ClientGone, true},
		"the time that is left is told":          {Always, func(r *Request) { r.Send(10*ms, first); r.Leaves(10*ms, first, 990*ms) }, TimeTold, false},
		"more is told":                           {Always, func(r *Request) { r.Send(10*ms, first); r.Leaves(10*ms, first, 1141*ms) }, TimeTold, true},
		"released in time":                       {Always, func(r *Request) { r.Held(10 * ms); r.Released(810 * ms) }, HeldState, false},
		"released late":                          {Always, func(r *Request) { r.Held(10 * ms); r.Released(811 * ms) }, HeldState, true},
		"answered in time":                       {Always, func(r *Request) { r.Answered(1500*ms, Failed) }, OneAnswer, false},
		"answered late":                          {Always, func(r *Request) { r.Answered(1501*ms, Failed) }, OneAnswer, true},
		"answered twice":                         {Always, func(r *Request) { r.Answered(10*ms, Failed); r.Answered(10*ms, Failed) }, OneAnswer, true},
		"never answered":                         {Always, (*Request).Closed, OneAnswer, true},
		"its client left":                        {Always, func(r *Request) { r.ClientClosed(10 * ms); r.Closed() }, OneAnswer, false},
		"an attempt after the answer":            {Always, func(r *Request) { r.Answered(10*ms, Failed); r.Send(20*ms, first) }, OneAnswer, true},
	} {
		reported := 0
		g := New(Limits{AnswerSlack: 500 * ms, GoneSlack: 100 * ms, ToldSlack: 150 * ms, HeldFor: 800 * ms}, func(Violation) { reported++ })
		test.play(g.Begin(Terms{ID: "1", Repeats: test.repeats, Window: 100 * ms, Deadline: 1000 * ms}))
		if broken := g.Count(test.want) > 0; broken != test.breaks || g.Violations() != uint64(reported) || !test.breaks && reported > 0 {
			t.Errorf("%s: %d violations of %q, %d of all, %d reported", name, g.Count(test.want), test.want, g.Violations(), reported)
		}
	}
}
