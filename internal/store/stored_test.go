package store_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"plumspindle/internal/store"
)

// copied gives a copy of a stored folder, so that the fixture itself never changes.
func copied(t *testing.T, fixture string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/"+fixture)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// open opens a folder; its disk answers on a channel.
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

// dumped is all that a store holds, in the form of `plumspindle store dump`.
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

// Each key and value that an earlier version stored is read, from its log and from its snapshot.
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

// What is written to a folder of an earlier version stands beside what was there, also after the next start.
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
			for late := time.After(10 * time.Second); !durable; {
				select {
				case answer := <-answers:
					answer()
				case <-late:
					t.Fatal("the disk did not answer")
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
