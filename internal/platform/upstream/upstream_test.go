package upstream

import (
	"testing"

	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

// TestOutcomes holds the platform's table of what comes back against the results of the simulator's wire: the same ending, and the
// same word on whether the attempt has run. What no answer decides (connections, time) is played in package platform.
func TestOutcomes(t *testing.T) {
	said := []http1.Field{{Name: "Srv-Declined", Value: "1"}}
	for _, c := range []struct {
		status int
		fields []http1.Field
		body   string
		read   bool
		how    scheduler.Outcome
		cached int
		lost   bool // the state is gone
	}{
		{202, nil, `{"cached_tokens":4096}`, true, scheduler.PrefillDone, 4096, false},
		{202, nil, `{"cached_tokens":-1}`, true, scheduler.PrefillDone, 0, false},
		{202, nil, `nonsense`, true, scheduler.PrefillDone, 0, false},
		{202, nil, ``, false, scheduler.Errored, 0, false},
		{200, nil, `{}`, true, scheduler.Errored, 0, false},
		{500, nil, ``, true, scheduler.Errored, 0, false},
		{500, said, ``, false, scheduler.Errored, 0, false},
		{503, said, ``, true, scheduler.NoCapacity, 0, false},
		{503, said, ``, false, scheduler.NoCapacity, 0, false},
		{504, said, ``, false, scheduler.NoCapacity, 0, false},
		{410, said, ``, false, scheduler.NoCapacity, 0, true},
		{503, nil, ``, false, scheduler.Errored, 0, false},
		{504, []http1.Field{{Name: "Srv-Declined", Value: "0"}}, ``, false, scheduler.Errored, 0, false},
		{410, nil, ``, false, scheduler.Errored, 0, false},
		{404, said, ``, false, scheduler.Errored, 0, false},
	} {
		judge := outcome
		if c.read {
			judge = prefillOutcome
		}
		if o := judge(&http1.Head{Status: c.status, Fields: c.fields}, []byte(c.body)); o.Outcome != c.how || o.CachedTokens != c.cached || o.StateMissing != c.lost {
			t.Errorf("%d %v %q: got %+v, want outcome %d, %d cached tokens, state missing %v", c.status, c.fields, c.body, o, c.how, c.cached, c.lost)
		}
	}
}

func TestEvents(t *testing.T) {
	for _, c := range []struct {
		events []string
		bad    bool // one of them is no event
		how    scheduler.Outcome
		cached int
	}{
		{nil, false, scheduler.Errored, 0},
		{[]string{`{"choices":[]}`}, false, scheduler.Completed, 0},
		{[]string{`{"choices":[]}`, `{"usage":{"prompt_tokens_details":{"cached_tokens":7}}}`, `[DONE]`}, false, scheduler.Completed, 7},
		{[]string{`{"choices":[]}`, `[DONE]`, `{"choices":[]}`}, true, scheduler.Completed, 0},
		{[]string{`{"cho`}, true, scheduler.Errored, 0},
	} {
		e, bad := &events{}, false
		for _, data := range c.events {
			pass, err := e.Event([]byte(data))
			if bad = bad || err != nil; pass == (err != nil) {
				t.Errorf("%q: passed on %v with error %v", data, pass, err)
			}
		}
		if o := e.Ended(); bad != c.bad || o.Outcome != c.how || o.CachedTokens != c.cached || o.StateMissing {
			t.Errorf("%q: %+v, bad %v", c.events, o, bad)
		}
		if o := e.Broken(scheduler.ConnectionLost, ""); o.Outcome != scheduler.ConnectionLost { // what has no last chunk is never whole
			t.Errorf("%q: broken, and yet %d", c.events, o.Outcome)
		}
	}
}

func FuzzAnswers(f *testing.F) {
	f.Add(202, `{"cached_tokens":4096}`, `{"choices":[]}`)
	f.Add(503, `{`, `[DONE]`)
	f.Fuzz(func(t *testing.T, status int, body, event string) {
		for _, judge := range []func(*http1.Head, []byte) engine.Result{prefillOutcome, outcome} {
			if o := judge(&http1.Head{Status: status}, []byte(body)); o.CachedTokens < 0 || o.StateMissing || o.Outcome == scheduler.NoCapacity || o.Outcome == scheduler.Completed {
				t.Errorf("%d %q: %+v", status, body, o)
			}
		}
		e := &events{}
		if pass, err := e.Event([]byte(event)); pass == (err != nil) || e.kept < 0 {
			t.Errorf("%q: passed on %v with error %v", event, pass, err)
		}
	})
}

// TestReleaseRing: where every host refuses at once they are asked in turn, with a pause between the rounds, also where a try has no time.
func TestReleaseRing(t *testing.T) {
	for within, most := range map[eventloop.Micros]uint64{releaseTries - 1: 10, 500 * eventloop.Millisecond: 200} {
		w := virtual.NewNetwork(1)
		loop := w.NewLoop("d")
		e := engine.New(loop, "d", "", engine.Limits{ConnectTimeout: eventloop.Second, IdleTimeout: eventloop.Second, MaxPerEndpoint: 4, MaxOpening: 4})
		c := New(loop, e, within, func(bool) []scheduler.EndpointID { return []scheduler.EndpointID{1, 2} })
		done := false
		loop.Do(func() {
			e.SetAddress(1, "127.0.0.1:1")
			e.SetAddress(2, "127.0.0.1:2")
			c.Release("r", 1, func(bool) { done = true })
		})
		w.AfterStep = func() {
			if c.ReleaseAttempts > most {
				t.Fatalf("%d µs: %d tries in %d µs", within, c.ReleaseAttempts, w.Now()-1_700_000_000*eventloop.Second)
			}
		}
		if w.Run(10 * eventloop.Second); !done {
			t.Errorf("%d µs: it goes on for ever", within)
		}
	}
}
