package admin

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"plumspindle/internal/tenancy"
)

// Role is what a caller may do.
type Role string

// Roles of callers.
const (
	Operator    Role = "operator" // may call everything
	Viewer      Role = "viewer"   // may see everything
	TenantAdmin Role = "tenant"   // may see one tenant and change its keys
)

// Staff is one operator or viewer.
type Staff struct {
	Name   string
	Role   Role
	Digest [sha256.Size]byte // of the key
}

// ParseStaff parses lines of a role, a name and the SHA-256 of a key in hexadecimal digits. Empty lines and
// those that begin with # are skipped. An error names the line.
func ParseStaff(text string) (all []Staff, err error) {
	for i, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 3 || Role(fields[0]) != Operator && Role(fields[0]) != Viewer {
			return nil, fmt.Errorf("line %d: want a role (operator or viewer), a name and a digest", i+1)
		}
		digest, err := hex.DecodeString(fields[2])
		if err != nil || len(digest) != sha256.Size {
			return nil, fmt.Errorf("line %d: the digest must be 64 hexadecimal digits", i+1)
		}
		all = append(all, Staff{Name: fields[1], Role: Role(fields[0]), Digest: [sha256.Size]byte(digest)})
	}
	if len(all) == 0 {
		return nil, errors.New("nobody may administer: there is no line")
	}
	return all, nil
}

const minSecretBytes = 32

// ReadSecret reads the secret from a file. Only the file's owner may have access to it.
func ReadSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("secret: %w", err)
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return nil, fmt.Errorf("secret: %s can be read by others (mode %o); it must have mode 600", path, mode)
	}
	secret, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("secret: %w", err)
	}
	secret = bytes.TrimSpace(secret)
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("secret: %s has %d bytes; it needs %d at least", path, len(secret), minSecretBytes)
	}
	return secret, nil
}

// caller is the authenticated caller of the API.
type caller struct {
	name   string
	role   Role
	tenant string // of a TenantAdmin
}

func (s *Server) isDispatcher(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(s.feedToken)) == 1
}

// identify returns the caller with a token. It always compares the digests of all staff, so that its time reveals
// nothing about them.
func (s *Server) identify(token string) (who caller, known bool) {
	digest := sha256.Sum256([]byte(token))
	for _, member := range s.staff {
		if subtle.ConstantTimeCompare(digest[:], member.Digest[:]) == 1 {
			who, known = caller{name: member.Name, role: member.Role}, true
		}
	}
	if known {
		return who, true
	}
	return s.identifyTenantAdmin(token)
}

func (s *Server) identifyTenantAdmin(token string) (who caller, known bool) {
	id, ok := tenancy.KeyID(token)
	if !ok {
		return caller{}, false
	}
	for _, name := range s.registry.Names() {
		t := s.registry.Tenants[name]
		if t.State != tenancy.StateActive {
			continue
		}
		for _, key := range t.Keys {
			mayAdminister := key.ID == id && slices.Contains(key.Scopes, tenancy.ScopeAdmin)
			if mayAdminister && key.Matches(s.secret, token, s.now()) {
				return caller{name: "key " + id, role: TenantAdmin, tenant: name}, true
			}
		}
	}
	return caller{}, false
}
