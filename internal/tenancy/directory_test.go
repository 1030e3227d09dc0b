package tenancy

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A directory accepts exactly those keys that are neither expired nor revoked in the registry, and only their complete
// texts. The directory stays equal to the registry even if it gets only some updates, or gets an update twice.
func TestDirectoryFollowsRegistry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		secret := []byte("0123456789abcdef0123456789abcdef")
		f := &follower{
			t: t, secret: secret, registry: NewRegistry("e"), directory: NewDirectory(secret),
			random: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))), keys: map[string]string{},
		}
		for f.now = 1000; f.now < 1060; f.now++ {
			f.changeRegistry()
			if rapid.IntRange(0, 2).Draw(t, "follow") == 0 {
				f.follow()
				f.checkKeys()
			}
		}
	})
}

// follower applies updates of a registry to a directory.
type follower struct {
	t         *rapid.T
	now       int64
	secret    []byte
	registry  *Registry
	directory *Directory
	random    *rand.Rand
	keys      map[string]string // tenant names by key text
}

// changeRegistry makes at most one random change, which may be rejected.
func (f *follower) changeRegistry() {
	name := fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(f.t, "tenant"))
	switch rapid.IntRange(0, 6).Draw(f.t, "change") {
	case 0:
		_, _, _ = f.registry.Create(f.now, name, Limits{}, nil)
	case 1:
		f.issueKey(name)
	case 2:
		if tenant := f.registry.Tenants[name]; tenant != nil && len(tenant.Keys) > 0 {
			_, _ = f.registry.RevokeKey(f.now, name, 0, tenant.Keys[0].ID, 0)
		}
	case 3:
		if rapid.Bool().Draw(f.t, "serving") {
			_, _ = f.registry.Resume(name, 0)
		} else {
			_, _ = f.registry.Suspend(name, 0)
		}
	case 4:
		_, _ = f.registry.Remove(name, 0, RemovalFinish)
	case 5:
		f.registry.CompleteRemoval(f.now, name)
	}
}

func (f *follower) issueKey(name string) {
	random := make([]byte, KeyRandomBytes)
	f.random.Read(random)
	request := KeyRequest{Secret: f.secret, Random: random}
	if rapid.Bool().Draw(f.t, "expires") {
		request.ExpiresAt = f.now + 5
	}
	if key, err := f.registry.IssueKey(f.now, name, 0, request); err == nil {
		f.keys[key.Text] = name
	}
}

// follow applies the changes since the directory's version, sometimes twice.
func (f *follower) follow() {
	f.t.Helper()
	update := f.registry.UpdateSince(f.directory.Epoch, f.directory.Version)
	encoded, err := json.Marshal(update)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.directory.Apply(encoded); err != nil {
		f.t.Fatal(err)
	}
	if !rapid.Bool().Draw(f.t, "twice") {
		return
	}
	if changed, err := f.directory.Apply(encoded); err != nil || len(changed) > 0 && !update.Complete {
		f.t.Fatalf("second application: error %v, %d changes", err, len(changed))
	}
}

// checkKeys checks that the directory accepts exactly those keys that are valid by their records in the registry.
func (f *follower) checkKeys() {
	f.t.Helper()
	for text, name := range f.keys {
		tenant := f.registry.Tenants[name]
		want := false
		for _, key := range tenant.Keys {
			if strings.HasPrefix(text, "sk-"+key.ID) { // does not use KeyID, which is under test
				want = key.RevokedAt == 0 && (key.ExpiresAt == 0 || f.now < key.ExpiresAt)
			}
		}
		got, _, known := f.directory.Authenticate(f.now, text)
		if known != want || known && got.Name != name {
			f.t.Fatalf("key of tenant %s (%s): accepted %v, want %v", name, tenant.State, known, want)
		}
		if _, _, known := f.directory.Authenticate(f.now, text[:len(text)-1]+"x"); known {
			f.t.Fatal("a key with a wrong last digit is accepted")
		}
	}
}

// errors.Is matches change errors by their codes.
func TestChangeErrorsMatchByCode(t *testing.T) {
	registry := NewRegistry("e")
	if _, _, err := registry.Create(1, "a", Limits{}, nil); err != nil {
		t.Fatal(err)
	}
	for code, change := range map[ErrorCode]func() error{
		CodeInvalidName:     func() error { _, _, err := registry.Create(1, "A", Limits{}, nil); return err },
		CodeInvalidLimit:    func() error { _, _, err := registry.Create(1, "b", Limits{RequestsPerS: -1}, nil); return err },
		CodeExists:          func() error { _, _, err := registry.Create(1, "a", Limits{RequestsPerS: 1}, nil); return err },
		CodeNoTenant:        func() error { _, err := registry.Resume("b", 0); return err },
		CodeVersionMismatch: func() error { _, err := registry.Resume("a", 9); return err },
		CodeInvalidPolicy:   func() error { _, err := registry.Remove("a", 0, "later"); return err },
		CodeNoKey:           func() error { _, err := registry.RevokeKey(1, "a", 0, "none", 0); return err },
	} {
		err := change()
		if !errors.Is(err, &ChangeError{Code: code}) || errors.Is(err, &ChangeError{Code: "another"}) {
			t.Errorf("%s: got %v", code, err)
		}
	}
}
