package endpoints_test

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"testing"

	"plumspindle/internal/endpoints"
	"plumspindle/internal/subscribe"
	"plumspindle/scheduler"
)

func encode(t *testing.T, update endpoints.Update) []byte {
	t.Helper()
	data, err := json.Marshal(update)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func entry(id scheduler.EndpointID, condition string) endpoints.Entry {
	return endpoints.Entry{ID: id, Addr: "127.0.0.1:1", Zone: "west", Kind: "mixed", Condition: condition}
}

// viewAtVersion3 returns a view of endpoints 1 and 2 at version 3 of epoch "e".
func viewAtVersion3(t *testing.T) *endpoints.View {
	t.Helper()
	view := &endpoints.View{}
	list := endpoints.Update{
		Epoch:     "e",
		Version:   3,
		Complete:  true,
		Endpoints: []endpoints.Entry{entry(1, endpoints.Ready), entry(2, endpoints.Ready)},
	}
	if _, complete, err := view.Apply(encode(t, list)); err != nil || !complete {
		t.Fatalf("complete %v, %v", complete, err)
	}
	return view
}

func TestApplyFollowsVersions(t *testing.T) {
	type ids = []scheduler.EndpointID
	change := []endpoints.Entry{entry(2, endpoints.Gone), entry(3, endpoints.Draining)}
	for name, test := range map[string]struct {
		update    endpoints.Update
		returned  int // number of entries that Apply returns
		version   uint64
		endpoints ids
	}{
		"change":            {endpoints.Update{Epoch: "e", Version: 4, Since: 3}, 2, 4, ids{1, 3}},
		"change known":      {endpoints.Update{Epoch: "e", Version: 3, Since: 2}, 0, 3, ids{1, 2}},
		"change outdated":   {endpoints.Update{Epoch: "e", Version: 2, Since: 1}, 0, 3, ids{1, 2}},
		"complete":          {endpoints.Update{Epoch: "e", Version: 5, Complete: true}, 2, 5, ids{3}},
		"complete again":    {endpoints.Update{Epoch: "e", Version: 3, Complete: true}, 2, 3, ids{3}},
		"complete outdated": {endpoints.Update{Epoch: "e", Version: 2, Complete: true}, 0, 3, ids{1, 2}},
		"new epoch":         {endpoints.Update{Epoch: "f", Version: 1, Complete: true}, 2, 1, ids{3}},
	} {
		t.Run(name, func(t *testing.T) {
			view := viewAtVersion3(t)
			test.update.Endpoints = change
			entries, _, err := view.Apply(encode(t, test.update))
			if err != nil || len(entries) != test.returned || view.Version != test.version {
				t.Errorf("%d entries, %v, version %d", len(entries), err, view.Version)
			}
			if known := slices.Sorted(maps.Keys(view.Endpoints)); !slices.Equal(known, test.endpoints) {
				t.Errorf("endpoints %v, want %v", known, test.endpoints)
			}
		})
	}
}

// TestInvalidUpdateChangesNothing checks that an invalid update is rejected as a whole, even if it also has valid
// entries.
func TestInvalidUpdateChangesNothing(t *testing.T) {
	withoutAddress := entry(4, endpoints.Ready)
	withoutAddress.Addr = ""
	isGap := func(err error) bool {
		var gap *subscribe.GapError
		return errors.As(err, &gap) && *gap == subscribe.GapError{Have: 3, Since: 7}
	}
	isEntry := func(index int, id scheduler.EndpointID, fault error) func(error) bool {
		return func(err error) bool {
			var invalid *endpoints.EntryError
			return errors.As(err, &invalid) && invalid.Index == index && invalid.ID == id && errors.Is(err, fault)
		}
	}
	// change encodes a change that starts from the version since and has a valid entry before the given ones.
	change := func(epoch string, since uint64, entries ...endpoints.Entry) []byte {
		entries = append([]endpoints.Entry{entry(3, endpoints.Ready)}, entries...)
		update := endpoints.Update{Epoch: epoch, Version: since + 1, Since: since, Endpoints: entries}
		return encode(t, update)
	}
	for name, test := range map[string]struct {
		data    []byte
		matches func(error) bool
	}{
		"gap":          {change("e", 7), isGap},
		"other epoch":  {change("f", 7), isGap},
		"no condition": {change("e", 3, entry(4, "resting")), isEntry(1, 4, endpoints.ErrUnknownCondition)},
		"no address":   {change("e", 3, withoutAddress), isEntry(1, 4, endpoints.ErrNoAddress)},
		"no JSON": {[]byte(`{"epoch":`), func(err error) bool {
			var syntax *json.SyntaxError
			return errors.As(err, &syntax)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			view := viewAtVersion3(t)
			entries, _, err := view.Apply(test.data)
			if !test.matches(err) || entries != nil {
				t.Errorf("entries %v, error %v", entries, err)
			}
			if view.Version != 3 || len(view.Endpoints) != 2 {
				t.Errorf("version %d, endpoints %v", view.Version, view.Endpoints)
			}
		})
	}
}

func TestEntryErrorNamesIndexAndID(t *testing.T) {
	_, _, err := (&endpoints.View{}).Apply([]byte(`{"whole":true,"hosts":[{"id":7,"condition":"resting"}]}`))
	if want := `hosts[0] (id 7): unknown condition "resting"`; err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}

// FuzzApply checks that a message with an error changes nothing, and that Restore reads what Snapshot has written.
func FuzzApply(f *testing.F) {
	f.Add(`{"epoch":"e","version":4,"since":3,"hosts":[{"id":2,"condition":"gone"}]}`)
	f.Add(`{"epoch":"f","version":1,"whole":true,"hosts":[{"id":9,"addr":"x","condition":"ready","started_us":-1}]}`)
	f.Fuzz(func(t *testing.T, message string) {
		view := viewAtVersion3(t)
		if _, _, err := view.Apply([]byte(message)); err != nil && (view.Version != 3 || len(view.Endpoints) != 2) {
			t.Errorf("after the error %v: version %d, endpoints %v", err, view.Version, view.Endpoints)
		}
		var restored endpoints.View
		if _, _, err := restored.Restore(view.Snapshot(1)); err != nil || !maps.Equal(restored.Endpoints, view.Endpoints) {
			t.Errorf("%v: cached %v, restored %v", err, view.Endpoints, restored.Endpoints)
		}
	})
}
