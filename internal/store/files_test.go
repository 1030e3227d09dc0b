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

// diskTimeout is how long a test waits for the next answer of the real disk.
const diskTimeout = 10 * time.Second

// fileStore is a store on a real folder, whose answers come on a channel.
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

// handleUntil delivers answers until a condition holds.
func (s *fileStore) handleUntil(condition func() bool) {
	s.t.Helper()
	for !condition() {
		select {
		case answer := <-s.posts:
			answer()
		case <-time.After(diskTimeout):
			s.t.Fatal("the disk does not answer")
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
	s.handleUntil(func() bool { return answered })
	return err
}

// repair waits for the end of a repair.
func (s *fileStore) repair() (err error) {
	s.t.Helper()
	answered := false
	s.Repair(func(e error) { answered, err = true, e })
	s.handleUntil(func() bool { return answered })
	return err
}

// Two processes can't share a folder, and what was acknowledged is there after a restart.
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
	s.handleUntil(func() bool { return acknowledged == records })
	want := contents(s.Store)
	s.files.Close()
	again := openFileStore(t, dir, smallLimits)
	t.Cleanup(again.files.Close)
	if contents(again.Store) != want || again.Len() != records {
		t.Fatalf("%d keys after a restart", again.Len())
	}
}

// fullDiskDir names the folder of the process that TestFilesOnFullDisk starts.
const fullDiskDir = "PLUMSPINDLE_FULL_DISK_DIR"

// In a process of its own whose files may not grow, writes come out short and fail, as does the snapshot of a
// repair, which leaves no partial file to take up space. Once files may grow again the store goes on, and a
// start finds what was acknowledged and nothing that was rejected.
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
				t.Errorf("%s takes up space", name)
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
