package store

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestRecoversAfterTwoFailedSnapshots checks that a write that is acknowledged after two failed snapshots, with no
// write between them, is recovered. The second snapshot must not skip a segment number, as recovery would report a gap.
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

// blockingDisk blocks each snapshot before it is encoded, and again before it is written, until the channels are
// closed.
type blockingDisk struct {
	*Files
	encode, write chan struct{}
}

func (d blockingDisk) Write(name string, build func() []byte, done func(error)) {
	d.Files.Write(name, func() []byte {
		<-d.encode
		data := build()
		<-d.write
		return data
	}, done)
}

// blockSnapshots returns a disk that blocks snapshots, and functions that let them be encoded and written. Both
// functions are also called at the end of the test.
func blockSnapshots(t *testing.T, files *Files) (disk blockingDisk, encode, write func()) {
	t.Helper()
	disk = blockingDisk{Files: files, encode: make(chan struct{}), write: make(chan struct{})}
	encode = sync.OnceFunc(func() { close(disk.encode) })
	write = sync.OnceFunc(func() { close(disk.write) })
	t.Cleanup(encode)
	t.Cleanup(write)
	return disk, encode, write
}

// threadTime returns the processor time that the calling thread has used. Unlike wall-clock time, it does not depend on
// the load that other processes put on the machine.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Nano())
}

// TestCompactionBlocksNoWrite checks that Commit does not wait for the snapshot while a large store is compacted, and
// does not do much of the snapshot's work itself: calls return while the snapshot is blocked, and each call uses little
// processor time.
func TestCompactionBlocksNoWrite(t *testing.T) {
	const (
		keys            = 100_000
		commitsPerStage = 1_000 // while the snapshot is blocked before it is encoded, and then before it is written
		maxCommitTime   = 50 * time.Millisecond
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
	disk, encode, write := blockSnapshots(t, files)
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
		case commitsPerStage:
			encode()
		case 2 * commitsPerStage:
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
	if !compacted || commits < 2*commitsPerStage || used > maxCommitTime {
		t.Errorf("compacted %v, %d commits meanwhile, one used %v of processor time", compacted, commits, used)
	}
	t.Logf("%d commits during a snapshot of %d keys, the longest used %v of processor time", commits, keys, used)
}
