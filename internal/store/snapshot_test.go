package store

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
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

// heldDisk holds a snapshot back before it is encoded, and again before it is written.
type heldDisk struct {
	*Files
	encode, write chan struct{} // closed to go on
}

func (d heldDisk) Write(name string, build func() []byte, done func(error)) {
	d.Files.Write(name, func() []byte {
		<-d.encode
		data := build()
		<-d.write
		return data
	}, done)
}

// holdSnapshots returns a disk that holds snapshots back, and what releases each hold; the test's end releases both.
func holdSnapshots(t *testing.T, files *Files) (disk heldDisk, encode, write func()) {
	t.Helper()
	disk = heldDisk{Files: files, encode: make(chan struct{}), write: make(chan struct{})}
	encode = sync.OnceFunc(func() { close(disk.encode) })
	write = sync.OnceFunc(func() { close(disk.write) })
	t.Cleanup(encode)
	t.Cleanup(write)
	return disk, encode, write
}

// threadTime is the processor time that the calling goroutine's thread has used. What other processes do to the machine
// is not in it.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Nano())
}

// While a large store is compacted, no call of Commit waits for the snapshot, nor does a great part of its work: calls
// return while the snapshot is held back, and each uses little processor time.
func TestCompactionBlocksNoWrite(t *testing.T) {
	const (
		keys      = 100_000
		whileHeld = 1_000
		longest   = 50 * time.Millisecond
	)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
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
	disk, encode, write := holdSnapshots(t, files)
	s, err := Open(disk, DefaultLimits)
	if err != nil {
		t.Fatal(err)
	}
	commit := func(i int, value []byte) {
		t.Helper()
		if err := s.Commit([]Op{{Key: fmt.Sprint("key", i), Value: value}}, nil, WriteLazy, nil); err != nil {
			t.Fatal(err)
		}
	}
	for i := range keys {
		commit(i, make([]byte, 100))
	}
	compacted := false
	s.Compact(func(err error) { compacted = err == nil })
	used, commits := time.Duration(0), 0
	for deadline := time.Now().Add(20 * time.Second); !compacted && time.Now().Before(deadline); commits++ {
		switch commits {
		case whileHeld:
			encode()
		case 2 * whileHeld:
			write()
		}
		began := threadTime(t)
		commit(commits%keys, []byte("new"))
		used = max(used, threadTime(t)-began)
		mutex.Lock()
		answers := posted
		posted = nil
		mutex.Unlock()
		for _, answer := range answers {
			answer()
		}
	}
	if !compacted || commits < 2*whileHeld || used > longest {
		t.Errorf("compacted %v, %d commits meanwhile, one used %v of the processor", compacted, commits, used)
	}
	t.Logf("%d commits beside a snapshot of %d keys, the longest used %v", commits, keys, used)
}
