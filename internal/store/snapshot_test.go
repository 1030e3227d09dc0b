package store

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Two snapshots fail with nothing written between them; what is acknowledged afterwards is there at the next start.
func TestRecoversAfterTwoFailedSnapshots(t *testing.T) {
	disk := newMemoryDisk()
	s := openStore(t, disk)
	commit := func(value string) {
		t.Helper()
		err := put(s, "k", value, func(err error) {
			if err != nil {
				t.Error(err)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		disk.answer(10)
	}
	commit("1")
	disk.fault = errNoSpace
	for range 2 {
		s.Compact(nil)
		disk.answer(10)
	}
	disk.fault = nil
	commit("2")
	if got := contents(openStore(t, disk)); got != "k=2;" {
		t.Fatalf("opened again: %s", got)
	}
}

// While a large store is compacted, no call of Commit waits for the snapshot.
func TestCompactionBlocksNoWrite(t *testing.T) {
	const (
		keys    = 100_000
		longest = 100 * time.Millisecond
	)
	var mutex sync.Mutex
	var posted []func()
	files, err := OpenFiles(t.TempDir(), func(answer func()) {
		mutex.Lock()
		defer mutex.Unlock()
		posted = append(posted, answer)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(files.Close)
	s, err := Open(files, DefaultLimits)
	if err != nil {
		t.Fatal(err)
	}
	commit := func(i int, value []byte) {
		t.Helper()
		if err := s.Commit([]Op{{Key: fmt.Sprint("key", i), Value: value}}, nil, true, nil); err != nil {
			t.Fatal(err)
		}
	}
	for i := range keys {
		commit(i, make([]byte, 100))
	}
	compacted := false
	s.Compact(func(err error) { compacted = err == nil })
	took, commits := time.Duration(0), 0
	for deadline := time.Now().Add(20 * time.Second); !compacted && time.Now().Before(deadline); commits++ {
		began := time.Now()
		commit(commits%keys, []byte("new"))
		took = max(took, time.Since(began))
		mutex.Lock()
		answers := posted
		posted = nil
		mutex.Unlock()
		for _, answer := range answers {
			answer()
		}
	}
	if !compacted || took > longest {
		t.Errorf("compacted %v, %d commits meanwhile, the longest took %v", compacted, commits, took)
	}
	t.Logf("%d commits beside a snapshot of %d keys, the longest took %v", commits, keys, took)
}
