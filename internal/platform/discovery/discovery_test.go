package discovery

import (
	"fmt"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

func newWatch(news func([]Entry, bool)) *Watcher {
	return New(virtual.NewNetwork(1).NewLoop("d"), 1, "127.0.0.1:1", news, func(string) {})
}

// TestNumbers: a host's number follows from its id alone, whenever it is first heard of, and two ids with one hash stay two hosts.
func TestNumbers(t *testing.T) {
	a, b := newWatch(nil), newWatch(nil)
	for _, name := range []string{"s-1", "s-2", "s-5be2a07c"} {
		a.EndpointID(name)
	}
	for _, name := range []string{"s-5be2a07c", "s-0", "s-2", "s-1"} {
		b.EndpointID(name)
	}
	for _, name := range []string{"s-1", "s-2", "s-5be2a07c"} {
		if a.EndpointID(name) != b.EndpointID(name) {
			t.Errorf("%s is %d here and %d there", name, a.EndpointID(name), b.EndpointID(name))
		}
	}
	first := a.EndpointID("s-1")
	a.numbers[first].name = "another whose hash is the same"
	if again := a.EndpointID("s-1"); again == first || again != a.EndpointID("s-1") {
		t.Errorf("two hosts have the number %d", first)
	}
}

func TestEntries(t *testing.T) {
	var got []Entry
	w := newWatch(func(entries []Entry, whole bool) { got = entries })
	err := w.Apply([]byte(`{"version":3,"full":true,"servers":[
		{"id":"a","addr":"10.1.0.18:7070","zone":"w","kind":"m2","cell":3,"state":"SERVING","weight":1.0,"started_ms":1699999999123},
		{"id":"b","state":"DRAINING","cell":70000},{"id":"c","state":"DELETED"},{"id":"d","state":"RESTING"},{"addr":"x"}]}`))
	if err != nil || len(got) != 3 {
		t.Fatalf("%v, entries %+v", err, got)
	}
	a := got[0]
	if a.StartedAt != 1699999999123*eventloop.Millisecond || a.Cell != 3 || a.State != scheduler.Ready || a.Zone != "w" || a.Kind != "m2" || a.Addr != "10.1.0.18:7070" {
		t.Errorf("%+v", a)
	}
	if got[1].State != scheduler.Removed || got[2].State != scheduler.Draining {
		t.Errorf("%+v", got[1:])
	}
	if err := w.Apply([]byte(`{"version":2,"full":false,"servers":[]}`)); err == nil || w.version != 0 {
		t.Errorf("an older change was taken: %v, version %d", err, w.version)
	}
}

// TestStartedByAnotherClock: a start that is told in service was a moment ago, whatever the wall clocks say by then; it is told once, however
// often it is listed. At the beginning nothing but the clock says how long ago a start was.
func TestStartedByAnotherClock(t *testing.T) {
	loop := virtual.NewNetwork(1).NewLoop("d")
	loop.StepClock(1700000000 * eventloop.Second)
	var got []Entry
	w := New(loop, 1, "127.0.0.1:1", func(entries []Entry, _ bool) { got = entries }, func(string) {})
	version := 0
	listed := func(whole bool, started eventloop.Micros) eventloop.Micros {
		t.Helper()
		version++
		line := fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"a","state":"SERVING","started_ms":%d}]}`, version, whole, started/eventloop.Millisecond)
		if err := w.Apply([]byte(line)); err != nil || len(got) != 1 {
			t.Fatalf("%v, entries %+v", err, got)
		}
		return got[0].StartedAt
	}
	const hour = 3600 * eventloop.Second
	begin := loop.Now()
	if at := listed(true, begin-5*eventloop.Second); at != begin-5*eventloop.Second {
		t.Errorf("at the beginning: started %d us ago, want 5 s", begin-at)
	}
	for name, step := range map[string]eventloop.Micros{"no step": 0, "an hour back": -hour, "an hour on": hour, "3 s back": -3 * eventloop.Second} {
		loop.StepClock(60 * eventloop.Second)
		told := loop.Now()
		raw := told + step - 200*eventloop.Millisecond
		if at := listed(false, raw); told-at > eventloop.Second || at > told {
			t.Errorf("%s: a start that is told now was %d ms ago", name, (told-at)/eventloop.Millisecond)
		}
		first := got[0].StartedAt
		loop.StepClock(eventloop.Second)
		if at := listed(true, raw); at != first {
			t.Errorf("%s: listed again it has started %d ms later", name, (at-first)/eventloop.Millisecond)
		}
	}
}

func FuzzTake(f *testing.F) {
	f.Add(`{"version":3,"full":true,"servers":[{"id":"a","addr":"x","cell":3,"state":"SERVING","started_ms":9e99}]}`)
	f.Add(`{"version":-1,"servers":[[],{},1,{"id":{}}]}`)
	f.Fuzz(func(t *testing.T, line string) {
		w := newWatch(func(entries []Entry, _ bool) {
			for _, e := range entries {
				if e.Name == "" || e.StartedAt < 0 {
					t.Errorf("%+v", e)
				}
			}
		})
		_ = w.Apply([]byte(line))
	})
}
