package admin

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"plumspindle/internal/tenancy"
	"plumspindle/internal/virtual"
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

// Each call with a key that is unknown, which anybody can send, listed and sorted the names of all tenants. The calls
// of all other clients waited for that.
func TestUnknownKeyIsLookedUpWithoutAllTenants(t *testing.T) {
	const tenants, calls, maxBytes = 5000, 100, 4 << 10
	s := &Server{loop: virtual.NewNetwork(1).NewLoop("admin"), secret: secret}
	registry := tenancy.NewRegistry("epoch")
	for i := range tenants {
		if _, _, err := registry.Create(1, fmt.Sprint("tenant-", i), tenancy.Limits{}, nil); err != nil {
			t.Fatal(err)
		}
	}
	random := []byte(strings.Repeat("r", tenancy.KeyRandomBytes))
	issued, err := registry.IssueKey(1, "tenant-7", 0, tenancy.KeyRequest{
		Scopes: []tenancy.Scope{tenancy.ScopeAdmin}, Secret: secret, Random: random,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.setRegistry(registry)
	if found, known := s.identify(issued.Text); !known || found.tenant != "tenant-7" {
		t.Errorf("%+v, %v", found, known)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		if _, known := s.identify("sk-000000000000-00"); known {
			t.Fatal("an unknown key is known")
		}
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / calls; each > maxBytes {
		t.Errorf("%d bytes of memory were allocated for a call with an unknown key", each)
	}
}
