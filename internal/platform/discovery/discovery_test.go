package discovery

import (
	"errors"
	"fmt"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

const hour = 3600 * eventloop.Second

func newWatcher(loop eventloop.Loop, onUpdate func([]Entry, bool)) *Watcher {
	return New(loop, Options{Address: "127.0.0.1:1", Seed: 1, OnUpdate: onUpdate})
}

// TestEndpointIDFollowsFromNameAlone checks that an endpoint's ID does not depend on the order in which endpoints are
// first listed, and that two names with the same hash get different IDs.
func TestEndpointIDFollowsFromNameAlone(t *testing.T) {
	loop := virtual.NewNetwork(1).NewLoop("d")
	one, other := newWatcher(loop, nil), newWatcher(loop, nil)
	for _, name := range []string{"s-1", "s-2", "s-5be2a07c"} {
		one.EndpointID(name)
	}
	for _, name := range []string{"s-5be2a07c", "s-0", "s-2", "s-1"} {
		other.EndpointID(name)
	}
	for _, name := range []string{"s-1", "s-2", "s-5be2a07c"} {
		if one.EndpointID(name) != other.EndpointID(name) {
			t.Errorf("%s has the ID %d in one watcher and %d in the other", name, one.EndpointID(name), other.EndpointID(name))
		}
	}
	first := one.EndpointID("s-1")
	one.records[first].name = "another whose hash is the same"
	if again := one.EndpointID("s-1"); again == first || again != one.EndpointID("s-1") {
		t.Errorf("two endpoints have the ID %d", first)
	}
}

func TestWeightThatIsNoSizeIsNotListed(t *testing.T) {
	var got []Entry
	w := newWatcher(virtual.NewNetwork(1).NewLoop("d"), func(entries []Entry, _ bool) { got = entries })
	for weight, want := range map[string]float64{`0.5`: 0.5, `"2"`: 0, `0`: 0, `-1`: 0, `1e999`: 0, `null`: 0, `{}`: 0} {
		list := `{"version":1,"full":true,"servers":[{"id":"a","state":"SERVING","weight":` + weight + `}]}`
		if err := w.Apply([]byte(list)); err != nil || len(got) != 1 || got[0].Weight != want {
			t.Errorf("weight %s: %v, %+v, want %v", weight, err, got, want)
		}
	}
}

func TestApplyReadsEntries(t *testing.T) {
	var got []Entry
	w := newWatcher(virtual.NewNetwork(1).NewLoop("d"), func(entries []Entry, _ bool) { got = entries })
	err := w.Apply([]byte(`{"version":3,"full":true,"servers":[
		{"id":"a","addr":"10.1.0.18:7070","zone":"w","kind":"m2","cell":3,"state":"SERVING","weight":1.0,
			"started_ms":1699999999123},
		{"id":"b","state":"DRAINING","cell":70000},{"id":"c","state":"DELETED"},{"id":"d","state":"RESTING"},
		{"addr":"x"}]}`))
	if err != nil || len(got) != 3 {
		t.Fatalf("%v, entries %+v", err, got)
	}
	a := got[0]
	if a.StartedAt != 1699999999123*eventloop.Millisecond || a.Cell != 3 || a.State != scheduler.Ready ||
		a.Zone != "w" || a.Kind != "m2" || a.Addr != "10.1.0.18:7070" || a.Weight != 1 {
		t.Errorf("%+v", a)
	}
	if got[1].State != scheduler.Removed || got[2].State != scheduler.Draining {
		t.Errorf("%+v", got[1:])
	}
}

// TestUnusableMessageAsksForCompleteList checks that after a message that can't be applied the watcher requests the
// complete list, because its own list may have missed a change.
func TestUnusableMessageAsksForCompleteList(t *testing.T) {
	for name, test := range map[string]struct {
		message string
		matches func(err error) bool
	}{
		"older change": {`{"version":2,"full":false,"servers":[]}`, func(err error) bool {
			var version *VersionError
			return errors.As(err, &version) && *version == VersionError{Received: 2, Known: 3}
		}},
		"no servers": {`{"version":4}`, func(err error) bool { return errors.Is(err, ErrMalformedList) }},
		"not JSON":   {`{"version":4`, func(err error) bool { return errors.Is(err, ErrMalformedList) }},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWatcher(virtual.NewNetwork(1).NewLoop("d"), func([]Entry, bool) {})
			if err := w.Apply([]byte(`{"version":3,"full":true,"servers":[]}`)); err != nil {
				t.Fatal(err)
			}
			if err := w.Apply([]byte(test.message)); !test.matches(err) || w.version != 0 {
				t.Errorf("error %v, version %d", err, w.version)
			}
		})
	}
}

