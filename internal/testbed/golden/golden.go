// Package golden compares what tests produce with files beside them, byte for byte.
//
// It owns the files testdata/*.golden of the package under test, which it reads, and writes only while the environment
// variable UPDATE_GOLDEN is set. It relies on nothing but the test's name and never changes what it is given.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// updateVariable is the environment variable that has Compare write the files.
const updateVariable = "UPDATE_GOLDEN"

// Compare fails the test where got is not what the golden file of the running test holds.
func Compare(t testing.TB, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", strings.NewReplacer("/", "-", "'", "").Replace(t.Name())+".golden")
	if os.Getenv(updateVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("got:\n%s\nwant, after %s:\n%s", got, path, want)
	}
}
