package store

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestIndexAgainstMap checks that after the same random changes an Index has the same content as a map, and that later
// changes don't affect its snapshots.
func TestIndexAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type takenSnapshot struct {
			index *Index
			want  string
		}
		index, plain := &Index{}, map[string]string{}
		var snapshots []takenSnapshot
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		for i := range 3000 {
			changeBoth(t, random, index, plain, fmt.Sprint(i))
			if random.Intn(500) == 0 {
				snapshots = append(snapshots, takenSnapshot{index.Snapshot(), scannedMap(plain, "")})
			}
		}
		if index.Len() != len(plain) {
			t.Fatalf("%d keys, want %d", index.Len(), len(plain))
		}
		for _, prefix := range []string{"", "0a", "1", "x"} {
			if got, want := scanned(index, prefix), scannedMap(plain, prefix); got != want {
				t.Fatalf("scan of %q: got %s, want %s", prefix, got, want)
			}
		}
		for key, want := range plain {
			if got, found := index.Get(key); !found || string(got) != want {
				t.Fatalf("%s is %q, want %q", key, got, want)
			}
		}
		for _, snapshot := range snapshots {
			if scanned(snapshot.index, "") != snapshot.want {
				t.Fatal("a snapshot has changed")
			}
		}
	})
}

// changeBoth makes the same random change to an index and a map and compares the results.
func changeBoth(t *rapid.T, random *rand.Rand, index *Index, plain map[string]string, value string) {
	t.Helper()
	key := fmt.Sprintf("%03x", random.Intn(1200))
	_, found := plain[key]
	if random.Intn(3) == 0 {
		if index.Delete(key) != found {
			t.Fatalf("delete of %s: found %v, want %v", key, !found, found)
		}
		delete(plain, key)
		return
	}
	if index.Set(key, []byte(value)) == found {
		t.Fatalf("set of %s: added %v, want %v", key, found, !found)
	}
	plain[key] = value
}

func scannedMap(plain map[string]string, prefix string) string {
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(plain)) {
		if strings.HasPrefix(key, prefix) {
			fmt.Fprintf(&text, "%s=%s;", key, plain[key])
		}
	}
	return text.String()
}
