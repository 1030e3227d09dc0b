package store_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"plumspindle/internal/store"
)

// copied returns a copy of a folder in testdata, so that the test does not change the fixture itself.
func copied(t *testing.T, fixture string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/"+fixture)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// open opens the store of a folder. The callbacks of its disk are sent to answers.
func open(t *testing.T, dir string) (opened *store.Store, answers chan func(), closeFiles func()) {
	t.Helper()
	answers = make(chan func(), 16)
	files, err := store.OpenFiles(dir, func(answer func()) { answers <- answer })
	if err != nil {
		t.Fatal(err)
	}
	opened, err = store.Open(files, store.DefaultLimits)
	if err != nil {
		files.Close()
		t.Fatal(err)
	}
	return opened, answers, files.Close
}

// dumped returns the content of a store in the output format of `plumspindle store dump`.
func dumped(opened *store.Store) string {
	var text strings.Builder
	opened.Scan("", func(key string, value []byte) bool {
		fmt.Fprintf(&text, "%q %q\n", key, value)
		return true
	})
	return text.String()
}

func golden(t *testing.T, fixture string) string {
	t.Helper()
	text, err := os.ReadFile("testdata/" + fixture + ".dump.txt")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var storedFolders = []string{"log-only", "snapshot-and-log"}

// TestReadsFolderOfEarlierVersion checks that all keys and values that an earlier version stored are read, both from
// the log and from a snapshot.
func TestReadsFolderOfEarlierVersion(t *testing.T) {
	for _, fixture := range storedFolders {
		t.Run(fixture, func(t *testing.T) {
			opened, _, closeFiles := open(t, copied(t, fixture))
			t.Cleanup(closeFiles)
			if got, want := dumped(opened), golden(t, fixture); got != want {
				t.Errorf("read:\n%s\nstored:\n%s", got, want)
			}
		})
	}
}

// TestWritesOnToFolderOfEarlierVersion checks that a write to a folder of an earlier version is recovered together with
// the older content after a restart.
func TestWritesOnToFolderOfEarlierVersion(t *testing.T) {
	for _, fixture := range storedFolders {
		t.Run(fixture, func(t *testing.T) {
			dir := copied(t, fixture)
			opened, answers, closeFiles := open(t, dir)
			durable := false
			later := []store.Op{{Key: "written later", Value: []byte("whole")}}
			err := opened.Commit(later, nil, store.WriteNow, func(err error) {
				if err != nil {
					t.Error(err)
				}
				durable = true
			})
			if err != nil {
				t.Fatal(err)
			}
			for timeout := time.After(10 * time.Second); !durable; {
				select {
				case answer := <-answers:
					answer()
				case <-timeout:
					t.Fatal("no callback within the timeout")
				}
			}
			closeFiles()
			opened, _, closeFiles = open(t, dir)
			t.Cleanup(closeFiles)
			if got, want := dumped(opened), golden(t, fixture)+"\"written later\" \"whole\"\n"; got != want {
				t.Errorf("read:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}
