package upstream

import (
	"errors"
	"testing"

	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

// TestResponseResults checks the result of each kind of response: its outcome, which also states whether the attempt
// may have run, the cached tokens and a missing KV state. The expected results are those of the simulator's protocol.
// Results without a response, such as lost connections and timeouts, are tested in package platform.
func TestResponseResults(t *testing.T) {
	declinedField := []http1.Field{{Name: "Srv-Declined", Value: "1"}}
	for _, test := range []struct {
		status  int
		fields  []http1.Field
		body    string
		prefill bool
		outcome scheduler.Outcome
		cached  int
		missing bool // whether the KV state is missing
	}{
		{202, nil, `{"cached_tokens":4096}`, true, scheduler.PrefillDone, 4096, false},
		{202, nil, `{"cached_tokens":-1}`, true, scheduler.PrefillDone, 0, false},
		{202, nil, `nonsense`, true, scheduler.PrefillDone, 0, false},
		{202, nil, ``, false, scheduler.Errored, 0, false},
		{200, nil, `{}`, true, scheduler.Errored, 0, false},
		{500, nil, ``, true, scheduler.Errored, 0, false},
		{500, declinedField, ``, false, scheduler.Errored, 0, false},
		{503, declinedField, ``, true, scheduler.NoCapacity, 0, false},
		{503, declinedField, ``, false, scheduler.NoCapacity, 0, false},
		{504, declinedField, ``, false, scheduler.NoCapacity, 0, false},
		{410, declinedField, ``, false, scheduler.NoCapacity, 0, true},
		{503, nil, ``, false, scheduler.Errored, 0, false},
		{504, []http1.Field{{Name: "Srv-Declined", Value: "0"}}, ``, false, scheduler.Errored, 0, false},
		{410, nil, ``, false, scheduler.Errored, 0, false},
		{404, declinedField, ``, false, scheduler.Errored, 0, false},
	} {
		interpret := rejectionResult
		if test.prefill {
			interpret = prefillResult
		}
		got := interpret(&http1.Head{Status: test.status, Fields: test.fields}, []byte(test.body))
		if got.Outcome != test.outcome || got.CachedTokens != test.cached || got.StateMissing != test.missing {
			t.Errorf("%d %v %q: got %+v, want outcome %d, %d cached tokens, state missing %v",
				test.status, test.fields, test.body, got, test.outcome, test.cached, test.missing)
		}
	}
}

func TestStreamResults(t *testing.T) {
	for _, test := range []struct {
		events  []string
		fault   error // the error of one of the events
		outcome scheduler.Outcome
		cached  int
	}{
		{nil, nil, scheduler.Errored, 0},
		{[]string{`{"choices":[]}`}, nil, scheduler.Completed, 0},
		{
			[]string{`{"choices":[]}`, `{"usage":{"prompt_tokens_details":{"cached_tokens":7}}}`, `[DONE]`},
			nil, scheduler.Completed, 7,
		},
		{[]string{`{"choices":[]}`, `[DONE]`, `{"choices":[]}`}, errEventAfterLast, scheduler.Completed, 0},
		{[]string{`{"cho`}, errMalformedEvent, scheduler.Errored, 0},
	} {
		stream := &responseStream{}
		var fault error
		for _, data := range test.events {
			pass, err := stream.Event([]byte(data))
			if pass == (err != nil) {
				t.Errorf("%q: passed on %v with error %v", data, pass, err)
			}
			fault = errors.Join(fault, err)
		}
		if !errors.Is(fault, test.fault) {
			t.Errorf("%q: error %v, want %v", test.events, fault, test.fault)
		}
		result := stream.Ended()
		if result.Outcome != test.outcome || result.CachedTokens != test.cached || result.StateMissing {
			t.Errorf("%q: %+v", test.events, result)
		}
		// A broken stream is never complete, whatever events it had.
		if broken := stream.Broken(scheduler.ConnectionLost, ""); broken.Outcome != scheduler.ConnectionLost {
			t.Errorf("%q: broken with the outcome %d, want a lost connection", test.events, broken.Outcome)
		}
	}
}

func FuzzResponses(f *testing.F) {
	f.Add(202, `{"cached_tokens":4096}`, `{"choices":[]}`)
	f.Add(503, `{`, `[DONE]`)
	f.Fuzz(func(t *testing.T, status int, body, event string) {
		for _, interpret := range []func(*http1.Head, []byte) engine.Result{prefillResult, rejectionResult} {
			got := interpret(&http1.Head{Status: status}, []byte(body))
			if got.CachedTokens < 0 || got.StateMissing ||
				got.Outcome == scheduler.NoCapacity || got.Outcome == scheduler.Completed {
				t.Errorf("%d %q: %+v", status, body, got)
			}
		}
		stream := &responseStream{}
		if pass, err := stream.Event([]byte(event)); pass == (err != nil) || stream.cachedTokens < 0 {
			t.Errorf("%q: passed on %v with error %v", event, pass, err)
		}
	})
}

// TestRefusedReleasePausesBetweenRounds checks that a release which every endpoint refuses at once waits between two
// rounds of attempts, also with a very short state timeout. Without the wait the release would call the endpoints in a
// busy loop.
func TestRefusedReleasePausesBetweenRounds(t *testing.T) {
	for timeout, mostAttempts := range map[eventloop.Micros]uint64{
		attemptsPerStateTimeout - 1: 10,
		500 * eventloop.Millisecond: 200,
	} {
		network := virtual.NewNetwork(1)
		loop := network.NewLoop("d")
		limits := engine.Limits{
			ConnectTimeout: eventloop.Second,
			IdleTimeout:    eventloop.Second,
			MaxPerEndpoint: 4,
			MaxOpening:     4,
		}
		connections := engine.New(loop, "d", "", limits)
		both := func() []scheduler.EndpointID { return []scheduler.EndpointID{1, 2} }
		client := New(loop, connections, Options{
			StateTimeout:    timeout,
			ReadyEndpoints:  both,
			ListedEndpoints: both,
		})
		began := network.Now()
		done := false
		loop.Do(func() {
			connections.SetAddress(1, "127.0.0.1:1")
			connections.SetAddress(2, "127.0.0.1:2")
			client.Release("r", 1, func(bool) { done = true })
		})
		network.AfterStep = func() {
			if client.ReleaseAttempts > mostAttempts {
				t.Fatalf("%d µs: %d attempts in %d µs", timeout, client.ReleaseAttempts, network.Now()-began)
			}
		}
		network.Run(10 * eventloop.Second)
		if !done {
			t.Errorf("%d µs: the release did not end", timeout)
		}
	}
}
