package store

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"
)

// diskTimeout is how long a test waits for the next callback of Files.
const diskTimeout = 10 * time.Second

// fileStore is a store on Files, whose callbacks are sent to the channel posts.
type fileStore struct {
	*Store
	t     *testing.T
	files *Files
	posts chan func()
}

func openFileStore(t *testing.T, dir string, limits Limits) *fileStore {
	t.Helper()
	s := &fileStore{t: t, posts: make(chan func(), 1000)}
	var err error
	if s.files, err = OpenFiles(dir, func(answer func()) { s.posts <- answer }); err != nil {
		t.Fatal(err)
	}
	if s.Store, err = Open(s.files, limits); err != nil {
		s.files.Close()
		t.Fatal(err)
	}
	return s
}

// deliverUntil runs posted callbacks until a condition is met.
func (s *fileStore) deliverUntil(condition func() bool) {
	s.t.Helper()
	for !condition() {
		select {
		case answer := <-s.posts:
			answer()
		case <-time.After(diskTimeout):
			s.t.Fatal("no callback within the timeout")
		}
	}
}

// put commits one key and waits until it is durable or rejected.
func (s *fileStore) put(key, value string) (err error) {
	s.t.Helper()
	answered := false
	if err := put(s.Store, key, value, func(e error) { answered, err = true, e }); err != nil {
		return err
	}
	s.deliverUntil(func() bool { return answered })
	return err
}

// repair starts a repair and waits for its result.
func (s *fileStore) repair() (err error) {
	s.t.Helper()
	answered := false
	s.Repair(func(e error) { answered, err = true, e })
	s.deliverUntil(func() bool { return answered })
	return err
}

// TestFilesExcludeSecondProcessAndKeepData checks that a locked folder can't be opened again, and that acknowledged
// records are recovered after a restart.
func TestFilesExcludeSecondProcessAndKeepData(t *testing.T) {
	const records = 500
	dir := t.TempDir()
	s := openFileStore(t, dir, smallLimits)
	if _, err := OpenFiles(dir, nil); err == nil {
		t.Fatal("a second process may use the folder")
	}
	acknowledged := 0
	for i := range records {
		err := put(s.Store, fmt.Sprint("k", i), strings.Repeat("v", 30), func(err error) {
			if err == nil {
				acknowledged++
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	s.deliverUntil(func() bool { return acknowledged == records })
	want := contents(s.Store)
	s.files.Close()
	again := openFileStore(t, dir, smallLimits)
	t.Cleanup(again.files.Close)
	if contents(again.Store) != want || again.Len() != records {
		t.Fatalf("%d keys after a restart", again.Len())
	}
}

// fullDiskDir is the environment variable that names the folder in the child process of TestFilesOnFullDisk.
const fullDiskDir = "PLUMSPINDLE_FULL_DISK_DIR"

// TestFilesOnFullDisk simulates a full disk by a limit on the file size in a child process. Appends are then cut short
// and fail. A repair fails too, and must leave no partial file that takes up space. Once the limit is lifted, the store
// can be repaired, and a restart recovers the acknowledged records but none that were rejected.
func TestFilesOnFullDisk(t *testing.T) {
	if dir := os.Getenv(fullDiskDir); dir != "" {
		runOnFullDisk(t, dir)
		return
	}
	command := exec.Command(os.Args[0], "-test.run=^TestFilesOnFullDisk$", "-test.count=1")
	command.Env = append(os.Environ(), fullDiskDir+"="+t.TempDir())
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
}

func runOnFullDisk(t *testing.T, dir string) {
	t.Helper()
	signal.Ignore(syscall.SIGXFSZ)
	var unlimited syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &unlimited); err != nil {
		t.Fatal(err)
	}
	limitFileSize := func(size uint64) {
		t.Helper()
		limit := syscall.Rlimit{Cur: size, Max: unlimited.Max}
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
			t.Fatal(err)
		}
	}
	s := openFileStore(t, dir, DefaultLimits)
	value := strings.Repeat("x", 300)
	acknowledged := 0
	for round := range 3 {
		limitFileSize(uint64(2000 + 1500*round))
		var err error
		for err == nil && acknowledged < 1000 {
			if err = s.put(fmt.Sprint("k", acknowledged), value); err == nil {
				acknowledged++
			}
		}
		if !errors.Is(err, ErrFailed) || acknowledged == 0 {
			t.Fatalf("round %d: after %d records: %v", round, acknowledged, err)
		}
		if err := s.put("rejected", value); !errors.Is(err, ErrFailed) {
			t.Fatal(err)
		}
		limitFileSize(100)
		if err := s.repair(); err == nil {
			t.Fatal("repaired without space")
		}
		names, err := s.files.List()
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if strings.HasSuffix(name, ".part") {
				t.Errorf("the failed repair left %s behind", name)
			}
		}
		limitFileSize(unlimited.Cur)
		if err := s.repair(); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.put("last", value); err != nil {
		t.Fatal(err)
	}
	s.files.Close()
	again := openFileStore(t, dir, DefaultLimits)
	t.Cleanup(again.files.Close)
	if again.Len() != acknowledged+1 {
		t.Fatalf("%d keys, want %d", again.Len(), acknowledged+1)
	}
}
