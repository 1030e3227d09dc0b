// Package golden compares the output of tests with golden files, byte for byte.
//
// It owns the files testdata/*.golden of the package under test. It reads them, and writes them only if the environment
// variable UPDATE_GOLDEN is set. It relies on nothing but the test's name and never changes the output that it is
// given.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// updateVariable is the environment variable that makes Compare write the golden file in place of comparing it.
const updateVariable = "UPDATE_GOLDEN"

// Compare fails the test if got differs from the golden file that is named after the running test.
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
		t.Errorf("got:\n%s\nwant, by %s:\n%s", got, path, want)
	}
}
