package guard

import (
	"testing"

	"plumspindle/internal/eventloop"
)

const ms = eventloop.Millisecond

var (
	prefill = Endpoint{Name: "p", Ready: true}
	first   = Endpoint{Name: "a", Group: "west", Ready: true, HasEffects: true}
	second  = Endpoint{Name: "b", Group: "west", Ready: true, HasEffects: true}
	far     = Endpoint{Name: "c", Group: "east", Ready: true, HasEffects: true}
	drains  = Endpoint{Name: "d", Group: "west", HasEffects: true}
)

// TestRules plays each rule's breach and the course beside it that breaks none.
func TestRules(t *testing.T) {
	end := func(r *Request, ran bool, host Endpoint) { r.Send(10*ms, host); r.AttemptEnded(ran) }
	for name, test := range map[string]struct {
		repeats RetryPolicy
		play    func(r *Request)
		want    Rule
		breaks  bool
	}{
		"a repeat that is known not to have run": {RetryNever, func(r *Request) { end(r, false, first); r.Send(20*ms, second) }, RepeatedEffect, false},
		"a repeat that may have run":             {RetryNever, func(r *Request) { end(r, true, first); r.Send(20*ms, second) }, RepeatedEffect, true},
		"a prompt is read again":                 {RetryNever, func(r *Request) { end(r, true, prefill); r.Send(20*ms, first) }, RepeatedEffect, false},
		"within the window":                      {RetryWithinWindow, func(r *Request) { end(r, true, first); r.Send(110*ms, second) }, RepeatedEffect, false},
		"after the window":                       {RetryWithinWindow, func(r *Request) { end(r, true, first); r.Send(111*ms, second) }, RepeatedEffect, true},
		"in another group":                       {RetryWithinWindow, func(r *Request) { end(r, true, first); r.Send(20*ms, far) }, RepeatedEffect, true},
		"an idempotent repeat":                   {RetryAlways, func(r *Request) { end(r, true, first); r.Send(900*ms, far) }, RepeatedEffect, false},
		"it leaves after the window":             {RetryWithinWindow, func(r *Request) { end(r, true, first); r.Send(100*ms, second); r.Written(150*ms, second, 0) }, RepeatedEffect, true},
		"rejected while one may have run":        {RetryNever, func(r *Request) { end(r, true, first); r.Answered(20*ms, Rejected) }, RepeatedEffect, true},
		"rejected while one is out":              {RetryNever, func(r *Request) { r.Send(10*ms, prefill); r.Answered(20*ms, Rejected) }, RepeatedEffect, true},
		"failed while one may have run":          {RetryNever, func(r *Request) { end(r, true, first); r.Answered(20*ms, Failed) }, RepeatedEffect, false},
		"two attempts":                           {RetryAlways, func(r *Request) { r.Send(10*ms, first); r.Send(20*ms, second) }, ConcurrentAttempts, true},
		"to a host that drains":                  {RetryAlways, func(r *Request) { r.Send(10*ms, drains) }, EndpointNotReady, true},
		"it drains before the attempt leaves":    {RetryAlways, func(r *Request) { r.Send(10*ms, first); r.Written(20*ms, drains, 0) }, EndpointNotReady, true},
		"just after the client's close":          {RetryAlways, func(r *Request) { r.ClientDisconnected(10 * ms); r.Send(110*ms, first) }, ClientDisconnected, false},
		"after the client's close":               {RetryAlways, func(r *Request) { r.ClientDisconnected(10 * ms); r.Send(111*ms, first) }, ClientDisconnected, true},
		"the time that is left is told":          {RetryAlways, func(r *Request) { r.Send(10*ms, first); r.Written(10*ms, first, 990*ms) }, DeadlineOverstated, false},
		"more is told":                           {RetryAlways, func(r *Request) { r.Send(10*ms, first); r.Written(10*ms, first, 1141*ms) }, DeadlineOverstated, true},
		"released in time":                       {RetryAlways, func(r *Request) { r.LeaseStarted(10 * ms); r.LeaseReleased(810 * ms) }, StateLease, false},
		"released late":                          {RetryAlways, func(r *Request) { r.LeaseStarted(10 * ms); r.LeaseReleased(811 * ms) }, StateLease, true},
		"answered in time":                       {RetryAlways, func(r *Request) { r.Answered(1500*ms, Failed) }, OneAnswer, false},
		"answered late":                          {RetryAlways, func(r *Request) { r.Answered(1501*ms, Failed) }, OneAnswer, true},
		"answered twice":                         {RetryAlways, func(r *Request) { r.Answered(10*ms, Failed); r.Answered(10*ms, Failed) }, OneAnswer, true},
		"never answered":                         {RetryAlways, (*Request).Closed, OneAnswer, true},
		"its client left":                        {RetryAlways, func(r *Request) { r.ClientDisconnected(10 * ms); r.Closed() }, OneAnswer, false},
		"an attempt after the answer":            {RetryAlways, func(r *Request) { r.Answered(10*ms, Failed); r.Send(20*ms, first) }, OneAnswer, true},
	} {
		reported := 0
		g := New(Limits{AnswerSlack: 500 * ms, DisconnectSlack: 100 * ms, DeadlineSlack: 150 * ms, StateLease: 800 * ms}, func(Violation) { reported++ })
		test.play(g.Begin(Terms{RequestID: "1", Retry: test.repeats, RetryWindow: 100 * ms, Deadline: 1000 * ms}))
		if broken := g.Count(test.want) > 0; broken != test.breaks || g.Violations() != uint64(reported) || !test.breaks && reported > 0 {
			t.Errorf("%s: %d violations of %q, %d of all, %d reported", name, g.Count(test.want), test.want, g.Violations(), reported)
		}
	}
}
