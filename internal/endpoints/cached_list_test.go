package endpoints_test

import (
	"os"
	"slices"
	"testing"

	"plumspindle/internal/endpoints"
)

// cachedEntries are the entries of both cached lists in testdata.
var cachedEntries = []endpoints.Entry{
	{
		ID: 105, Addr: "127.0.0.1:45973", Zone: "west", Kind: "prefill",
		Cell: 0, Condition: "ready", StartedAt: 1796213769732894,
	},
	{
		ID: 112, Addr: "127.0.0.1:33841", Zone: "west", Kind: "prefill",
		Cell: 1, Condition: "draining", StartedAt: 1796213768732894,
	},
	{
		ID: 115, Addr: "127.0.0.1:38505", Zone: "west", Kind: "decode",
		Cell: 0, Condition: "ready", StartedAt: 1796213767732894,
	},
	{
		ID: 116, Addr: "127.0.0.1:40857", Zone: "west", Kind: "decode",
		Cell: 1, Condition: "ready", StartedAt: 1796213766732894,
	},
	{
		ID: 119, Addr: "127.0.0.1:37299", Zone: "west", Kind: "mixed",
		Cell: 0, Condition: "ready", StartedAt: 1796213765732894,
	},
	{
		ID: 121, Addr: "127.0.0.1:39313", Zone: "east", Kind: "prefill",
		Cell: 2, Condition: "ready", StartedAt: 1796213764732894,
	},
	{
		ID: 124, Addr: "127.0.0.1:45735", Zone: "east", Kind: "prefill",
		Cell: 3, Condition: "ready", StartedAt: 1796213763732894,
	},
	{
		ID: 129, Addr: "127.0.0.1:41297", Zone: "east", Kind: "decode",
		Cell: 2, Condition: "ready", StartedAt: 1796213762732894,
	},
	{
		ID: 132, Addr: "127.0.0.1:32901", Zone: "east", Kind: "decode",
		Cell: 3, Condition: "ready", StartedAt: 1796213761732894,
	},
	{
		ID: 135, Addr: "127.0.0.1:42167", Zone: "east", Kind: "mixed",
		Cell: 1, Condition: "ready", StartedAt: 1796213760732894,
	},
}

// TestReadsHostListsOfEarlierVersion checks that both lists that an earlier version cached, the newest one and its
// predecessor, are read with all fields of all endpoints, and that encoding them again yields the same bytes.
func TestReadsHostListsOfEarlierVersion(t *testing.T) {
	for _, test := range []struct {
		file  string
		saved int64
	}{
		{"kept-hosts.json", 1796217380141412},
		{"kept-hosts.json.1", 1796217377653035},
	} {
		t.Run(test.file, func(t *testing.T) {
			cached, err := os.ReadFile("testdata/" + test.file)
			if err != nil {
				t.Fatal(err)
			}
			var restored endpoints.View
			entries, saved, err := restored.Restore(cached)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(entries, cachedEntries) {
				t.Errorf("read:\n%+v\nstored:\n%+v", entries, cachedEntries)
			}
			if saved != test.saved {
				t.Errorf("saved at %d, want %d", saved, test.saved)
			}
			if restored.Epoch != "" || restored.Version != 0 {
				t.Errorf("epoch %q and version %d of a cached list are not reset", restored.Epoch, restored.Version)
			}
			var followed endpoints.View
			if _, complete, err := followed.Apply(cached); err != nil || !complete {
				t.Fatalf("complete %v: %v", complete, err)
			}
			if written := followed.Snapshot(test.saved); string(written) != string(cached) {
				t.Errorf("written:\n%s\nstored:\n%s", written, cached)
			}
		})
	}
}
