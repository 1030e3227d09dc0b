package admin

import (
	"os"
	"strings"
	"testing"
)

// ReadSecret rejects a secret that other users can read and one that is too short. The error does not contain the
// secret.
func TestReadSecretRejectsWeakSecrets(t *testing.T) {
	for name, test := range map[string]struct {
		text  string
		mode  os.FileMode
		valid bool
	}{
		"valid":              {string(secret), 0o600, true},
		"readable by others": {string(secret), 0o644, false},
		"few bytes":          {"short", 0o600, false},
	} {
		t.Run(name, func(t *testing.T) {
			path := t.TempDir() + "/secret"
			if err := os.WriteFile(path, []byte(test.text), test.mode); err != nil {
				t.Fatal(err)
			}
			_, err := ReadSecret(path)
			if (err == nil) != test.valid || err != nil && strings.Contains(err.Error(), test.text) {
				t.Errorf("mode %o, %d bytes: %v", test.mode, len(test.text), err)
			}
		})
	}
}

func TestParseStaffRejectsMalformedLines(t *testing.T) {
	for _, text := range []string{"", "operator x", "king x " + strings.Repeat("0", 64), "viewer x 12"} {
		if _, err := ParseStaff(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
