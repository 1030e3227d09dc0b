package discovery

import (
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

func newWatch(news func([]Entry, bool)) *Watch {
	return New(virtual.New(1).Loop("d"), 1, "127.0.0.1:1", news, func(string) {})
}

// TestNumbers: a host's number follows from its id alone, whenever it is first heard of, and two ids with one hash stay two hosts.
func TestNumbers(t *testing.T) {
	a, b := newWatch(nil), newWatch(nil)
	for _, name := range []string{"s-1", "s-2", "s-5be2a07c"} {
		a.Number(name)
	}
	for _, name := range []string{"s-5be2a07c", "s-0", "s-2", "s-1"} {
		b.Number(name)
	}
	for _, name := range []string{"s-1", "s-2", "s-5be2a07c"} {
		if a.Number(name) != b.Number(name) {
			t.Errorf("%s is %d here and %d there", name, a.Number(name), b.Number(name))
		}
	}
	first := a.Number("s-1")
	a.numbers[first].name = "another whose hash is the same"
	if again := a.Number("s-1"); again == first || again != a.Number("s-1") {
		t.Errorf("two hosts have the number %d", first)
	}
}

func TestEntries(t *testing.T) {
	var got []Entry
	w := newWatch(func(entries []Entry, whole bool) { got = entries })
	err := w.Take([]byte(`{"version":3,"full":true,"servers":[
		{"id":"a","addr":"10.1.0.18:7070","zone":"w","kind":"m2","cell":3,"state":"SERVING","weight":1.0,"started_ms":1700000000123},
		{"id":"b","state":"DRAINING","cell":70000},{"id":"c","state":"DELETED"},{"id":"d","state":"RESTING"},{"addr":"x"}]}`))
	if err != nil || len(got) != 3 {
		t.Fatalf("%v, entries %+v", err, got)
	}
	a := got[0]
	if a.Started != 1700000000123*eventloop.Millisecond || a.Cell != 3 || a.Condition != scheduler.Ready || a.Zone != "w" || a.Kind != "m2" || a.Addr != "10.1.0.18:7070" {
		t.Errorf("%+v", a)
	}
	if got[1].Condition != scheduler.Gone || got[2].Condition != scheduler.Draining {
		t.Errorf("%+v", got[1:])
	}
	if err := w.Take([]byte(`{"version":2,"full":false,"servers":[]}`)); err == nil || w.version != 0 {
		t.Errorf("an older change was taken: %v, version %d", err, w.version)
	}
}

func FuzzTake(f *testing.F) {
	f.Add(`{"version":3,"full":true,"servers":[{"id":"a","addr":"x","cell":3,"state":"SERVING","started_ms":9e99}]}`)
	f.Add(`{"version":-1,"servers":[[],{},1,{"id":{}}]}`)
	f.Fuzz(func(t *testing.T, line string) {
		w := newWatch(func(entries []Entry, _ bool) {
			for _, e := range entries {
				if e.Name == "" || e.Started < 0 {
					t.Errorf("%+v", e)
				}
			}
		})
		_ = w.Take([]byte(line))
	})
}