func TestEntryErrors(t *testing.T) {
	parse := func(text string) error {
		received, err := parseList([]byte(`{"servers":[` + text + `]}`))
		if err != nil {
			t.Fatal(err)
		}
		_, _, err = parseEntry(received.servers[0])
		return err
	}
	if err := parse(`{"addr":"x"}`); !errors.Is(err, ErrNoID) {
		t.Errorf("without an id: %v", err)
	}
	var cell *CellError
	if err := parse(`{"id":"b","cell":70000}`); !errors.As(err, &cell) || cell.Endpoint != "b" || cell.Cell != 70000 {
		t.Errorf("cell out of range: %v", err)
	}
}

// TestRestartCountsFromNowWhateverTheWallClock checks the start time of an endpoint that restarts while the watcher is
// connected. The start time is when the new start was first listed, however far the wall clocks have been stepped. It
// does not change when the start is listed again. In the first list only the timestamp of a start is known, so the
// timestamp is used.
func TestRestartCountsFromNowWhateverTheWallClock(t *testing.T) {
	loop := virtual.NewNetwork(1).NewLoop("d")
	loop.StepClock(1700000000 * eventloop.Second)
	var got []Entry
	w := newWatcher(loop, func(entries []Entry, _ bool) { got = entries })
	version := 0
	list := func(complete bool, started eventloop.Micros) eventloop.Micros {
		t.Helper()
		version++
		message := fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"a","state":"SERVING","started_ms":%d}]}`,
			version, complete, started/eventloop.Millisecond)
		if err := w.Apply([]byte(message)); err != nil || len(got) != 1 {
			t.Fatalf("%v, entries %+v", err, got)
		}
		return got[0].StartedAt
	}
	begin := loop.Now()
	if at := list(true, begin-5*eventloop.Second); at != begin-5*eventloop.Second {
		t.Errorf("in the first list: started %d us ago, want 5 s", begin-at)
	}
	for name, step := range map[string]eventloop.Micros{
		"no step":       0,
		"an hour back":  -hour,
		"an hour ahead": hour,
		"3 s back":      -3 * eventloop.Second,
	} {
		loop.StepClock(60 * eventloop.Second)
		listedAt := loop.Now()
		timestamp := listedAt + step - 200*eventloop.Millisecond
		first := list(false, timestamp)
		if listedAt-first > eventloop.Second || first > listedAt {
			t.Errorf("%s: a start that is first listed now has an age of %d ms", name, (listedAt-first)/eventloop.Millisecond)
		}
		loop.StepClock(eventloop.Second)
		if at := list(true, timestamp); at != first {
			t.Errorf("%s: when it is listed again, its start is %d ms later", name, (at-first)/eventloop.Millisecond)
		}
	}
}

func FuzzApply(f *testing.F) {
	f.Add(`{"version":3,"full":true,"servers":[{"id":"a","addr":"x","cell":3,"state":"SERVING","started_ms":9e99}]}`)
	f.Add(`{"version":-1,"servers":[[],{},1,{"id":{}}]}`)
	f.Fuzz(func(t *testing.T, message string) {
		w := newWatcher(virtual.NewNetwork(1).NewLoop("d"), func(entries []Entry, _ bool) {
			for _, e := range entries {
				if e.Name == "" || e.StartedAt < 0 {
					t.Errorf("%+v", e)
				}
			}
		})
		_ = w.Apply([]byte(message))
	})
}
